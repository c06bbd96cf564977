"""Faults that a schedule may hold, and how they are drawn.

See Also:
    worksramp_emulator.simulation.fault_runner: how they are applied to a world.
"""

import random

import msgspec

from worksramp_emulator.simulation.world_spec import WorldSpec


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


def draw_schedule(
    rng: random.Random, num_faults: int, seconds: float, spec: WorldSpec
) -> list[ScheduledFault]:
    """Draw faults at random times."""
    return [
        ScheduledFault(
            rng.uniform(0.0, seconds),
            draw_fault(rng, spec.num_nodes, spec.num_engines, spec.num_applications),
        )
        for _ in range(num_faults)
    ]
