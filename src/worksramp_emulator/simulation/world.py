"""Simulates a deployment on the virtual clock: nodes, back ends, platform services, callers and a trainer."""

import random
import uuid
from dataclasses import dataclass

import anyio
import anyio.abc
import httpx
import msgspec

from worksramp.backends.base import GenerateRequest, Machine, MachineRole
from worksramp.gateway.app import make_application
from worksramp.node.node import Identity, Node
from worksramp.outcomes import NotStartedError, StepError
from worksramp.rollout.document import TenantDocument, group_name
from worksramp.rollout.prompts import prompt_set_name, prompt_stream, write_prompts
from worksramp_emulator.engine import EngineCore
from worksramp_emulator.platform import ApplicationCore, LogCore, MachineListCore, WeightStoreCore
from worksramp_emulator.simulation.clients import PlatformCores
from worksramp_emulator.simulation.history import (
    BatchTaken,
    History,
    KeyedAnswered,
    LiveAnswered,
    NodeStopped,
    PublishAnswered,
    RevisionAccepted,
    RevisionSeen,
)
from worksramp_emulator.simulation.host import Host
from worksramp_emulator.simulation.network import SimulatedNetwork, SimulatedTransport
from worksramp_emulator.simulation.world_spec import (
    APPLICATION,
    CALLER_KEY,
    FLEET,
    JOB,
    MODEL,
    OPERATOR_KEY,
    TENANT,
    TRAINER_KEY,
    ZONES,
    WorldSpec,
    node_settings,
    peer_address,
    tenant_document,
)
from worksramp_emulator.text import expected_completion
from worksramp_emulator.trainer import FetchResult, TrainerRecord, decode_batch, run_trainer

OBSERVE_SECONDS = 0.05
STOP_POLL_SECONDS = 0.1
START_TIMEOUT_SECONDS = 60.0
CLIENT_TIMEOUT_SECONDS = 40.0
LIVE_MAX_TOKENS = 48
EPOCH_MS = 1_790_000_000_000
OK = 200
MILLISECONDS = 1000


@dataclass(slots=True)
class Slot:
    """A position in the deployment at which a node runs.

    Attributes:
        generation: number of starts so far; each start has its own instance id.
        host: where the current node process runs.
        scope: cancels the current node process.
    """

    index: int
    generation: int = 0
    host: Host | None = None
    node: Node | None = None
    scope: anyio.CancelScope | None = None

    @property
    def name(self) -> str:
        """Name of the node's host on the network."""
        return f"node-{self.index}"


