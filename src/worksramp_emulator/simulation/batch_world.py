"""Simulates a deployment of edge nodes, a store, workers, scorers and a trainer on the virtual clock."""

import random
from dataclasses import dataclass, field, replace

import anyio
import anyio.abc

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord, Partition
from worksramp.edge.node import EdgeNode
from worksramp.edge.ports import (
    ControlEvent,
    TableAccepted,
    VersionNamed,
    WorkerEvent,
    WorkerGone,
    WorkerSeen,
)
from worksramp.edge.settings import DutyKind, DutySettings, EdgeBounds, EdgeSettings, StoreSettings
from worksramp.rollout.batch_service import Accepted, ResultPage
from worksramp.rollout.batches import BatchHeader, BatchItem, BatchResult, ScoringCall
from worksramp.routing.table import Route, RouteKind, RouteTable, ScalingLimits, ServiceSpec, SplitPart
from worksramp.routing.workers import WorkerEntry
from worksramp.wire import decode, encode
from worksramp_emulator.batch_fleet import BatchFleet, FleetPort, FleetWorker
from worksramp_emulator.duty_platform import DutyClient, DutyPlatform
from worksramp_emulator.shared_log import LogClient, LogStore

MODEL = "drafts"
SERVICE = "fleet"
HOST = "batches.example"
PREFIX = "/drafts/"
SCORER_SERVICE = "scorers"
SCORER_HOST = "scores.example"
SCORER_PREFIX = "/scores/"
READ_PAUSE_SECONDS = 0.4
RETRY_PAUSE_SECONDS = 0.2
TRAIN_SECONDS = 0.5
DUTY_WINDOW_S, DUTY_LATE_S = 2.0, 6.0


class EmulatorRecords:
    """Partitions and record encodings of the emulated store."""

    control = Partition("keyed.control", 0)
    workers = Partition("keyed.workers", 0)
    batches = Partition("keyed.batches", 0)
    values = tuple(Partition("keyed.values", number) for number in range(3))
    progress = Partition("keyed.progress", 0)
    usage = Partition("keyed.usage", 0)

    def control_event(self, change: Change) -> ControlEvent | None:
        """Decode a change of the configuration or of a weight version, or return None for a deletion."""
        if change.value is None:
            return None
        if change.key == "table":
            return TableAccepted(decode(change.value, RouteTable))
        return VersionNamed(change.key, decode(change.value, int))

    def worker_event(self, change: Change) -> WorkerEvent | None:
        """Decode a change of a worker's entry; a deletion means that the worker is gone."""
        if change.value is None:
            return WorkerGone(change.key)
        return WorkerSeen(decode(change.value, WorkerEntry))


@dataclass(frozen=True, slots=True)
class BatchWorldSpec:
    """Size and settings of a simulated deployment.

    Attributes:
        num_slots: slots of each worker and scorer.
        required_group_share: share of a step's groups that the trainer waits for; above 1 it waits until
            its timeout.
        needs_one_version: whether the route requires texts generated with a single weight version.
        status_seconds: time for which results of an ended batch are kept.
        num_scorers: number of scorers; items have scoring calls only if there are any.
        has_duties: whether nodes have duties towards an emulated platform.
    """

    num_nodes: int = 4
    num_workers: int = 3
    num_slots: int = 8
    num_groups: int = 5
    group_size: int = 4
    required_group_share: float = 0.8
    needs_one_version: bool = False
    status_seconds: float = 120.0
    num_scorers: int = 0
    has_duties: bool = False

    @property
    def has_scoring(self) -> bool:
        """Whether items have scoring calls."""
        return self.num_scorers > 0


@dataclass(slots=True)
class NodeSlot:
    """A machine and the node process that runs on it.

    Attributes:
        suspended_s: total time for which the machine was suspended. The node's ``clock`` includes it; the
            virtual clock does not.
    """

    name: str
    suspended_s: float = 0.0
    node: EdgeNode | None = None
    scope: anyio.CancelScope | None = None


