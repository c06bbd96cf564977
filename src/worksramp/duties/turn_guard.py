"""Keeps two machines from acting on a duty by turns within a lease."""

from dataclasses import dataclass, field

from worksramp.coordination.elapsed import ElapsedClock

#: Longer than the lease, because calls may take a moment to arrive.
GUARD_FACTOR = 1.2


@dataclass(slots=True)
class TurnGuard:
    """Decides when a machine that holds the lease again may act.

    Only a return is dangerous: a machine acts, another takes over and acts, and the first acts again. So a
    machine waits for a lease after its own last action of an earlier tenure. A process that has just started
    assumes that the process before it on this machine acted until then.

    Attributes:
        lease_s: time within which machines must not act by turns.
        clock: steady clock that counts suspended time.
    """

    lease_s: float
    clock: ElapsedClock
    _last_action_at: float = field(init=False)
    _free_at: float = field(init=False)

    def __post_init__(self) -> None:
        self._last_action_at = self.clock()
        self.begin_tenure()

    def begin_tenure(self) -> None:
        """Record that the machine has won the lease."""
        self._free_at = self._last_action_at + GUARD_FACTOR * self.lease_s

    def may_act(self) -> bool:
        """Return whether the machine may act in its present tenure."""
        return self.clock() >= self._free_at

    def record_action(self) -> None:
        """Record that the machine acts now."""
        self._last_action_at = self.clock()
