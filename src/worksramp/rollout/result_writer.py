"""Writes the texts of results, then lists them: a listed text can always be read.

One queue for each partition of values, so that the results of a batch are listed in the order of their
positions, and a partition that does not answer holds up only its own batches.
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

MAX_RESULTS_A_WRITE = 64
WRITE_TIMEOUT_S = 2.0

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Pending:
    batch_id: str
    position: int
    result: BatchResult
    records: tuple[KeyedRecord, ...]

    def listed(self, epoch: int, offsets: tuple[int, ...]) -> KeyedRecord:
        """Return the record that lists it."""
        result = self.result
        sizes_b = tuple(len(record.value) for record in self.records)
        record = ResultRecord(
            result.item_id, result.is_completed, result.versions, epoch, offsets, sizes_b, result.score
        )
        return record_of_result(self.batch_id, self.position, record)


@dataclass(slots=True)
class _Queue:
    pending: deque[_Pending] = field(default_factory=deque)
    wanted: anyio.Event = field(default_factory=anyio.Event)


class ResultWriter:
    """Queue of an owner's results.

    Args:
        max_record_b: most that one record may hold.
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
        """Results whose texts are not known to be in."""
        return sum(len(queue.pending) for queue in self._queues.values())

    async def run(self) -> None:
        """Write until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for queue in self._queues.values():
                group.start_soon(self._write_forever, queue)
            await anyio.sleep_forever()

    def put(self, batch_id: str, position: int, result: BatchResult) -> None:
        """Queue a result."""
        epoch = self._writer.owner.epoch
        records = records_of_text(batch_id, position, epoch, result.text, self._max_record_b)
        partition = self._values.partition_of(batch_id)
        queue = self._queues.get(partition)
        if queue is None:
            queue = self._queues[partition] = _Queue()
            if self._group is not None:
                self._group.start_soon(self._write_forever, queue)
        queue.pending.append(_Pending(batch_id, position, result, tuple(records)))
        queue.wanted.set()

    async def wait_drained(self) -> None:
        """Return once all that was queued is handed to the writer of the owner's partition."""
        while self.num_waiting:
            await self._drained.wait()

    async def _write_forever(self, queue: _Queue) -> None:
        while True:
            await queue.wanted.wait()
            queue.wanted = anyio.Event()
            while queue.pending:
                await self._write_some(queue)
            self._drained.set()
            self._drained = anyio.Event()

    async def _write_some(self, queue: _Queue) -> None:
        chosen = list(queue.pending)[:MAX_RESULTS_A_WRITE]
        records = [record for pending in chosen for record in pending.records]
        offsets: tuple[int, ...] = ()
        if records:
            # All batches of a queue share its partition.
            outcome = await self._values.put(chosen[0].batch_id, records, WRITE_TIMEOUT_S)
            if isinstance(outcome, NotStored):
                logger.warning("texts_not_written", num_results=len(chosen), reason=outcome.reason)
                return
            offsets = outcome.offsets
        first = 0
        for pending in chosen:
            last = first + len(pending.records)
            self._writer.put(pending.listed(self._writer.owner.epoch, offsets[first:last]))
            first = last
            queue.pending.popleft()
