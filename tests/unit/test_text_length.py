"""Expected rest of texts, given their hints and what they have shown so far."""

import random

import pytest

from worksramp.rollout.text_length import (
    MAX_REMEMBERED_TEXTS,
    MIN_EVENTS_LEFT,
    MIN_FINISHED_TEXTS,
    TAIL_SHARE,
    TextLengths,
)


def test_before_any_text_has_finished_the_hint_counts_and_a_text_beyond_it_grows_on() -> None:
    lengths = TextLengths()
    at_start, at_hint, beyond = (lengths.events_left("m", 100, made) for made in (0, 100, 200))
    assert 100 <= at_start <= 125
    assert 30 <= at_hint <= 60
    assert beyond >= 30


def test_the_rest_is_learnt_from_finished_texts_and_by_model() -> None:
    lengths = TextLengths()
    source = random.Random(1)
    for _ in range(2 * MAX_REMEMBERED_TEXTS):
        lengths.record("m", 50, 2 * round(50 * source.uniform(0.9, 1.1)))
    assert lengths.events_left("m", 50, 0) == pytest.approx(100, rel=0.05)
    assert lengths.events_left("m", 50, 80) == pytest.approx(20, rel=0.2)
    assert lengths.events_left("other", 50, 0) < 65


def test_a_text_longer_than_all_others_grows_by_a_share_of_itself() -> None:
    lengths = TextLengths()
    assert lengths.events_left("m", 10, 1000) == pytest.approx(TAIL_SHARE * 1000)
    assert lengths.events_left("m", 0, 0) == MIN_EVENTS_LEFT
    lengths.record("m", 0, 10)
    assert lengths.events_left("m", 0, 100) == pytest.approx(TAIL_SHARE * 100)


def test_hints_do_not_promise_more_than_any_finished_text_has() -> None:
    lengths = TextLengths()
    for num_events in range(1, MIN_FINISHED_TEXTS):
        lengths.record("m", min(num_events, 100), min(num_events, 100))
    assert lengths.events_left("m", 1000, 0) > 900
    lengths.record("m", 100, 150)
    assert lengths.events_left("m", 1000, 0) == 150
    assert lengths.most_events_left("m", 1000, 100) == 50


def test_one_text_in_ten_is_longer_than_the_most_that_is_expected() -> None:
    lengths = TextLengths()
    source = random.Random(2)
    for _ in range(MAX_REMEMBERED_TEXTS):
        lengths.record("m", 100, round(100 * source.lognormvariate(0.0, 0.5)))
    longer = [
        source.lognormvariate(0.0, 0.5) * 100 > lengths.most_events_left("m", 100, 0) for _ in range(2000)
    ]
    assert 0.05 <= sum(longer) / len(longer) <= 0.16
