"""What any node does for callers of batches: accept, read, hand out bodies, end."""

from collections.abc import Iterable
from dataclasses import dataclass

import anyio
import structlog

from worksramp.coordination.keyed_replica import KeyedReplica, NotCurrentError
from worksramp.coordination.shared_log import KeyedRecord, Partition
from worksramp.coordination.value_store import NotStored, ValuesUnavailableError, append_until_known
from worksramp.mechanisms import mechanism
from worksramp.rollout.batch_values import BatchValues
from worksramp.rollout.batches import (
    Batch,
    BatchHeader,
    BatchItem,
    BatchLedger,
    BatchResult,
    record_of_end,
    record_of_header,
)

MAX_PAGE_BYTES = 900_000
CUT_OFF = "store_not_heard"
#: One read of the store in calm, with room for a slow one.
CATCH_UP_S = 0.05

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
        cut_off: a node that has not heard of the store for this long refuses at once.
    """

    answer: float
    freshness: float
    cut_off: float


async def _stay_behind(replica: KeyedReplica) -> None:
    """Read from the copy as it is."""


@mechanism("refusals_when_cut_off", without=lambda replica, limit_s: False)
def _is_cut_off(replica: KeyedReplica, limit_s: float) -> bool:
    """Refuse at once while the store has not been heard of: another node may reach it."""
    return replica.is_loaded and replica.confirmed_age() > limit_s


@mechanism("reads_catch_up", without=_stay_behind)
async def _catch_up(replica: KeyedReplica) -> None:
    """Have readers of results see what was listed during a pause of the copy."""
    await replica.catch_up(CATCH_UP_S)


class BatchService:
    """Calls about the batches of one shard, on any node."""

    def __init__(
        self,
        values: BatchValues,
        partition: Partition,
        ledger: BatchLedger,
        replica: KeyedReplica,
        times: ServiceTimes,
    ) -> None:
        self._values = values
        self._partition = partition
        self._ledger = ledger
        self._replica = replica
        self._times = times

    async def submit(
        self, header: BatchHeader, items: Iterable[BatchItem], retry_after_seconds: float
    ) -> Accepted | Refused | Undecided:
        """Accept a batch; taken once however often and wherever it is sent.

        Needs no copy of the log: the same records again change nothing. The items are written first; without
        its header the batch does not exist.
        """
        if header.batch_id in self._ledger.batches:
            return Accepted()
        if self.is_cut_off():
            return Refused(CUT_OFF, retry_after_seconds)
        placed = await self._values.put_items(header, items, self._times.answer)
        if isinstance(placed, NotStored):
            return Refused(placed.reason, retry_after_seconds)
        return await self._append(record_of_header(placed), retry_after_seconds)

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
        if self.is_cut_off():
            return Refused(CUT_OFF, retry_after_seconds)
        return await self._append(record_of_end(batch_id), retry_after_seconds)

    async def read(
        self, batch_id: str, start: int, wait_seconds: float
    ) -> ResultPage | NoSuchBatch | NotSure:
        """Return results from a position on, waiting for the first if there is none yet."""
        batch = await self._find(batch_id)
        if not isinstance(batch, Batch):
            return batch
        if self.is_cut_off():
            return NotSure(CUT_OFF)
        num_items = len(batch.header.item_ids)
        await _catch_up(self._replica)
        if start not in batch.results and start < num_items:
            with anyio.move_on_after(wait_seconds):
                while start not in batch.results:
                    await self._replica.wait_changed()
            if start not in batch.results and not await self._is_current():
                return NotSure("copy_not_fresh")
        try:
            with anyio.fail_after(self._times.answer):
                results = await self._values.results(batch, batch.positions_from(start, MAX_PAGE_BYTES))
        except (ValuesUnavailableError, TimeoutError) as error:
            return NotSure(f"texts: {error}")
        return ResultPage(num_items, start, tuple(results))

    async def item(self, batch_id: str, item_id: str) -> BatchItem | NoSuchBatch | NotSure:
        """Return an item of a batch."""
        batch = await self._find(batch_id)
        if not isinstance(batch, Batch):
            return batch
        if item_id not in batch.header.item_ids:
            return NoSuchBatch()
        if self.is_cut_off():
            return NotSure(CUT_OFF)
        index = batch.header.item_ids.index(item_id)
        try:
            with anyio.fail_after(self._times.answer):
                return (await self._values.items(batch.header, [index]))[index]
        except (ValuesUnavailableError, TimeoutError) as error:
            return NotSure(f"item: {error}")

    def is_cut_off(self) -> bool:
        """Return whether calls are refused at once, as the store has not been heard of."""
        return _is_cut_off(self._replica, self._times.cut_off)

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
        self, record: KeyedRecord, retry_after_seconds: float
    ) -> Accepted | Refused | Undecided:
        """Append until the outcome is known or the time is over."""
        outcome = await append_until_known(
            self._values.store.log, self._partition, (record,), self._times.answer
        )
        if not isinstance(outcome, NotStored):
            return Accepted()
        if outcome.may_be_stored:
            return Undecided(outcome.reason)
        return Refused(outcome.reason, retry_after_seconds)
