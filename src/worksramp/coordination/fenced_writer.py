"""Fenced appends of one owner: in order, one at a time, each repeated until its outcome is known."""

import random
from collections import deque

import anyio
import structlog

from worksramp.coordination.elapsed import ElapsedClock, monotonic_s
from worksramp.coordination.lease_claim import HeldLease
from worksramp.coordination.log_lease import OWNER_KEY, OWNER_PRODUCER, OwnerRecord, is_lease_refused
from worksramp.coordination.shared_log import (
    Appended,
    AppendOutcome,
    Fence,
    KeyedRecord,
    NothingDone,
    OutcomeOpen,
    Partition,
    SharedLog,
)
from worksramp.wire import encode

RETRY_PAUSE_SECONDS = 0.05
MAX_RETRY_PAUSE_SECONDS = 0.3
#: Timeout of the first try, doubled for each further one: a lost answer costs only a short wait, and a slow
#: answer still gets its time. The store gives a repeated append its first answer.
FIRST_TRY_SECONDS = 0.3
RECORD_OVERHEAD_BYTES = 300
RENEWAL_SHARE = 0.8
GATHER_SECONDS = 0.03

logger = structlog.get_logger()


class OwnershipLostError(Exception):
    """The store refused an append of the owner's epoch; the owner can write nothing more."""


class FencedWriter:
    """Queue of an owner's records, which also renews its lease.

    Args:
        held: the lease as claimed; the first append follows the last one of the claim.
        renewal_seconds: pause between renewals.
        clock: measures the age of the lease.
    """

    def __init__(
        self,
        log: SharedLog,
        partition: Partition,
        held: HeldLease,
        renewal_seconds: float,
        clock: ElapsedClock = monotonic_s,
    ) -> None:
        self._log = log
        self._partition = partition
        claimed = held.owner
        self._owner = claimed
        self._sequence = held.sequence
        self._queue: deque[KeyedRecord] = deque()
        self._renewal_seconds = renewal_seconds
        self._append_requested = anyio.Event()
        self._is_release_requested = False
        self._ended = anyio.Event()
        self._num_orders = claimed.num_orders
        self._last_order_node = claimed.last_order_node
        self._last_order_at = anyio.current_time() - claimed.last_order_age_s
        self._announced_orders = claimed.num_orders
        self._appended = anyio.Event()
        self._renewal_written_at = float("-inf")
        self._clock = clock
        self._renewed_at = held.renewed_at_s

    def renewal_age_s(self) -> float:
        """Return the seconds since the last successful append was started.

        They include the time of a suspension if the writer's clock does.
        """
        return self._clock() - self._renewed_at

    @property
    def owner(self) -> OwnerRecord:
        """The owner record as last renewed."""
        return self._owner

    @property
    def num_waiting(self) -> int:
        """Number of queued records, without those of the append in progress."""
        return len(self._queue)

    def put(self, *records: KeyedRecord) -> None:
        """Queue records; they are appended in order."""
        self._queue.extend(records)
        self._append_requested.set()

    async def announce_order(self) -> None:
        """Record in the log that an order is about to be sent; return once the record is stored.

        The next owner derives from it how long to wait before it sends orders.
        """
        self._num_orders += 1
        announced = self._num_orders
        self._append_requested.set()
        while self._announced_orders < announced:
            await self._appended.wait()

    async def run(self) -> None:
        """Append queued records and renew the lease, until it is released.

        Raises:
            OwnershipLostError: the store refused an append.
        """
        try:
            while not self._owner.is_released:
                with anyio.move_on_after(self._renewal_seconds):
                    await self._append_requested.wait()
                    # More results may follow within moments; they share one append.
                    await anyio.sleep(GATHER_SECONDS)
                self._append_requested = anyio.Event()
                await self._append_batch(is_release=self._is_release_requested)
        finally:
            self._ended.set()

    async def release(self) -> None:
        """Append what is queued and release the lease; return when that is done or the lease is lost."""
        self._is_release_requested = True
        self._append_requested.set()
        await self._ended.wait()

    async def _append_batch(self, is_release: bool) -> None:
        batch = self._dequeue_batch()
        is_release = is_release and not self._queue
        now = anyio.current_time()
        # Other nodes check the lease by the owner record alone, so it is renewed even while other records are
        # appended all the time.
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
            # The order is sent after its announcement is known to be stored, so its age counts from now.
            self._last_order_at = anyio.current_time()
        self._announced_orders = self._owner.num_orders
        self._appended.set()
        self._appended = anyio.Event()
        if self._queue:
            self._append_requested.set()

    def _dequeue_batch(self) -> list[KeyedRecord]:
        batch: list[KeyedRecord] = []
        free_bytes = self._log.limits.max_call_bytes // 2
        while self._queue and (not batch or free_bytes > len(self._queue[0].value) + RECORD_OVERHEAD_BYTES):
            record = self._queue.popleft()
            free_bytes -= len(record.value) + RECORD_OVERHEAD_BYTES
            batch.append(record)
        return batch

    async def _append_until_known(self, batch: tuple[KeyedRecord, ...]) -> int:
        fence = Fence(OWNER_PRODUCER, self._owner.epoch, self._sequence)
        pause = RETRY_PAUSE_SECONDS
        try_timeout_seconds = FIRST_TRY_SECONDS
        while True:
            started = self._clock()
            outcome: AppendOutcome = OutcomeOpen(f"no answer within {try_timeout_seconds} s")
            with anyio.move_on_after(try_timeout_seconds):
                outcome = await self._log.append(self._partition, batch, fence=fence)
            try_timeout_seconds *= 2
            if isinstance(outcome, Appended):
                self._renewed_at = started
                return outcome.end
            if is_lease_refused(outcome):
                logger.warning("owner_lost", epoch=fence.epoch, sequence=fence.sequence, outcome=str(outcome))
                raise OwnershipLostError(str(outcome))
            logger.info(
                "owner_append_again",
                epoch=fence.epoch,
                sequence=fence.sequence,
                num_records=len(batch),
                reason=outcome.reason if isinstance(outcome, (NothingDone, OutcomeOpen)) else "",
            )
            await anyio.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(2 * pause, MAX_RETRY_PAUSE_SECONDS)
