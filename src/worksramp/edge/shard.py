"""Follow one shard of batches on a node: its replica, its lease, and the owner's work under the lease."""

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import msgspec
import structlog

from worksramp.coordination.elapsed import ElapsedClock, monotonic_s
from worksramp.coordination.fenced_writer import FencedWriter, OwnershipLostError
from worksramp.coordination.keyed_replica import Change, KeyedReplica
from worksramp.coordination.lease_claim import (
    ClaimLost,
    HeldLease,
    LeaseClaim,
    claim_lease,
    first_sequence_of,
)
from worksramp.coordination.log_lease import (
    OWNER_KEY,
    ClaimLease,
    LeaseTimes,
    LeaseView,
    OwnerRecord,
    claim_delay_range,
    decide_claim,
    is_overtaken,
    latest_order_at,
    may_order,
    newer_owner,
    unknown_owner,
)
from worksramp.coordination.record_guard import RecordGuard
from worksramp.coordination.shared_log import (
    AppendOutcome,
    Fence,
    FencedOff,
    KeyedRecord,
    NewestPage,
    OutOfSequence,
    Partition,
    RecordsGone,
    RecordsRead,
    SharedLog,
)
from worksramp.coordination.value_store import ValueStore
from worksramp.duties.holder import Duties
from worksramp.edge.metrics import NodeMetrics
from worksramp.rollout.batch_owner import BatchOwner
from worksramp.rollout.batch_values import BatchValues
from worksramp.rollout.batches import BatchLedger
from worksramp.rollout.owner_context import OwnerContext, TableSource
from worksramp.routing.held_bytes import HeldBytes
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.worker_port import WorkerPort
from worksramp.routing.workers import WorkerDirectory
from worksramp.weights.version_mover import MoverContext, VersionMover
from worksramp.wire import decode

