"""Steps of four trainers on a fleet with a quarter of fast workers and with short slow moments.

On a deployment of 24 workers, six of them are more than twice as fast, and at any moment a seventh of all is
2.5 times slower for 0.6 s. The fast workers were not recognized: the lower quartile of 24 paces is the
seventh, that of an ordinary worker, so that no text gained anything by a move. Four of five moves answered a
slow moment that was over before the move paid.
"""

import random

import pytest

from tests.unit.schedule_replay import MAX_EVENTS, Replay, Worker
from worksramp.rollout.fast_slots import SlotUse, fast_pace_s, fast_slots, gain_of_waiting_s
from worksramp.rollout.pace import PaceTracker

FAST_S, ORDINARY_S = 0.0267, 0.0583
MOMENT_S, MOMENT_SHARE, MOMENT_FACTOR = 0.6, 0.15, 2.5
NUM_GROUPS, NUM_WANTED = 5, 5
TRAINERS = "abcd"
NUM_STEPS = 2
STEP_EVERY_S = 4.0
#: Time of the longest text at a fast worker, slow moments included.
LONGEST_S = MAX_EVENTS * FAST_S * (1.0 + MOMENT_SHARE * (MOMENT_FACTOR - 1.0))
GRACE_S = 0.7


class NoisyWorker(Worker):
    """A worker with a usual pace of its own that is slow for single moments, drawn from a seed."""

    def __init__(self, name: str, usual_s: float, seed: int) -> None:
        super().__init__(name)
        self.usual_s = usual_s
        self._seed = seed

    def pace(self, now: float) -> float:
        draw = random.Random(f"{self._seed}/{self.name}/{int(now / MOMENT_S)}").random()
        return self.usual_s * (MOMENT_FACTOR if draw < MOMENT_SHARE else 1.0)


def four_trainers(usual_paces_s: list[float], seed: int) -> Replay:
    """Replay steps of four trainers, a second apart, on workers with eight slots."""
    source = random.Random(seed)
    workers = [NoisyWorker(f"w{idx:02}", usual_s, seed) for idx, usual_s in enumerate(usual_paces_s)]
    replay = Replay(list(workers), num_slots=8)
    for step in range(NUM_STEPS):
        for idx, trainer in enumerate(TRAINERS):
            replay.ask(f"{trainer}{step}", step * STEP_EVERY_S + idx, NUM_GROUPS, source)
    replay.run(NUM_STEPS * STEP_EVERY_S + 14.0)
    return replay


def unequal_workers(seed: int) -> Replay:
    return four_trainers([FAST_S if idx % 4 == 0 else ORDINARY_S for idx in range(24)], seed)


@pytest.mark.parametrize(
    ("paces", "expected"),
    [
        ([FAST_S] * 6 + [ORDINARY_S] * 18, FAST_S),
        ([FAST_S] + [ORDINARY_S] * 23, FAST_S),
        ([ORDINARY_S] * 24, ORDINARY_S),
        ([FAST_S] * 20 + [ORDINARY_S] * 4, FAST_S),
        ([0.04 + 0.0005 * idx for idx in range(24)], 0.043),
    ],
)
def test_the_pace_of_fast_workers_follows_from_the_spread(paces: list[float], expected: float) -> None:
    assert fast_pace_s(paces) == pytest.approx(expected)


def test_a_long_text_gains_seconds_by_a_free_slot_of_a_quarter_of_fast_workers() -> None:
    uses = [SlotUse(8, 0, 0.0, FAST_S)] * 6 + [SlotUse(0, 8, 80.0, ORDINARY_S)] * 18
    fast = fast_slots(uses)
    assert fast is not None and fast.num_free == 48
    assert gain_of_waiting_s(100, ORDINARY_S, fast, 0) == pytest.approx(100 * (ORDINARY_S - FAST_S))


@pytest.mark.parametrize("seed", range(2))
def test_a_step_takes_no_longer_than_its_longest_text_at_a_fast_worker(seed: int) -> None:
    replay = unequal_workers(seed)
    for trainer in TRAINERS:
        seconds = replay.seconds_of_step(f"{trainer}{NUM_STEPS - 1}", NUM_WANTED)
        assert seconds <= LONGEST_S + GRACE_S


def paces_of(slow_from_s: float, slow_to_s: float, until_s: float) -> PaceTracker:
    """Return measurements of a worker that is 2.5 times slower for some time, and of three others."""
    pace = PaceTracker()
    next_at = dict.fromkeys(("slow", "a", "b", "c"), 0.0)
    for tick in range(int(until_s / 0.01)):
        now = tick * 0.01
        for worker, at in next_at.items():
            is_slow = worker == "slow" and slow_from_s <= now < slow_to_s
            seconds = ORDINARY_S * (MOMENT_FACTOR if is_slow else 1.0)
            if now >= at:
                pace.observe(worker, seconds, now)
                next_at[worker] = now + seconds
    return pace


@pytest.mark.parametrize("start_s", [3.0, 3.05, 3.1, 3.15])
def test_a_slowness_under_a_second_is_not_seen_and_a_lasting_one_is_within_two(start_s: float) -> None:
    for after_s in (0.2, 0.4, 0.6, 0.8):
        at = start_s + after_s
        assert not paces_of(start_s, start_s + MOMENT_S, at).is_slower_than_fast("slow", at)
    assert paces_of(start_s, 99.0, start_s + 1.5).is_slower_than_fast("slow", start_s + 1.5)
    assert not paces_of(start_s, start_s + 3.0, start_s + 5.0).is_slower_than_fast("slow", start_s + 5.0)
