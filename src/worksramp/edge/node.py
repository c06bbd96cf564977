"""Assemble the parts of an edge node, and decide when it is ready and how it stops."""

import functools
import random
import time
import uuid
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import anyio
import structlog

from worksramp.coordination.elapsed import ElapsedClock, monotonic_s
from worksramp.coordination.keyed_replica import Change, KeyedReplica
from worksramp.coordination.shared_log import SharedLog
from worksramp.coordination.value_store import ValueStore
from worksramp.duties.holder import Duties, DutyContext
from worksramp.duties.port import DutyPort
from worksramp.duties.turn_guard import TurnGuard
from worksramp.duties.usage import UsageCounter, UsageTimes
from worksramp.duties.usage_publisher import UsagePublisher
from worksramp.duties.wall_time import WallTime
from worksramp.edge.metrics import NodeMetrics
from worksramp.edge.node_stop import NodeStop
from worksramp.edge.observed_log import ObservedLog
from worksramp.edge.observed_port import ObservedPort
from worksramp.edge.ports import (
    PlatformRecords,
    TableAccepted,
    UnreadableRecord,
    VersionNamed,
)
from worksramp.edge.settings import DutyKind, EdgeSettings
from worksramp.edge.shard import BatchShard, ShardContext
from worksramp.edge.timing import gather_seconds, lease_times, poll_seconds
from worksramp.edge.worker_entries import WorkerEntries
from worksramp.mechanisms import mechanism
from worksramp.rollout.batch_service import BatchService, ServiceTimes
from worksramp.rollout.batch_values import BatchValues
from worksramp.rollout.owner_context import TableSource
from worksramp.routing.attempts import LiveRequest
from worksramp.routing.forward import Forwarder, ForwardOutcome, MayHaveRun, NotRun
from worksramp.routing.held_bytes import HeldBytes
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.table import Route, RouteTable
from worksramp.routing.worker_port import WorkerPort
from worksramp.routing.workers import WorkerDirectory, WorkerEntry
from worksramp.serving.connection_limits import ConnectionLimit, max_connections
from worksramp.serving.request_memory import (
    SMALL_BODY_B,
    ByteBudget,
    RequestMemory,
    max_item_bytes,
    max_request_bytes,
    max_unread_bytes,
)
from worksramp.serving.unread_answers import UnreadAnswers

BOOT_CHARACTERS = 8
#: The caller goes to another node then.
STOPPING_RETRY_AFTER_S = 0.05
STOP_TICK_SECONDS = 0.05
USAGE_FLUSH_S = 0.5
USABLE = "usable"
WORKER_STATES = (USABLE, "leaving")

logger = structlog.get_logger()


@mechanism("unready_when_cut_off", without=lambda node: True)
def _may_be_ready(node: "EdgeNode") -> bool:
    """Report not ready while this node refuses batches or its configuration may be out of date.

    Load pattern: some nodes are partitioned from the store and the others are not. The platform sends a
    trainer's calls to the same node each time, so each of its reads is refused until the platform sends it to
    another node.
    """
    return node.is_table_fresh() and not node.batches.is_partitioned()


