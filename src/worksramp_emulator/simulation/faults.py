"""Defines the faults of a schedule and draws random ones.

See Also:
    worksramp_emulator.simulation.fault_runner: applies them to a deployment.
"""

import random

import msgspec

from worksramp_emulator.simulation.world_spec import WorldSpec


class KillNode(msgspec.Struct, frozen=True, tag="kill_node"):
    """A node is killed and restarts without state after ``seconds``; ``slot`` -1 is the owner of the job."""

    slot: int
    seconds: float


class FreezeNode(msgspec.Struct, frozen=True, tag="freeze_node"):
    """A node is frozen for ``seconds`` without being notified; ``slot`` -1 is the owner of the job."""

    slot: int
    seconds: float


class StopNode(msgspec.Struct, frozen=True, tag="stop_node"):
    """A node is stopped gracefully, and another one starts in its slot."""

    slot: int


class CutNode(msgspec.Struct, frozen=True, tag="cut_node"):
    """A node is partitioned from the other nodes.

    Attributes:
        direction: ``in``, ``out`` or ``both``: which messages are dropped, as seen from the node.
    """

    slot: int
    seconds: float
    direction: str


class CutLog(msgspec.Struct, frozen=True, tag="cut_log"):
    """A node is partitioned from the log."""

    slot: int
    seconds: float


class CutZone(msgspec.Struct, frozen=True, tag="cut_zone"):
    """A zone is partitioned from everything outside it."""

    zone: str
    seconds: float


class LogOutage(msgspec.Struct, frozen=True, tag="log_outage"):
    """The log is unavailable."""

    seconds: float


class SlowLog(msgspec.Struct, frozen=True, tag="slow_log"):
    """Every call to the log takes ``extra_seconds`` longer."""

    seconds: float
    extra_seconds: float


class LoseLogReplies(msgspec.Struct, frozen=True, tag="lose_log_replies"):
    """The next ``count`` replies to appends are lost after the append took effect."""

    count: int


class DelayAppends(msgspec.Struct, frozen=True, tag="delay_appends"):
    """A share of appends gets no reply and takes effect later, possibly after the client has timed out."""

    seconds: float
    share: float


class CrashEngine(msgspec.Struct, frozen=True, tag="crash_engine"):
    """An engine crashes, losing its state, and restarts with older weights after ``seconds``."""

    engine: int
    seconds: float


class FailLoad(msgspec.Struct, frozen=True, tag="fail_load"):
    """The next weight load of an engine fails part-way."""

    engine: int


class LeaveEngine(msgspec.Struct, frozen=True, tag="leave_engine"):
    """An engine begins to drain; the machine list shows it only after its lag."""

    engine: int


class LoseReports(msgspec.Struct, frozen=True, tag="lose_reports"):
    """The load reports of an engine are lost for ``seconds``."""

    engine: int
    seconds: float


class LeaveApplication(msgspec.Struct, frozen=True, tag="leave_application"):
    """An application worker begins to drain."""

    worker: int


class LoseApplicationReplies(msgspec.Struct, frozen=True, tag="lose_application_replies"):
    """The next ``count`` replies of an application worker are lost after it ran the request."""

    worker: int
    count: int


class RaceOperators(msgspec.Struct, frozen=True, tag="race_operators"):
    """Operators publish conflicting changes from the same revision concurrently."""

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
    """A fault and the time at which it begins, in seconds after the start of the schedule."""

    at: float
    fault: Fault


def draw_fault(rng: random.Random, num_nodes: int, num_engines: int, num_workers: int) -> Fault:
    """Return a random fault for a deployment of the given size."""
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
    """Return random faults at random times within some seconds."""
    return [
        ScheduledFault(
            rng.uniform(0.0, seconds),
            draw_fault(rng, spec.num_nodes, spec.num_engines, spec.num_applications),
        )
        for _ in range(num_faults)
    ]
