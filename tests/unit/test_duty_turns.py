"""When a machine may act on a duty, and the time of day that windows go by.

Guards against two machines that act by turns within a lease, and against a clock that jumps.
"""

import random

import pytest

from worksramp.duties.turn_guard import TurnGuard
from worksramp.duties.wall_time import CORRECTION_AFTER_S, WallTime

LEASE_S = 3.0


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def test_a_machine_that_returns_waits_for_a_lease_after_its_own_last_action() -> None:
    clock = Clock()
    guard = TurnGuard(LEASE_S, clock)
    assert not guard.may_act()
    clock.now += 4.0
    guard.begin_tenure()
    assert guard.may_act()
    guard.record_action()
    assert guard.may_act()
    clock.now += 1.0
    guard.begin_tenure()
    assert not guard.may_act()
    clock.now += 2.7
    assert guard.may_act()


@pytest.mark.parametrize("seed", range(200))
def test_no_two_machines_act_by_turns_within_a_lease(seed: int) -> None:
    rng = random.Random(seed)
    clock = Clock()
    guards = [TurnGuard(LEASE_S, clock) for _ in range(3)]
    acted: list[tuple[int, float]] = []
    for _ in range(300):
        holder = rng.randrange(3)
        if rng.random() < 0.1:
            guards[holder] = TurnGuard(LEASE_S, clock)
        guards[holder].begin_tenure()
        for _ in range(rng.randrange(4)):
            clock.now += rng.choice([0.01, 0.3, 1.5])
            if guards[holder].may_act():
                guards[holder].record_action()
                acted.append((holder, clock.now))
        clock.now += rng.choice([0.0, 0.5, 4.0])
    last: dict[int, float] = {}
    before = -1
    for holder, at in acted:
        if holder != before and holder in last:
            assert at - last[holder] >= LEASE_S
        last[holder], before = at, holder


def test_the_time_of_day_is_carried_on_while_the_clock_has_jumped() -> None:
    steady, wall = Clock(), Clock()
    wall.now = 5000.0
    time = WallTime(wall, steady)
    for change, expected in ((0.0, 5000.0), (5.0, 5001.0), (0.0, 5002.0), (-5.1, 5002.9)):
        wall.now += change
        assert time.now_s() == pytest.approx(expected)
        steady.now += 1.0
        wall.now += 1.0


def test_a_lasting_change_of_the_clock_is_followed() -> None:
    steady, wall = Clock(), Clock()
    time = WallTime(wall, steady)
    wall.now += 7.0
    assert time.now_s() == pytest.approx(1000.0)
    steady.now += CORRECTION_AFTER_S + 1
    wall.now += CORRECTION_AFTER_S + 1
    assert time.now_s() == pytest.approx(wall.now)
