"""Appends of one owner: in turn, fenced by its epoch, sent again until their outcome is known."""

import random
from collections import deque

import anyio
import structlog

from worksramp.coordination.elapsed import ElapsedClock, monotonic_s
from worksramp.coordination.log_lease import OWNER_KEY, OWNER_PRODUCER, OwnerRecord
from worksramp.coordination.shared_log import (
    Appended,
    AppendOutcome,
    Fence,
    FencedOff,
    KeyedRecord,
    NothingDone,
    OutcomeOpen,
    Partition,
    SharedLog,
)
from worksramp.wire import encode

RETRY_PAUSE_SECONDS = 0.05
MAX_RETRY_PAUSE_SECONDS = 0.3
#: A lost answer is not waited for as long as a slow one; the store gives a repeated append its first answer.
FIRST_TRY_SECONDS = 0.3
RECORD_OVERHEAD_BYTES = 300
RENEWAL_SHARE = 0.8
GATHER_SECONDS = 0.03

logger = structlog.get_logger()


class OwnershipLostError(Exception):
    """Another owner's epoch is in force; nothing more can be written."""


class FencedWriter:
    """Queue of an owner's records.

    Args:
        claimed: the owner's record as it was claimed, with sequence 0.
        clock: that the age of the lease is told by.
    """

    def __init__(
        self,
        log: SharedLog,
        partition: Partition,
        claimed: OwnerRecord,
        renewal_seconds: float,
        clock: ElapsedClock = monotonic_s,
    ) -> None:
        self._log = log
        self._partition = partition
        self._owner = claimed
        self._sequence = -1
        self._queue: deque[KeyedRecord] = deque()
        self._renewal_seconds = renewal_seconds
        self._wanted = anyio.Event()
        self._is_release_wanted = False
        self._ended = anyio.Event()
        self._num_orders = claimed.num_orders
        self._last_order_node = claimed.last_order_node
        self._last_order_at = anyio.current_time() - claimed.last_order_age_s
        self._announced_orders = claimed.num_orders
        self._appended = anyio.Event()
        self._renewal_written_at = float("-inf")
        self._clock = clock
        self._renewed_at = clock()

    def renewal_age_s(self) -> float:
        """Return how long ago an append that the store took was begun, a suspension included."""
        return self._clock() - self._renewed_at

    @property
    def owner(self) -> OwnerRecord:
        """The owner's record as last renewed."""
        return self._owner

    @property
    def num_waiting(self) -> int:
        """Number of records not yet known to be in."""
        return len(self._queue)

    def put(self, *records: KeyedRecord) -> None:
        """Queue records; they are appended in order."""
        self._queue.extend(records)
        self._wanted.set()

    async def announce_order(self) -> None:
        """Return once the log says that an order is about to be given.

        Whoever owns the shard next knows from it how long to keep from giving orders.
        """
        self._num_orders += 1
        announced = self._num_orders
        self._wanted.set()
        while self._announced_orders < announced:
            await self._appended.wait()

    async def begin(self) -> int:
        """Make the epoch known to the store; return the end of the partition after that.

        Raises:
            OwnershipLostError: a higher epoch is known already.
        """
        self._sequence += 1
        return await self._append_until_known((KeyedRecord(OWNER_KEY, encode(self._owner)),))

    async def run(self) -> None:
        """Append what is queued and renew the lease, until released.

        Raises:
            OwnershipLostError: the store has refused the epoch.
        """
        try:
            while not self._owner.is_released:
                with anyio.move_on_after(self._renewal_seconds):
                    await self._wanted.wait()
                    # A few more results may be about to come: one append for all of them.
                    await anyio.sleep(GATHER_SECONDS)
                self._wanted = anyio.Event()
                await self._append_batch(is_release=self._is_release_wanted)
        finally:
            self._ended.set()

    async def release(self) -> None:
        """Have what is queued appended and the lease given back; return when done, or when it is lost."""
        self._is_release_wanted = True
        self._wanted.set()
        await self._ended.wait()

    async def _append_batch(self, is_release: bool) -> None:
        batch = self._take_batch()
        is_release = is_release and not self._queue
        now = anyio.current_time()
        # Other nodes watch the owner's record alone, so it must be written however much else is.
        is_due = now - self._renewal_written_at >= RENEWAL_SHARE * self._renewal_seconds
        if is_release or is_due or not batch or self._num_orders > self._owner.num_orders:
            self._renewal_written_at = now
            if self._num_orders > self._owner.num_orders:
                self._last_order_node, self._last_order_at = self._owner.node, now
            self._owner = OwnerRecord(
                self._owner.node,
                self._owner.boot,
                self._owner.epoch,
                self._owner.renewal + 1,
                is_release,
                self._num_orders,
                self._last_order_node,
                max(0.0, now - self._last_order_at),
            )
            batch.append(KeyedRecord(OWNER_KEY, encode(self._owner)))
        self._sequence += 1
        await self._append_until_known(tuple(batch))
        if self._owner.num_orders > self._announced_orders:
            # An order follows the moment at which its announcement is known, not that of its writing.
            self._last_order_at = anyio.current_time()
        self._announced_orders = self._owner.num_orders
        self._appended.set()
        self._appended = anyio.Event()
        if self._queue:
            self._wanted.set()

    def _take_batch(self) -> list[KeyedRecord]:
        batch: list[KeyedRecord] = []
        room = self._log.limits.max_call_bytes // 2
        while self._queue and (not batch or room > len(self._queue[0].value) + RECORD_OVERHEAD_BYTES):
            record = self._queue.popleft()
            room -= len(record.value) + RECORD_OVERHEAD_BYTES
            batch.append(record)
        return batch

    async def _append_until_known(self, batch: tuple[KeyedRecord, ...]) -> int:
        fence = Fence(OWNER_PRODUCER, self._owner.epoch, self._sequence)
        pause = RETRY_PAUSE_SECONDS
        try_seconds = FIRST_TRY_SECONDS
        while True:
            started = self._clock()
            outcome: AppendOutcome = OutcomeOpen(f"no answer within {try_seconds} s")
            with anyio.move_on_after(try_seconds):
                outcome = await self._log.append(self._partition, batch, fence=fence)
            try_seconds *= 2
            if isinstance(outcome, Appended):
                self._renewed_at = started
                return outcome.end
            if isinstance(outcome, (NothingDone, OutcomeOpen)):
                logger.info(
                    "owner_append_again",
                    epoch=fence.epoch,
                    sequence=fence.sequence,
                    num_records=len(batch),
                    reason=outcome.reason,
                )
                await anyio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(2 * pause, MAX_RETRY_PAUSE_SECONDS)
                continue
            logger.warning("owner_lost", epoch=fence.epoch, sequence=fence.sequence, outcome=str(outcome))
            raise OwnershipLostError(
                type(outcome).__name__ if isinstance(outcome, FencedOff) else str(outcome)
            )
