"""A node's copy of one keyed partition, kept up to date by long polls.

The copy starts from the newest records by key and follows the log from there; when the store no longer keeps
the place it had reached, it starts again. It never goes back: an answer that ends before what was already
seen is passed over.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import structlog

from worksramp.coordination.elapsed import ElapsedClock, monotonic_s
from worksramp.coordination.shared_log import (
    LogUnavailableError,
    Partition,
    RecordsGone,
    SharedLog,
    StoredRecord,
)

PAUSE_AFTER_ERROR_SECONDS = 0.05
MAX_PAUSE_AFTER_ERROR_SECONDS = 0.4
BARRIER_WAIT_SECONDS = 0.0
#: Pause after an answer with records while a caller waits for a change.
WAITED_FOR_GATHER_S = 0.02

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Change:
    """A key got a new value, or none."""

    key: str
    value: bytes | None
    offset: int


class NotCurrentError(Exception):
    """The copy could not be shown to be up to date in time."""


ChangeHandler = Callable[[Change], None]


class KeyedReplica:
    """Copy of the newest value of each key of a partition.

    Args:
        poll_seconds: longest wait of one poll.
        gather_seconds: pause after an answer with records, so that many small changes take few calls.
        on_change: called for each change, in order of offsets within one partition.
        clock: that the age of the copy is told by.
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
        self._hurry = anyio.Event()
        self._is_reachable = True
        self.gather_seconds = gather_seconds
        self.position: int | None = None
        self._confirmed_at = float("-inf")
        #: When the store last answered again after it had not.
        self.regained_at = float("-inf")
        self._is_gathering = False
        self._num_waiting = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the copy has held the whole partition once."""
        return self.position is not None

    def confirmed_age(self) -> float:
        """Return seconds since the start of the last poll that found nothing missing."""
        return self._clock() - self._confirmed_at

    def store_recovery_age(self) -> float:
        """Return seconds since the store answered again after an outage, as this node saw it."""
        return anyio.current_time() - self.regained_at

    async def follow(self) -> None:
        """Keep the copy up to date until cancelled."""
        pause = PAUSE_AFTER_ERROR_SECONDS
        while True:
            try:
                has_changed = await self._step()
                pause = PAUSE_AFTER_ERROR_SECONDS
                if has_changed and self.gather_seconds:
                    await self._gather()
            except LogUnavailableError as error:
                self._note_reachable(False, str(error))
                await anyio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(pause * 2, MAX_PAUSE_AFTER_ERROR_SECONDS)

    async def wait_loaded(self) -> None:
        """Wait until the copy has held the whole partition once."""
        while self.position is None:
            await self._changed.wait()

    async def wait_position(self, end: int) -> None:
        """Wait until the copy holds all records before offset ``end``."""
        self._hurry.set()
        while self.position is None or self.position < end:
            await self._changed.wait()

    async def barrier(self, timeout_seconds: float) -> None:
        """Return once the copy holds all that the store held when this was called.

        Raises:
            NotCurrentError: that could not be shown within ``timeout_seconds``.
        """
        try:
            with anyio.fail_after(timeout_seconds):
                await self.wait_loaded()
                end = await self._end()
                self._hurry.set()
                await self.wait_position(end)
        except (TimeoutError, LogUnavailableError) as error:
            raise NotCurrentError(str(error) or "timed out") from error

    async def catch_up(self, timeout_s: float) -> None:
        """Cut a pause between two reads short, and wait a moment for what came in during it."""
        if not self._is_gathering:
            return
        self._hurry.set()
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()

    async def wait_changed(self) -> None:
        """Wait until the copy has taken in something more; meanwhile changes gather for a moment only."""
        self._num_waiting += 1
        self._hurry.set()
        try:
            await self._changed.wait()
        finally:
            self._num_waiting -= 1

    async def _end(self) -> int:
        assert self.position is not None
        answer = await self._log.read(self._partition, self.position, BARRIER_WAIT_SECONDS)
        if isinstance(answer, RecordsGone):
            return self.position + 1
        return answer.end

    async def _gather(self) -> None:
        """Let changes gather, unless somebody needs to know the end now."""
        self._is_gathering = True
        if self._num_waiting:
            await anyio.sleep(min(self.gather_seconds, WAITED_FOR_GATHER_S))
        else:
            with anyio.move_on_after(self.gather_seconds):
                await self._hurry.wait()
        self._is_gathering = False
        self._hurry = anyio.Event()

    async def _step(self) -> bool:
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
        # Before the changes are taken in: what they mean may depend on an outage.
        self._note_reachable(True, "")
        for record in answer.records:
            self._apply(record)
        if answer.records:
            self.position = max(self.position, answer.records[-1].offset + 1)
        if answer.end <= self.position:
            self._confirmed_at = started
        self._wake()
        return bool(answer.records)

    async def _load(self) -> None:
        """Read the newest records of all keys, then go on from where the first page was made."""
        started = self._clock()
        page = await self._log.newest(self._partition, None)
        first_end = page.end
        if self.position is not None and first_end < self.position:
            raise LogUnavailableError("newest", self._partition.topic, "older than what was already seen")
        records = list(page.records)
        while page.next_after is not None:
            page = await self._log.newest(self._partition, page.next_after)
            records += page.records
        self._note_reachable(True, "")
        # All at once and in the order of appends: nobody sees half of what belongs together.
        for record in sorted(records, key=lambda record: record.offset):
            self._apply(record)
        self._drop_missing({record.key for record in records}, first_end)
        self.position = first_end
        self._confirmed_at = started
        self._wake()

    def _drop_missing(self, seen: set[str], end: int) -> None:
        """Forget the keys that the store no longer has."""
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

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _note_reachable(self, is_reachable: bool, reason: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        if is_reachable:
            self.regained_at = anyio.current_time()
            logger.info("store_regained", topic=self._partition.topic, position=self.position)
        else:
            logger.warning("store_lost", topic=self._partition.topic, position=self.position, reason=reason)
