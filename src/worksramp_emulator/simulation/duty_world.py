"""Simulates the duties of edge nodes under faults, and checks every call that the platform received."""

import random
from collections import Counter
from dataclasses import dataclass, field

import anyio
import anyio.abc

from worksramp.logs import configure_logs
from worksramp_emulator.duty_platform import DutyFaults, ReceivedDutyCall
from worksramp_emulator.simulation.batch_faults import (
    Action,
    compact_store,
    cut_owner,
    inject_after,
    kill_all,
    kill_owner,
    stop_owner,
    with_faults,
)
from worksramp_emulator.simulation.batch_world import (
    DUTY_LATE_S,
    DUTY_WINDOW_S,
    BatchWorld,
    BatchWorldSpec,
    NodeSlot,
)
from worksramp_emulator.simulation.clock import run_simulated

LEASE_S = 3.0
FAULT_S = 20.0
CALM_S = 25.0
TENANTS = ("a", "b", "c")
MEAN_PAUSE_S = 0.1
#: What a node has counted for this long before it is killed must be in the reports.
STORED_AFTER_S = 0.8
#: Windows that end this long after the last fault must be reported correctly and in time.
SETTLE_S = 8.0


@dataclass(slots=True)
class CountedRequest:
    """A request that a worker began to run.

    Attributes:
        is_lost: whether the counting node was killed before it could store the count.
    """

    at: float
    tenant: str
    node: str
    is_lost: bool = False


@dataclass(slots=True)
class DutyRun:
    """What happened in one run.

    Attributes:
        calm_from: time after which no fault was injected.
    """

    calls: list[ReceivedDutyCall] = field(default_factory=list)
    requests: list[CountedRequest] = field(default_factory=list)
    calm_from: float = 0.0
    ended_at: float = 0.0


async def _count_requests(world: BatchWorld, run: DutyRun) -> None:
    while True:
        await anyio.sleep(world.rng.expovariate(1 / MEAN_PAUSE_S))
        running = [slot for slot in world.slots if slot.node is not None and slot.node.is_ready]
        if not running:
            continue
        slot = world.rng.choice(running)
        assert slot.node is not None and slot.node.usage is not None
        tenant = world.rng.choice(TENANTS)
        slot.node.usage.count(tenant, 0.0)
        run.requests.append(CountedRequest(anyio.current_time(), tenant, slot.name))


async def _mark_losses(world: BatchWorld, run: DutyRun) -> None:
    """Mark the counts that a killed node cannot have stored; those of a node that stops are not lost."""
    before = {slot.name: slot.node for slot in world.slots}
    while True:
        await anyio.sleep(0.01)
        for slot in world.slots:
            if before[slot.name] is not None and slot.node is not before[slot.name]:
                _mark_recent(run, slot)
            before[slot.name] = slot.node


def _mark_recent(run: DutyRun, slot: NodeSlot) -> None:
    for request in run.requests:
        if request.node == slot.name and request.at > anyio.current_time() - STORED_AFTER_S:
            request.is_lost = True


async def _with_platform_faults(world: BatchWorld, seconds: float, **values: float | bool) -> None:
    platform = world.duty_platform
    assert platform is not None
    for name, value in values.items():
        setattr(platform.faults, name, value)
    await anyio.sleep(seconds)
    for name in values:
        setattr(platform.faults, name, getattr(DutyFaults(), name))


async def suspend_owner(world: BatchWorld, seconds: float) -> None:
    """Let steady time pass on the owner's machine alone, as after a suspension.

    Its time of day does not move along, so its windows are wrong afterwards.
    """
    slot = await world.wait_owner()
    slot.suspended_s += seconds


def _draw_fault(rng: random.Random) -> Action:
    seconds = rng.uniform(1.0, 6.0)
    faults: list[Action] = [
        kill_owner,
        stop_owner,
        kill_all,
        compact_store,
        lambda world: cut_owner(world, seconds),
        lambda world: with_faults(world, seconds, is_down=True),
        lambda world: with_faults(world, seconds, is_down=True, is_silent=True),
        lambda world: with_faults(world, seconds, lost_answers=0.35),
        lambda world: with_faults(world, seconds, late_appends=0.35),
        lambda world: _with_platform_faults(world, seconds, is_down=True),
        lambda world: _with_platform_faults(world, seconds, lost_share=0.5),
        lambda world: _with_platform_faults(world, seconds, late_share=0.5),
        lambda world: _with_platform_faults(world, seconds, answer_s=0.9),
    ]
    return rng.choice(faults)


