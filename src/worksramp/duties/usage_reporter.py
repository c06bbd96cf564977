"""Fixes and sends the usage reports, while this node holds the lease."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import structlog

from worksramp.coordination.keyed_replica import KeyedReplica
from worksramp.coordination.record_guard import RecordGuard
from worksramp.coordination.shared_log import KeyedRecord, Partition, SharedLog
from worksramp.coordination.value_store import append_until_known
from worksramp.duties.port import DutyDone, DutyOutcome
from worksramp.duties.usage import (
    UsageReport,
    UsageReports,
    UsageTally,
    UsageTimes,
    are_counts_whole,
    order_to_send,
    record_of_report,
    windows_to_fix,
)
from worksramp.duties.wall_time import WallTime

TICK_S = 0.2
POLL_S = 1.0
GATHER_S = 0.1
SWEEP_TIMEOUT_S = 1.0
#: Pause after a call that failed, doubled with each further one.
RETRY_PAUSE_S = 0.3
MAX_RETRY_PAUSE_S = 2.0

logger = structlog.get_logger()


@dataclass(slots=True)
class UsageReporter:
    """Reports usage by the decisions of `worksramp.duties.usage`.

    Attributes:
        log: shared log, for the partition of counts.
        partition: partition of all nodes' counts.
        reports: fixed reports, folded from the shard.
        call: makes a call if this node may act, else returns None.
        put: appends records to the shard.
    """

    log: SharedLog
    partition: Partition
    times: UsageTimes
    wall_time: WallTime
    reports: UsageReports
    call: Callable[[UsageReport], Awaitable[DutyOutcome | None]]
    put: Callable[[KeyedRecord], None]
    _tally: UsageTally = field(default_factory=UsageTally)
    _newest_put: int | None = None
    _confirmed: set[int] = field(default_factory=set)
    _retry_at: float = float("-inf")
    _retry_pause_s: float = RETRY_PAUSE_S

    async def run(self) -> None:
        """Fix and send reports until cancelled."""
        first = self.times.window_of(self.wall_time.now_s())
        guard = RecordGuard(self.partition, self._tally.apply)
        replica = KeyedReplica(self.log, self.partition, POLL_S, guard.apply, GATHER_S)
        async with anyio.create_task_group() as group:
            group.start_soon(replica.follow)
            await replica.wait_loaded()
            while True:
                self._fix_due(first, replica.confirmed_age(), replica.store_recovery_age())
                await self._send_next()
                await self._sweep()
                await anyio.sleep(TICK_S)

    def _fix_due(self, first: int, tally_age_s: float, store_recovery_age_s: float) -> None:
        """Put the reports that are due into the shard; they are sent once they are read back."""
        newest = self.reports.newest
        if self._newest_put is not None:
            newest = self._newest_put if newest is None else max(newest, self._newest_put)
        now_s = self.wall_time.now_s()
        for window in windows_to_fix(newest, first, now_s, self.times):
            if not are_counts_whole(window, now_s, tally_age_s, store_recovery_age_s, self.times):
                break
            report = UsageReport(window, self._tally.total(window))
            self.put(record_of_report(report))
            self._newest_put = window
            logger.info(
                "usage_fixed",
                window=window,
                num_tenants=len(report.counts),
                num_requests=sum(report.counts.values()),
                tally_age_s=round(tally_age_s, 3),
                age_s=round(now_s - self.times.ends_at(window), 3),
            )

    async def _send_next(self) -> None:
        """Send the reports that wait, until a call fails."""
        now_s = self.wall_time.now_s()
        waiting = [report for report in self.reports.unconfirmed() if report.window not in self._confirmed]
        if anyio.current_time() < self._retry_at:
            return
        for report in order_to_send(waiting, now_s, self.times):
            outcome = await self.call(report)
            if outcome is None:
                return
            logger.info(
                "usage_reported",
                window=report.window,
                outcome=type(outcome).__name__,
                reason=getattr(outcome, "reason", ""),
                age_s=round(now_s - self.times.ends_at(report.window), 3),
            )
            if not isinstance(outcome, DutyDone):
                self._retry_at = anyio.current_time() + self._retry_pause_s
                self._retry_pause_s = min(2 * self._retry_pause_s, MAX_RETRY_PAUSE_S)
                return
            self._retry_pause_s = RETRY_PAUSE_S
            self._confirm(report)

    def _confirm(self, report: UsageReport) -> None:
        self._confirmed.add(report.window)
        self.put(record_of_report(UsageReport(report.window, report.counts, is_confirmed=True)))
        for key in self.reports.outdated():
            self.put(KeyedRecord(key, b""))

    async def _sweep(self) -> None:
        """Delete the counts of fixed reports; counts that arrived later are in no report."""
        newest = self.reports.newest
        keys = [] if newest is None else self._tally.keys_through(newest)
        if not keys:
            return
        records = tuple(KeyedRecord(key, b"") for key in keys)
        await append_until_known(self.log, self.partition, records, SWEEP_TIMEOUT_S)
