"""A node's part in one shard of batches: replica, lease, and the owner's work while the lease is held."""

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import msgspec
import structlog

from worksramp.coordination.elapsed import ElapsedClock, steady_s
from worksramp.coordination.fenced_writer import FencedWriter, OwnershipLostError
from worksramp.coordination.keyed_replica import Change, KeyedReplica, NotCurrentError
from worksramp.coordination.log_lease import (
    OWNER_KEY,
    ClaimLease,
    LeaseTimes,
    LeaseView,
    OwnerRecord,
    claim_delay_range,
    decide_claim,
    latest_order_at,
    may_order,
)
from worksramp.coordination.shared_log import (
    Appended,
    KeyedRecord,
    OutcomeOpen,
    Partition,
    SharedLog,
)
from worksramp.coordination.value_store import ValueStore
from worksramp.edge.metrics import NodeMetrics
from worksramp.rollout.batch_owner import BatchOwner
from worksramp.rollout.batch_values import BatchValues
from worksramp.rollout.batches import BatchLedger
from worksramp.rollout.owner_context import OwnerContext, TableSource
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.worker_port import WorkerPort
from worksramp.routing.workers import WorkerDirectory
from worksramp.weights.version_mover import MoverContext, VersionMover
from worksramp.wire import decode, encode

CLAIM_TICK_SECONDS = 0.1
CLAIM_TRIES = 4
CLAIM_BARRIER_SECONDS = 2.0
RELEASE_SECONDS = 1.5
FLUSH_SECONDS = 0.7
OWNER_GATHER_SECONDS = 0.02

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ShardContext:
    """What a node's part in a shard works with.

    Attributes:
        node: name of the machine.
        boot: random text of this start of the process.
        num_cores: processor time of the machine.
        gather_seconds: pause between two reads of a node that does not own the shard.
        values: items and texts of batches.
        progress: texts so far of items.
        clock: that the ages of lease and copy are told by.
        quarantine: takes the records of crashes, which stand in the same partition.
    """

    log: SharedLog
    partition: Partition
    values: BatchValues
    progress: ValueStore
    node: str
    boot: str
    times: LeaseTimes
    poll_seconds: float
    gather_seconds: float
    directory: WorkerDirectory
    port: WorkerPort
    table: TableSource
    named_versions: dict[str, int]
    max_loading: int | None
    status_seconds: float
    cancel_s: float
    num_cores: float
    may_own: Callable[[], bool]
    quarantine: Quarantine
    metrics: NodeMetrics
    time_of_day: Callable[[], float] = time.time
    clock: ElapsedClock = steady_s