def run_duty_seed(seed: int, num_faults: int = 4, further: tuple[Action, ...] = ()) -> DutyRun:
    """Run one seed with random faults and return what happened.

    Args:
        further: faults that are injected besides those drawn.
    """
    configure_logs("error")

    async def main() -> DutyRun:
        rng = random.Random(seed)
        run = DutyRun()
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(num_nodes=3, num_workers=2, has_duties=True), seed, group)
            await world.start()
            group.start_soon(_count_requests, world, run)
            group.start_soon(_mark_losses, world, run)
            async with anyio.create_task_group() as faults:
                for fault in (*further, *(_draw_fault(rng) for _ in range(num_faults))):
                    faults.start_soon(inject_after, rng.uniform(0.0, FAULT_S), fault, world)
            run.calm_from = anyio.current_time()
            await anyio.sleep(CALM_S)
            run.ended_at = anyio.current_time()
            assert world.duty_platform is not None
            run.calls = list(world.duty_platform.calls)
            group.cancel_scope.cancel()
        return run

    return run_simulated(main, seed)


def check_duties(run: DutyRun) -> list[str]:
    """Return the violations in a run, as sentences."""
    return [*check_holders(run), *_check_reports(run)]


def check_holders(run: DutyRun) -> list[str]:
    """Return the violations that two holders at once would cause."""
    return [*_check_windows_differ(run), *_check_fences(run), *_check_turns(run)]


def _check_windows_differ(run: DutyRun) -> list[str]:
    found: list[str] = []
    payloads: dict[int, dict[str, int] | int] = {}
    for call in run.calls:
        if call.item is not None and payloads.setdefault(call.item, call.payload) != call.payload:
            found.append(f"window {call.item} was reported as {payloads[call.item]} and {call.payload}")
    return found


def _check_fences(run: DutyRun) -> list[str]:
    machines: dict[tuple[str, int], str] = {}
    return [
        f"fence {call.fence} of {call.subject} was sent by {call.machine} and another machine"
        for call in run.calls
        if machines.setdefault((call.subject, call.fence), call.machine) != call.machine
    ]


def _check_turns(run: DutyRun) -> list[str]:
    found: list[str] = []
    for subject in {call.subject for call in run.calls}:
        last: dict[str, float] = {}
        before = ""
        for call in run.calls:
            if call.subject != subject or not call.is_accepted:
                continue
            since = call.at - last.get(call.machine, float("-inf"))
            if call.machine != before and since < LEASE_S:
                found.append(f"{call.machine} acted on {subject} again after {before} within {since:.2f} s")
            last[call.machine], before = call.at, call.machine
    return found


def _check_reports(run: DutyRun) -> list[str]:
    """Check that each window after the faults is reported in time, and completely but for lost counts."""
    found: list[str] = []
    window = int((run.calm_from + SETTLE_S) // DUTY_WINDOW_S) + 1
    while (window + 1) * DUTY_WINDOW_S + DUTY_LATE_S < run.ended_at:
        begin, due_at = window * DUTY_WINDOW_S, (window + 1) * DUTY_WINDOW_S + DUTY_LATE_S
        reports = [call for call in run.calls if call.item == window and call.is_accepted]
        requests = [r for r in run.requests if begin <= r.at < begin + DUTY_WINDOW_S]
        least = Counter(r.tenant for r in requests if not r.is_lost)
        most = Counter(r.tenant for r in requests)
        if not reports or reports[0].at > due_at:
            found.append(f"window {window} was not reported by {due_at}")
        elif isinstance(reports[0].payload, dict):
            counts = Counter(reports[0].payload)
            if not least <= counts <= most:
                found.append(f"window {window}: {dict(counts)} is not from {dict(least)} to {dict(most)}")
        window += 1
    return found
