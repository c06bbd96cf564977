"""Entries that are held back until the worker of their id has answered at their address."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import structlog

from worksramp.routing.workers import WorkerEntry

#: Entries whose workers are asked at the same time; an address of another writer may stay silent.
MAX_CHECKS = 16
#: Pause after the first check without an answer. It grows by the factor after each further one.
FIRST_CHECK_PAUSE_S = 0.25
CHECK_PAUSE_FACTOR = 4.0
MAX_CHECK_PAUSE_S = 60.0

logger = structlog.get_logger()


async def never_answers(entry: WorkerEntry) -> bool:
    """Return False: nobody is asked."""
    return False


@dataclass(slots=True)
class _HeldEntry:
    """An entry that is held back.

    Attributes:
        check_at: when to ask at its address whether its worker is there.
        pause_s: pause after the next check that gets no answer.
    """

    entry: WorkerEntry
    check_at: float = float("-inf")
    pause_s: float = FIRST_CHECK_PAUSE_S
    is_checked_now: bool = False


@dataclass(slots=True)
class HeldEntries:
    """Keeps entries that are not used, and asks for their workers more and more rarely.

    Attributes:
        is_answered: asks at the address of an entry, and returns whether the worker of its id has answered.
        on_answer: called with an entry whose worker has answered.
    """

    is_answered: Callable[[WorkerEntry], Awaitable[bool]]
    on_answer: Callable[[WorkerEntry], None]
    _held: dict[str, _HeldEntry] = field(default_factory=dict)
    _num_checks: int = 0

    def hold(self, entry: WorkerEntry) -> None:
        """Keep an entry back; an entry of the same start keeps its schedule of checks."""
        held = self._held.get(entry.worker_id)
        if held is not None and _is_same_start(held.entry, entry):
            held.entry = entry
        else:
            self._held[entry.worker_id] = _HeldEntry(entry)

    def discard(self, worker_id: str) -> None:
        """Forget the entry of an id, if it is held back."""
        self._held.pop(worker_id, None)

    def release(self, may_use: Callable[[WorkerEntry], bool]) -> list[WorkerEntry]:
        """Return the entries that may be used now; they are no longer held back."""
        released = [held.entry for held in self._held.values() if may_use(held.entry)]
        for entry in released:
            del self._held[entry.worker_id]
        return released

    def start_checks(self, group: anyio.abc.TaskGroup) -> None:
        """Start the checks that are due, those of the entries first that have been asked least often."""
        now = anyio.current_time()
        due = [held for held in self._held.values() if held.check_at <= now and not held.is_checked_now]
        due.sort(key=lambda held: (held.pause_s, held.check_at))
        for held in due[: MAX_CHECKS - self._num_checks]:
            held.is_checked_now = True
            self._num_checks += 1
            group.start_soon(self._check, held)

    async def _check(self, held: _HeldEntry) -> None:
        entry = held.entry
        try:
            has_answered = await self.is_answered(entry)
        finally:
            self._num_checks -= 1
            held.is_checked_now = False
        log = logger.info if has_answered else logger.debug
        log(
            "entry_checked",
            worker=entry.worker_id,
            address=entry.address,
            started_ms=entry.started_ms,
            has_answered=has_answered,
            pause_s=held.pause_s,
        )
        held.check_at = anyio.current_time() + held.pause_s
        held.pause_s = min(MAX_CHECK_PAUSE_S, CHECK_PAUSE_FACTOR * held.pause_s)
        if has_answered:
            self.on_answer(entry)


def _is_same_start(one: WorkerEntry, other: WorkerEntry) -> bool:
    return (one.address, one.started_ms) == (other.address, other.started_ms)
