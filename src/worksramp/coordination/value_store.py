"""Store of values that few nodes read, in partitions that no node follows.

Every node reads all bytes of a followed partition, as they are appended and again at each start. Values that
only one or two nodes ever read are stored here instead. A value is written before the record that refers to
it, and read on demand: by offset while the store still keeps that offset, by key afterwards.
"""

import random
import zlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import anyio

from worksramp.coordination.newest_reading import NewestReading
from worksramp.coordination.shared_log import (
    Appended,
    AppendOutcome,
    KeyedRecord,
    LogUnavailableError,
    NothingDone,
    OutcomeOpen,
    Partition,
    RecordsGone,
    SharedLog,
)

RETRY_PAUSE_S = 0.04
MAX_RETRY_PAUSE_S = 0.25
#: Timeout of the first try, doubled for each further one: a lost answer costs only a short wait, and a slow
#: store still gets its time.
FIRST_TRY_S = 0.3
RECORD_OVERHEAD_B = 300
#: Maximum number of sparse reads by offset before reading by key: records of other writers lie in between.
MAX_SPARSE_READS = 4


@dataclass(frozen=True, slots=True)
class ValueLocation:
    """Where a value was written.

    Attributes:
        offset: offset in the partition of the value's group.
        size_b: size of the value in bytes.
    """

    key: str
    offset: int
    size_b: int


@dataclass(frozen=True, slots=True)
class Stored:
    """All records are stored.

    Attributes:
        offsets: offset of each record, in the order given.
    """

    offsets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class NotStored:
    """At least one record is not known to be stored.

    Attributes:
        may_be_stored: whether some call got no answer, so that its records may be stored all the same.
    """

    reason: str
    may_be_stored: bool


class ValuesUnavailableError(Exception):
    """The values cannot be read at present.

    Attributes:
        step: call that failed.
        peer: partition that was read.
        reason: what went wrong.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} of {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


def split_into_calls(records: Iterable[KeyedRecord], max_call_b: int) -> Iterator[tuple[KeyedRecord, ...]]:
    """Yield the records in order, as groups that fit into one call each.

    A group takes at most half of ``max_call_b``, except for a single record that is larger.
    """
    limit_b = max_call_b // 2
    call: list[KeyedRecord] = []
    size_b = 0
    for record in records:
        record_b = len(record.value) + RECORD_OVERHEAD_B
        if call and size_b + record_b > limit_b:
            yield tuple(call)
            call, size_b = [], 0
        call.append(record)
        size_b += record_b
    if call:
        yield tuple(call)


async def append_until_known(
    log: SharedLog, partition: Partition, records: tuple[KeyedRecord, ...], timeout_s: float
) -> Appended | NotStored:
    """Append records that may be stored twice, repeating until the outcome is known or time is up.

    Returns:
        Where the records are stored, or `NotStored` when time is up.
    """
    deadline = anyio.current_time() + timeout_s
    pause_s = RETRY_PAUSE_S
    try_s = FIRST_TRY_S
    may_be_stored = False
    while True:
        outcome: AppendOutcome = OutcomeOpen(f"no answer within {try_s} s")
        with anyio.move_on_after(try_s):
            outcome = await log.append(partition, records)
        try_s *= 2
        if isinstance(outcome, Appended):
            return outcome
        may_be_stored = may_be_stored or isinstance(outcome, OutcomeOpen)
        reason = outcome.reason if isinstance(outcome, (NothingDone, OutcomeOpen)) else str(outcome)
        if anyio.current_time() + pause_s >= deadline:
            return NotStored(reason, may_be_stored)
        await anyio.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)


class ValueStore:
    """Groups of values, each group in one of the partitions.

    Args:
        partitions: must be the same on all nodes, since a hash of the group's name selects one of them.
    """

    def __init__(self, log: SharedLog, partitions: Sequence[Partition]) -> None:
        self.log = log
        self._partitions = tuple(partitions)

    def partition_of(self, group: str) -> Partition:
        """Return the partition that holds a group."""
        return self._partitions[zlib.crc32(group.encode()) % len(self._partitions)]

    async def put(self, group: str, records: Iterable[KeyedRecord], timeout_s: float) -> Stored | NotStored:
        """Write records that may be stored twice without harm.

        Args:
            timeout_s: time for each call to the log, including its repetitions.
        """
        partition = self.partition_of(group)
        offsets: list[int] = []
        for call in split_into_calls(records, self.log.limits.max_call_bytes):
            outcome = await append_until_known(self.log, partition, call, timeout_s)
            if isinstance(outcome, NotStored):
                return outcome
            offsets += range(outcome.offset, outcome.offset + len(call))
        return Stored(tuple(offsets))

    async def fetch(self, group: str, locations: Sequence[ValueLocation]) -> dict[str, bytes]:
        """Read values that are known to have been written.

        Returns:
            The value of each key.

        Raises:
            ValuesUnavailableError: not all of them can be read at present.
        """
        partition = self.partition_of(group)
        missing = {location.key: location for location in locations}
        try:
            found = await self._fetch_by_offset(partition, missing)
            if missing:
                found |= await self._fetch_by_key(partition, missing)
        except LogUnavailableError as error:
            raise ValuesUnavailableError(error.step, str(partition), error.reason) from error
        if missing:
            raise ValuesUnavailableError("newest", str(partition), f"no {min(missing)}")
        return found

    async def _fetch_by_offset(
        self, partition: Partition, missing: dict[str, ValueLocation]
    ) -> dict[str, bytes]:
        found: dict[str, bytes] = {}
        start = num_sparse = 0
        while missing and num_sparse < MAX_SPARSE_READS:
            start = max(start, min(location.offset for location in missing.values()))
            size_b = sum(location.size_b + RECORD_OVERHEAD_B for location in missing.values())
            answer = await self.log.read(partition, start, 0.0, max_bytes=size_b)
            if isinstance(answer, RecordsGone) or not answer.records:
                break
            num_found = len(found)
            for record in answer.records:
                if missing.pop(record.key, None) is not None:
                    found[record.key] = record.value
            num_sparse += 2 * (len(found) - num_found) < len(answer.records)
            start = answer.records[-1].offset + 1
        return found

    async def _fetch_by_key(
        self, partition: Partition, missing: dict[str, ValueLocation]
    ) -> dict[str, bytes]:
        """Read the missing values by key, page by page; stop at one that the store does not have."""
        found: dict[str, bytes] = {}
        for key in sorted(missing):
            after: str | None = _key_before(key)
            while key in missing and after is not None and after < key:
                page = await self.log.newest(partition, after)
                for record in page.records:
                    if missing.pop(record.key, None) is not None:
                        found[record.key] = record.value
                after = page.next_after
            if key in missing:
                break
        return found

    def read_newest(self, group: str) -> NewestReading:
        """Return a reading, not yet begun, of the newest value of each key in a group's partition."""
        return NewestReading(self.log, self.partition_of(group))


def _key_before(key: str) -> str:
    """Return a text that sorts before a key, with few other keys in between; pages start after a key."""
    return key[:-1] + chr(ord(key[-1]) - 1)
