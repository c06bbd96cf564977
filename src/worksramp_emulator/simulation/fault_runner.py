"""Applies faults to a simulated deployment."""

import anyio
import msgspec

from worksramp_emulator.simulation.faults import (
    CrashEngine,
    CutLog,
    CutNode,
    CutZone,
    DelayAppends,
    FailLoad,
    Fault,
    FreezeNode,
    KillNode,
    LeaveApplication,
    LeaveEngine,
    LogOutage,
    LoseApplicationReplies,
    LoseLogReplies,
    LoseReports,
    RaceOperators,
    ScheduledFault,
    SlowLog,
    StopNode,
)
from worksramp_emulator.simulation.history import FaultApplied, WorkerLeft
from worksramp_emulator.simulation.world import Slot, World
from worksramp_emulator.simulation.world_spec import JOB, TENANT

MIN_ACTIVE_ENGINES = 2


async def run_schedule(world: World, schedule: list[ScheduledFault]) -> None:
    """Apply each fault at its time and return when all of them are over."""
    started_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        for item in sorted(schedule, key=lambda scheduled: scheduled.at):
            await anyio.sleep(max(0.0, started_at + item.at - anyio.current_time()))
            group.start_soon(apply_fault, world, item.fault)


async def apply_fault(world: World, fault: Fault) -> None:
    """Record one fault, apply it and return when it is over."""
    world.history.add(FaultApplied(anyio.current_time(), msgspec.json.encode(fault).decode()))
    match fault:
        case KillNode():
            await _kill(world, _slot(world, fault.slot), fault.seconds)
        case FreezeNode():
            await _freeze(_slot(world, fault.slot), fault.seconds)
        case StopNode():
            await _stop(world, world.slots[fault.slot])
        case CutNode() | CutLog() | CutZone():
            await _partition(world, _partitioned_pairs(world, fault), fault.seconds)
        case LogOutage() | SlowLog() | LoseLogReplies() | DelayAppends():
            await _apply_log_fault(world, fault)
        case CrashEngine() | FailLoad() | LeaveEngine() | LoseReports():
            await _apply_engine_fault(world, fault)
        case LeaveApplication() | LoseApplicationReplies():
            _apply_application_fault(world, fault)
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


def _partitioned_pairs(world: World, fault: CutNode | CutLog | CutZone) -> list[tuple[str, str]]:
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


async def _partition(world: World, pairs: list[tuple[str, str]], seconds: float) -> None:
    for source, target in pairs:
        world.network.partition(source, target)
    await anyio.sleep(seconds)
    for source, target in pairs:
        world.network.heal(source, target)


async def _apply_log_fault(world: World, fault: LogOutage | SlowLog | LoseLogReplies | DelayAppends) -> None:
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


async def _apply_engine_fault(
    world: World, fault: CrashEngine | FailLoad | LeaveEngine | LoseReports
) -> None:
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
            if sum(1 for item in engines if not item.is_leaving) <= MIN_ACTIVE_ENGINES or engine.is_leaving:
                return
            engine.leave()
            world.history.add(WorkerLeft(anyio.current_time(), engine.engine_id))
            _list_as_draining(world, engine.engine_id)


def _apply_application_fault(world: World, fault: LeaveApplication | LoseApplicationReplies) -> None:
    workers = list(world.cores.applications.values())
    worker = workers[fault.worker]
    if isinstance(fault, LoseApplicationReplies):
        worker.faults.num_lost_replies += fault.count
        return
    if sum(1 for item in workers if not item.is_leaving) <= 1 or worker.is_leaving:
        return
    worker.is_leaving = True
    world.history.add(WorkerLeft(anyio.current_time(), worker.worker_id))
    _list_as_draining(world, worker.worker_id)


def _list_as_draining(world: World, machine_id: str) -> None:
    machine_list = world.cores.machine_list
    machine_list.set_machines(
        tuple(
            msgspec.structs.replace(machine, is_leaving=True) if machine.machine_id == machine_id else machine
            for machine in machine_list.truth()
        )
    )


async def _race(world: World, num_operators: int) -> None:
    """Publish changes from the same revision concurrently; at most one may be accepted."""
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
