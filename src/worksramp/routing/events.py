"""Whole events of a ``text/event-stream``, cut out of the bytes as they arrive."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    Attributes:
        block: its bytes with the empty line that ends it, for forwarding.
        event_id: None when it names none.
        data: its data lines joined by line feeds.
        fields: the other fields, name to value.
    """

    block: bytes
    event_id: str | None
    data: str
    fields: dict[str, str]


def _parse(block: bytes) -> StreamEvent:
    event_id: str | None = None
    data: list[str] = []
    fields: dict[str, str] = {}
    for line in block.decode("utf-8", "surrogateescape").replace("\r\n", "\n").split("\n"):
        if not line or line.startswith(":"):
            continue
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = value
        elif name == "data":
            data.append(value)
        else:
            fields[name] = value
    return StreamEvent(block, event_id, "\n".join(data), fields)


class EventSplitter:
    """Collects bytes and hands out whole events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is waiting for its end."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            end, length = self._find_end()
            if end < 0:
                return events
            block = self._buffer[: end + length]
            self._buffer = self._buffer[end + length :]
            if block.strip():
                events.append(_parse(block))

    def _find_end(self) -> tuple[int, int]:
        """Return where the first event ends, and the length of the empty line."""
        plain = self._buffer.find(b"\n\n")
        carriage = self._buffer.find(b"\r\n\r\n")
        if carriage >= 0 and (plain < 0 or carriage < plain):
            return carriage, 4
        return plain, 2
