"""A node's copy of one keyed partition, kept current by long polls.

The copy is loaded from the newest records by key and follows the log from there. If the store no longer keeps
the offset that the copy has reached, the copy is loaded again. It never moves back: loading rejects an answer
that ends before that offset.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.lowlevel
import structlog

from worksramp.coordination.elapsed import ElapsedClock, monotonic_s
from worksramp.coordination.newest_reading import NewestReading
from worksramp.coordination.shared_log import (
    LogUnavailableError,
    Partition,
    RecordsGone,
    SharedLog,
    StoredRecord,
)

PAUSE_AFTER_ERROR_SECONDS = 0.05
#: Also how late a node learns at most that the store is available again.
MAX_PAUSE_AFTER_ERROR_SECONDS = 0.3
MAX_PAUSE_WHEN_THROTTLED_SECONDS = 0.4
BARRIER_WAIT_SECONDS = 0.0
#: Pause after an answer with records while a caller waits for a change, instead of the longer usual one.
SHORT_GATHER_S = 0.02

#: Records that are applied before other tasks run. An answer of 1 MB may hold tens of thousands.
RECORDS_PER_TURN = 128

#: With many nodes, their reads together may exceed what the store allows. Each refused read lengthens the
#: pauses after answers with records by this factor, up to the maximum, and each answer shortens them again.
THROTTLED_FACTOR = 1.5
MAX_PAUSE_FACTOR = 3.0
RECOVERY_FACTOR = 0.98

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Change:
    """A key got a new value or was removed.

    Attributes:
        value: None if the key was removed.
    """

    key: str
    value: bytes | None
    offset: int


class NotCurrentError(Exception):
    """The copy could not be confirmed as current in time."""


ChangeHandler = Callable[[Change], None]


class KeyedReplica:
    """Copy of the newest value of each key of a partition.

    The values themselves are kept by ``on_change``; the replica keeps the offset of each.

    Args:
        poll_seconds: longest wait of one poll.
        on_change: called for each change, in order of offset.
        gather_seconds: pause after an answer with records, so that many small changes take few calls.
        clock: measures the age of the copy.
    """

    def __init__(
        self,
        log: SharedLog,
        partition: Partition,
        poll_seconds: float,
        on_change: ChangeHandler,
        gather_seconds: float = 0.0,
        clock: ElapsedClock = monotonic_s,
    ) -> None:
        self._log = log
        self._partition = partition
        self._poll_seconds = poll_seconds
        self._on_change = on_change
        self._clock = clock
        self._offsets: dict[str, int] = {}
        self._changed = anyio.Event()
        self._read_requested = anyio.Event()
        self._is_reachable = True
        self.gather_seconds = gather_seconds
        self.position: int | None = None
        self._confirmed_at = float("-inf")
        #: When the store last became available again after an outage.
        self.recovered_at = float("-inf")
        self._is_gathering = False
        self._num_waiters = 0
        self._pause_factor = 1.0
        self._loading: NewestReading | None = None
        self._load_started = float("-inf")

    @property
    def is_loaded(self) -> bool:
        """Whether the whole partition has been loaded once."""
        return self.position is not None

    def confirmed_age(self) -> float:
        """Return the age of the copy: seconds since the start of the last read that confirmed it as current.

        It is infinite before the first such read.
        """
        return self._clock() - self._confirmed_at

    def store_recovery_age(self) -> float:
        """Return seconds since the store became available to this node again, infinite without an outage."""
        return anyio.current_time() - self.recovered_at

    async def follow(self) -> None:
        """Keep the copy current until cancelled."""
        pause = PAUSE_AFTER_ERROR_SECONDS
        while True:
            try:
                has_changed = await self._poll()
                pause = PAUSE_AFTER_ERROR_SECONDS
                self._pause_factor = max(1.0, self._pause_factor * RECOVERY_FACTOR)
                if has_changed and self.gather_seconds:
                    await self._gather()
            except LogUnavailableError as error:
                max_pause = MAX_PAUSE_AFTER_ERROR_SECONDS
                if error.is_throttled:
                    max_pause = MAX_PAUSE_WHEN_THROTTLED_SECONDS
                    self._read_less_often()
                else:
                    self._set_reachable(False, str(error))
                await anyio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(pause * 2, max_pause)

    def _read_less_often(self) -> None:
        if self._pause_factor == 1.0:
            logger.info("reads_throttled", topic=self._partition.topic, position=self.position)
        self._pause_factor = min(MAX_PAUSE_FACTOR, self._pause_factor * THROTTLED_FACTOR)

    async def wait_loaded(self) -> None:
        """Wait until the whole partition has been loaded once."""
        while self.position is None:
            await self._changed.wait()

    async def wait_position(self, end: int, timeout_seconds: float) -> None:
        """Wait until the copy holds all records before offset ``end``.

        Raises:
            NotCurrentError: it does not within ``timeout_seconds``.
        """
        try:
            with anyio.fail_after(timeout_seconds):
                await self._wait_position(end)
        except TimeoutError as error:
            raise NotCurrentError(f"offset {end} was not read in {timeout_seconds} s") from error

    async def barrier(self, timeout_seconds: float) -> None:
        """Wait until the copy holds everything that the store held at the time of the call.

        Raises:
            NotCurrentError: this could not be confirmed within ``timeout_seconds``.
        """
        try:
            with anyio.fail_after(timeout_seconds):
                await self.wait_loaded()
                await self._wait_position(await self._end())
        except (TimeoutError, LogUnavailableError) as error:
            raise NotCurrentError(str(error) or "timed out") from error

    async def catch_up(self, timeout_s: float) -> None:
        """End a pause between two reads early and wait up to ``timeout_s`` for the next change."""
        if not self._is_gathering:
            return
        self._read_requested.set()
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()

    async def wait_changed(self) -> None:
        """Wait until the copy has applied the next answer; pauses between reads are short meanwhile."""
        self._num_waiters += 1
        self._read_requested.set()
        try:
            await self._changed.wait()
        finally:
            self._num_waiters -= 1

    async def _wait_position(self, end: int) -> None:
        self._read_requested.set()
        while self.position is None or self.position < end:
            await self._changed.wait()

    async def _end(self) -> int:
        assert self.position is not None
        answer = await self._log.read(self._partition, self.position, BARRIER_WAIT_SECONDS)
        if isinstance(answer, RecordsGone):
            return self.position + 1
        return answer.end

    async def _gather(self) -> None:
        """Pause so that changes gather, unless a caller requires the next read at once."""
        self._is_gathering = True
        if self._num_waiters:
            await anyio.sleep(min(self.gather_seconds, SHORT_GATHER_S) * self._pause_factor)
        else:
            with anyio.move_on_after(self.gather_seconds * self._pause_factor):
                await self._read_requested.wait()
        self._is_gathering = False
        self._read_requested = anyio.Event()

    async def _poll(self) -> bool:
        """Read once; return whether anything was new."""
        if self.position is None:
            await self._load()
            return True
        started = self._clock()
        answer = await self._log.read(self._partition, self.position, self._poll_seconds)
        if isinstance(answer, RecordsGone):
            logger.info(
                "replica_reload", topic=self._partition.topic, position=self.position, first=answer.first
            )
            await self._load()
            return True
        self._loading = None
        # Done before the changes are applied, since their meaning may depend on whether an outage just ended.
        self._set_reachable(True, "")
        for number, record in enumerate(answer.records, 1):
            self._apply(record)
            if number % RECORDS_PER_TURN == 0:
                await anyio.lowlevel.checkpoint()
        if answer.records:
            self.position = max(self.position, answer.records[-1].offset + 1)
        # An answer that ends earlier comes from a copy of the store that lags behind this one.
        if answer.end == self.position:
            self._confirmed_at = started
        self._notify_changed()
        if not answer.records and answer.end > self.position:
            # The next record is not whole. The same read would be answered in the same way at once.
            await anyio.sleep(PAUSE_AFTER_ERROR_SECONDS)
        return bool(answer.records)

    async def _load(self) -> None:
        """Load the newest record of every key; later reads continue from the end given by the first page."""
        if self._loading is None:
            self._loading = NewestReading(self._log, self._partition, self.position or 0)
            self._load_started = self._clock()
        # After a failed page, the next call goes on from there.
        await self._loading.finish()
        records, first_end = self._loading.records, self._loading.end
        assert first_end is not None
        self._loading = None
        self._set_reachable(True, "")
        # Applied in one go and in order of offset, so that no reader sees a part of related records.
        for record in sorted(records, key=lambda record: record.offset):
            self._apply(record)
        self._remove_missing({record.key for record in records}, first_end)
        self.position = first_end
        self._confirmed_at = self._load_started
        self._notify_changed()

    def _remove_missing(self, seen: set[str], end: int) -> None:
        """Remove the keys that the store no longer has."""
        for key in [key for key, offset in self._offsets.items() if key not in seen and offset < end]:
            del self._offsets[key]
            self._on_change(Change(key, None, end - 1))

    def _apply(self, record: StoredRecord) -> None:
        if record.offset <= self._offsets.get(record.key, -1):
            return
        if record.value:
            self._offsets[record.key] = record.offset
        else:
            self._offsets.pop(record.key, None)
        self._on_change(Change(record.key, record.value or None, record.offset))

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _set_reachable(self, is_reachable: bool, reason: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        if is_reachable:
            self.recovered_at = anyio.current_time()
            logger.info("store_regained", topic=self._partition.topic, position=self.position)
        else:
            logger.warning("store_lost", topic=self._partition.topic, position=self.position, reason=reason)
