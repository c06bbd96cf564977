"""Bounds the bytes that a node holds of its callers' requests and of answers that they have not read."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from worksramp.serving.progress import MIN_STALL_S, Progress

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
#: Bodies up to this size need no room: they are part of what a connection may hold.
SMALL_BODY_B = 16 * 1024
#: Pause after which a request that waits for room looks again for bodies that make no progress.
RECHECK_S = 0.1
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
    """Room that one request has.

    Attributes:
        progress: arrival of the body while it is being read, None before and after.
        has_given_way: whether the room went to others, since the body made no progress.
    """

    memory: "RequestMemory"
    copies: int
    size_b: int = 0
    progress: Progress | None = None
    has_given_way: bool = False
    _scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    @contextmanager
    def reading(self) -> Iterator[None]:
        """Mark the body as being read until the context is left.

        Raises:
            NoRoomError: the body made no progress, and its room was needed.
        """
        self.progress = Progress(anyio.current_time())
        try:
            with self._scope:
                yield
        finally:
            self.progress = None
        if self._scope.cancelled_caught:
            raise NoRoomError

    async def reserve(self, body_b: int) -> None:
        """Make room for a body, and wait for it for a short time.

        Raises:
            NoRoomError: there is none.
        """
        size_b = self._needed_b(body_b)
        with anyio.move_on_after(MAX_WAIT_S):
            while not self.memory.resize(self, size_b):
                self.memory.displace(size_b - self.size_b)
                with anyio.move_on_after(RECHECK_S):
                    await self.memory.wait_freed()
            return
        self.memory.num_refused += 1
        raise NoRoomError

    async def grow(self, received_b: int, expected_b: int) -> None:
        """Make room for what has been read of a body, and wait for it for a short time.

        Args:
            expected_b: bytes of the whole body, 0 if it does not say so.

        Raises:
            NoRoomError: there is none.
        """
        if self.progress is not None:
            self.progress.note(received_b, expected_b, anyio.current_time())
        if self._needed_b(received_b) > self.size_b:
            await self.reserve(received_b)

    def give_way(self) -> None:
        """Stop reading the body."""
        self.has_given_way = True
        self._scope.cancel()

    def _needed_b(self, body_b: int) -> int:
        return 0 if body_b <= self.memory.uncounted_b else self.copies * body_b


@dataclass(slots=True)
class RequestMemory:
    """Bytes of all requests that a node holds.

    Attributes:
        budget: bytes held at the same time. A single request may be larger while it is the only one.
        uncounted_b: size up to which a body needs no room.
        num_refused: requests that got no room.
        num_displaced: requests whose room went to others, since their bodies made no progress.
    """

    budget: ByteBudget
    uncounted_b: int = 0
    num_refused: int = 0
    num_displaced: int = 0
    _holdings: set[RequestHolding] = field(default_factory=set)
    _freed: anyio.Event = field(default_factory=anyio.Event)

    @contextmanager
    def hold(self, copies: int = 1) -> Iterator[RequestHolding]:
        """Hold room for a request until the context is left.

        Args:
            copies: how many times the body is in memory at the same time.
        """
        holding = RequestHolding(self, copies)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            self._holdings.discard(holding)
            self.release(holding)

    def release(self, holding: RequestHolding) -> None:
        """Give up the room of a request."""
        if holding.size_b:
            self.budget.give_up(holding.size_b)
            holding.size_b = 0
            self._freed.set()
            self._freed = anyio.Event()

    async def wait_freed(self) -> None:
        """Wait until a request has given up its room."""
        await self._freed.wait()

    def displace(self, size_b: int) -> None:
        """Stop reading bodies that make no progress, those first that have made none for longest.

        Args:
            size_b: bytes that another request needs.
        """
        missing_b = self.budget.used_b + size_b - self.budget.max_b
        latest = anyio.current_time() - MIN_STALL_S
        stalled = [
            (holding.progress.since, holding)
            for holding in self._holdings
            if holding.progress is not None and holding.size_b and holding.progress.since <= latest
        ]
        for _, holding in sorted(stalled, key=lambda each: each[0]):
            if missing_b <= 0:
                return
            missing_b -= holding.size_b
            if not holding.has_given_way:
                holding.give_way()
                self.num_displaced += 1

    def resize(self, holding: RequestHolding, size_b: int) -> bool:
        """Change the room of a request; return False if there is not enough."""
        more_b = size_b - holding.size_b
        is_only_one = self.budget.used_b == holding.size_b
        if more_b > 0 and not self.budget.has_room(more_b) and not is_only_one:
            return False
        self.budget.use(more_b)
        holding.size_b = size_b
        return True
