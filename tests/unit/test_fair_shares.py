"""Shares of trainers and tenants in the slots of a fleet while there are too few.

The load: one party submits ten times what each of the others does. Ordered by age and length alone, its items
took every slot that became free, and the others waited as long as all of it.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from worksramp.mechanisms import MECHANISMS
from worksramp.rollout.batch_schedule import assign
from worksramp.rollout.fair_shares import MAX_PRIORITY_WAIT_S, Party, order_by_shares
from worksramp.rollout.schedule_views import WaitingItem, WorkerView

LARGE, SMALL, OTHER = Party("large"), Party("small"), Party("other")


@dataclass(frozen=True)
class Item:
    party: Party
    number: int
    batch_age_seconds: float = 0.0


@pytest.fixture
def no_shares() -> Iterator[None]:
    MECHANISMS.switch_off(("fair_shares",))
    yield
    MECHANISMS.switch_off(())


def items(party: Party, num: int, age_s: float = 0.0) -> list[Item]:
    return [Item(party, number, age_s) for number in range(num)]


def parties(ordered: list[Item], num: int) -> dict[Party, int]:
    return dict(Counter(item.party for item in ordered[:num]))


def test_a_party_with_ten_times_the_items_slows_itself_and_not_the_others() -> None:
    ranked = items(LARGE, 100) + items(SMALL, 10) + items(OTHER, 10)
    ordered = order_by_shares(ranked, {}, 0)
    assert parties(ordered, 30) == {LARGE: 10, SMALL: 10, OTHER: 10}
    assert [item.number for item in ordered if item.party is LARGE] == list(range(100))


@pytest.mark.usefixtures("no_shares")
def test_without_shares_the_others_wait_for_all_of_it() -> None:
    ordered = order_by_shares(items(LARGE, 100) + items(SMALL, 10), {}, 0)
    assert parties(ordered, 100) == {LARGE: 100}


def test_slots_in_use_count_and_those_of_an_idle_party_are_free_at_once() -> None:
    ranked = items(LARGE, 10) + items(SMALL, 10)
    assert parties(order_by_shares(ranked, {LARGE: 8, OTHER: 50}, 0), 8) == {SMALL: 8}
    assert parties(order_by_shares(items(LARGE, 10), {LARGE: 90}, 0), 10) == {LARGE: 10}


def test_the_order_stays_while_there_are_slots_for_all() -> None:
    ranked = items(LARGE, 5) + items(SMALL, 5)
    assert order_by_shares(ranked, {LARGE: 50}, 10) == ranked


def test_a_higher_priority_goes_first_but_nobody_waits_without_end() -> None:
    urgent, patient = Party("a", priority=(0, 1)), Party("b", priority=(1, 0))
    ranked = items(patient, 3) + items(urgent, 3)
    assert parties(order_by_shares(ranked, {urgent: 9}, 0), 3) == {urgent: 3}
    waited = items(patient, 3, MAX_PRIORITY_WAIT_S) + items(urgent, 3)
    assert parties(order_by_shares(waited, {}, 0), 3) == {patient: 3}


def test_free_slots_of_workers_are_shared_when_items_are_assigned() -> None:
    waiting = [
        WaitingItem(
            ("b", idx), "s", "m", 0.0, 900 if idx < 20 else 10, 1, 1, party=LARGE if idx < 20 else SMALL
        )
        for idx in range(24)
    ]
    workers = [WorkerView("w", "s", 8, 0, 0, {"m": 1})]
    assigned = Counter(each.key[1] < 20 for each in assign(waiting, workers))
    assert assigned == {True: 4, False: 4}