@dataclass(slots=True)
class EdgeNode:
    """One edge node without its HTTP server.

    Attributes:
        settings: settings in force; a reload replaces them.
        log: shared log of the platform, with metrics added to its calls.
        port: sends requests and orders to workers.
        records: reads the platform's records.
        duty_port: makes the calls of the duties; None for a node without duties.
        time_of_day: returns the time in seconds that batches are stamped with.
        clock: measures the ages of replicas and leases.
        table: source of the configuration in force.
        directory: workers of all services.
        named_versions: newest version of each model that a trainer has named.
        num_in_flight: requests being answered; the HTTP application counts them.
        stopping: progress of the node's stop.
        quarantine: keeps requests that crash workers from workers.
        usage: counts the requests of this node, None if usage is not reported.
        held: counts the bytes of workers' answers that the node holds.
        request_memory: counts the bytes of callers' requests that the node holds.
        unread: counts the bytes of answers that callers have not read.
        connections: bounds the connections of callers.
        forwarder: forwards live requests.
        shard: this node's part in the shard of batches.
        batches: handles the calls of trainers about batches.
    """

    settings: EdgeSettings
    log: SharedLog
    port: WorkerPort
    records: PlatformRecords
    duty_port: DutyPort | None = None
    time_of_day: Callable[[], float] = time.time
    clock: ElapsedClock = monotonic_s
    table: TableSource = field(default_factory=TableSource)
    metrics: NodeMetrics = field(default_factory=NodeMetrics)
    directory: WorkerDirectory = field(default_factory=WorkerDirectory)
    named_versions: dict[str, int] = field(default_factory=dict)
    num_in_flight: int = 0
    stopping: NodeStop = field(default_factory=NodeStop)
    quarantine: Quarantine = field(init=False)
    held: HeldBytes = field(init=False)
    request_memory: RequestMemory = field(init=False)
    unread: UnreadAnswers = field(init=False)
    connections: ConnectionLimit = field(init=False)
    forwarder: Forwarder = field(init=False)
    shard: BatchShard = field(init=False)
    batches: BatchService = field(init=False)
    usage: UsagePublisher | None = field(init=False, default=None)
    _control: KeyedReplica = field(init=False)
    _workers: KeyedReplica = field(init=False)
    _entries: WorkerEntries = field(init=False)

    def __post_init__(self) -> None:
        settings, bounds = self.settings, self.settings.bounds
        poll = poll_seconds(bounds)
        self.log = ObservedLog(self.log, self.metrics)
        self.port = ObservedPort(self.port, lambda worker: self._entries.handle_answer(worker))
        # Crash records are in the partition of batches, which every node follows anyway. A partition of their
        # own would cost each node two more reads a second, in addition to its six.
        self.quarantine = Quarantine(
            self.port,
            self.directory,
            settings.node_id,
            self.log,
            self.records.batches,
            may_grant_trial=lambda: self.shard.is_owner,
            on_event=lambda event: self.metrics.crash_events.labels(event).inc(),
        )
        boot = uuid.uuid4().hex[:BOOT_CHARACTERS]
        self.usage = self._usage_publisher(boot)
        self.held = HeldBytes(
            settings.answers.max_bytes,
            settings.answers.max_held_bytes,
            lambda limit: self.metrics.answers_dropped.labels(limit.value).inc(),
        )
        self.request_memory = RequestMemory(
            ByteBudget(max_request_bytes(settings.machine.memory_mb)), SMALL_BODY_B
        )
        self.connections = ConnectionLimit(max_connections(settings.machine.memory_mb))
        self.unread = UnreadAnswers(ByteBudget(max_unread_bytes(settings.machine.memory_mb)))
        self.forwarder = Forwarder(
            self.directory,
            self.port,
            random.Random(),
            self._note_request,
            settings.node_id,
            self.quarantine,
            None if self.usage is None else self.usage.count,
            self.metrics.refusals_for_load.inc,
            self.held,
        )
        self._control = KeyedReplica(
            self.log,
            self.records.control,
            poll,
            self._apply_control_change,
            0.025 * bounds.configuration_apply,
            self.clock,
        )
        self._workers = KeyedReplica(
            self.log, self.records.workers, poll, self._apply_worker_change, 0.075 * bounds.drain, self.clock
        )
        self._entries = WorkerEntries(
            self.directory,
            self.quarantine,
            self._workers.store_recovery_age,
            on_refused=lambda fault: self.metrics.entries_refused.labels(fault.value).inc(),
            on_change=lambda: self.shard.wake(),
            is_loaded=lambda: self._workers.is_loaded,
            service_names=lambda: None if self.table.current is None else self.table.current.service_names,
            is_answered=self._is_worker_there,
        )
        values = BatchValues(ValueStore(self.log, self.records.values))
        self.shard = BatchShard(
            ShardContext(
                log=self.log,
                partition=self.records.batches,
                values=values,
                progress=ValueStore(self.log, (self.records.progress,)),
                node=settings.node_id,
                boot=boot,
                times=lease_times(bounds),
                poll_seconds=poll,
                gather_seconds=gather_seconds(bounds),
                directory=self.directory,
                port=self.port,
                table=self.table,
                named_versions=self.named_versions,
                max_loading=settings.max_loading,
                status_seconds=bounds.status,
                cancel_s=bounds.cancel,
                metrics=self.metrics,
                held=self.held,
                max_body_b=max_item_bytes(settings.machine.memory_mb),
                duties=self._duties(),
                num_cores=settings.machine.num_cores,
                may_own=lambda: self.is_ready,
                time_of_day=self.time_of_day,
                clock=self.clock,
                quarantine=self.quarantine,
            )
        )
        self.batches = BatchService(
            values,
            self.records.batches,
            self.shard.ledger,
            self.shard.replica,
            ServiceTimes(
                answer=bounds.acknowledge / 3,
                freshness=0.8 * bounds.settle,
                partitioned_after_s=1.2 * bounds.settle,
            ),
        )
        self._add_gauges()

    def _usage_times(self) -> UsageTimes | None:
        duties = self.settings.duties
        if duties is None or self.duty_port is None or DutyKind.USAGE not in duties.kinds:
            return None
        return UsageTimes(duties.window_s, duties.usage_late_s)

    def _usage_publisher(self, boot: str) -> UsagePublisher | None:
        times = self._usage_times()
        if times is None:
            return None
        counter = UsageCounter(times, f"{self.settings.node_id}.{boot}")
        return UsagePublisher(self.log, self.records.usage, counter, WallTime(self.time_of_day, self.clock))

    def _duties(self) -> Duties | None:
        settings = self.settings
        if settings.duties is None or self.duty_port is None:
            return None
        return Duties(
            DutyContext(
                port=self.duty_port,
                log=self.log,
                counts=self.records.usage,
                node=settings.node_id,
                usage_times=self._usage_times(),
                has_scaling=DutyKind.SCALING in settings.duties.kinds,
                renewal_valid_s=lease_times(settings.bounds).order_validity,
                wall_time=WallTime(self.time_of_day, self.clock),
                guard=TurnGuard(settings.bounds.lease, self.clock),
                directory=self.directory,
                table=self.table,
                workers_age_s=self._workers.confirmed_age,
                store_recovery_age_s=self._workers.store_recovery_age,
                on_call=lambda duty, outcome: self.metrics.duty_calls.labels(duty, outcome).inc(),
            )
        )

    def _add_gauges(self) -> None:
        """Add the gauges of this node's state."""
        gauge = self.metrics.gauge
        gauge("ready", "Whether new callers should come here", lambda: float(self.is_ready))
        gauge("in_flight", "Requests being answered", lambda: self.num_in_flight)
        gauge("unread_bytes", "Bytes of answers that are being sent", lambda: self.unread.budget.used_b)
        gauge(
            "answers_cut",
            "Answers broken off since the start because their callers did not read them",
            lambda: self.unread.num_cut,
        )
        gauge("request_bytes", "Bytes held of requests", lambda: self.request_memory.budget.used_b)
        gauge(
            "requests_without_room",
            "Requests refused since the start because too many bytes were held",
            lambda: self.request_memory.num_refused,
        )
        gauge(
            "requests_displaced",
            "Requests refused since the start because others needed the room of their stalled bodies",
            lambda: self.request_memory.num_displaced,
        )
        gauge("caller_connections", "Connections of callers", lambda: self.connections.num_connections)
        gauge(
            "caller_connections_displaced",
            "Connections of callers ended since the start for others",
            lambda: self.connections.num_displaced,
        )
        gauge(
            "caller_connections_refused",
            "Connections of callers closed since the start because each place was in use",
            lambda: self.connections.num_refused,
        )
        gauge(
            "configuration_version",
            "Version of the configuration in force",
            lambda: self.table.current.version if self.table.current is not None else 0,
        )
        gauge("lease_epoch", "Epoch of the lease held, 0 for none", lambda: self.shard.epoch)
        gauge("items_waiting", "Items that wait for a worker", lambda: self.shard.num_waiting)
        gauge("items_unscored", "Whole texts that wait for their scores", lambda: self.shard.num_unscored)
        ledger = self.quarantine.ledger
        gauge("crash_suspects", "Requests that ran at a worker as it crashed", lambda: ledger.num_suspects)
        gauge("requests_to_blame", "Requests kept from all workers", lambda: ledger.num_quarantined)
        for state in WORKER_STATES:
            gauge(
                "workers",
                "Workers that have an entry",
                functools.partial(self._num_workers, state),
                state=state,
            )
        for name, replica in (
            ("control", self._control),
            ("workers", self._workers),
            ("batches", self.shard.replica),
        ):
            gauge(
                "replica_age_seconds",
                "Since the last poll that found nothing missing",
                replica.confirmed_age,
                replica=name,
            )

    def _num_workers(self, state: str) -> int:
        return sum(
            1
            for worker in self.directory.all_states()
            if self.directory.is_usable(worker.entry.worker_id) == (state == USABLE)
        )

    def _note_request(self, route: Route, outcome: ForwardOutcome, seconds: float) -> None:
        self.metrics.requests.labels(route.kind.value, type(outcome).__name__).inc()
        self.metrics.request_seconds.labels(route.kind.value).observe(seconds)

    @property
    def is_loaded(self) -> bool:
        """Whether the node has a configuration and has loaded the workers and the batches."""
        return (
            self.table.current is not None
            and self._workers.is_loaded
            and self._control.is_loaded
            and self.shard.replica.is_loaded
        )

    @property
    def is_ready(self) -> bool:
        """Whether new callers should be sent to this node."""
        return self.is_loaded and not self.stopping.is_begun and _may_be_ready(self)

    def is_table_fresh(self) -> bool:
        """Return whether the configuration in force was confirmed within its bound."""
        return self.table_age_s() <= self.settings.bounds.configuration_apply

    def table_age_s(self) -> float:
        """Return the age in seconds of the last read that confirmed the configuration in force."""
        return self._control.confirmed_age()

    async def run(self) -> None:
        """Follow the platform's records until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._control.follow)
            group.start_soon(self._workers.follow)
            group.start_soon(self._log_workers_loaded)
            group.start_soon(self._entries.watch)
            group.start_soon(self.shard.run)
            group.start_soon(self.quarantine.run)
            if self.usage is not None:
                group.start_soon(self.usage.run)

    async def _is_worker_there(self, worker: WorkerEntry) -> bool:
        """Ask a worker for its health, or for a report where that costs no slot."""
        table = self.table.current
        spec = None if table is None else table.services.get(worker.service)
        health_path = "" if spec is None or spec.models else spec.health_path
        return await self.port.is_there(worker, health_path)

    async def _log_workers_loaded(self) -> None:
        await self._workers.wait_loaded()
        counts = Counter(state.entry.service for state in self.directory.all_states())
        services = ",".join(f"{service}:{num}" for service, num in sorted(counts.items()))
        logger.info("workers_loaded", position=self._workers.position, services=services)

    async def forward(self, request: LiveRequest, route: Route, stack: AsyncExitStack) -> ForwardOutcome:
        """Forward a live request; a node that stops refuses those that it could not answer in time.

        Args:
            stack: holds the connection of a stream; the caller closes it once the answer has been passed on.
        """
        if not self.stopping.may_begin(anyio.current_time(), request.ends_at(route)):
            logger.info("request_refused_for_stop", request_id=request.request_id)
            return NotRun("stopping", STOPPING_RETRY_AFTER_S)
        with self.stopping.limit():
            return await self.forwarder.forward(request, route, stack)
        logger.warning("request_given_up_for_stop", request_id=request.request_id)
        return MayHaveRun("stopping", is_late=False)

    async def stop(self, signal_age_s: float = 0.0) -> None:
        """Release the shard, serve until callers are sent to other nodes, and finish requests in flight.

        Returns before the platform kills the process at the end of the grace period, even if requests are
        still in flight.

        Args:
            signal_age_s: time since the signal to stop, from which the platform counts the grace period.
        """
        started_at = anyio.current_time() - signal_age_s
        self.stopping.begin(started_at, self.settings.bounds.grace)
        logger.info(
            "stopping",
            num_in_flight=self.num_in_flight,
            is_owner=self.shard.is_owner,
            signal_age_s=round(signal_age_s, 3),
        )
        await self.shard.stop()
        while anyio.current_time() < self.stopping.ends_at:
            if anyio.current_time() >= self.stopping.leaves_at and self.num_in_flight == 0:
                break
            await anyio.sleep(STOP_TICK_SECONDS)
        if self.usage is not None:
            with anyio.move_on_after(USAGE_FLUSH_S):
                await self.usage.flush()
        logger.info(
            "stopped",
            num_in_flight=self.num_in_flight,
            seconds=round(anyio.current_time() - started_at, 3),
        )

    def _apply_control_change(self, change: Change) -> None:
        event = self.records.control_event(change)
        if isinstance(event, TableAccepted):
            self._apply_table(event.table)
        elif isinstance(event, VersionNamed):
            self.named_versions[event.model] = max(event.version, self.named_versions.get(event.model, 0))
            logger.info("version_named", model=event.model, version=event.version)
        elif isinstance(event, UnreadableRecord):
            self.metrics.records_unreadable.labels(self.records.control.topic).inc()
            logger.error("record_unreadable", key=event.key, reason=event.reason)
        self.shard.wake()

    def _apply_table(self, table: RouteTable) -> None:
        before = self.table.current
        if before is not None and table.version < before.version:
            logger.warning("configuration_older", version=table.version, in_force=before.version)
            return
        self.table.current = table
        logger.info("configuration_in_force", version=table.version, num_routes=len(table.routes))
        self._entries.handle_configuration()

    def _apply_worker_change(self, change: Change) -> None:
        event = self.records.worker_event(change)
        if event is not None:
            self._entries.apply(event)
