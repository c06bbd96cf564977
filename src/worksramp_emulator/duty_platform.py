"""Emulated platform interface for duties, with calls that are refused, lost, slow or carried out late."""

import random
from dataclasses import dataclass, field

import anyio
import anyio.abc

from worksramp.duties.port import (
    DutyDone,
    DutyFenced,
    DutyHolder,
    DutyOpen,
    DutyOutcome,
    DutyPort,
    DutyRefused,
    WorkerCount,
)

CALL_TIMEOUT_S = 1.0
LATE_S = (2.0, 12.0)


@dataclass(frozen=True, slots=True)
class ReceivedDutyCall:
    """A call that the platform carried out or refused because of its fence.

    Attributes:
        at: time at which it was carried out.
        machine: machine that made it, whatever holder it names.
        subject: what the call concerns; fences are compared within it.
        item: window of a usage report, None for an order.
        payload: counts of the report, or the number ordered.
    """

    at: float
    machine: str
    fence: int
    subject: str
    item: int | None
    payload: dict[str, int] | int
    is_accepted: bool


@dataclass(slots=True)
class DutyFaults:
    """Faults of the interface.

    Attributes:
        is_down: whether calls are refused.
        lost_share: share of calls that are carried out and not answered.
        late_share: share of calls that are not answered and are carried out `LATE_S` later.
        answer_s: time from a call to its answer.
    """

    is_down: bool = False
    lost_share: float = 0.0
    late_share: float = 0.0
    answer_s: float = 0.01


@dataclass(slots=True)
class DutyPlatform:
    """The platform's side of the duties.

    Attributes:
        calls: calls in the order in which they were carried out.
    """

    rng: random.Random
    background: anyio.abc.TaskGroup
    faults: DutyFaults = field(default_factory=DutyFaults)
    calls: list[ReceivedDutyCall] = field(default_factory=list)
    _highest_fences: dict[str, int] = field(default_factory=dict)

    def carry_out(
        self, machine: str, holder: DutyHolder, subject: str, item: int | None, payload: dict[str, int] | int
    ) -> bool:
        """Carry out a call now and return whether its fence allowed it."""
        highest = self._highest_fences.get(subject, 0)
        is_accepted = holder.fence >= highest
        self._highest_fences[subject] = max(highest, holder.fence)
        self.calls.append(
            ReceivedDutyCall(anyio.current_time(), machine, holder.fence, subject, item, payload, is_accepted)
        )
        return is_accepted

    async def receive(
        self, machine: str, holder: DutyHolder, subject: str, item: int | None, payload: dict[str, int] | int
    ) -> DutyOutcome:
        """Receive a call and answer it, or do one of these wrongly as the faults say."""
        await anyio.sleep(self.faults.answer_s / 2)
        if self.faults.is_down:
            return DutyRefused("down")
        drawn = self.rng.random()
        if drawn < self.faults.late_share:
            self.background.start_soon(self._carry_out_late, machine, holder, subject, item, payload)
        elif drawn < self.faults.late_share + self.faults.lost_share:
            self.carry_out(machine, holder, subject, item, payload)
        else:
            is_accepted = self.carry_out(machine, holder, subject, item, payload)
            await anyio.sleep(self.faults.answer_s / 2)
            return DutyDone() if is_accepted else DutyFenced()
        await anyio.sleep(CALL_TIMEOUT_S)
        return DutyOpen("no answer")

    async def _carry_out_late(
        self, machine: str, holder: DutyHolder, subject: str, item: int | None, payload: dict[str, int] | int
    ) -> None:
        await anyio.sleep(self.rng.uniform(*LATE_S))
        self.carry_out(machine, holder, subject, item, payload)


class DutyClient(DutyPort):
    """Client of the emulated interface for one machine."""

    def __init__(self, platform: DutyPlatform, machine: str) -> None:
        self._platform = platform
        self._machine = machine

    async def report_usage(self, holder: DutyHolder, window: int, counts: dict[str, int]) -> DutyOutcome:
        """Report usage; all windows are one subject."""
        return await self._platform.receive(self._machine, holder, "usage", window, dict(counts))

    async def set_worker_count(self, holder: DutyHolder, count: WorkerCount) -> DutyOutcome:
        """Order workers; a zone of a service is one subject."""
        subject = f"{count.service}/{count.zone}"
        return await self._platform.receive(self._machine, holder, subject, None, count.num_workers)
