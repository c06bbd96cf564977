"""Steps accumulate during an outage while a fifth of the workers are five times slower than the others.

On a deployment of 30 workers with six slots each, nothing ran during an outage, and the seconds per event
that had been measured before it were discarded after 3 s. Two steps were requested when it ended. Their
longest items were assigned to slow workers, which were the least loaded, and stayed there for 4 s, until no
item waited any more, since runs were moved only then. The steps took 9 and 11 s; 7.2 s are possible.
"""

import functools
import random
from collections.abc import Callable
from typing import Any

import pytest

from tests.unit.schedule_replay import MAX_EVENTS, NORMAL_PACE_S, Replay, Worker
from worksramp.mechanisms import MECHANISMS
from worksramp.rollout.batch_schedule import assign
from worksramp.rollout.fast_slots import FastSlots, SlotUse, fast_slots, gain_of_waiting_s
from worksramp.rollout.pace import MAX_AGE_SECONDS, PaceTracker
from worksramp.rollout.schedule_views import WaitingItem, WorkerView

SEEDS = range(4)
#: Time of the longest text at a worker of normal speed.
LONGEST_S = MAX_EVENTS * NORMAL_PACE_S
#: Trainers count results up to this late as on time.
GRACE_S = 0.7
#: Time from the request of step a2 until the first worker has its weights.
WEIGHTS_AFTER_S = 2.0
Scenario = Callable[[int], Replay]


def outage_with_slow_workers(seed: int) -> Replay:
    """Replay an outage from 3 to 10 s, with steps of two trainers before it and at its end.

    Some workers are slow from 2 s on. The second pair of steps after the outage needs weights that the
    workers load one after the other until 15 s, so that there are always waiting items.
    """
    source = random.Random(seed)
    workers = [Worker(f"w{number:02}", 4.9, 2.0, 16.0) for number in range(6)]
    workers += [Worker(f"w{number:02}") for number in range(6, 30)]
    for number, worker in enumerate(workers):
        worker.loaded_at = 13.0 + 2.0 * number / len(workers)
    replay = Replay(workers)
    for name, at, version in (
        ("a0", 0.0, 1),
        ("b0", 0.0, 1),
        ("a1", 10.0, 1),
        ("b1", 10.0, 1),
        ("a2", 11.0, 2),
        ("b2", 11.4, 2),
    ):
        replay.ask(name, at, 9 if name[0] == "a" else 7, source, version)
    replay.run(26.0)
    return replay


def low_load_with_slow_workers(seed: int) -> Replay:
    """Replay a step every 4 s; six workers are slow from 4 to 12 s."""
    source = random.Random(seed)
    workers = [Worker(f"w{number:02}", 4.0, 4.0, 12.0) for number in range(6)]
    workers += [Worker(f"w{number:02}") for number in range(6, 30)]
    replay = Replay(workers)
    for number in range(5):
        replay.ask(f"a{number}", 4.0 * number, 9, source)
    replay.run(28.0)
    return replay


@functools.cache
def step_seconds(scenario: Scenario, names: tuple[str, ...], off: tuple[str, ...] = ()) -> list[float]:
    """Return the seconds that the steps took with all seeds, without the mechanisms in ``off``."""
    MECHANISMS.switch_off(off)
    try:
        return [replay.seconds_of_step(name, 8) for replay in map(scenario, SEEDS) for name in names]
    finally:
        MECHANISMS.switch_off(())


def test_a_step_after_an_outage_takes_no_longer_than_its_longest_text() -> None:
    assert max(step_seconds(outage_with_slow_workers, ("a1",))) <= LONGEST_S + GRACE_S


def test_a_step_that_waits_for_weights_takes_no_longer_than_their_load_and_its_longest_text() -> None:
    assert max(step_seconds(outage_with_slow_workers, ("a2",))) <= WEIGHTS_AFTER_S + LONGEST_S + GRACE_S


def test_at_low_load_a_step_with_slow_workers_takes_no_longer_than_its_longest_text() -> None:
    names = tuple(f"a{number}" for number in range(5))
    assert max(step_seconds(low_load_with_slow_workers, names)) <= LONGEST_S + GRACE_S


