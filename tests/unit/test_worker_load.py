"""Load of the workers that live requests choose among.

The load: many nodes send few requests each to a few shared workers whose speed varies for fractions of a
second. A node whose first choice reports a queue, or a momentary slowness, must use another worker, and a
slowness that has passed must not count as the worker's usual speed.
"""

import random

import anyio
import pytest

from worksramp.mechanisms import MECHANISMS
from worksramp.routing.attempts import AttemptHistory, WorkerChoice
from worksramp.routing.worker_load import (
    QUEUE_VALID_S,
    SLOWDOWN_VALID_S,
    ReportedLoad,
    usual_latency_s,
    worker_load,
)
from worksramp.routing.workers import WorkerDirectory, WorkerEntry, WorkerState
from worksramp_emulator.simulation.clock import run_simulated

USUAL_S = 0.04
SLOW = ReportedLoad(1, 0, 6, 2.5)


def test_a_reported_queue_and_a_reported_speed_count_while_they_are_recent() -> None:
    busy = ReportedLoad(6, 6, 6, 2.0)
    fresh = worker_load(busy, 0.1, 0, 6, USUAL_S)
    assert fresh.requests_per_slot == 2.0
    assert fresh.expected_s == pytest.approx(3 * 2.0 * USUAL_S)
    after_speed = worker_load(busy, SLOWDOWN_VALID_S, 0, 6, USUAL_S)
    assert after_speed.expected_s == pytest.approx(3 * USUAL_S)
    after_queue = worker_load(busy, QUEUE_VALID_S, 3, 6, USUAL_S)
    assert after_queue.expected_s == pytest.approx(1.5 * USUAL_S)


def test_own_requests_count_where_the_report_is_older_than_they_are() -> None:
    assert worker_load(ReportedLoad(1, 0, 6), 0.1, 4, 6, None).num_requests == 4


def chosen_after(report: ReportedLoad, seconds: float, off: tuple[str, ...] = ()) -> bool:
    """Return whether a node still uses its preferred worker some time after a report of that worker."""

    async def main() -> None:
        workers = WorkerDirectory()
        for number in range(4):
            workers.put(WorkerEntry(f"w{number}", "app", f"w{number}:1", "z", 6))
        choice = WorkerChoice(workers, random.Random(1), "node")
        preferred = _choose(choice)
        for state in workers.all_states():
            choice.record_success(state, USUAL_S)
        preferred.record_report(report, anyio.current_time())
        await anyio.sleep(seconds)
        kept.append(_choose(choice) is preferred)

    kept: list[bool] = []
    MECHANISMS.switch_off(off)
    try:
        run_simulated(main, 1)
    finally:
        MECHANISMS.switch_off(())
    return kept[0]


def _choose(choice: WorkerChoice) -> WorkerState:
    worker = choice.choose("app", AttemptHistory())
    assert worker is not None
    return worker


def test_a_worker_that_reports_a_momentary_slowness_is_left_for_that_moment_only() -> None:
    assert not chosen_after(SLOW, 0.1)
    assert chosen_after(SLOW, SLOWDOWN_VALID_S)
    assert chosen_after(SLOW, 0.1, off=("momentary_speed",))


def test_a_worker_that_reports_other_nodes_requests_is_left() -> None:
    assert not chosen_after(ReportedLoad(6, 4, 6), 0.1)


def test_an_answer_of_a_slow_moment_does_not_make_the_worker_slow() -> None:
    assert usual_latency_s(0.1, SLOW) == pytest.approx(USUAL_S)
    assert usual_latency_s(0.1, None) == 0.1
