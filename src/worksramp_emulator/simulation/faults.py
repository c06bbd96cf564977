"""Faults that a schedule may hold, how they are drawn, and how they are applied to a world."""

import random

import anyio
import msgspec

from worksramp_emulator.simulation.history import FaultApplied, WorkerLeft
from worksramp_emulator.simulation.world import JOB, TENANT, Slot, World

MIN_LIVE_WORKERS = 2


class KillNode(msgspec.Struct, frozen=True, tag="kill_node"):
    """A node dies and comes back empty after ``seconds``; ``slot`` -1 means the job's owner."""

    slot: int
    seconds: float


class FreezeNode(msgspec.Struct, frozen=True, tag="freeze_node"):
    """A node stands still, unaware, for ``seconds``; ``slot`` -1 means the job's owner."""

    slot: int
    seconds: float


class StopNode(msgspec.Struct, frozen=True, tag="stop_node"):
    """A node is stopped in order, and another starts in its place."""

    slot: int


class CutNode(msgspec.Struct, frozen=True, tag="cut_node"):
    """A node is cut off from the other nodes: ``in``, ``out`` or ``both`` ways."""

    slot: int
    seconds: float
    direction: str


class CutLog(msgspec.Struct, frozen=True, tag="cut_log"):
    """A node is cut off from the log."""

    slot: int
    seconds: float


class CutZone(msgspec.Struct, frozen=True, tag="cut_zone"):
    """A zone is cut off from everything outside it."""

    zone: str
    seconds: float


class LogOutage(msgspec.Struct, frozen=True, tag="log_outage"):
    """The log is down."""

    seconds: float


class SlowLog(msgspec.Struct, frozen=True, tag="slow_log"):
    """Every answer of the log takes longer."""

    seconds: float
    extra_seconds: float


class LoseLogReplies(msgspec.Struct, frozen=True, tag="lose_log_replies"):
    """Replies to appends are lost after the append took effect."""

    count: int


class DelayAppends(msgspec.Struct, frozen=True, tag="delay_appends"):
    """A share of appends takes effect only after the client gave up on them."""

    seconds: float
    share: float


class CrashEngine(msgspec.Struct, frozen=True, tag="crash_engine"):
    """An engine loses everything and comes back with old weights."""

    engine: int
    seconds: float


class FailLoad(msgspec.Struct, frozen=True, tag="fail_load"):
    """An engine's next weight load fails half-way."""

    engine: int


class LeaveEngine(msgspec.Struct, frozen=True, tag="leave_engine"):
    """An engine begins to leave; the machine list learns of it late."""

    engine: int


class LoseReports(msgspec.Struct, frozen=True, tag="lose_reports"):
    """Load reports of an engine are lost."""

    engine: int
    seconds: float


class LeaveApplication(msgspec.Struct, frozen=True, tag="leave_application"):
    """An application worker begins to leave."""

    worker: int


class LoseApplicationReplies(msgspec.Struct, frozen=True, tag="lose_application_replies"):
    """Replies of an application worker are lost after it ran the request."""

    worker: int
    count: int


class RaceOperators(msgspec.Struct, frozen=True, tag="race_operators"):
    """Operators publish conflicting changes from the same revision at once."""

    num_operators: int


Fault = (
    KillNode
    | FreezeNode
    | StopNode
    | CutNode
    | CutLog
    | CutZone
    | LogOutage
    | SlowLog
    | LoseLogReplies
    | DelayAppends
    | CrashEngine
    | FailLoad
    | LeaveEngine
    | LoseReports
    | LeaveApplication
    | LoseApplicationReplies
    | RaceOperators
)


class ScheduledFault(msgspec.Struct, frozen=True):
    """A fault and when it begins, in seconds after the start."""

    at: float
    fault: Fault


