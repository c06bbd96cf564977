"""Emulated store with keyed partitions, conditional appends and fences, and with injected faults.

It keeps all records in memory and takes the time from anyio, so that it also runs on the virtual clock of the
simulations.
"""

import random
from dataclasses import dataclass, field

import anyio
import anyio.abc

from worksramp.coordination.shared_log import (
    AppendOutcome,
    Fence,
    KeyedRecord,
    LogUnavailableError,
    NewestPage,
    NothingDone,
    OutcomeOpen,
    Partition,
    RecordsGone,
    RecordsRead,
    SharedLog,
    StoredRecord,
)
from worksramp_emulator.log_partition import LogPartition

PAGE_SIZE = 50
#: Maximum size of what one call returns, unless its first record is larger.
ANSWER_SIZE_B = 1024 * 1024
CALL_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True)
class LogFaults:
    """Faults that the store injects now.

    Attributes:
        is_down: whether every call fails, by a timeout if ``is_silent``, and with a refusal otherwise.
        is_silent: whether calls to a store that is down time out.
        lost_answers: share of appends that are applied but not answered.
        lost_topics: topics whose answers can be lost, or None for all.
        late_appends: share of appends that are not answered and are applied later.
        late_seconds: shortest and longest delay of a late append.
        partitioned_nodes: names of nodes that cannot reach the store.
        answer_seconds: time from a call to its answer.
    """

    is_down: bool = False
    is_silent: bool = False
    lost_answers: float = 0.0
    lost_topics: frozenset[str] | None = None
    late_appends: float = 0.0
    late_seconds: tuple[float, float] = (1.0, 6.0)
    partitioned_nodes: set[str] = field(default_factory=set)
    answer_seconds: float = 0.004


@dataclass(slots=True)
class _PartitionState(LogPartition):
    changed: anyio.Event = field(default_factory=anyio.Event)


class LogStore:
    """The store that the clients of all nodes share."""

    def __init__(self, rng: random.Random, background: anyio.abc.TaskGroup) -> None:
        self.faults = LogFaults()
        self.num_calls = 0
        self._rng = rng
        self._background = background
        self._partitions: dict[Partition, _PartitionState] = {}

    def state(self, partition: Partition) -> _PartitionState:
        """Return the state of a partition, which is created on its first use."""
        return self._partitions.setdefault(partition, _PartitionState())

    def apply_retention(self, partition: Partition) -> None:
        """Discard all records that are not the newest of their key, as retention does.

        Reads from the offsets of the present records return `RecordsGone` from then on.
        """
        state = self.state(partition)
        state.first_kept = len(state.records)

    def newest_value(self, partition: Partition, key: str) -> bytes | None:
        """Return the newest value of a key, or None if it has none, for checkers."""
        record = self.state(partition).newest.get(key)
        return None if record is None else record.value

    def newest_keys(self, partition: Partition) -> list[str]:
        """Return the keys that have a value, for checkers."""
        return sorted(self.state(partition).newest)

    def all_records(self, partition: Partition) -> list[StoredRecord]:
        """Return all records ever appended, for checkers."""
        return list(self.state(partition).records)

    def do_append(
        self,
        partition: Partition,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None,
        expected_end: int | None,
    ) -> AppendOutcome:
        """Apply an append at once, without the delay and the faults of a call."""
        state = self.state(partition)
        num_before = len(state.records)
        outcome = state.append(records, fence, expected_end)
        if len(state.records) > num_before:
            state.changed.set()
            state.changed = anyio.Event()
        return outcome

    async def traverse_link(self, node: str, step: str) -> None:
        """Wait for one direction of a call between a node and the store.

        Raises:
            LogUnavailableError: the store is unavailable to this node.
        """
        self.num_calls += 1
        if node in self.faults.partitioned_nodes or (self.faults.is_down and self.faults.is_silent):
            await anyio.sleep(CALL_TIMEOUT_SECONDS)
            raise LogUnavailableError(step, "store", "no answer")
        await anyio.sleep(self.faults.answer_seconds / 2)
        if self.faults.is_down:
            raise LogUnavailableError(step, "store", "down")

    def draw(self, share: float) -> bool:
        """Return whether a fault that occurs in a ``share`` of the calls occurs in this one."""
        return share > 0 and self._rng.random() < share

    def append_later(
        self,
        partition: Partition,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None,
        expected_end: int | None,
    ) -> None:
        """Apply an append after a delay, if its condition holds then."""
        delay = self._rng.uniform(*self.faults.late_seconds)

        async def run() -> None:
            await anyio.sleep(delay)
            self.do_append(partition, records, fence, expected_end)

        self._background.start_soon(run)


