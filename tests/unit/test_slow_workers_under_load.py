"""Steps pile up behind an outage while a fifth of the workers run at a fifth of the pace.

Seen on a deployment of 30 workers with six slots: in the outage nothing ran, and the paces that had been
measured before it were forgotten after 3 s. Of the two steps that were asked as it ended the longest items
went to slow workers, as those were the emptiest, and stayed there for 4 s, until no item waited any more,
since runs were moved only then; the steps took 9 and 11 s where 7.2 are possible.
"""

import functools
import random
from collections.abc import Callable

import pytest

from tests.unit.schedule_replay import MAX_EVENTS, SOUND_PACE_S, Replay, Worker
from worksramp.mechanisms import MECHANISMS
from worksramp.rollout.batch_schedule import WaitingItem, WorkerView, assign
from worksramp.rollout.fast_slots import FastSlots, SlotUse, fast_slots, gain_of_waiting_s
from worksramp.rollout.pace import MAX_AGE_SECONDS, PaceTracker

SEEDS = range(4)
#: The longest text at a sound worker.
LONGEST_S = MAX_EVENTS * SOUND_PACE_S
#: Trainers take results this late for timely.
GRACE_S = 0.7
#: From the asking of step a2 until the first worker has its weights.
WEIGHTS_AFTER_S = 2.0
Play = Callable[[int], Replay]


def pile_up(seed: int) -> Replay:
    """An outage from 3 to 10 s; steps of two trainers before it and as it ends; slow workers from 2 s on.

    The second pair of steps after it needs weights that the workers take one after the other until 15 s, so
    that items wait all the time.
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


def calm_with_slow_workers(seed: int) -> Replay:
    """A step each 4 s; six workers are slow from 4 to 12 s."""
    source = random.Random(seed)
    workers = [Worker(f"w{number:02}", 4.0, 4.0, 12.0) for number in range(6)]
    workers += [Worker(f"w{number:02}") for number in range(6, 30)]
    replay = Replay(workers)
    for number in range(5):
        replay.ask(f"a{number}", 4.0 * number, 9, source)
    replay.run(28.0)
    return replay


@functools.cache
def steps_s(play: Play, names: tuple[str, ...], off: tuple[str, ...] = ()) -> list[float]:
    """Return how long the steps took with all seeds."""
    MECHANISMS.switch_off(off)
    try:
        return [replay.seconds_of_step(name, 8) for replay in map(play, SEEDS) for name in names]
    finally:
        MECHANISMS.switch_off(())


def test_a_step_behind_an_outage_takes_no_longer_than_its_longest_text() -> None:
    assert max(steps_s(pile_up, ("a1",))) <= LONGEST_S + GRACE_S


def test_a_step_that_waits_for_weights_takes_no_longer_than_they_and_its_longest_text() -> None:
    assert max(steps_s(pile_up, ("a2",))) <= WEIGHTS_AFTER_S + LONGEST_S + GRACE_S


def test_in_calm_a_step_beside_slow_workers_takes_no_longer_than_its_longest_text() -> None:
    names = tuple(f"a{number}" for number in range(5))
    assert max(steps_s(calm_with_slow_workers, names)) <= LONGEST_S + GRACE_S


@pytest.mark.parametrize(
    ("off", "play", "names", "bound_s"),
    [
        ("moves_while_items_wait", pile_up, ("a2",), WEIGHTS_AFTER_S + LONGEST_S + GRACE_S),
        ("remembered_paces", calm_with_slow_workers, ("a1", "a2", "a3"), LONGEST_S),
    ],
)
def test_without_one_of_the_decisions_steps_take_longer(
    off: str, play: Play, names: tuple[str, ...], bound_s: float
) -> None:
    with_it, without = steps_s(play, names), steps_s(play, names, (off,))
    assert max(without) > bound_s
    assert sum(without) > sum(with_it)


def test_items_that_end_before_the_longest_of_their_batch_stay_where_they_are() -> None:
    """Each move breaks a connection; half of them change no step."""
    picky = sum(replay.num_moves for replay in map(pile_up, SEEDS))
    MECHANISMS.switch_off(("moves_of_critical_items",))
    try:
        all_moves = sum(replay.num_moves for replay in map(pile_up, SEEDS))
    finally:
        MECHANISMS.switch_off(())
    assert picky <= 0.6 * all_moves


def waiting(idx: int, events: int) -> WaitingItem:
    return WaitingItem(("b", idx), "s", "m", 0.0, events, 1, 1)


def place(name: str, num_running: int, pace: float, events: float = 60.0, **changes: bool) -> WorkerView:
    return WorkerView(
        name, "s", 6, num_running, 1, {"m": 1}, frozenset(), pace, num_expected_events=events, **changes
    )


def test_where_no_fast_worker_ends_a_run_nothing_waits_for_one() -> None:
    assert gain_of_waiting_s(100, 0.2, FastSlots(0.04, 0, 0.0), 0) == float("-inf")
    assert fast_slots([SlotUse(0, 0, 0.0, None)]) is None


def test_a_wait_grows_with_those_before_and_ends_with_free_slots() -> None:
    fast = fast_slots([SlotUse(2, 4, 40.0, 0.04), SlotUse(0, 6, 60.0, 0.2)])
    assert fast == FastSlots(0.04, 2, 4 / (10 * 0.04))
    assert [round(fast.wait_s(num), 3) for num in (0, 1, 2, 11)] == [0.0, 0.0, 0.1, 1.0]


def test_a_worker_that_may_have_recovered_is_tried_with_a_short_item() -> None:
    found = assign(
        [waiting(0, 100), waiting(1, 3)],
        [place("fast", 0, 0.04), place("slow", 0, 0.2, is_slow=True, may_have_recovered=True)],
    )
    assert {each.key[1]: each.worker_id for each in found} == {0: "fast", 1: "slow"}
    busy = place("slow", 1, 0.2, is_slow=True, may_have_recovered=True)
    found = assign([waiting(1, 3)], [place("fast", 0, 0.04), busy])
    assert [each.worker_id for each in found] == ["fast"]


def test_an_old_pace_is_believed_until_a_new_one_is_known() -> None:
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
