"""Times of a node's stop: which requests may still begin, and when the last ones get their answers."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

#: The platform polls readiness about once a second and stops sending callers after two misses.
LEAVE_S = 3.2
#: Requests that are sent within 3 s of the signal may be cut by the end of the node, later ones may not. The
#: margin is for the time until the signal has arrived.
TAKE_ALL_S = 2.8
#: Share of the grace period after which the node no longer waits for requests in flight. The rest is left for
#: their answers.
ANSWER_SHARE = 0.85


@dataclass(slots=True)
class NodeStop:
    """Progress of a node's stop.

    Attributes:
        leaves_at: when callers have been sent to other nodes, infinite before the stop begins.
        takes_all_until: when requests of any length are taken no longer, infinite before the stop begins.
        ends_at: when requests in flight are given up, infinite before the stop begins.
    """

    leaves_at: float = math.inf
    takes_all_until: float = math.inf
    ends_at: float = math.inf
    _scopes: set[anyio.CancelScope] = field(default_factory=set)

    @property
    def is_begun(self) -> bool:
        """Whether the node has begun to stop."""
        return self.ends_at < math.inf

    def begin(self, now: float, grace_s: float) -> None:
        """Begin the stop; requests in flight are limited from now on.

        Args:
            now: when the signal to stop arrived.
            grace_s: time after which the platform kills the process.
        """
        self.leaves_at = now + min(LEAVE_S, grace_s / 2)
        self.takes_all_until = now + min(TAKE_ALL_S, grace_s / 2)
        self.ends_at = now + ANSWER_SHARE * grace_s
        for scope in self._scopes:
            scope.deadline = self.ends_at

    def may_begin(self, now: float, request_ends_at: float) -> bool:
        """Return whether a request may begin.

        A request that would be an error to cut must be sure to end before the node does.
        """
        return now < self.takes_all_until or request_ends_at <= self.ends_at

    @contextmanager
    def limit(self) -> Iterator[None]:
        """Cancel the body once requests in flight are given up."""
        with anyio.CancelScope(deadline=self.ends_at) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)