@dataclass(slots=True)
class StepRecord:
    """One step of the trainer.

    Attributes:
        results: the results that the trainer has read, by position.
        seconds: time from submission until enough groups were complete, None if the trainer gave up.
        ended_at: when a node accepted the end of the batch, None before that.
    """

    batch_id: str
    step: int
    min_version: int
    item_ids: tuple[str, ...]
    submitted_at: float
    results: dict[int, BatchResult] = field(default_factory=dict)
    seconds: float | None = None
    ended_at: float | None = None


class BatchWorld:
    """Owns all parts of one simulated deployment.

    Args:
        spec: size and settings.
        seed: seeds every random choice of the simulation.
        group: runs the nodes and background tasks.
    """

    def __init__(self, spec: BatchWorldSpec, seed: int, group: anyio.abc.TaskGroup) -> None:
        self.spec = spec
        self.rng = random.Random(seed)
        self.records = EmulatorRecords()
        self.group = group
        self.store = LogStore(self.rng, group)
        self.fleet = BatchFleet(self.rng, group)
        self.duty_platform = DutyPlatform(self.rng, group) if spec.has_duties else None
        self.slots = [NodeSlot(f"node-{number}") for number in range(spec.num_nodes)]
        self.steps: list[StepRecord] = []
        random.seed(seed)

    async def start(self) -> None:
        """Publish the first configuration, start workers and nodes, and wait until all nodes are ready."""
        self.put(self.records.control, "table", encode(self.table(1)))
        for number in range(self.spec.num_workers):
            self.add_worker(f"worker-{number}")
        for number in range(self.spec.num_scorers):
            self.add_scorer(f"scorer-{number}")
        for slot in self.slots:
            self.start_node(slot)
        for slot in self.slots:
            while slot.node is None or not slot.node.is_ready:
                await anyio.sleep(0.05)

    def table(self, version: int) -> RouteTable:
        """Return the deployment's route table."""
        route = Route(
            name="drafts",
            host=HOST,
            path_prefix=PREFIX,
            kind=RouteKind.BATCH,
            parts=(SplitPart(SERVICE, 1.0),),
            max_attempts=3,
            needs_one_version=self.spec.needs_one_version,
        )
        scaling = ScalingLimits(1, 4, boot_s=2.0) if self.spec.has_duties else None
        services = {SERVICE: ServiceSpec(SERVICE, models=(MODEL,), scaling=scaling)}
        if not self.spec.has_scoring:
            return RouteTable(version, (route,), services)
        scoring = Route(
            name="scores",
            host=SCORER_HOST,
            path_prefix=SCORER_PREFIX,
            kind=RouteKind.IDEMPOTENT,
            parts=(SplitPart(SCORER_SERVICE, 1.0),),
            objective_seconds=0.15,
            max_attempts=3,
        )
        services[SCORER_SERVICE] = ServiceSpec(SCORER_SERVICE)
        return RouteTable(version, (route, scoring), services)

    def put(self, partition: Partition, key: str, value: bytes) -> None:
        """Append a record without a fence, as an operator, a trainer or a worker does."""
        self.store.do_append(partition, (KeyedRecord(key, value),), None, None)

    def add_worker(self, worker_id: str) -> FleetWorker:
        """Start a worker that has the newest weights loaded, and write its entry."""
        entry = WorkerEntry(worker_id, SERVICE, f"{worker_id}:1", "zone", self.spec.num_slots)
        worker = FleetWorker(entry, versions={MODEL: self.named_version()})
        self.fleet.add(worker)
        self.put(
            self.records.workers,
            worker_id,
            encode(
                WorkerEntry(
                    worker_id,
                    SERVICE,
                    entry.address,
                    "zone",
                    self.spec.num_slots,
                    model_versions=dict(worker.versions),
                )
            ),
        )
        return worker

    def add_scorer(self, worker_id: str) -> FleetWorker:
        """Start a scorer and write its entry."""
        entry = WorkerEntry(worker_id, SCORER_SERVICE, f"{worker_id}:1", "zone", self.spec.num_slots)
        scorer = FleetWorker(entry, is_scorer=True)
        self.fleet.add(scorer)
        self.put(self.records.workers, worker_id, encode(entry))
        return scorer

    def set_scorer_draining(self, worker_id: str) -> None:
        """Mark a scorer's entry as draining."""
        entry = replace(self.fleet.workers[worker_id].entry, is_leaving=True)
        self.put(self.records.workers, worker_id, encode(entry))

    def restart_worker(self, worker_id: str) -> None:
        """Simulate a power loss of a worker and its restart under the same id.

        Connections to the previous process are not closed; they receive no more data.
        """
        previous = self.fleet.workers[worker_id]
        previous.is_unresponsive = True
        started_ms = previous.entry.started_ms + 1 + int(1000 * anyio.current_time())
        entry = replace(previous.entry, started_ms=started_ms, model_versions=dict(previous.versions))
        self.fleet.add(FleetWorker(entry, versions=dict(previous.versions)))
        self.put(self.records.workers, worker_id, encode(entry))

    def remove_worker(self, worker_id: str) -> None:
        """Crash a worker and delete its entry."""
        self.fleet.workers[worker_id].is_gone = True
        self.put(self.records.workers, worker_id, b"")

    def named_version(self) -> int:
        """Return the newest weight version that the trainer has published, 1 before the first."""
        value = self.store.newest_value(self.records.control, MODEL)
        return 1 if value is None else decode(value, int)

    def start_node(self, slot: NodeSlot) -> None:
        """Start a node process on a machine unless one is running there."""
        if slot.node is not None:
            return
        settings = EdgeSettings(
            slot.name,
            "zone",
            "127.0.0.1:1",
            StoreSettings("127.0.0.1:2"),
            bounds=EdgeBounds(status=self.spec.status_seconds),
            duties=DutySettings("127.0.0.1:3", tuple(DutyKind), DUTY_WINDOW_S, DUTY_LATE_S)
            if self.spec.has_duties
            else None,
        )
        slot.node = EdgeNode(
            settings,
            LogClient(self.store, slot.name),
            FleetPort(self.fleet, slot.name, MODEL),
            self.records,
            None if self.duty_platform is None else DutyClient(self.duty_platform, slot.name),
            time_of_day=anyio.current_time,
            clock=lambda: anyio.current_time() + slot.suspended_s,
        )
        slot.scope = anyio.CancelScope()
        self.group.start_soon(self._run_node, slot.node, slot.scope)

    async def _run_node(self, node: EdgeNode, scope: anyio.CancelScope) -> None:
        with scope:
            await node.run()

    def kill_node(self, slot: NodeSlot) -> None:
        """Kill a node process."""
        if slot.scope is not None:
            slot.scope.cancel()
        slot.node, slot.scope = None, None

    async def stop_node(self, slot: NodeSlot) -> None:
        """Stop a node process gracefully."""
        if slot.node is not None:
            await slot.node.stop()
        self.kill_node(slot)

    def owner(self) -> NodeSlot | None:
        """Return the first machine whose process acts as the owner of the shard, or None."""
        owners = [slot for slot in self.slots if slot.node is not None and slot.node.shard.is_owner]
        return owners[0] if owners else None

    async def wait_owner(self) -> NodeSlot:
        """Wait until a process acts as the owner of the shard, and return its machine."""
        while True:
            slot = self.owner()
            if slot is not None:
                return slot
            await anyio.sleep(0.02)

    def random_node(self) -> EdgeNode | None:
        """Return the process of a random machine, or None if that machine is down."""
        return self.rng.choice(self.slots).node

    # The trainer.

    async def train(self, num_steps: int, step_timeout_seconds: float = 30.0) -> None:
        """Run steps one after the other and publish a new weight version after each."""
        carried: list[str] = []
        for step in range(num_steps):
            record = await self.run_step(step, carried, step_timeout_seconds)
            carried = self._incomplete_items(record)
            await anyio.sleep(TRAIN_SECONDS)
            self.put(self.records.control, MODEL, encode(step + 2))

    async def run_step(
        self, step: int, carried: list[str], timeout_seconds: float, end: bool = True
    ) -> StepRecord:
        """Submit a step, read its results until enough groups are complete, and end it.

        Args:
            step: number of the step.
            carried: ids of items from the previous step that are submitted again.
            timeout_seconds: time after which the trainer stops reading.
            end: whether to end the batch.
        """
        fresh = [f"s{step}g{group}i{number}" for group in range(self.spec.num_groups) for number in range(4)]
        item_ids = tuple(carried + fresh[: self.spec.num_groups * self.spec.group_size - len(carried)])
        record = StepRecord(f"batch{step}", step, max(1, step - 1), item_ids, anyio.current_time())
        self.steps.append(record)
        started = anyio.current_time()
        await self._submit(record)
        with anyio.move_on_after(timeout_seconds):
            while not self._has_enough(record):
                await self._read(record)
            record.seconds = anyio.current_time() - started
        if end:
            await self._end(record)
        return record

    async def _submit(self, record: StepRecord) -> None:
        items = [self._item(item_id) for item_id in record.item_ids]
        header = BatchHeader(
            record.batch_id,
            HOST,
            PREFIX,
            anyio.current_time(),
            record.item_ids,
            tuple(group_of(item_id) for item_id in record.item_ids),
            record.step,
            MODEL,
            record.min_version,
        )
        while True:
            node = self.random_node()
            if node is not None and isinstance(await node.batches.submit(header, items, 0.1), Accepted):
                return
            await anyio.sleep(RETRY_PAUSE_SECONDS)

    def _item(self, item_id: str) -> BatchItem:
        call = ScoringCall(
            scoring_call_id(item_id), SCORER_HOST, f"{SCORER_PREFIX}x", f"text of {item_id}".encode()
        )
        return BatchItem(
            item_id,
            f"{PREFIX}x",
            (),
            f"prompt of {item_id}".encode(),
            100,
            scoring_call=call if self.spec.has_scoring else None,
        )

    async def _read(self, record: StepRecord) -> None:
        node = self.random_node()
        if node is not None:
            page = await node.batches.read(record.batch_id, len(record.results), READ_PAUSE_SECONDS)
            if isinstance(page, ResultPage):
                for offset, result in enumerate(page.results):
                    record.results[page.start + offset] = result
        await anyio.sleep(READ_PAUSE_SECONDS)

    async def _end(self, record: StepRecord) -> None:
        while True:
            node = self.random_node()
            if node is not None and isinstance(await node.batches.end(record.batch_id, 0.1), Accepted):
                record.ended_at = anyio.current_time()
                return
            await anyio.sleep(RETRY_PAUSE_SECONDS)

    def _has_enough(self, record: StepRecord) -> bool:
        groups = {group_of(item_id) for item_id in record.item_ids}
        num_complete = len(groups) - len({group_of(item_id) for item_id in self._unlisted(record)})
        return num_complete >= self.spec.required_group_share * len(groups)

    def _unlisted(self, record: StepRecord) -> set[str]:
        return set(record.item_ids) - {result.item_id for result in record.results.values()}

    def _incomplete_items(self, record: StepRecord) -> list[str]:
        """Return the items of one incomplete group, which the next step submits again."""
        unlisted = self._unlisted(record)
        if not unlisted:
            return []
        group = group_of(min(unlisted))
        return [item_id for item_id in record.item_ids if group_of(item_id) == group]


def group_of(item_id: str) -> str:
    """Return the group of an item."""
    return item_id.rpartition("i")[0]


def scoring_call_id(item_id: str) -> str:
    """Return the id of an item's scoring call."""
    return f"call-{item_id}"
