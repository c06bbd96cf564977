"""A simulated deployment of edge nodes and application workers, and callers of live requests."""

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
from worksramp_emulator.simulation.batch_troubles import cut_node, with_faults
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec, NodeSlot

APPLICATION_SERVICE = "orders"
APPLICATION_HOST = "orders.example"
APPLICATION_PREFIX = "/orders/"
NUM_SLOTS = 6
#: An entry lapses this long after its worker's end: three heartbeats.
ENTRY_LAPSES_S = 2.6
#: A worker is back this long after its end, as seen on the prepared machines.
RESTART_S = 3.1
DEADLINE_S = 2.0
OBJECTIVE_S = 0.192
#: A node counts as undisturbed this long after the end of a trouble. Source: the users' bounds.
CONTACT_S = 3.0
CALLER_PAUSE_S = 0.02


@dataclass(frozen=True, slots=True)
class LiveTry:
    """One try of a caller.

    Attributes:
        outcome: class of the node's final outcome.
        is_served: a worker's good answer came back.
    """

    at: float
    node: str
    target: bytes
    outcome: str
    is_served: bool


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A trouble of one node, or of the store when ``node`` is None."""

    node: str | None
    started_at: float
    ended_at: float


class LiveWorld(BatchWorld):
    """A deployment whose nodes forward live requests to an application.

    Args:
        num_application_workers: workers of the application, each back with a new id after its end.
    """

    def __init__(
        self, num_application_workers: int, num_nodes: int, seed: int, group: anyio.abc.TaskGroup
    ) -> None:
        super().__init__(BatchWorldSpec(num_nodes=num_nodes, num_workers=0), seed, group)
        self.tries: list[LiveTry] = []
        self.disturbances: list[Disturbance] = []
        self.calls_drawn = random.Random(seed)
        self._num_application_workers = num_application_workers
        self._num_calls = 0

    async def start(self) -> None:
        """Start workers and nodes, and wait until all nodes know the workers."""
        for number in range(self._num_application_workers):
            self.add_application(f"app-{number}")
        self.group.start_soon(self._restart_workers)
        await super().start()

    def table(self, version: int) -> RouteTable:
        """Return the deployment's configuration."""
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
        """Start a worker of the application."""
        entry = WorkerEntry(worker_id, APPLICATION_SERVICE, f"{worker_id}:1", "zone", NUM_SLOTS)
        self.fleet.add(FleetWorker(entry, is_application=True))
        self.put(self.records.workers, worker_id, encode(entry))

    def application_workers(self) -> list[FleetWorker]:
        """Return the workers of the application that live."""
        return [
            worker for worker in self.fleet.workers.values() if worker.is_application and not worker.is_gone
        ]

    async def _restart_workers(self) -> None:
        """Drop the entry of each worker that ended, and start it again under another id."""
        num_done = 0
        while True:
            crashes = self.fleet.application.crashes
            for crash in crashes[num_done:]:
                self.group.start_soon(self._restart, crash.worker_id)
            num_done = len(crashes)
            await anyio.sleep(0.01)

    async def _restart(self, worker_id: str) -> None:
        await anyio.sleep(ENTRY_LAPSES_S)
        self.put(self.records.workers, worker_id, b"")
        await anyio.sleep(RESTART_S - ENTRY_LAPSES_S)
        name, _, start = worker_id.partition("#")
        self.add_application(f"{name}#{int(start or 0) + 1}")

    # Callers.

    async def call(self, target: bytes, num_tries: int = 2) -> bool:
        """Send a request, and again at another node while it is not served; return whether it was."""
        for _ in range(num_tries):
            if await self._try(target):
                return True
            await anyio.sleep(CALLER_PAUSE_S)
        return False

    async def _try(self, target: bytes) -> bool:
        ready = [slot for slot in self.slots if slot.node is not None and slot.node.is_ready]
        if not ready:
            return False
        slot = self.calls_drawn.choice(ready)
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
        self.tries.append(LiveTry(now, slot.name, target, type(outcome).__name__, is_served))
        return is_served

    async def come_again(self, target: bytes, num_times: int, pause_s: float) -> None:
        """Have one caller send a request that ends workers, time after time."""
        self.fleet.application.crashing_targets.add(target)
        for _ in range(num_times):
            await self.call(target)
            await anyio.sleep(pause_s)

    async def ordinary_traffic(
        self, calls_per_s: float, seconds: float, name: str = "call", is_popular: bool = False
    ) -> None:
        """Send requests at random moments, which differ from each other unless one of them is popular."""
        until = anyio.current_time() + seconds
        number = 0
        while anyio.current_time() < until:
            await anyio.sleep(self.calls_drawn.expovariate(calls_per_s))
            number += 0 if is_popular else 1
            self.group.start_soon(self.call, f"{APPLICATION_PREFIX}{name}-{number}".encode())

    # Troubles.

    async def lose_workers(self, num_workers: int) -> None:
        """End workers at the same moment, through no request's fault."""
        for worker in self.application_workers()[:num_workers]:
            self.fleet.application.crash(worker)

    async def reset_connections(self) -> None:
        """Break all connections to workers, which live on."""
        self.fleet.application.num_resets += 1

    async def lose_node(self, slot: NodeSlot, seconds: float) -> None:
        """Kill a node and start another process there some time later."""
        with self.disturbed(slot.name):
            self.kill_node(slot)
            await anyio.sleep(seconds)
        self.start_node(slot)

    async def lose_store(self, seconds: float) -> None:
        """Have the store refuse all calls for a while."""
        with self.disturbed(None):
            await with_faults(self, seconds, is_down=True)

    async def cut_node(self, slot: NodeSlot, seconds: float) -> None:
        """Have the store out of one node's reach for a while."""
        with self.disturbed(slot.name):
            await cut_node(self, slot, seconds)

    @contextmanager
    def disturbed(self, node: str | None) -> Iterator[None]:
        """Note that a node, or the store for None, is disturbed meanwhile."""
        started = anyio.current_time()
        try:
            yield
        finally:
            self.disturbances.append(Disturbance(node, started, anyio.current_time()))

    def was_in_touch(self, node: str, at: float) -> bool:
        """Return whether neither a node nor the store had been disturbed for a while."""
        return not any(
            disturbance.started_at <= at and disturbance.ended_at >= at - CONTACT_S
            for disturbance in self.disturbances
            if disturbance.node in (node, None)
        )
