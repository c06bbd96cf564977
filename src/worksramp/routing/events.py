"""Splits the bytes of a ``text/event-stream`` into complete events as they arrive."""

import re
from dataclasses import dataclass

EVENT_END = re.compile(rb"\r\n\r\n|\n\n")
LONGEST_END_B = 4
MAX_EVENT_ID_B = 256


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
            event_id = value if _is_usable_id(value) else None
        elif name == "data":
            data.append(value)
        else:
            fields[name] = value
    return StreamEvent(block, event_id, "\n".join(data), fields)


def _is_usable_id(value: str) -> bool:
    """Return whether an id can be sent back in a header."""
    return len(value) <= MAX_EVENT_ID_B and value.isascii() and value.isprintable()


class EventSplitter:
    """Buffers received bytes and returns complete events.

    Its time is in proportion to the bytes received, however they arrive.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._num_searched_b = 0

    @property
    def size_b(self) -> int:
        """Number of bytes held, which belong to no complete event."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds the beginning of an incomplete event."""
        return bool(self._buffer.strip())

    @property
    def rest(self) -> bytes:
        """Received bytes that belong to no complete event."""
        return bytes(self._buffer)

    def clear(self) -> None:
        """Discard the bytes held."""
        self._buffer.clear()
        self._num_searched_b = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that are complete now.

        The blocks of all events and the rest together are the bytes as received.
        """
        self._buffer += data
        events: list[StreamEvent] = []
        start = 0
        # An end may have begun in the bytes that were searched before.
        search_from = max(0, self._num_searched_b - (LONGEST_END_B - 1))
        while (match := EVENT_END.search(self._buffer, search_from)) is not None:
            search_from = match.end()
            events.append(_parse(bytes(self._buffer[start:search_from])))
            start = search_from
        del self._buffer[:start]
        self._num_searched_b = len(self._buffer)
        return events