def draw_fault(rng: random.Random, num_nodes: int, num_engines: int, num_workers: int) -> Fault:
    """Draw one fault."""
    slot = rng.randrange(-1, num_nodes)
    engine = rng.randrange(num_engines)
    worker = rng.randrange(num_workers)
    choices: list[Fault] = [
        KillNode(slot, rng.uniform(1.0, 15.0)),
        FreezeNode(slot, rng.uniform(1.0, 20.0)),
        StopNode(max(0, slot)),
        CutNode(max(0, slot), rng.uniform(1.0, 15.0), rng.choice(["in", "out", "both"])),
        CutZone(rng.choice(["wro-a", "wro-b", "lodz-c"]), rng.uniform(1.0, 15.0)),
        CutLog(max(0, slot), rng.uniform(1.0, 20.0)),
        LogOutage(rng.uniform(1.0, 20.0)),
        SlowLog(rng.uniform(1.0, 15.0), rng.uniform(0.2, 4.0)),
        LoseLogReplies(rng.randrange(1, 12)),
        DelayAppends(rng.uniform(1.0, 15.0), rng.uniform(0.1, 0.7)),
        CrashEngine(engine, rng.uniform(1.0, 10.0)),
        FailLoad(engine),
        LeaveEngine(engine),
        LoseReports(engine, rng.uniform(1.0, 20.0)),
        LeaveApplication(worker),
        LoseApplicationReplies(worker, rng.randrange(1, 6)),
        RaceOperators(rng.randrange(2, 4)),
    ]
    return rng.choice(choices)


def draw_schedule(rng: random.Random, num_faults: int, seconds: float, world: World) -> list[ScheduledFault]:
    """Draw faults at random times."""
    spec = world.spec
    return [
        ScheduledFault(
            rng.uniform(0.0, seconds),
            draw_fault(rng, spec.num_nodes, spec.num_engines, spec.num_applications),
        )
        for _ in range(num_faults)
    ]


async def run_schedule(world: World, schedule: list[ScheduledFault]) -> None:
    """Apply every fault at its time and return once all are over."""
    started_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        for item in sorted(schedule, key=lambda scheduled: scheduled.at):
            await anyio.sleep(max(0.0, started_at + item.at - anyio.current_time()))
            group.start_soon(apply_fault, world, item.fault)


async def apply_fault(world: World, fault: Fault) -> None:
    """Apply one fault and return once it is over."""
    world.history.add(FaultApplied(anyio.current_time(), msgspec.json.encode(fault).decode()))
    match fault:
        case KillNode():
            await _kill(world, _slot(world, fault.slot), fault.seconds)
        case FreezeNode():
            await _freeze(_slot(world, fault.slot), fault.seconds)
        case StopNode():
            await _stop(world, world.slots[fault.slot])
        case CutNode() | CutLog() | CutZone():
            await _cut(world, _cut_pairs(world, fault), fault.seconds)
        case LogOutage() | SlowLog() | LoseLogReplies() | DelayAppends():
            await _trouble_log(world, fault)
        case CrashEngine() | FailLoad() | LeaveEngine() | LoseReports():
            await _trouble_engine(world, fault)
        case LeaveApplication() | LoseApplicationReplies():
            _trouble_application(world, fault)
        case RaceOperators():
            await _race(world, fault.num_operators)


def _slot(world: World, index: int) -> Slot:
    if index >= 0:
        return world.slots[index]
    return world.owner_of(f"job.{TENANT}.{JOB}") or world.slots[0]


async def _kill(world: World, slot: Slot, seconds: float) -> None:
    host = slot.host
    if host is None or not host.is_alive:
        return
    world.kill(slot)
    await anyio.sleep(seconds)
    if slot.host is host:
        world.start_node(slot)


async def _freeze(slot: Slot, seconds: float) -> None:
    host = slot.host
    if host is None:
        return
    host.freeze()
    await anyio.sleep(seconds)
    host.thaw()


async def _stop(world: World, slot: Slot) -> None:
    host, node = slot.host, slot.node
    if host is None or node is None or not host.is_alive or host.is_frozen or not node.is_ready:
        return
    world.group.start_soon(world.stop, slot)
    while host.is_alive:
        await anyio.sleep(0.5)
    if slot.host is host:
        world.start_node(slot)


