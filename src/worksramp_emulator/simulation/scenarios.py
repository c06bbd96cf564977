"""Defines named scenarios: their faults and the property that each of them puts at risk."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from worksramp_emulator.simulation.faults import (
    CrashEngine,
    CutLog,
    CutNode,
    DelayAppends,
    FailLoad,
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
from worksramp_emulator.simulation.world_spec import WorldSpec

Draw = Callable[[random.Random], list[ScheduledFault]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """One kind of fault schedule.

    Attributes:
        property_number: number of the property that the scenario is meant to break.
        checker: name of the checker that fails when the mechanism is switched off.
        mutation: the mechanism to switch off, by its name in `MUTATIONS`.
        draw: returns the fault schedule for one seed.
        spec: size and settings of the deployment.
    """

    name: str
    property_number: int
    checker: str
    mutation: str
    draw: Draw
    spec: WorldSpec = field(default_factory=WorldSpec)


def _at(rng: random.Random, low: float, high: float, fault: object) -> ScheduledFault:
    return ScheduledFault(rng.uniform(low, high), fault)  # type: ignore[arg-type]


def _swaps(rng: random.Random) -> list[ScheduledFault]:
    engine = rng.randrange(5)
    return [
        _at(rng, 0.0, 10.0, FailLoad(engine)),
        _at(rng, 0.0, 12.0, CrashEngine(rng.randrange(5), rng.uniform(1.0, 5.0))),
    ]


def _owner_troubles(rng: random.Random) -> list[ScheduledFault]:
    first = rng.choice([KillNode(-1, 8.0), FreezeNode(-1, rng.uniform(6.0, 20.0))])
    return [
        _at(rng, 0.5, 10.0, first),
        _at(rng, 0.0, 15.0, LoseLogReplies(rng.randrange(1, 10))),
        _at(rng, 0.0, 15.0, DelayAppends(rng.uniform(2.0, 12.0), rng.uniform(0.1, 0.5))),
        _at(rng, 8.0, 22.0, FreezeNode(-1, rng.uniform(6.0, 20.0))),
    ]


def _engine_troubles(rng: random.Random) -> list[ScheduledFault]:
    crashes = [_at(rng, 0.0, 20.0, CrashEngine(engine, rng.uniform(1.0, 4.0))) for engine in range(5)]
    return [*crashes, _at(rng, 0.0, 20.0, FreezeNode(rng.randrange(3), rng.uniform(1.0, 5.0)))]


def _everything_down(rng: random.Random) -> list[ScheduledFault]:
    at = rng.uniform(2.0, 6.0)
    return [
        ScheduledFault(at + rng.uniform(0.0, 1.0), CrashEngine(engine, rng.uniform(4.0, 8.0)))
        for engine in range(5)
    ]


def _lost_answers(rng: random.Random) -> list[ScheduledFault]:
    return [_at(rng, 0.0, 15.0, LoseApplicationReplies(worker, rng.randrange(1, 6))) for worker in range(3)]


def _ledger_troubles(rng: random.Random) -> list[ScheduledFault]:
    faults = [
        _at(rng, 0.0, 18.0, FreezeNode(slot, rng.uniform(5.0, 15.0))) for slot in rng.sample(range(3), 2)
    ]
    return [
        *faults,
        _at(rng, 0.0, 15.0, DelayAppends(rng.uniform(5.0, 15.0), rng.uniform(0.3, 0.8))),
        _at(rng, 0.0, 18.0, LoseLogReplies(rng.randrange(1, 10))),
        _at(rng, 0.0, 18.0, KillNode(rng.randrange(3), 5.0)),
        _at(rng, 0.0, 18.0, LogOutage(rng.uniform(1.0, 8.0))),
    ]


def _leaving(rng: random.Random) -> list[ScheduledFault]:
    engine = rng.randrange(5)
    at = rng.uniform(2.0, 10.0)
    return [
        ScheduledFault(at - 0.5, LoseReports(engine, 60.0)),
        ScheduledFault(at, LeaveEngine(engine)),
        _at(rng, 2.0, 12.0, LeaveApplication(rng.randrange(3))),
        _at(rng, 0.0, 12.0, CutNode(rng.randrange(3), 15.0, "both")),
    ]


def _planned_stops(rng: random.Random) -> list[ScheduledFault]:
    return [ScheduledFault(2.0 + 8.0 * slot + rng.uniform(0.0, 4.0), StopNode(slot)) for slot in range(3)]


def _one_node_has_change(rng: random.Random) -> list[ScheduledFault]:
    """Let only one node read a change, then make the log unavailable and kill that node."""
    first, second, third = rng.sample(range(3), 3)
    at = rng.uniform(2.0, 10.0)
    published_at = at + rng.uniform(0.02, 0.3)
    return [
        ScheduledFault(at - 1.0, CutLog(second, 25.0)),
        ScheduledFault(at - 1.0, CutLog(third, 25.0)),
        ScheduledFault(at, RaceOperators(4)),
        ScheduledFault(published_at, LogOutage(20.0)),
        ScheduledFault(published_at + rng.uniform(0.0, 0.2), KillNode(first, 0.2)),
    ]


def _configuration_troubles(rng: random.Random) -> list[ScheduledFault]:
    if rng.random() < DIRECTED_SHARE:
        return _one_node_has_change(rng)
    races = [_at(rng, 0.0, 22.0, RaceOperators(rng.randrange(2, 4))) for _ in range(5)]
    return [
        *races,
        _at(rng, 0.0, 20.0, LogOutage(rng.uniform(2.0, 10.0))),
        _at(rng, 0.0, 20.0, SlowLog(rng.uniform(2.0, 10.0), rng.uniform(0.5, 3.0))),
        _at(rng, 0.0, 20.0, LoseLogReplies(rng.randrange(1, 6))),
        _at(rng, 0.0, 20.0, KillNode(rng.randrange(3), rng.uniform(0.2, 3.0))),
        _at(rng, 0.0, 20.0, CutNode(rng.randrange(3), rng.uniform(2.0, 10.0), rng.choice(["in", "out"]))),
    ]


DIRECTED_SHARE = 0.5
LONG_SAMPLES = WorldSpec(max_staleness=1, max_tokens=512, train_seconds=1.5)
SLOW_LIST = WorldSpec(machine_list_lag_seconds=60.0)

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario("swaps", 1, "true_versions", "one_version_a_stream", _swaps, LONG_SAMPLES),
        Scenario("stale_samples", 2, "staleness", "age_by_newest_segment", _swaps, LONG_SAMPLES),
        Scenario("owner_troubles", 3, "exactly_once", "send_before_read_back", _owner_troubles),
        Scenario("engine_troubles", 4, "whole_answer", "no_stream_checks", _engine_troubles),
        Scenario("everything_down", 5, "not_run", "last_error_decides", _everything_down),
        Scenario("lost_answers", 5, "not_run", "lost_reply_is_not_run", _lost_answers),
        Scenario("ledger_troubles", 6, "at_most_once", "dispatch_before_read_back", _ledger_troubles),
        Scenario("leaving", 7, "leaving", "endless_leases", _leaving, SLOW_LIST),
        Scenario("planned_stops", 8, "planned_stop", "stop_without_waiting", _planned_stops),
        Scenario("configuration", 9, "configuration", "apply_without_copies", _configuration_troubles),
    )
}