@dataclass(slots=True)
class BatchShard:
    """One shard on one node."""

    context: ShardContext
    ledger: BatchLedger = field(default_factory=BatchLedger)
    replica: KeyedReplica = field(init=False)
    owner_record: OwnerRecord | None = None
    owner_changed_at: float = float("-inf")
    former_order_at: float = float("-inf")
    _owner: BatchOwner | None = None
    _writer: FencedWriter | None = None
    _is_stopping: bool = False
    _jitter: float = 0.0

    def __post_init__(self) -> None:
        context = self.context
        self.replica = KeyedReplica(
            context.log,
            context.partition,
            context.poll_seconds,
            self._take_change,
            self.context.gather_seconds,
            context.clock,
        )
        self._jitter = random.uniform(*claim_delay_range(self.context.num_cores))

    @property
    def is_owner(self) -> bool:
        """Whether this node holds the lease, as far as it knows."""
        return self._owner is not None

    @property
    def owner(self) -> BatchOwner | None:
        """What runs the shard's batches here, None while another node owns them."""
        return self._owner

    @property
    def epoch(self) -> int:
        """Epoch of the lease that this node holds, 0 when it holds none."""
        return self._writer.owner.epoch if self._writer is not None else 0

    @property
    def num_waiting(self) -> int:
        """Items that wait for a place, as far as this node owns them."""
        return len(self._owner.items.waiting()) if self._owner is not None else 0

    @property
    def num_unscored(self) -> int:
        """Items whose texts are whole and wait for their scores, as far as this node owns them."""
        return len(self._owner.items.unscored()) if self._owner is not None else 0

    def may_order(self) -> bool:
        """Return whether this node, as the owner, may order workers now."""
        if self._writer is None or self._is_stopping:
            return False
        now = anyio.current_time()
        # The age of the renewal counts a suspension, in which another node may have become the owner.
        renewed_at = now - self._writer.renewal_age_s()
        return may_order(now, self.former_order_at, renewed_at, self.context.times)

    def wake(self) -> None:
        """Tell the owner's work that the directory or the configuration has changed."""
        if self._owner is not None:
            self._owner.wake()

    async def run(self) -> None:
        """Follow the partition and own the shard whenever the lease falls to this node."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.replica.follow)
            await self.replica.wait_loaded()
            self.owner_changed_at = anyio.current_time()
            while True:
                decision = decide_claim(self._view(), self.context.times, anyio.current_time())
                if isinstance(decision, ClaimLease):
                    await self._claim_and_own(decision.epoch)
                await anyio.sleep(CLAIM_TICK_SECONDS)

    async def stop(self) -> None:
        """Close the runs, keep their texts and give the lease back."""
        self._is_stopping = True
        owner, writer = self._owner, self._writer
        if owner is None or writer is None:
            return
        owner.stop_runs()
        with anyio.move_on_after(FLUSH_SECONDS):
            await owner.flush()
        with anyio.move_on_after(RELEASE_SECONDS):
            await writer.release()
            logger.info("lease_released", epoch=writer.owner.epoch, is_in_log=writer.owner.is_released)

    def _take_change(self, change: Change) -> None:
        if change.key == OWNER_KEY and change.value is not None:
            self._take_owner_record(decode(change.value, OwnerRecord))
            return
        if self.context.quarantine.apply_change(change):
            return
        self.ledger.apply(change)
        self.wake()

    def _take_owner_record(self, record: OwnerRecord) -> None:
        now = anyio.current_time()
        if record.boot != self.context.boot:
            self.former_order_at = latest_order_at(record, self.context.node, now)
        self.owner_record = record
        self.owner_changed_at = now

    def _view(self) -> LeaseView:
        owner = self.owner_record
        return LeaseView(
            owner=owner,
            is_own_machine=owner is not None
            and owner.node == self.context.node
            and owner.boot != self.context.boot,
            owner_changed_at=self.owner_changed_at,
            replica_age=self.replica.confirmed_age(),
            may_own=self.context.may_own() and not self._is_stopping,
            jitter=self._jitter,
            regained_age=self.replica.regained_age(),
        )

    async def _claim_and_own(self, epoch: int) -> None:
        claimed_at = anyio.current_time()
        if self.owner_record is not None and self.owner_record.is_order_open:
            # Announced, and nothing was heard since: it may be given as late as now.
            self.former_order_at = latest_order_at(self.owner_record, self.context.node, claimed_at)
        record = self._claim_record(epoch, claimed_at)
        silence = claimed_at - self.owner_changed_at
        former = self.owner_record.node if self.owner_record else ""
        is_won = await self._claim(record)
        logger.info(
            "lease_claimed", epoch=epoch, is_won=is_won, former=former, silence_seconds=round(silence, 3)
        )
        if is_won:
            await self._own(record)

    def _claim_record(self, epoch: int, now: float) -> OwnerRecord:
        """Return the record of a claim, which hands on what is known of the last order."""
        before = self.owner_record
        record = OwnerRecord(self.context.node, self.context.boot, epoch)
        if before is None:
            return record
        # What this machine ordered itself may have been a moment ago, as far as others are told.
        age_s = now - self.former_order_at if math.isfinite(self.former_order_at) else 0.0
        return msgspec.structs.replace(
            record,
            num_orders=before.num_orders,
            last_order_node=before.last_order_node,
            last_order_age_s=age_s,
        )

    async def _claim(self, record: OwnerRecord) -> bool:
        """Append the owner's record at the end that this node's copy has reached.

        Not yet fenced: claimants of one epoch would share its first sequence number, and the store gives a
        repeated number its first answer again, so that all of them would read that they had won.
        """
        assert self.replica.position is not None
        end = self.replica.position
        for _ in range(CLAIM_TRIES):
            outcome = await self.context.log.append(
                self.context.partition, (KeyedRecord(OWNER_KEY, encode(record)),), expected_end=end
            )
            if isinstance(outcome, Appended):
                return True
            if not isinstance(outcome, OutcomeOpen):
                break
        return await self._is_claim_in(record)

    async def _is_claim_in(self, record: OwnerRecord) -> bool:
        try:
            await self.replica.barrier(CLAIM_BARRIER_SECONDS)
        except NotCurrentError:
            return False
        seen = self.owner_record
        return seen is not None and (seen.boot, seen.epoch) == (record.boot, record.epoch)

    async def _own(self, record: OwnerRecord) -> None:
        context = self.context
        writer = FencedWriter(context.log, context.partition, record, context.times.renewal, context.clock)
        owner = BatchOwner(
            OwnerContext(
                self.ledger,
                context.values,
                context.progress,
                context.directory,
                context.port,
                writer,
                context.table,
                context.log.limits.max_record_bytes,
                context.status_seconds,
                context.named_versions,
                context.cancel_s,
                context.quarantine,
                context.time_of_day,
                lambda outcome: context.metrics.item_runs.labels(outcome).inc(),
                lambda outcome: context.metrics.scoring_calls.labels(outcome).inc(),
                context.metrics.item_seconds.observe,
            )
        )
        mover = VersionMover(self._mover_context(owner, writer, record.epoch))
        try:
            async with anyio.create_task_group() as group:
                # From the first fenced append on the store refuses former owners; what they wrote until then
                # must be in the copy before positions are given out.
                first_end = await writer.begin()
                await self.replica.wait_position(first_end)
                group.start_soon(writer.run)
                self._writer, self._owner = writer, owner
                self.replica.gather_seconds = OWNER_GATHER_SECONDS
                group.start_soon(mover.run)
                group.start_soon(self._end_with_lease, writer, group.cancel_scope)
                await owner.run()
        except* OwnershipLostError:
            logger.warning("lease_lost", epoch=record.epoch)
        finally:
            self._owner = None
            self._writer = None
            self.replica.gather_seconds = self.context.gather_seconds

    async def _end_with_lease(self, writer: FencedWriter, scope: anyio.CancelScope) -> None:
        """End the owner's work once the lease is given back or another node has claimed."""
        while not writer.owner.is_released:
            if self.owner_record is not None and self.owner_record.epoch > writer.owner.epoch:
                logger.warning("lease_lost", epoch=writer.owner.epoch, to=self.owner_record.node)
                break
            await anyio.sleep(CLAIM_TICK_SECONDS)
        scope.cancel()

    def _mover_context(self, owner: BatchOwner, writer: FencedWriter, epoch: int) -> MoverContext:
        context = self.context
        return MoverContext(
            directory=context.directory,
            port=context.port,
            work=owner.items,
            wake=owner.wake,
            named_versions=context.named_versions,
            table=lambda: context.table.current,
            may_order=self.may_order,
            announce_order=writer.announce_order,
            holder=context.node,
            fence=epoch,
            max_loading=context.max_loading,
        )