class LogClient(SharedLog):
    """Client of the store for one node."""

    def __init__(self, store: LogStore, node: str) -> None:
        super().__init__()
        self._store = store
        self._node = node

    async def append(
        self,
        partition: Partition,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> AppendOutcome:
        """Append all records or none; see `SharedLog.append`."""
        store = self._store
        is_silent = self._node in store.faults.partitioned_nodes or store.faults.is_silent
        try:
            await store.traverse_link(self._node, "append")
        except LogUnavailableError as error:
            return OutcomeOpen(str(error)) if is_silent else NothingDone(str(error))
        if store.draw(store.faults.late_appends):
            store.append_later(partition, records, fence, expected_end)
            await anyio.sleep(CALL_TIMEOUT_SECONDS)
            return OutcomeOpen("late")
        outcome = store.do_append(partition, records, fence, expected_end)
        may_be_lost = store.faults.lost_topics is None or partition.topic in store.faults.lost_topics
        if may_be_lost and store.draw(store.faults.lost_answers):
            await anyio.sleep(CALL_TIMEOUT_SECONDS)
            return OutcomeOpen("answer lost")
        try:
            await store.traverse_link(self._node, "append")
        except LogUnavailableError as error:
            return OutcomeOpen(str(error))
        return outcome

    async def read(
        self, partition: Partition, start: int, wait_seconds: float, max_bytes: int | None = None
    ) -> RecordsRead | RecordsGone:
        """Read records from an offset on; see `SharedLog.read`.

        Raises:
            LogUnavailableError: the store is unavailable to this node.
        """
        await self._store.traverse_link(self._node, "read")
        state = self._store.state(partition)
        if start >= len(state.records):
            with anyio.move_on_after(wait_seconds):
                while start >= len(state.records):
                    await state.changed.wait()
        await self._store.traverse_link(self._node, "read")
        if start < state.first_kept:
            return RecordsGone(state.first_kept)
        return RecordsRead(_limit_size(state.records[start:], max_bytes), len(state.records))

    async def newest(self, partition: Partition, after: str | None) -> NewestPage:
        """Read a page of the newest records by key; see `SharedLog.newest`.

        Raises:
            LogUnavailableError: the store is unavailable to this node.
        """
        await self._store.traverse_link(self._node, "newest")
        state = self._store.state(partition)
        keys = sorted(key for key in state.newest if after is None or key > after)
        page = _limit_size([state.newest[key] for key in keys[:PAGE_SIZE]], None)
        has_more = len(keys) > len(page)
        await self._store.traverse_link(self._node, "newest")
        return NewestPage(page, page[-1].key if has_more else None, len(state.records))


def _limit_size(records: list[StoredRecord], max_bytes: int | None) -> tuple[StoredRecord, ...]:
    """Return the first records that fit into ``max_bytes`` and one answer, but at least one."""
    limit_b = ANSWER_SIZE_B if max_bytes is None else min(max_bytes, ANSWER_SIZE_B)
    num_bytes = 0
    for count, record in enumerate(records):
        num_bytes += len(record.key) + len(record.value)
        if count and num_bytes > limit_b:
            return tuple(records[:count])
    return tuple(records)
