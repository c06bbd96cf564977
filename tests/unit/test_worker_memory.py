"""Memory of workers as a limit on runs.

The load: a worker holds 30,000 tokens for eight runs; most texts end at some 1,500, but four long ones of a
step reach 10,000 each. Placed by slots alone, they met at one worker. It dropped its newest run in the middle
of the text and read it anew, and the silence meanwhile counted as the worker's failure.
"""

from collections import Counter

import pytest

from worksramp.mechanisms import MECHANISMS
from worksramp.rollout.batch_schedule import OLD_BATCH_SECONDS, assign
from worksramp.rollout.schedule_views import WaitingItem, WorkerView
from worksramp.rollout.worker_memory import (
    INITIAL_SHARE,
    MIN_SHARE,
    SHARE_STEP,
    STEP_UP_AFTER_S,
    MemoryShares,
    RunMemory,
    expected_peak_tokens,
    fits,
    is_dropped,
    is_too_large,
)

MEMORY_TOKENS = 30_000
LONG, SHORT = 10_000, 1_500
PROMPT = 276


def item(idx: int, num_tokens: int, batch_age_s: float = 0.0) -> WaitingItem:
    return WaitingItem(("b", idx), "s", "m", batch_age_s, num_tokens, PROMPT, 1)


def worker(name: str, memory: tuple[RunMemory, ...] = (), pace_s: float = 0.05) -> WorkerView:
    return WorkerView(
        name,
        "s",
        8,
        len(memory),
        int(sum(run.num_left_tokens for run in memory)),
        {"m": 1},
        seconds_per_event=pace_s,
        num_memory_tokens=MEMORY_TOKENS,
        memory=memory,
    )


def test_the_peak_is_held_just_before_a_run_ends() -> None:
    assert expected_peak_tokens([]) == 0
    assert expected_peak_tokens([RunMemory(300, 1000)]) == 1300
    # Before the short run ends: 100 + 900 + 2 x 50; before the long one ends: 100 + 400.
    assert expected_peak_tokens([RunMemory(100, 400), RunMemory(900, 50)]) == 1100
    assert expected_peak_tokens([RunMemory(100, 4000), RunMemory(900, 50)]) == 4100


def test_long_texts_of_a_step_are_spread_over_workers_by_memory() -> None:
    waiting = [item(idx, LONG) for idx in range(6)] + [item(idx, SHORT) for idx in range(6, 12)]
    workers = [worker("fast", pace_s=0.03), worker("a"), worker("b")]
    long_at = Counter(each.worker_id for each in assign(waiting, workers) if each.key[1] < 6)
    assert long_at["fast"] == 2 and sum(long_at.values()) == 6
    MECHANISMS.switch_off(("memory_admission",))
    try:
        by_slots = Counter(each.worker_id for each in assign(waiting, workers) if each.key[1] < 6)
    finally:
        MECHANISMS.switch_off(())
    assert by_slots == {"fast": 6}


def test_a_text_that_fits_nowhere_waits_and_others_do_not_wait_for_it() -> None:
    full = tuple(RunMemory(8_000, 1_900) for _ in range(3))
    waiting = [item(0, LONG), item(1, 200)]
    assert [each.key[1] for each in assign(waiting, [worker("a", full)])] == [1]


def test_a_text_waits_for_memory_for_a_bounded_time_and_at_an_empty_worker_not_at_all() -> None:
    full = tuple(RunMemory(8_000, 1_900) for _ in range(3))
    assert len(assign([item(0, LONG, OLD_BATCH_SECONDS)], [worker("a", full)])) == 1
    assert len(assign([item(0, 2 * MEMORY_TOKENS)], [worker("a")])) == 1


def test_workers_of_unknown_size_take_runs_by_slots() -> None:
    assert fits(RunMemory(0, 10**9), [RunMemory(1, 1)], None)
    assert not is_dropped(RunMemory(0, 1), [RunMemory(10**9, 1)], None)


@pytest.mark.parametrize(("num_held", "expected"), [(9_000, True), (2_000, False)])
def test_a_silent_run_at_a_full_worker_is_told_from_a_stuck_one(num_held: int, expected: bool) -> None:
    others = [RunMemory(num_held, 500)] * 3
    assert is_dropped(RunMemory(500, 3_000), others, MEMORY_TOKENS) is expected


def test_an_item_whose_prompt_fills_a_worker_can_never_run() -> None:
    assert is_too_large(MEMORY_TOKENS - 70, 71, MEMORY_TOKENS)
    assert not is_too_large(MEMORY_TOKENS - 71, 71, MEMORY_TOKENS)
    assert not is_too_large(10**9, 71, None)


def test_dropped_runs_lower_the_share_for_a_while() -> None:
    shares = MemoryShares()
    assert shares.share("s", 0.0) == INITIAL_SHARE
    for _ in range(100):
        shares.record_dropped_run("s", 1.0)
    assert shares.share("s", 1.0) == pytest.approx(MIN_SHARE)
    assert shares.share("other", 1.0) == INITIAL_SHARE
    assert shares.share("s", 1.0 + STEP_UP_AFTER_S) == pytest.approx(MIN_SHARE + SHARE_STEP)
    assert shares.share("s", 1.0 + 1000 * STEP_UP_AFTER_S) == INITIAL_SHARE
