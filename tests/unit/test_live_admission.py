"""Refusal of live requests that no worker can answer in time.

The load: all slots of four workers are taken and requests wait. Nothing was ever refused, so that callers
waited until their deadlines and took room from those that could still have been served. A thousand callers
that are refused at once must not return at once.
"""

import random
from collections import Counter

import pytest

from worksramp.mechanisms import MECHANISMS
from worksramp.routing.admission import MAX_RETRY_AFTER_S, Admitted, NoRoom, decide_admission, is_over_share
from worksramp.routing.worker_load import QUEUE_VALID_S, ReportedLoad, WorkerLoad, worker_load

USUAL_S = 0.1


def load(num_running: int, num_waiting: int, report_age_s: float = 0.1) -> WorkerLoad:
    return worker_load(ReportedLoad(num_running, num_waiting, 6), report_age_s, 0, 6, USUAL_S)


FULL = [load(6, 24)] * 4


def decide(loads: list[WorkerLoad], time_left_s: float, over_share: bool = False) -> Admitted | NoRoom:
    return decide_admission(loads, time_left_s, over_share, random.Random(1))


def test_a_request_that_can_not_be_answered_in_time_is_refused_at_once() -> None:
    decision = decide(FULL, 0.3)
    assert isinstance(decision, NoRoom)
    assert decision.expected_s == pytest.approx(0.6)
    assert 0.3 <= decision.retry_after_s <= 0.6
    MECHANISMS.switch_off(("live_admission",))
    try:
        assert isinstance(decide(FULL, 0.3), Admitted)
    finally:
        MECHANISMS.switch_off(())


@pytest.mark.parametrize(
    "loads",
    [
        [],
        [*FULL, load(5, 0)],
        # A report that is too old says nothing: the worker may be idle.
        [*FULL, load(6, 24, report_age_s=QUEUE_VALID_S)],
    ],
)
def test_nothing_is_refused_while_there_is_room_or_load_is_not_known(loads: list[WorkerLoad]) -> None:
    assert isinstance(decide(loads, 0.001), Admitted)


def test_a_request_with_time_left_waits() -> None:
    assert isinstance(decide(FULL, 0.7), Admitted)


def test_a_tenant_over_its_share_is_refused_earlier_than_the_others() -> None:
    assert isinstance(decide(FULL, 0.7, over_share=True), NoRoom)
    in_flight = Counter({"large": 10, "small": 1, "other": 1, "ended": 0})
    assert is_over_share(in_flight, "large")
    assert not is_over_share(in_flight, "small")
    assert not is_over_share(Counter({"large": 10}), "large")


def test_a_thousand_callers_refused_at_once_return_spread_over_the_time_the_queues_need() -> None:
    source = random.Random(3)
    decisions = [decide_admission(FULL, 0.2, False, source) for _ in range(1000)]
    returns = [each.retry_after_s for each in decisions if isinstance(each, NoRoom)]
    assert len(returns) == 1000 and max(returns) <= MAX_RETRY_AFTER_S
    excess_s = 0.6 - 0.2
    buckets = Counter(int((each - excess_s) / (excess_s / 10)) for each in returns)
    assert set(buckets) == set(range(10)) and max(buckets.values()) <= 150