@pytest.mark.parametrize(
    ("off", "scenario", "names", "bound_s"),
    [
        ("moves_while_items_wait", outage_with_slow_workers, ("a2",), WEIGHTS_AFTER_S + LONGEST_S + GRACE_S),
        ("remembered_paces", outage_with_slow_workers, ("a1",), LONGEST_S),
    ],
)
def test_without_one_of_the_mechanisms_steps_take_longer(
    off: str, scenario: Scenario, names: tuple[str, ...], bound_s: float
) -> None:
    with_it, without = step_seconds(scenario, names), step_seconds(scenario, names, (off,))
    assert max(without) > bound_s
    assert sum(without) > sum(with_it)


def test_items_that_end_before_the_longest_of_their_batch_are_not_moved() -> None:
    """Each move breaks a connection, and half of the moves would not shorten any step."""
    num_critical_moves = sum(replay.num_moves for replay in map(outage_with_slow_workers, SEEDS))
    MECHANISMS.switch_off(("moves_of_critical_items",))
    try:
        num_all_moves = sum(replay.num_moves for replay in map(outage_with_slow_workers, SEEDS))
    finally:
        MECHANISMS.switch_off(())
    assert num_critical_moves <= 0.6 * num_all_moves


def waiting_item(idx: int, events: int) -> WaitingItem:
    return WaitingItem(("b", idx), "s", "m", 0.0, events, 1, 1)


def worker_view(name: str, num_running: int, pace: float, events: float = 60.0, **changes: Any) -> WorkerView:
    return WorkerView(
        name, "s", 6, num_running, 1, {"m": 1}, frozenset(), pace, num_expected_events=events, **changes
    )


def test_no_item_waits_for_fast_workers_that_complete_no_run() -> None:
    assert gain_of_waiting_s(100, 0.2, FastSlots(0.04, 0, 0.0), 0) == float("-inf")
    assert fast_slots([SlotUse(0, 0, 0.0, None)]) is None


def test_a_wait_grows_with_the_items_ahead_and_is_zero_with_free_slots() -> None:
    fast = fast_slots([SlotUse(2, 4, 40.0, 0.04), SlotUse(0, 6, 60.0, 0.2)])
    assert fast == FastSlots(0.04, 2, 4 / (10 * 0.04))
    assert [round(fast.wait_s(num), 3) for num in (0, 1, 2, 11)] == [0.0, 0.0, 0.1, 1.0]


def test_a_worker_that_may_have_recovered_is_probed_with_a_short_item() -> None:
    assignments = assign(
        [waiting_item(0, 100), waiting_item(1, 3)],
        [worker_view("fast", 0, 0.04), worker_view("slow", 0, 0.2, is_slow=True, may_have_recovered=True)],
    )
    assert {each.key[1]: each.worker_id for each in assignments} == {0: "fast", 1: "slow"}
    busy = worker_view("slow", 1, 0.2, is_slow=True, may_have_recovered=True)
    assignments = assign([waiting_item(1, 3)], [worker_view("fast", 0, 0.04), busy])
    assert [each.worker_id for each in assignments] == ["fast"]


def test_an_old_measurement_counts_until_a_new_one_is_complete() -> None:
    pace = PaceTracker()
    for number in range(8):
        for worker, seconds in (("a", 0.04), ("b", 0.04), ("slow", 0.2)):
            pace.observe(worker, seconds, 0.1 * number)
    later = 0.8 + MAX_AGE_SECONDS
    assert pace.seconds_per_event("slow", later) is None
    assert pace.last_known_slow(later) == {"slow"}
    for number in range(3):
        pace.observe("slow", 0.04, later + 0.04 * number)
    assert pace.last_known_slow(later + 0.2) == {"slow"}
    pace.observe("slow", 0.04, later + 0.2)
    assert pace.last_known_slow(later + 0.2) == frozenset()
    assert pace.last_known("b", later + 100.0) is None
