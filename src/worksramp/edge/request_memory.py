"""Bounds the bytes that a node holds of its callers' requests and of answers that they have not read."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

MB = 1_000_000
#: Memory that a node takes without the bytes counted here: at most 64 MB, and a margin.
NODE_MEMORY_MB = 72
#: Memory that is shared out even where a machine has hardly more than a node takes.
MIN_SHARED_MB = 24
#: Share of the rest for the bodies of requests.
REQUESTS_SHARE = 0.4
#: Share of the rest for answers that callers have not read.
ANSWERS_SHARE = 0.2
#: Share of the rest for the bodies of open items, at the owner.
ITEMS_SHARE = 0.2
#: Share of the rest for the connections of callers.
CONNECTIONS_SHARE = 0.2
#: Longest wait for room. Callers take a node that has not read a request after a second for a failed one.
MAX_WAIT_S = 0.5


class NoRoomError(Exception):
    """The node holds too many bytes of other requests."""


@dataclass(slots=True)
class ByteBudget:
    """Counts bytes up to a limit.

    What has been given up may still be in memory: the tracebacks of cancelled tasks refer to their frames,
    and these to a request or an answer, until the garbage collector has found them.

    Attributes:
        max_b: most bytes in use at the same time.
        used_b: bytes in use.
    """

    max_b: int
    used_b: int = 0
    _given_up_b: int = 0

    def has_room(self, size_b: int) -> bool:
        """Return whether so many more bytes may be used."""
        if self._given_up_b and self.used_b + self._given_up_b + size_b > self.max_b:
            gc.collect()
            self._given_up_b = 0
        return self.used_b + size_b <= self.max_b

    def use(self, size_b: int) -> None:
        """Count bytes, whether there is room for them or not."""
        self.used_b += size_b

    def give_up(self, size_b: int) -> None:
        """Count bytes no longer."""
        self.used_b -= size_b
        self._given_up_b += size_b


def max_request_bytes(memory_mb: float) -> int:
    """Return how many bytes of requests a node may hold on a machine with this memory."""
    return int(REQUESTS_SHARE * _shared_b(memory_mb))


def max_unread_bytes(memory_mb: float) -> int:
    """Return how many bytes of unread answers a node may hold on a machine with this memory."""
    return int(ANSWERS_SHARE * _shared_b(memory_mb))


def max_item_bytes(memory_mb: float) -> int:
    """Return how many bytes of items' bodies an owner may keep on a machine with this memory."""
    return int(ITEMS_SHARE * _shared_b(memory_mb))


def connection_bytes(memory_mb: float) -> int:
    """Return how many bytes the connections of callers may take on a machine with this memory."""
    return int(CONNECTIONS_SHARE * _shared_b(memory_mb))


def _shared_b(memory_mb: float) -> float:
    return max(memory_mb - NODE_MEMORY_MB, MIN_SHARED_MB) * MB


@dataclass(eq=False, slots=True)
class RequestHolding:
    """Room that one request has."""

    memory: "RequestMemory"
    copies: int
    size_b: int = 0

    async def reserve(self, body_b: int) -> None:
        """Make room for a body before it is read, and wait for it for a short time.

        Raises:
            NoRoomError: there is none.
        """
        with anyio.move_on_after(MAX_WAIT_S):
            while not self.memory.resize(self, self.copies * body_b):
                await self.memory.wait_freed()
            return
        self.memory.num_refused += 1
        raise NoRoomError

    def cover(self, body_b: int) -> None:
        """Make room for what has been read of a body, unless there is enough.

        Raises:
            NoRoomError: there is none.
        """
        size_b = self.copies * body_b
        if size_b > self.size_b and not self.memory.resize(self, size_b):
            self.memory.num_refused += 1
            raise NoRoomError


@dataclass(slots=True)
class RequestMemory:
    """Bytes of all requests that a node holds.

    Attributes:
        budget: bytes held at the same time. A single request may be larger while it is the only one.
        num_refused: requests that got no room.
    """

    budget: ByteBudget
    num_refused: int = 0
    _freed: anyio.Event = field(default_factory=anyio.Event)

    @contextmanager
    def hold(self, copies: int = 1) -> Iterator[RequestHolding]:
        """Hold room for a request until the context is left.

        Args:
            copies: how many times the body is in memory at the same time.
        """
        holding = RequestHolding(self, copies)
        try:
            yield holding
        finally:
            if holding.size_b:
                self.budget.give_up(holding.size_b)
                self._freed.set()
                self._freed = anyio.Event()

    async def wait_freed(self) -> None:
        """Wait until a request has given up its room."""
        await self._freed.wait()

    def resize(self, holding: RequestHolding, size_b: int) -> bool:
        """Change the room of a request; return False if there is not enough."""
        more_b = size_b - holding.size_b
        is_only_one = self.budget.used_b == holding.size_b
        if not self.budget.has_room(more_b) and not is_only_one:
            return False
        self.budget.use(more_b)
        holding.size_b = size_b
        return True
