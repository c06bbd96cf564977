"""Length hints that are far off keep long texts at slow workers.

On a deployment of 24 workers, a third of them 1.3 times slower than the others, a fifth became 3.2 times
slower while they ran long items. The hint of a step's longest item was almost five times the most tokens that
a text can have, so that every other item of the step counted as uncritical and was moved off its slow worker
after 5 s, although slots of fast workers were free all the time. The step took 11.1 s; its longest text takes 7.1 s.
"""

import random

from worksramp_platform.lots import LotItem, to_batch_item

from tests.unit.schedule_replay import MAX_EVENTS, NORMAL_PACE_S, TOKENS_PER_EVENT, Replay, Worker

SEEDS = range(6)
MOST_TOKENS = MAX_EVENTS * TOKENS_PER_EVENT
LONGEST_S = MAX_EVENTS * NORMAL_PACE_S
GRACE_S = 0.7
SLOW_FROM_S, SLOW_TO_S = 1.8, 9.8
#: Times by which hints of the users' work exceed the most that a text can have.
HINT_EXCESS = 4.7


def hint_of(hint_tokens: int) -> int:
    """Return the estimate for an item that is submitted with a hint."""
    headers = {"X-Worksramp-Length-Hint": str(hint_tokens), "X-Worksramp-Token-Count": f"276,{MOST_TOKENS}"}
    return to_batch_item(LotItem("i", "/x", headers=headers)).num_expected_tokens


def step_with_an_excessive_hint(seed: int) -> list[float]:
    source = random.Random(seed)
    workers = [Worker(f"w{number:02}", 3.2, SLOW_FROM_S, SLOW_TO_S) for number in range(5)]
    workers += [Worker(f"w{number:02}", 1.3, 0.0) for number in range(5, 13)]
    workers += [Worker(f"w{number:02}") for number in range(13, 24)]
    replay = Replay(workers)
    for name, at in (("a0", 0.0), ("b0", 0.0), ("a1", 4.0), ("b1", 4.0)):
        replay.ask(name, at, 5, source)
        longest = max((item for item in replay.items if item.key[0] == name), key=lambda i: i.num_events)
        longest.hint_tokens = round(HINT_EXCESS * MOST_TOKENS)
        for item in replay.items:
            item.hint_tokens = hint_of(item.hint_tokens)
    replay.run(24.0)
    return [replay.seconds_of_step(name, 5) for name in ("a0", "b0", "a1", "b1")]


def test_a_hint_is_at_most_what_the_item_may_generate() -> None:
    assert hint_of(round(HINT_EXCESS * MOST_TOKENS)) == MOST_TOKENS
    assert hint_of(100) == 100
    assert (
        to_batch_item(LotItem("i", "/x", headers={"X-Worksramp-Token-Count": "9,70"})).num_expected_tokens
        == 70
    )
    assert to_batch_item(LotItem("i", "/x")).num_expected_tokens == 0


def test_steps_with_excessive_hints_take_little_longer_than_their_longest_text() -> None:
    seconds = [second for seed in SEEDS for second in step_with_an_excessive_hint(seed)]
    assert max(seconds) <= LONGEST_S + GRACE_S
