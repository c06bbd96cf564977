"""Carries out this node's duties while it holds the shard's lease.

The lease of the shard of batches serves the duties too: its epoch is the fence of every call, and what must
outlast a holder stands in the shard's partition.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import structlog

from worksramp.coordination.fenced_writer import FencedWriter
from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import Partition, SharedLog
from worksramp.duties.port import DutyFenced, DutyHolder, DutyOutcome, DutyPort, WorkerCount
from worksramp.duties.scaler import Scaler
from worksramp.duties.scaling import ZoneBaselines
from worksramp.duties.turn_guard import TurnGuard
from worksramp.duties.usage import UsageReport, UsageReports, UsageTimes
from worksramp.duties.usage_reporter import UsageReporter
from worksramp.duties.wall_time import WallTime
from worksramp.rollout.owner_context import TableSource
from worksramp.routing.workers import WorkerDirectory

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class DutyContext:
    """Dependencies and settings of the duties of one node.

    Attributes:
        port: makes the calls.
        log: shared log.
        counts: partition of all nodes' usage counts.
        usage_times: times of usage reports, None if usage is not reported.
        has_scaling: whether the numbers of workers are the system's to set.
        renewal_valid_s: a call is made only while the last renewal of the lease is younger than this.
        workers_age_s: returns the age of the last confirmation of the workers' entries.
        store_recovery_age_s: returns the seconds since the store was available again.
        on_call: called with the name of the duty and of the outcome of each call.
    """

    port: DutyPort
    log: SharedLog
    counts: Partition
    node: str
    usage_times: UsageTimes | None
    has_scaling: bool
    renewal_valid_s: float
    wall_time: WallTime
    guard: TurnGuard
    directory: WorkerDirectory
    table: TableSource
    workers_age_s: Callable[[], float]
    store_recovery_age_s: Callable[[], float]
    on_call: Callable[[str, str], None]


@dataclass(slots=True)
class Duties:
    """Duties of one node over all its tenures.

    Attributes:
        reports: usage reports, as the shard's partition has them.
        baselines: first numbers of workers, as the shard's partition has them.
    """

    context: DutyContext
    reports: UsageReports = field(default_factory=UsageReports)
    baselines: ZoneBaselines = field(default_factory=ZoneBaselines)

    def apply(self, change: Change) -> bool:
        """Apply a change of the shard's partition and return whether it concerned a duty."""
        return self.reports.apply(change) or self.baselines.apply(change)

    async def run(self, writer: FencedWriter) -> None:
        """Carry out the duties under a lease that was just won, until cancelled."""
        context = self.context
        context.guard.begin_tenure()
        tenure = _Tenure(context, writer)
        async with anyio.create_task_group() as group:
            if context.usage_times is not None:
                group.start_soon(self._reporter(tenure, context.usage_times).run)
            if context.has_scaling:
                group.start_soon(self._scaler(tenure).run)

    def _reporter(self, tenure: "_Tenure", times: UsageTimes) -> UsageReporter:
        context = self.context
        return UsageReporter(
            log=context.log,
            partition=context.counts,
            times=times,
            wall_time=context.wall_time,
            reports=self.reports,
            call=tenure.report_usage,
            put=tenure.writer.put,
        )

    def _scaler(self, tenure: "_Tenure") -> Scaler:
        context = self.context
        return Scaler(
            directory=context.directory,
            table=context.table,
            baselines=self.baselines,
            call=tenure.set_worker_count,
            view_age_s=context.workers_age_s,
            store_recovery_age_s=context.store_recovery_age_s,
            put=tenure.writer.put,
        )


class _Tenure:
    """Calls under one lease.

    Args:
        writer: the lease's writer, which knows the age of its renewal.
    """

    def __init__(self, context: DutyContext, writer: FencedWriter) -> None:
        self._context = context
        self.writer = writer
        self._holder = DutyHolder(context.node, writer.owner.epoch)
        self._is_fenced = False

    async def report_usage(self, report: UsageReport) -> DutyOutcome | None:
        """Send a usage report, or return None if this node may not act now."""
        port = self._context.port
        return await self._call(
            "usage", lambda: port.report_usage(self._holder, report.window, report.counts)
        )

    async def set_worker_count(self, count: WorkerCount) -> DutyOutcome | None:
        """Order workers, or return None if this node may not act now."""
        port = self._context.port
        return await self._call("scaling", lambda: port.set_worker_count(self._holder, count))

    async def _call(self, duty: str, send: Callable[[], Awaitable[DutyOutcome]]) -> DutyOutcome | None:
        if not self._may_act():
            return None
        self._context.guard.record_action()
        outcome = await send()
        self._context.on_call(duty, type(outcome).__name__)
        if isinstance(outcome, DutyFenced):
            self._is_fenced = True
            logger.warning("duty_fenced", duty=duty, fence=self._holder.fence)
        return outcome

    def _may_act(self) -> bool:
        is_renewed = self.writer.renewal_age_s() <= self._context.renewal_valid_s
        return (
            is_renewed
            and not self._is_fenced
            and not self.writer.owner.is_released
            and self._context.guard.may_act()
        )
