"""Bounds the connections of callers, by the memory and the descriptors of the machine.

Where there are as many as may be, a new caller takes the place of the one that has made no progress for
longest: most often a connection that rests between two requests. Connections whose request is being answered
keep their places.
"""

import math
import resource
from dataclasses import dataclass, field
from typing import Protocol

from worksramp.serving.progress import MIN_STALL_S
from worksramp.serving.request_memory import connection_bytes

#: Size of the kernel's buffer for bytes that have arrived; it takes twice as much for its own records.
RECEIVE_BUFFER_B = 16 * 1024
#: The same for a body that has room, and may come fast.
BODY_RECEIVE_BUFFER_B = 64 * 1024
#: Size of the kernel's buffer for bytes that the caller has not taken; it takes twice as much too.
SEND_BUFFER_B = 16 * 1024
#: Bytes that are read from a connection at a time.
READ_B = 16 * 1024
#: Bytes of a request line, beside the limit of the headers.
REQUEST_LINE_B = 8 * 1024
#: What one connection of a caller that keeps to no limits holds beside counted bodies: buffers of the kernel,
#: bytes that were read, a head or a small body, a small answer, and the objects of the connection.
CONNECTION_B = 96 * 1024
#: Places on machines of any size; requests that wait for their answers need little each.
MIN_CONNECTIONS = 128
#: The other descriptors are for workers, the store and the log.
DESCRIPTORS_SHARE = 0.5
#: Connections for readiness, and for metrics, which few callers ask for.
MAX_SIDE_CONNECTIONS = 16


def max_connections(memory_mb: float, max_descriptors: int | None = None) -> int:
    """Return how many connections of callers a node keeps.

    Args:
        memory_mb: memory of the machine.
        max_descriptors: limit of the process, None to ask the system for it.
    """
    if max_descriptors is None:
        max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    by_memory = max(MIN_CONNECTIONS, connection_bytes(memory_mb) // CONNECTION_B)
    if max_descriptors <= 0:
        return by_memory
    return max(1, min(by_memory, int(DESCRIPTORS_SHARE * max_descriptors)))


class Displaceable(Protocol):
    """A connection as its limit sees it."""

    @property
    def stalled_since(self) -> float:
        """When its caller last made progress; infinite while the node is working on its request."""

    @property
    def is_resting(self) -> bool:
        """Whether no request is being read or answered on it."""

    def displace(self) -> None:
        """End the connection."""


@dataclass(slots=True)
class ConnectionLimit:
    """Connections of one address.

    Attributes:
        max_connections: most connections at the same time.
        num_displaced: connections that were ended for others.
        num_refused: connections that found no place.
    """

    max_connections: int
    num_displaced: int = 0
    num_refused: int = 0
    _connections: set[Displaceable] = field(default_factory=set)

    @property
    def num_connections(self) -> int:
        """Connections now."""
        return len(self._connections)

    @property
    def is_full(self) -> bool:
        """Whether all places are taken."""
        return len(self._connections) >= self.max_connections

    @property
    def may_free_soon(self) -> bool:
        """Whether the node is waiting for any of the callers; such a place is free once its caller stalls."""
        return any(each.stalled_since < math.inf for each in self._connections)

    def make_place(self, now: float) -> bool:
        """Make a place for one more connection; return False if each is in use."""
        if not self.is_full:
            return True
        candidates = [each for each in self._connections if _may_be_displaced(each, now)]
        if not candidates:
            return False
        victim = min(candidates, key=lambda each: each.stalled_since)
        self.num_displaced += 1
        self._connections.discard(victim)
        victim.displace()
        return True

    def add(self, connection: Displaceable) -> None:
        """Count a connection."""
        self._connections.add(connection)

    def remove(self, connection: Displaceable) -> None:
        """Count a connection no longer."""
        self._connections.discard(connection)


def _may_be_displaced(connection: Displaceable, now: float) -> bool:
    if connection.stalled_since == math.inf:
        return False
    return connection.is_resting or now - connection.stalled_since >= MIN_STALL_S
