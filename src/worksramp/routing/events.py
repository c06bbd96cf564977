"""Splits the bytes of a ``text/event-stream`` into complete events as they arrive."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    Attributes:
        block: bytes of the event including the empty line that ends it, for forwarding.
        event_id: value of the ``id`` field, None if there is none that a request could name.
        data: data lines joined by line feeds.
        fields: the other fields, name to value.
        is_text: whether the event is UTF-8; if not, nothing but its block can be used.
    """

    block: bytes
    event_id: str | None
    data: str
    fields: dict[str, str]
    is_text: bool = True

    @property
    def is_empty(self) -> bool:
        """Whether the event consists of empty lines or comments alone."""
        return self.is_text and self.event_id is None and not self.data and not self.fields


def _parse(block: bytes) -> StreamEvent:
    event_id: str | None = None
    data: list[str] = []
    fields: dict[str, str] = {}
    try:
        text = block.decode()
    except UnicodeDecodeError:
        return StreamEvent(block, None, "", {}, is_text=False)
    for line in text.replace("\r\n", "\n").split("\n"):
        if not line or line.startswith(":"):
            continue
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            # The id is sent back in a header, which takes no other characters.
            event_id = value if value.isascii() and value.isprintable() else None
        elif name == "data":
            data.append(value)
        else:
            fields[name] = value
    return StreamEvent(block, event_id, "\n".join(data), fields)


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds the beginning of an incomplete event."""
        return bool(self._buffer.strip())

    @property
    def rest(self) -> bytes:
        """Received bytes that belong to no complete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that are complete now.

        The blocks of all events and the rest together are the bytes as received.
        """
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            end, length = self._find_end()
            if end < 0:
                return events
            block = self._buffer[: end + length]
            self._buffer = self._buffer[end + length :]
            events.append(_parse(block))

    def _find_end(self) -> tuple[int, int]:
        """Return the index where the first event ends, -1 if none does, and the length of its empty line."""
        lf_end = self._buffer.find(b"\n\n")
        crlf_end = self._buffer.find(b"\r\n\r\n")
        if crlf_end >= 0 and (lf_end < 0 or crlf_end < lf_end):
            return crlf_end, 4
        return lf_end, 2
