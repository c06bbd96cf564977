"""Batch calls that every node serves: submit a batch, read results and items, end a batch.

Batches are written to and read from the log, so a call does not need to reach the owner of the shard.
"""

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
from worksramp.routing.identity import scoped_id

MAX_PAGE_BYTES = 900_000
REASON_PARTITIONED = "store_not_heard"
#: Long enough for one read of the store at low load, with a margin for a slow one.
CATCH_UP_TIMEOUT_S = 0.05

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Accepted:
    """The batch, or its end record, is in the log."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The call had no effect and will have none.

    Attributes:
        retry_after_seconds: delay after which the caller should retry.
    """

    reason: str
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class Undecided:
    """The call may have taken effect or may still do so; the same call can be retried safely."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoSuchBatch:
    """The log contains no such batch, or the batch contains no such item."""


@dataclass(frozen=True, slots=True)
class NotSure:
    """This node cannot give a reliable answer: its replica may be stale or the store is unavailable."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Consecutive results of a batch.

    Attributes:
        num_items: number of items in the batch.
        start: position of the first result.
    """

    num_items: int
    start: int
    results: tuple[BatchResult, ...]


@dataclass(frozen=True, slots=True)
class ServiceTimes:
    """Time limits of the calls, in seconds.

    Attributes:
        answer: timeout of one operation on the log.
        freshness: maximum age of the replica's last confirmation at which it may report that a result is
            missing.
        partitioned_after_s: age of the replica's last confirmation above which the node counts as
            partitioned and refuses calls immediately.
    """

    answer: float
    freshness: float
    partitioned_after_s: float


async def _skip_catch_up(replica: KeyedReplica) -> None:
    """Read from the replica without catching up."""


@mechanism("refusals_when_cut_off", without=lambda replica, limit_s: False)
def _is_partitioned(replica: KeyedReplica, limit_s: float) -> bool:
    """Refuse calls immediately while the store is unavailable: another node may still reach it."""
    return replica.is_loaded and replica.confirmed_age() > limit_s


@mechanism("reads_catch_up", without=_skip_catch_up)
async def _catch_up(replica: KeyedReplica) -> None:
    """Read results that were listed while the replica paused between polls."""
    await replica.catch_up(CATCH_UP_TIMEOUT_S)


class BatchService:
    """Serves the batch calls of one shard on any node.

    Args:
        values: items and texts of batches.
        partition: partition that holds headers, ends and results.
        ledger: state folded from the partition.
        replica: copy of the partition that updates the ledger.
        times: time limits of the calls.
    """

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

    def id_for(self, tenant: str, name: str) -> str:
        """Return the id under which a tenant's batch is stored.

        A batch that was submitted without a tenant is found by the callers of all tenants.

        Args:
            name: id that the caller chose.
        """
        own_id, shared_id = scoped_id(tenant, name), scoped_id("", name)
        if own_id not in self._ledger.batches and shared_id in self._ledger.batches:
            return shared_id
        return own_id

    def is_shared(self, name: str) -> bool:
        """Return whether a batch of this name is known that was submitted without a tenant."""
        return scoped_id("", name) in self._ledger.batches

    async def submit(
        self, header: BatchHeader, items: Iterable[BatchItem], retry_after_seconds: float
    ) -> Accepted | Refused | Undecided:
        """Store a batch; submitting the same batch again, on any node, has no further effect.

        The call does not need an up-to-date replica, because appending the same records twice changes
        nothing. The items are stored before the header, since the batch exists as soon as its header does.

        Args:
            retry_after_seconds: delay returned with a `Refused` outcome.
        """
        if header.batch_id in self._ledger.batches:
            return Accepted()
        if self.is_partitioned():
            return Refused(REASON_PARTITIONED, retry_after_seconds)
        stored = await self._values.put_items(header, items, self._times.answer)
        if isinstance(stored, NotStored):
            return Refused(stored.reason, retry_after_seconds)
        return await self._append(record_of_header(stored), retry_after_seconds)

    async def end(
        self, batch_id: str, retry_after_seconds: float
    ) -> Accepted | Refused | Undecided | NoSuchBatch:
        """End a batch; ending it again has no further effect.

        Args:
            retry_after_seconds: delay returned with a `Refused` outcome.
        """
        batch = await self._find(batch_id)
        if isinstance(batch, NotSure):
            return Refused(batch.reason, retry_after_seconds)
        if isinstance(batch, NoSuchBatch):
            return batch
        if batch.is_ended:
            return Accepted()
        if self.is_partitioned():
            return Refused(REASON_PARTITIONED, retry_after_seconds)
        return await self._append(record_of_end(batch_id), retry_after_seconds)

    async def read(
        self, batch_id: str, start: int, wait_seconds: float
    ) -> ResultPage | NoSuchBatch | NotSure:
        """Return results from position ``start`` on, waiting for the first one if necessary.

        Args:
            wait_seconds: maximum wait for the first result; the page is empty if none arrives in time.
        """
        batch = await self._find(batch_id)
        if not isinstance(batch, Batch):
            return batch
        if self.is_partitioned():
            return NotSure(REASON_PARTITIONED)
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
        """Return an item of a batch as it was submitted."""
        batch = await self._find(batch_id)
        if not isinstance(batch, Batch):
            return batch
        if item_id not in batch.header.item_ids:
            return NoSuchBatch()
        if self.is_partitioned():
            return NotSure(REASON_PARTITIONED)
        index = batch.header.item_ids.index(item_id)
        try:
            with anyio.fail_after(self._times.answer):
                return (await self._values.items(batch.header, [index]))[index]
        except (ValuesUnavailableError, TimeoutError) as error:
            return NotSure(f"item: {error}")

    def is_partitioned(self) -> bool:
        """Return whether calls are refused immediately because the store is unavailable to this node."""
        return _is_partitioned(self._replica, self._times.partitioned_after_s)

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
        """Append a record, retrying until the outcome is known or the timeout expires."""
        outcome = await append_until_known(
            self._values.store.log, self._partition, (record,), self._times.answer
        )
        if not isinstance(outcome, NotStored):
            return Accepted()
        if outcome.may_be_stored:
            return Undecided(outcome.reason)
        return Refused(outcome.reason, retry_after_seconds)