class World:
    """Owns all parts of one simulated deployment.

    Args:
        spec: size and settings.
        seed: seeds every random choice of the simulation.
        group: runs everything outside the node processes.
    """

    def __init__(self, spec: WorldSpec, seed: int, group: anyio.abc.TaskGroup) -> None:
        self.spec = spec
        self.rng = random.Random(seed)
        self.group = group
        self.history = History()
        self.network = SimulatedNetwork(group, self.rng, spec.network)
        machine_list = MachineListCore(spec.machine_list_lag_seconds)
        self.cores = PlatformCores(LogCore(), WeightStoreCore(), machine_list)
        self.slots = [Slot(index) for index in range(spec.num_nodes)]
        self.trainer = TrainerRecord()
        self.trainer_version = 1
        self.is_trainer_done = False
        self.client = Host("client", "outside")
        self._num_keys = 0
        self._add_workers()

    async def start(self) -> None:
        """Start all parts and publish the first configuration.

        Raises:
            TimeoutError: the nodes were not ready, or the change not accepted, in time.
        """
        for engine in self.cores.engines.values():
            self.group.start_soon(engine.run)
        for slot in self.slots:
            self.start_node(slot)
        prompts = tuple(f"Prompt number {number} of the job" for number in range(8))
        name = prompt_set_name(prompts)
        await write_prompts(self.cores.log, prompt_stream(TENANT, name), prompts)
        self.cores.store.publish(MODEL, 1)
        await self._publish_first(tenant_document(self.spec, name, len(prompts)))
        self.group.start_soon(self._observe)

    def start_node(self, slot: Slot) -> None:
        """Start a new node process in a slot."""
        slot.generation += 1
        host = Host(slot.name, ZONES[slot.index % len(ZONES)])
        slot.host = host
        slot.scope = anyio.CancelScope()
        identity = Identity(f"{slot.name}.{slot.generation}", self.rng.randrange(2**32))
        transport = SimulatedTransport(peer_address(slot.index), host, self.network)
        platform = self.cores.clients_for(host, self.network, self.group, self.rng)
        slot.node = Node(
            node_settings(slot.index, host.zone), identity, platform, transport, self.wall_clock_ms
        )
        self.group.start_soon(self._run_node, slot, host, slot.node, slot.scope)

    def kill(self, slot: Slot) -> None:
        """Kill the node process of a slot; its state in memory is lost."""
        if slot.host is not None and slot.scope is not None:
            slot.host.mark_dead()
            slot.scope.cancel()

    async def stop(self, slot: Slot) -> None:
        """Stop the node of a slot gracefully, wait until it has ended and record the stop."""
        node, host = slot.node, slot.host
        assert node is not None
        assert host is not None
        assert host.group is not None
        host.group.start_soon(node.stop)
        while host.is_alive:
            await anyio.sleep(STOP_POLL_SECONDS)
        self.history.add(NodeStopped(anyio.current_time(), slot.name, host.num_aborted))

    def live_slots(self) -> list[Slot]:
        """Return the slots whose node is running and ready."""
        return [
            slot
            for slot in self.slots
            if slot.host is not None and slot.host.is_alive and slot.node is not None and slot.node.is_ready
        ]

    def owner_of(self, shard: str) -> Slot | None:
        """Return the first slot whose running node serves a shard as its owner, or None."""
        for slot in self.slots:
            is_up = slot.host is not None and slot.host.is_alive
            if is_up and slot.node is not None and shard in slot.node.shards.services():
                return slot
        return None

    async def run_trainer(self) -> None:
        """Run the trainer of the job until it has done all its steps."""
        spec = self.spec
        await run_trainer(
            self._fetch, self._publish_weights, self.trainer, spec.num_steps, spec.train_seconds
        )
        self.is_trainer_done = True

    async def ask_live(self, number: int, deadline_seconds: float = 30.0) -> None:
        """Send one live request to a random ready gateway and record its outcome.

        Args:
            number: number of the request; it determines the id, the prompt and the seed.
            deadline_seconds: deadline of the request.
        """
        prompt, seed = f"Live question {number % 5}", number
        request = GenerateRequest(f"live-{number}", MODEL, prompt, LIVE_MAX_TOKENS, seed)
        asked_at = anyio.current_time()
        text, outcome = "", "completed"
        error: StepError | None = None
        slot = self._pick_slot()
        try:
            if slot is None or slot.host is None or slot.node is None:
                raise NotStartedError("client.connect", "gateways", "no gateway is ready", 1.0)
            node = slot.node
            text = await slot.host.serve(
                "client.complete", lambda: self._complete(node, request, deadline_seconds)
            )
        except NotStartedError as failure:
            outcome, error = "not_run", failure
        except StepError as failure:
            outcome, error = "unknown", failure
        is_whole = text == expected_completion(prompt, seed, LIVE_MAX_TOKENS)
        self._record_live(request.request_id, outcome, is_whole, asked_at, deadline_seconds, error)

    async def ask_keyed(self, key: str, body: bytes, deadline_seconds: float = 10.0) -> str:
        """Submit a keyed request to a random ready gateway, record the outcome and return it."""
        headers = {"idempotency-key": key, "x-deadline-seconds": str(deadline_seconds)}
        path = f"/v1/applications/{APPLICATION}/confirm"
        response = await self.http(self._pick_slot(), "POST", path, CALLER_KEY, body, headers)
        outcome, reason, retry_after, is_own = "unknown", "no answer", 0.0, True
        if response is not None and response.status_code == OK:
            outcome, reason = "completed", ""
            is_own = response.content == b'{"echo":' + body + b"}"
        elif response is not None:
            error = response.json()
            outcome, reason = error["outcome"], error["reason"]
            retry_after = error.get("retry_after_seconds", 0.0)
        self.history.add(KeyedAnswered(anyio.current_time(), key, outcome, is_own, retry_after, reason))
        return outcome

    async def publish(self, change_id: str, expected_revision: int, document: TenantDocument) -> str:
        """Publish a configuration change through a random ready gateway, record the outcome and return it."""
        change = {
            "change_id": change_id,
            "expected_revision": expected_revision,
            "document": document,
        }
        body = msgspec.json.encode(change)
        response = await self.http(self._pick_slot(), "PUT", "/v1/configuration", OPERATOR_KEY, body)
        now = anyio.current_time()
        if response is not None and response.status_code == OK:
            self.history.add(RevisionAccepted(now, change_id, response.json()["revision"]))
            return "accepted"
        outcome = response.json()["outcome"] if response is not None else "unknown"
        self.history.add(PublishAnswered(now, change_id, outcome))
        return str(outcome)

    async def http(
        self,
        slot: Slot | None,
        method: str,
        path: str,
        key: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> httpx.Response | None:
        """Send one HTTP request to a node and return the response.

        The request is handled inside the process of the node.

        Returns:
            The response, or None if the slot has no node or no response came in time.
        """
        if slot is None or slot.host is None or slot.node is None or slot.host.group is None:
            return None
        node, group = slot.node, slot.host.group
        all_headers = {"authorization": f"Bearer {key}"} | (headers or {})

        async def send_request() -> httpx.Response:
            transport = httpx.ASGITransport(app=make_application(node, group))
            async with httpx.AsyncClient(transport=transport, base_url="http://node") as client:
                return await client.request(method, path, content=body, headers=all_headers)

        host = slot.host
        with anyio.move_on_after(CLIENT_TIMEOUT_SECONDS):
            try:
                return await host.serve("client.http", send_request)
            except StepError:
                return None
        return None

    def new_key(self) -> str:
        """Return a new idempotency key: a version 7 UUID with the virtual time."""
        self._num_keys += 1
        value = self.wall_clock_ms() << 80 | 0x7 << 76 | 0b10 << 62 | self._num_keys
        return str(uuid.UUID(int=value))

    def wall_clock_ms(self) -> int:
        """Return the Unix time of the virtual clock, in milliseconds."""
        return EPOCH_MS + int(anyio.current_time() * MILLISECONDS)

    async def _run_node(self, slot: Slot, host: Host, node: Node, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as group:
                host.group = group
                await node.run()
                group.cancel_scope.cancel()
        host.mark_dead()

    async def _publish_first(self, document: TenantDocument) -> None:
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            while len(self.live_slots()) < len(self.slots):
                await anyio.sleep(0.1)
            while await self.publish("first", 0, document) != "accepted":
                await anyio.sleep(0.5)

    async def _complete(self, node: Node, request: GenerateRequest, deadline_seconds: float) -> str:
        fleet = group_name(TENANT, FLEET)
        chunks = node.live.complete(TENANT, fleet, request, deadline_seconds)
        return "".join([token async for chunk in chunks for token in chunk.tokens])

    def _record_live(
        self,
        request: str,
        outcome: str,
        is_whole: bool,
        asked_at: float,
        deadline_seconds: float,
        error: StepError | None,
    ) -> None:
        now = anyio.current_time()
        retry_after = error.retry_after_seconds if isinstance(error, NotStartedError) else None
        self.history.add(
            LiveAnswered(
                at=now,
                request=request,
                outcome=outcome,
                is_whole=is_whole,
                seconds=now - asked_at,
                deadline_seconds=deadline_seconds,
                retry_after_seconds=retry_after or 0.0,
                reason=str(error) if error else "",
            )
        )

    async def _fetch(self, cursor: int, weight_version: int) -> FetchResult:
        path = f"/v1/jobs/{JOB}/batches/{cursor}?trainer_version={weight_version}"
        response = await self.http(self._pick_slot(), "GET", path, TRAINER_KEY)
        if response is None or response.status_code != OK:
            return FetchResult(None)
        batch = decode_batch(response.content)
        indices = tuple(sample.index for sample in batch.samples)
        taken = BatchTaken(anyio.current_time(), JOB, cursor, batch.attempt, weight_version, indices)
        self.history.add(taken)
        return FetchResult(batch)

    async def _publish_weights(self, weight_version: int) -> None:
        self.trainer_version = weight_version
        self.cores.store.publish(MODEL, weight_version)

    async def _observe(self) -> None:
        """Record the revision in force on each ready node whenever it changes."""
        seen: dict[str, tuple[str, int]] = {}
        while True:
            for slot in self.live_slots():
                assert slot.node is not None
                instance = slot.node.identity.instance_id
                revision = slot.node.configuration.fold.revision_of(TENANT)
                if seen.get(slot.name) != (instance, revision):
                    seen[slot.name] = (instance, revision)
                    now = anyio.current_time()
                    self.history.add(RevisionSeen(now, slot.name, instance, revision))
            await anyio.sleep(OBSERVE_SECONDS)

    def _pick_slot(self) -> Slot | None:
        """Return a random ready slot, as a load balancer in front of the gateways chooses, or None."""
        slots = self.live_slots()
        return self.rng.choice(slots) if slots else None

    def _add_workers(self) -> None:
        machines = [
            Machine(f"node-{index}", MachineRole.NODE, peer_address(index), ZONES[index % len(ZONES)])
            for index in range(self.spec.num_nodes)
        ]
        for index in range(self.spec.num_engines):
            core = EngineCore(f"engine-{index}", self.spec.engine)
            self.cores.engines[self._add_host(core.engine_id, index)] = core
            machines.append(self._machine(core.engine_id, MachineRole.ENGINE, FLEET, index))
        for index in range(self.spec.num_applications):
            worker = ApplicationCore(f"application-{index}", service_seconds=0.05)
            self.cores.applications[self._add_host(worker.worker_id, index)] = worker
            machines.append(self._machine(worker.worker_id, MachineRole.APPLICATION, APPLICATION, index))
        self.cores.machine_list.set_machines(tuple(machines))

    def _add_host(self, name: str, index: int) -> str:
        address = f"{name}:8000"
        self.cores.worker_hosts[address] = Host(name, ZONES[index % len(ZONES)])
        return address

    def _machine(self, name: str, role: MachineRole, group: str, index: int) -> Machine:
        zone = ZONES[index % len(ZONES)]
        return Machine(name, role, f"{name}:8000", zone, group_name(TENANT, group))
