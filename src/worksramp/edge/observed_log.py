"""Wrap a shared log to count and time its calls."""

from dataclasses import dataclass

import anyio

from worksramp.coordination.shared_log import (
    AppendOutcome,
    Fence,
    KeyedRecord,
    LogUnavailableError,
    NewestPage,
    Partition,
    RecordsGone,
    RecordsRead,
    SharedLog,
)
from worksramp.edge.metrics import NodeMetrics

UNAVAILABLE = "Unavailable"


@dataclass(slots=True)
class _TimedCall:
    """One call in progress."""

    metrics: NodeMetrics
    name: str
    started_at: float

    def end(self, outcome: object, is_duration_recorded: bool = True) -> None:
        """Record the end of the call.

        Args:
            outcome: result of the call, counted under its class name, or the name itself.
            is_duration_recorded: whether the duration is recorded; those of failed reads and of reads that
                wait for records are not.
        """
        text = outcome if isinstance(outcome, str) else type(outcome).__name__
        self.metrics.log_calls.labels(self.name, text).inc()
        if is_duration_recorded:
            self.metrics.log_call_seconds.labels(self.name).observe(anyio.current_time() - self.started_at)


class ObservedLog(SharedLog):
    """Pass all calls on to another log, and record their outcomes and durations in the node's metrics."""

    def __init__(self, log: SharedLog, metrics: NodeMetrics) -> None:
        super().__init__(log.limits)
        self._log = log
        self._metrics = metrics

    async def append(
        self,
        partition: Partition,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> AppendOutcome:
        """Append all records or none; see `SharedLog.append`."""
        call = self._begin("append")
        outcome = await self._log.append(partition, records, fence, expected_end)
        call.end(outcome)
        return outcome

    async def read(
        self, partition: Partition, start: int, wait_seconds: float, max_bytes: int | None = None
    ) -> RecordsRead | RecordsGone:
        """Read records from an offset on; see `SharedLog.read`."""
        call = self._begin("read")
        try:
            answer = await self._log.read(partition, start, wait_seconds, max_bytes)
        except LogUnavailableError:
            call.end(UNAVAILABLE, is_duration_recorded=False)
            raise
        call.end(answer, is_duration_recorded=not wait_seconds)
        return answer

    async def newest(self, partition: Partition, after: str | None) -> NewestPage:
        """Read one page of the newest record of each key; see `SharedLog.newest`."""
        call = self._begin("newest")
        try:
            page = await self._log.newest(partition, after)
        except LogUnavailableError:
            call.end(UNAVAILABLE, is_duration_recorded=False)
            raise
        call.end(page)
        return page

    def _begin(self, name: str) -> _TimedCall:
        return _TimedCall(self._metrics, name, anyio.current_time())
