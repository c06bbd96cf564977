"""What any node does for callers of batches: accept, read, hand out bodies, end."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import anyio
import structlog

from worksramp.coordination.keyed_replica import KeyedReplica, NotCurrentError
from worksramp.coordination.shared_log import (
    Appended,
    KeyedRecord,
    NothingDone,
    OutcomeOpen,
    Partition,
    SharedLog,
)
from worksramp.rollout.batches import (
    Batch,
    BatchHeader,
    BatchItem,
    BatchLedger,
    BatchResult,
    record_of_end,
    records_of_batch,
)

RETRY_PAUSE_SECONDS = 0.04
MAX_RETRY_PAUSE_SECONDS = 0.25
MAX_PAGE_BYTES = 900_000
RECORD_OVERHEAD_BYTES = 300

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Accepted:
    """The batch, or its end, is in the log."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was done, nor will be.

    Attributes:
        retry_after_seconds: when to come back.
    """

    reason: str
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class Undecided:
    """It may be done, or may yet be; the same call may be sent again."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoSuchBatch:
    """The log holds no such batch, or no such item."""


@dataclass(frozen=True, slots=True)
class NotSure:
    """This node cannot show that what it knows is current."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Results from a position on."""

    num_items: int
    start: int
    results: tuple[BatchResult, ...]


@dataclass(frozen=True, slots=True)
class ServiceTimes:
    """Seconds that bound the calls.

    Attributes:
        answer: longest time in which the log must answer.
        freshness: how recently a copy must have been confirmed before it says that something is not there.
    """

    answer: float
    freshness: float


class BatchService:
    """Calls about the batches of one shard, on any node."""

    def __init__(
        self,
        log: SharedLog,
        partition: Partition,
        ledger: BatchLedger,
        replica: KeyedReplica,
        times: ServiceTimes,
    ) -> None:
        self._log = log
        self._partition = partition
        self._ledger = ledger
        self._replica = replica
        self._times = times

    async def submit(
        self, header: BatchHeader, items: Iterable[BatchItem], retry_after_seconds: float
    ) -> Accepted | Refused | Undecided:
        """Accept a batch; taken once however often and wherever it is sent.

        Needs no copy of the log: the same records again change nothing.
        """
        if header.batch_id in self._ledger.batches:
            return Accepted()
        records = records_of_batch(header, items)
        calls = list(self._split(records))
        for call in calls:
            outcome = await self._append(call, retry_after_seconds)
            if isinstance(outcome, Undecided) and call is not calls[-1]:
                # Without its header the batch does not exist.
                return Refused(outcome.reason, retry_after_seconds)
            if not isinstance(outcome, Accepted):
                return outcome
        return Accepted()

    async def end(
        self, batch_id: str, retry_after_seconds: float
    ) -> Accepted | Refused | Undecided | NoSuchBatch:
        """End a batch."""
        batch = await self._find(batch_id)
        if isinstance(batch, NotSure):
            return Refused(batch.reason, retry_after_seconds)
        if isinstance(batch, NoSuchBatch):
            return batch
        if batch.is_ended:
            return Accepted()
        return await self._append((record_of_end(batch_id),), retry_after_seconds)

    async def read(
        self, batch_id: str, start: int, wait_seconds: float
    ) -> ResultPage | NoSuchBatch | NotSure:
        """Return results from a position on, waiting for the first if there is none yet."""
        batch = await self._find(batch_id)
        if not isinstance(batch, Batch):
            return batch
        num_items = len(batch.header.item_ids)
        if start not in batch.result_values and start < num_items:
            with anyio.move_on_after(wait_seconds):
                while start not in batch.result_values:
                    await self._replica.wait_changed()
            if start not in batch.result_values and not await self._is_current():
                return NotSure("copy_not_fresh")
        return ResultPage(num_items, start, tuple(batch.results(start, MAX_PAGE_BYTES)))

    async def item(self, batch_id: str, item_id: str) -> BatchItem | NoSuchBatch | NotSure:
        """Return an item of a batch."""
        batch = await self._find(batch_id)
        if not isinstance(batch, Batch):
            return batch
        return self._ledger.item_by_id(batch_id, item_id) or NoSuchBatch()

    async def _find(self, batch_id: str) -> Batch | NoSuchBatch | NotSure:
        batch = self._ledger.batches.get(batch_id)
        if batch is not None:
            return batch
        try:
            await self._replica.barrier(self._times.answer)
        except NotCurrentError as error:
            return NotSure(str(error))
        return self._ledger.batches.get(batch_id) or NoSuchBatch()

    async def _is_current(self) -> bool:
        if self._replica.confirmed_age() <= self._times.freshness:
            return True
        try:
            await self._replica.barrier(self._times.answer)
        except NotCurrentError:
            return False
        return True

    async def _append(
        self, records: tuple[KeyedRecord, ...], retry_after_seconds: float
    ) -> Accepted | Refused | Undecided:
        """Append until the outcome is known or the time is over."""
        deadline = anyio.current_time() + self._times.answer
        pause = RETRY_PAUSE_SECONDS
        may_be_in = False
        while True:
            outcome = await self._log.append(self._partition, records)
            if isinstance(outcome, Appended):
                return Accepted()
            may_be_in = may_be_in or isinstance(outcome, OutcomeOpen)
            reason = outcome.reason if isinstance(outcome, (NothingDone, OutcomeOpen)) else str(outcome)
            if anyio.current_time() + pause >= deadline:
                break
            await anyio.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(2 * pause, MAX_RETRY_PAUSE_SECONDS)
        if may_be_in:
            return Undecided(reason)
        return Refused(reason, retry_after_seconds)

    def _split(self, records: list[KeyedRecord]) -> Iterable[tuple[KeyedRecord, ...]]:
        """Yield calls small enough for the log, in order."""
        room = self._log.limits.max_call_bytes // 2
        call: list[KeyedRecord] = []
        size = 0
        for record in records:
            record_size = len(record.value) + RECORD_OVERHEAD_BYTES
            if call and size + record_size > room:
                yield tuple(call)
                call, size = [], 0
            call.append(record)
            size += record_size
        yield tuple(call)
