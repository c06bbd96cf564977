"""Simulates a deployment of edge nodes and application workers, with callers that send live requests."""

import random
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass

import anyio
import anyio.abc

from worksramp.routing.attempts import LiveRequest, WholeAnswer
from worksramp.routing.table import Route, RouteKind, RouteTable, ServiceSpec, SplitPart
from worksramp.routing.workers import WorkerEntry
from worksramp.wire import encode
from worksramp_emulator.batch_fleet import FleetWorker
from worksramp_emulator.simulation.batch_faults import cut_node, with_faults
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec, NodeSlot

APPLICATION_SERVICE = "orders"
APPLICATION_HOST = "orders.example"
APPLICATION_PREFIX = "/orders/"
NUM_SLOTS = 6
#: Time from the crash of a worker until its entry expires: three heartbeats.
ENTRY_EXPIRY_S = 2.6
#: Time from the crash of a worker until it is running again, as on the prepared machines.
RESTART_S = 3.1
DEADLINE_S = 2.0
OBJECTIVE_S = 0.192
#: Time after the end of a disturbance from which a node counts as undisturbed. Source: the users' bounds.
UNDISTURBED_AFTER_S = 3.0
CALLER_PAUSE_S = 0.02


@dataclass(frozen=True, slots=True)
class LiveSubmission:
    """One submission of a request by a caller.

    Attributes:
        outcome: class name of the outcome that the node returned.
        is_served: whether a worker answered with status 200.
    """

    at: float
    node: str
    target: bytes
    outcome: str
    is_served: bool


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault of one node, or of the store if ``node`` is None, and when it began and ended."""

    node: str | None
    started_at: float
    ended_at: float


class LiveWorld(BatchWorld):
    """A deployment whose nodes forward live requests to an application.

    Args:
        num_application_workers: workers of the application; each is restarted under a new id after a crash.
    """

    def __init__(
        self, num_application_workers: int, num_nodes: int, seed: int, group: anyio.abc.TaskGroup
    ) -> None:
        super().__init__(BatchWorldSpec(num_nodes=num_nodes, num_workers=0), seed, group)
        self.submissions: list[LiveSubmission] = []
        self.disturbances: list[Disturbance] = []
        self.traffic_rng = random.Random(seed)
        self._num_application_workers = num_application_workers
        self._num_calls = 0

    async def start(self) -> None:
        """Start workers and nodes, and wait until all nodes are ready."""
        for number in range(self._num_application_workers):
            self.add_application(f"app-{number}")
        self.group.start_soon(self._restart_workers)
        await super().start()

    def table(self, version: int) -> RouteTable:
        """Return the deployment's route table."""
        before = super().table(version)
        route = Route(
            name="orders",
            host=APPLICATION_HOST,
            path_prefix=APPLICATION_PREFIX,
            kind=RouteKind.IDEMPOTENT,
            parts=(SplitPart(APPLICATION_SERVICE, 1.0),),
            timeout_seconds=DEADLINE_S,
            objective_seconds=OBJECTIVE_S,
            max_attempts=2,
        )
        services = {**before.services, APPLICATION_SERVICE: ServiceSpec(APPLICATION_SERVICE)}
        return RouteTable(version, (*before.routes, route), services)

    def add_application(self, worker_id: str) -> None:
        """Start a worker of the application and write its entry."""
        entry = WorkerEntry(worker_id, APPLICATION_SERVICE, f"{worker_id}:1", "zone", NUM_SLOTS)
        self.fleet.add(FleetWorker(entry, is_application=True))
        self.put(self.records.workers, worker_id, encode(entry))

    def application_workers(self) -> list[FleetWorker]:
        """Return the workers of the application that have not crashed."""
        return [
            worker for worker in self.fleet.workers.values() if worker.is_application and not worker.is_gone
        ]

    async def _restart_workers(self) -> None:
        """Delete the entry of each worker that crashed, and restart it under a new id."""
        num_handled = 0
        while True:
            crashes = self.fleet.application.crashes
            for crash in crashes[num_handled:]:
                self.group.start_soon(self._restart, crash.worker_id)
            num_handled = len(crashes)
            await anyio.sleep(0.01)

    async def _restart(self, worker_id: str) -> None:
        await anyio.sleep(ENTRY_EXPIRY_S)
        self.put(self.records.workers, worker_id, b"")
        await anyio.sleep(RESTART_S - ENTRY_EXPIRY_S)
        name, _, start = worker_id.partition("#")
        self.add_application(f"{name}#{int(start or 0) + 1}")

    # Callers.

    async def call(self, target: bytes, num_submissions: int = 2) -> bool:
        """Send a request to random nodes until it is served, at most ``num_submissions`` times.

        Returns:
            Whether it was served.
        """
        for _ in range(num_submissions):
            if await self._submit_live(target):
                return True
            await anyio.sleep(CALLER_PAUSE_S)
        return False

    async def _submit_live(self, target: bytes) -> bool:
        ready = [slot for slot in self.slots if slot.node is not None and slot.node.is_ready]
        if not ready:
            return False
        slot = self.traffic_rng.choice(ready)
        node = slot.node
        assert node is not None and node.table.current is not None
        route = node.table.current.match(APPLICATION_HOST, target.decode())
        assert route is not None
        self._num_calls += 1
        now = anyio.current_time()
        headers = ((b"host", APPLICATION_HOST.encode()),)
        request = LiveRequest(f"try-{self._num_calls}", "GET", target, headers, b"", now, now + DEADLINE_S)
        async with AsyncExitStack() as stack:
            outcome = await node.forwarder.forward(request, route, stack)
        is_served = isinstance(outcome, WholeAnswer) and outcome.status == 200
        self.submissions.append(LiveSubmission(now, slot.name, target, type(outcome).__name__, is_served))
        return is_served

    async def send_repeatedly(self, target: bytes, num_times: int, pause_s: float) -> None:
        """As one caller, send a request several times that crashes each worker that runs it."""
        self.fleet.application.crashing_targets.add(target)
        for _ in range(num_times):
            await self.call(target)
            await anyio.sleep(pause_s)

    async def ordinary_traffic(
        self, calls_per_s: float, seconds: float, name: str = "call", is_same_target: bool = False
    ) -> None:
        """Send requests at random times.

        Args:
            calls_per_s: mean rate.
            seconds: how long to send.
            name: start of the name in the targets.
            is_same_target: whether all requests have the same target; otherwise each has its own.
        """
        until = anyio.current_time() + seconds
        number = 0
        while anyio.current_time() < until:
            await anyio.sleep(self.traffic_rng.expovariate(calls_per_s))
            number += 0 if is_same_target else 1
            self.group.start_soon(self.call, f"{APPLICATION_PREFIX}{name}-{number}".encode())

    # Faults.

    async def crash_workers(self, num_workers: int) -> None:
        """Crash workers at the same time, without a request causing it."""
        for worker in self.application_workers()[:num_workers]:
            self.fleet.application.crash(worker)

    async def reset_connections(self) -> None:
        """Break all connections to workers, which keep running."""
        self.fleet.application.num_resets += 1

    async def lose_node(self, slot: NodeSlot, seconds: float) -> None:
        """Kill a node and start another process on its machine after some seconds."""
        with self.disturbed(slot.name):
            self.kill_node(slot)
            await anyio.sleep(seconds)
        self.start_node(slot)

    async def lose_store(self, seconds: float) -> None:
        """Make the store refuse all calls for some seconds."""
        with self.disturbed(None):
            await with_faults(self, seconds, is_down=True)

    async def cut_node(self, slot: NodeSlot, seconds: float) -> None:
        """Partition one node from the store for some seconds."""
        with self.disturbed(slot.name):
            await cut_node(self, slot, seconds)

    @contextmanager
    def disturbed(self, node: str | None) -> Iterator[None]:
        """Record a disturbance of a node, or of the store if None, for the duration of the context."""
        started = anyio.current_time()
        try:
            yield
        finally:
            self.disturbances.append(Disturbance(node, started, anyio.current_time()))

    def was_undisturbed(self, node: str, at: float) -> bool:
        """Return whether neither the node nor the store was disturbed shortly before a time.

        Shortly means within ``UNDISTURBED_AFTER_S``.
        """
        return not any(
            disturbance.started_at <= at and disturbance.ended_at >= at - UNDISTURBED_AFTER_S
            for disturbance in self.disturbances
            if disturbance.node in (node, None)
        )