def _cut_pairs(world: World, fault: CutNode | CutLog | CutZone) -> list[tuple[str, str]]:
    if isinstance(fault, CutLog):
        own, log = world.slots[fault.slot].name, world.cores.log_host.name
        return [(own, log), (log, own)]
    names = [slot.name for slot in world.slots]
    if isinstance(fault, CutNode):
        own = world.slots[fault.slot].name
        others = [name for name in names if name != own]
        out = [(own, name) for name in others] if fault.direction in ("out", "both") else []
        inward = [(name, own) for name in others] if fault.direction in ("in", "both") else []
        return out + inward
    workers = [(host.name, host.zone) for host in world.cores.worker_hosts.values()]
    nodes = [(slot.name, slot.host.zone) for slot in world.slots if slot.host is not None]
    inside = [name for name, zone in nodes + workers if zone == fault.zone]
    outside = [name for name, zone in nodes + workers if zone != fault.zone]
    outside += [world.cores.log_host.name, world.cores.platform_host.name]
    pairs = [(a, b) for a in inside for b in outside]
    return pairs + [(b, a) for a, b in pairs]


async def _cut(world: World, pairs: list[tuple[str, str]], seconds: float) -> None:
    for source, target in pairs:
        world.network.cut(source, target)
    await anyio.sleep(seconds)
    for source, target in pairs:
        world.network.heal(source, target)


async def _trouble_log(world: World, fault: LogOutage | SlowLog | LoseLogReplies | DelayAppends) -> None:
    faults = world.cores.log.faults
    match fault:
        case LogOutage():
            faults.is_down = True
            await anyio.sleep(fault.seconds)
            faults.is_down = False
        case SlowLog():
            faults.extra_seconds = fault.extra_seconds
            await anyio.sleep(fault.seconds)
            faults.extra_seconds = 0.0
        case LoseLogReplies():
            faults.num_lost_replies += fault.count
        case DelayAppends():
            world.cores.late_append_share = fault.share
            await anyio.sleep(fault.seconds)
            world.cores.late_append_share = 0.0


async def _trouble_engine(world: World, fault: CrashEngine | FailLoad | LeaveEngine | LoseReports) -> None:
    engines = list(world.cores.engines.values())
    engine = engines[fault.engine]
    match fault:
        case CrashEngine():
            if engine.faults.is_down:
                return
            engine.crash()
            await anyio.sleep(fault.seconds)
            engine.restart(max(1, engine.weight_version - 1))
        case FailLoad():
            engine.fail_next_load = True
        case LoseReports():
            engine.are_reports_lost = True
            await anyio.sleep(fault.seconds)
            engine.are_reports_lost = False
        case LeaveEngine():
            if sum(1 for item in engines if not item.is_leaving) <= MIN_LIVE_WORKERS or engine.is_leaving:
                return
            engine.leave()
            world.history.add(WorkerLeft(anyio.current_time(), engine.engine_id))
            _list_as_leaving(world, engine.engine_id)


def _trouble_application(world: World, fault: LeaveApplication | LoseApplicationReplies) -> None:
    workers = list(world.cores.applications.values())
    worker = workers[fault.worker]
    if isinstance(fault, LoseApplicationReplies):
        worker.faults.num_lost_replies += fault.count
        return
    if sum(1 for item in workers if not item.is_leaving) <= 1 or worker.is_leaving:
        return
    worker.is_leaving = True
    world.history.add(WorkerLeft(anyio.current_time(), worker.worker_id))
    _list_as_leaving(world, worker.worker_id)


def _list_as_leaving(world: World, machine_id: str) -> None:
    machine_list = world.cores.machine_list
    machine_list.set_machines(
        tuple(
            msgspec.structs.replace(machine, is_leaving=True) if machine.machine_id == machine_id else machine
            for machine in machine_list.truth()
        )
    )


async def _race(world: World, num_operators: int) -> None:
    """Let operators publish from the same revision at once; only one may win."""
    slots = world.live_slots()
    if not slots or slots[0].node is None:
        return
    node = slots[0].node
    document = node.documents.get(TENANT)
    if document is None:
        return
    revision = node.configuration.fold.revision_of(TENANT)
    async with anyio.create_task_group() as group:
        for number in range(num_operators):
            changed = msgspec.structs.replace(document, max_live_concurrency=100 + revision * 10 + number)
            change_id = f"race-{anyio.current_time():.3f}-{number}"
            group.start_soon(world.publish, change_id, revision, changed)
