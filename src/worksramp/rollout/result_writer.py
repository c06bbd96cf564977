"""Stores the texts of results and then lists the results, so that every listed text can be read.

Each value partition has a queue of its own. Results of a batch are therefore listed in the order of their
positions, and a partition that does not respond delays only its own batches.
"""

from collections import deque
from dataclasses import dataclass, field

import anyio
import anyio.abc
import structlog

from worksramp.coordination.fenced_writer import FencedWriter
from worksramp.coordination.shared_log import KeyedRecord, Partition
from worksramp.coordination.value_store import NotStored, ValueStore
from worksramp.rollout.batch_values import records_of_text
from worksramp.rollout.batches import BatchResult, ResultRecord, record_of_result

MAX_RESULTS_PER_WRITE = 64
WRITE_TIMEOUT_S = 2.0

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Pending:
    """Result whose text is not stored yet."""

    batch_id: str
    position: int
    result: BatchResult
    records: tuple[KeyedRecord, ...]

    def listing_record(self, epoch: int, offsets: tuple[int, ...]) -> KeyedRecord:
        """Return the record that lists the result.

        Args:
            epoch: epoch of the owner that wrote the text.
            offsets: log offsets of the stored parts of the text.
        """
        result = self.result
        sizes_b = tuple(len(record.value) for record in self.records)
        record = ResultRecord(
            result.item_id, result.is_completed, result.versions, epoch, offsets, sizes_b, result.score
        )
        return record_of_result(self.batch_id, self.position, record)


@dataclass(slots=True)
class _Queue:
    """Pending results of one value partition."""

    pending: deque[_Pending] = field(default_factory=deque)
    not_empty: anyio.Event = field(default_factory=anyio.Event)


class ResultWriter:
    """Queues the results of an owner and writes them in the background.

    Args:
        values: store of the texts.
        writer: fenced writer of the owner's partition, which lists the results.
        max_record_b: maximum size of one record in bytes.
    """

    def __init__(self, values: ValueStore, writer: FencedWriter, max_record_b: int) -> None:
        self._values = values
        self._writer = writer
        self._max_record_b = max_record_b
        self._queues: dict[Partition, _Queue] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._drained = anyio.Event()

    @property
    def num_waiting(self) -> int:
        """Number of results whose texts are not confirmed as stored."""
        return sum(len(queue.pending) for queue in self._queues.values())

    async def run(self) -> None:
        """Write queued results until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for queue in self._queues.values():
                group.start_soon(self._write_queue, queue)
            await anyio.sleep_forever()

    def put(self, batch_id: str, position: int, result: BatchResult) -> None:
        """Queue a result for writing."""
        epoch = self._writer.owner.epoch
        records = records_of_text(batch_id, position, epoch, result.text, self._max_record_b)
        partition = self._values.partition_of(batch_id)
        queue = self._queues.get(partition)
        if queue is None:
            queue = self._queues[partition] = _Queue()
            if self._group is not None:
                self._group.start_soon(self._write_queue, queue)
        queue.pending.append(_Pending(batch_id, position, result, tuple(records)))
        queue.not_empty.set()

    async def wait_drained(self) -> None:
        """Wait until all queued results have been passed to the writer of the owner's partition."""
        while self.num_waiting:
            await self._drained.wait()

    async def _write_queue(self, queue: _Queue) -> None:
        while True:
            await queue.not_empty.wait()
            queue.not_empty = anyio.Event()
            while queue.pending:
                await self._write_next(queue)
            self._drained.set()
            self._drained = anyio.Event()

    async def _write_next(self, queue: _Queue) -> None:
        chosen = list(queue.pending)[:MAX_RESULTS_PER_WRITE]
        records = [record for pending in chosen for record in pending.records]
        offsets: tuple[int, ...] = ()
        if records:
            # All batches of a queue share its partition, so the first batch id selects it for all.
            outcome = await self._values.put(chosen[0].batch_id, records, WRITE_TIMEOUT_S)
            if isinstance(outcome, NotStored):
                logger.warning("texts_not_written", num_results=len(chosen), reason=outcome.reason)
                return
            offsets = outcome.offsets
        first = 0
        for pending in chosen:
            last = first + len(pending.records)
            self._writer.put(pending.listing_record(self._writer.owner.epoch, offsets[first:last]))
            first = last
            queue.pending.popleft()