CLAIM_TICK_SECONDS = 0.1
CLAIM_READ_SECONDS = 2.0
RELEASE_SECONDS = 1.5
FLUSH_SECONDS = 0.7
OWNER_GATHER_SECONDS = 0.02

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ShardContext:
    """Dependencies and settings of a `BatchShard`.

    Attributes:
        log: shared log of the platform.
        partition: partition of the shard.
        values: store of items and texts of batches.
        progress: store of the partial texts of items.
        node: name of the machine.
        boot: random text that identifies this start of the process.
        times: times of the owner's lease.
        poll_seconds: longest wait of one poll of the log.
        gather_seconds: pause after a read with new records, on a node that does not own the shard.
        directory: workers of all services.
        port: sends requests and orders to workers.
        table: source of the configuration in force.
        named_versions: newest version of each model, kept up to date by the node.
        max_loading: workers that may load weights at the same time, None for a share of the fleet.
        status_seconds: age until which results of an ended batch are kept.
        cancel_s: longest time after the end of a batch in which one of its items may still reach a worker.
        num_cores: processor time of the machine, in cores.
        may_own: returns whether this node may claim the lease now.
        quarantine: applies the crash records, which are in the same partition.
        metrics: metrics of this node.
        duties: duties towards the platform, None for none.
        held: counts the bytes of workers' answers that the node holds.
        max_body_b: most bytes of items' bodies that an owner keeps in memory.
        time_of_day: returns the time in seconds that batches are stamped with.
        clock: measures the ages of the lease and the replica.
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
    held: HeldBytes
    max_body_b: int
    duties: Duties | None = None
    time_of_day: Callable[[], float] = time.time
    clock: ElapsedClock = monotonic_s


@dataclass(slots=True)
class BatchShard:
    """Follow one shard on one node, and run its batches while this node holds the lease.

    Attributes:
        ledger: batches and results of the shard, as the replica has them.
        replica: this node's replica of the partition.
        owner_record: newest owner's record, None before the first.
        owner_changed_at: time at which this node received that record, or finished loading the replica.
        former_order_at: latest time at which another machine can have given an order to a worker.
    """

    context: ShardContext
    ledger: BatchLedger = field(default_factory=BatchLedger)
    replica: KeyedReplica = field(init=False)
    owner_record: OwnerRecord | None = None
    owner_changed_at: float = float("-inf")
    former_order_at: float = float("-inf")
    #: Stands for the newest owner's record while the log has none that can be read.
    _unknown_owner: OwnerRecord | None = None
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
            RecordGuard(context.partition, self._apply_change, self._count_skipped).apply,
            self.context.gather_seconds,
            context.clock,
        )
        self._jitter = random.uniform(*claim_delay_range(self.context.num_cores))

    @property
    def is_owner(self) -> bool:
        """Whether this node runs the shard's batches; another node may have claimed the lease since."""
        return self._owner is not None

    @property
    def owner(self) -> BatchOwner | None:
        """Object that runs the shard's batches on this node, None while this node is not the owner."""
        return self._owner

    @property
    def epoch(self) -> int:
        """Epoch of the lease that this node holds, 0 if it holds none."""
        return self._writer.owner.epoch if self._writer is not None else 0

    @property
    def num_waiting(self) -> int:
        """Number of items that wait for a slot, 0 if this node is not the owner."""
        return len(self._owner.items.waiting()) if self._owner is not None else 0

    @property
    def num_unscored(self) -> int:
        """Number of items with complete texts that wait for scores, 0 if this node is not the owner."""
        return len(self._owner.items.unscored()) if self._owner is not None else 0

    def may_order(self) -> bool:
        """Return whether this node, as the owner, may order workers now."""
        if self._writer is None or self._is_stopping:
            return False
        now = anyio.current_time()
        # The age of the renewal includes suspensions of the machine: another node may have become the owner
        # during one.
        renewed_at = now - self._writer.renewal_age_s()
        return may_order(now, self.former_order_at, renewed_at, self.context.times)

    def wake(self) -> None:
        """Make the owner schedule its work again after a change of the directory or the configuration."""
        if self._owner is not None:
            self._owner.wake()

    async def run(self) -> None:
        """Follow the partition, claim the lease when it is due, and run the batches while holding it."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.replica.follow)
            await self.replica.wait_loaded()
            self.owner_changed_at = anyio.current_time()
            while True:
                decision = decide_claim(self._lease_view(), self.context.times, anyio.current_time())
                if isinstance(decision, ClaimLease):
                    await self._claim_and_run(decision.epoch)
                await anyio.sleep(CLAIM_TICK_SECONDS)

    async def stop(self) -> None:
        """Stop the runs, store their partial texts and release the lease, each within a time limit."""
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

    def _count_skipped(self, topic: str) -> None:
        self.context.metrics.records_unreadable.labels(topic).inc()

    def _apply_change(self, change: Change) -> None:
        if change.key == OWNER_KEY and change.value is not None:
            self._apply_owner_record(decode(change.value, OwnerRecord))
            return
        if self.context.quarantine.apply_change(change):
            return
        if self.context.duties is not None and self.context.duties.apply(change):
            return
        self.ledger.apply(change)
        self.wake()

    def _apply_owner_record(self, record: OwnerRecord) -> None:
        now = anyio.current_time()
        if newer_owner(self.owner_record, record) is not record:
            # The owner that was replaced may have announced an order until then.
            order_at = latest_order_at(record, self.context.node, now)
            self.former_order_at = max(self.former_order_at, order_at)
            logger.info("owner_record_ignored", epoch=record.epoch, owner=record.node)
            return
        self._unknown_owner = None
        if record.boot != self.context.boot:
            self.former_order_at = latest_order_at(record, self.context.node, now)
        self.owner_record = record
        self.owner_changed_at = now

    @property
    def _claimed_from(self) -> OwnerRecord | None:
        """Record of the owner that a claim replaces."""
        return self._unknown_owner or self.owner_record

    def _lease_view(self) -> LeaseView:
        owner = self._claimed_from
        return LeaseView(
            owner=owner,
            is_own_machine=owner is not None and owner.node == self.context.node,
            owner_changed_at=self.owner_changed_at,
            replica_age=self.replica.confirmed_age(),
            may_own=self.context.may_own() and not self._is_stopping,
            jitter=self._jitter,
            store_recovery_age=self.replica.store_recovery_age(),
        )

    async def _claim_and_run(self, epoch: int) -> None:
        claimed_at = anyio.current_time()
        before = self._claimed_from
        if before is not None and before.is_order_open:
            # The former owner announced this order and wrote nothing after it: it may be given even now.
            self.former_order_at = latest_order_at(before, self.context.node, claimed_at)
        record = self._claim_record(epoch, claimed_at)
        owner_silence_s = claimed_at - self.owner_changed_at
        former = before.node if before is not None else ""
        claimed = await self._claim(record)
        logger.info(
            "lease_claimed",
            epoch=epoch,
            is_won=isinstance(claimed, HeldLease),
            former=former,
            silence_seconds=round(owner_silence_s, 3),
            reason=claimed.reason if isinstance(claimed, ClaimLost) else "",
        )
        if isinstance(claimed, HeldLease):
            await self._run_as_owner(claimed)

    def _claim_record(self, epoch: int, now: float) -> OwnerRecord:
        """Return the record of a claim, which passes on what is recorded of the last order."""
        before = self._claimed_from
        record = OwnerRecord(self.context.node, self.context.boot, epoch)
        if before is None:
            return record
        # The last order may be this machine's own. Its time is not kept, so others must assume that it was
        # given just now.
        age_s = now - self.former_order_at if math.isfinite(self.former_order_at) else 0.0
        return msgspec.structs.replace(
            record,
            num_orders=before.num_orders,
            last_order_node=before.last_order_node,
            last_order_age_s=age_s,
        )

    async def _claim(self, record: OwnerRecord) -> HeldLease | ClaimLost:
        """Claim the lease on the condition that the partition ends where this node's replica does."""
        assert self.replica.position is not None
        claim = LeaseClaim(record, self.replica.position, first_sequence_of(record.boot))
        context = self.context
        log = _ClaimLog(context.log)
        claimed = await claim_lease(log, context.partition, claim, self._read_owner, context.clock)
        is_explained = self.owner_record is not None and self.owner_record.epoch >= record.epoch
        if isinstance(claimed, ClaimLost) and log.is_refused and not is_explained:
            logger.warning("owner_unknown", refused_epoch=record.epoch)
            self._unknown_owner = unknown_owner(record.epoch)
            self.owner_changed_at = anyio.current_time()
        return claimed

    async def _read_owner(self, end: int | None) -> OwnerRecord | None:
        """Read the log up to ``end``, None for its present end, and return the newest owner's record.

        Raises:
            NotCurrentError: the log could not be read that far in time.
        """
        if end is None:
            await self.replica.barrier(CLAIM_READ_SECONDS)
        else:
            await self.replica.wait_position(end, CLAIM_READ_SECONDS)
        return self.owner_record

    async def _run_as_owner(self, held: HeldLease) -> None:
        context = self.context
        epoch = held.owner.epoch
        writer = FencedWriter(context.log, context.partition, held, context.times.renewal, context.clock)
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
                lambda reason: context.metrics.item_moves.labels(reason).inc(),
                context.held,
                context.max_body_b,
            )
        )
        mover = VersionMover(self._mover_context(owner, writer, epoch))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(writer.run)
                self._writer, self._owner = writer, owner
                self.replica.gather_seconds = OWNER_GATHER_SECONDS
                group.start_soon(mover.run)
                if context.duties is not None:
                    group.start_soon(context.duties.run, writer)
                group.start_soon(self._cancel_when_lease_ends, writer, group.cancel_scope)
                await owner.run()
        except* OwnershipLostError:
            logger.warning("lease_lost", epoch=epoch)
        finally:
            self._owner = None
            self._writer = None
            self.replica.gather_seconds = self.context.gather_seconds

    async def _cancel_when_lease_ends(self, writer: FencedWriter, scope: anyio.CancelScope) -> None:
        """Cancel the owner's work when the lease is released or another node has claimed it."""
        while not writer.owner.is_released:
            if self.owner_record is not None and is_overtaken(writer.owner, self.owner_record):
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


class _ClaimLog(SharedLog):
    """Log of one claim, which remembers whether the store has refused it for its epoch."""

    def __init__(self, log: SharedLog) -> None:
        super().__init__(log.limits)
        self._log = log
        self.is_refused = False

    async def append(
        self,
        partition: Partition,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> AppendOutcome:
        """Append all records or none; see `SharedLog.append`."""
        outcome = await self._log.append(partition, records, fence, expected_end)
        self.is_refused = self.is_refused or isinstance(outcome, FencedOff | OutOfSequence)
        return outcome

    async def read(
        self, partition: Partition, start: int, wait_seconds: float, max_bytes: int | None = None
    ) -> RecordsRead | RecordsGone:
        """Read records from an offset on; see `SharedLog.read`."""
        return await self._log.read(partition, start, wait_seconds, max_bytes)

    async def newest(self, partition: Partition, after: str | None) -> NewestPage:
        """Read one page of the newest record of each key; see `SharedLog.newest`."""
        return await self._log.newest(partition, after)
