"""Which scoring calls go out, where to, and how long one is waited for."""

from worksramp.mechanisms import Mechanisms, UnknownMechanismError
from worksramp.rollout.scoring_schedule import ScorerPlace, UnscoredItem, assign_calls
from worksramp.rollout.scoring_times import ScoringTimes


def item(index: int, **changes: object) -> UnscoredItem:
    values = {"key": ("b", index), "service": "s", "batch_age_s": 1.0, "num_group_left": 4, "waiting_s": 0.0}
    return UnscoredItem(**(values | changes))  # type: ignore[arg-type]


def place(name: str, num_slots: int = 2, **changes: object) -> ScorerPlace:
    return ScorerPlace(name, "s", num_slots, **changes)  # type: ignore[arg-type]


def given(items: list[UnscoredItem], places: list[ScorerPlace]) -> list[tuple[int, str]]:
    return [(assignment.key[1], assignment.worker_id) for assignment in assign_calls(items, places)]


def test_old_batches_go_first_and_then_nearly_whole_groups() -> None:
    items = [item(0), item(1, num_group_left=1), item(2, batch_age_s=5.0, num_group_left=4)]
    assert [index for index, _ in given(items, [place("w", 6)])] == [2, 1, 0]


def test_calls_leave_half_of_the_slots_to_live_requests() -> None:
    assert len(given([item(index) for index in range(9)], [place("w", 6)])) == 3
    assert given([item(0)], [place("w", 6, num_calls=3)]) == []


def test_one_call_at_a_time_goes_where_requests_wait_and_scoring_never_starves() -> None:
    busy = place("w", 6, num_told_waiting=5)
    assert given([item(0), item(1)], [busy]) == [(0, "w")]
    assert given([item(0)], [place("w", 1)]) == [(0, "w")]


def test_calls_spread_over_workers_and_keep_to_their_service() -> None:
    places = [place("a", 8), place("b", 8), ScorerPlace("c", "other", 8)]
    assert given([item(0), item(1)], places) == [(0, "a"), (1, "b")]


def test_failing_workers_are_last_resorts_and_a_worker_is_asked_once_at_a_time() -> None:
    places = [place("a"), place("b", is_suspect=True)]
    assert given([item(0, last_resorts=frozenset("a"))], places) == [(0, "b")]
    assert given([item(0, last_resorts=frozenset("a"), avoided=frozenset("b"))], places) == [(0, "a")]
    assert given([item(0, avoided=frozenset("ab"))], places) == []


def test_lateness_follows_what_answers_take_and_never_passes_the_objective() -> None:
    times = ScoringTimes()
    assert times.late_after_s(0.2) == 0.2
    for _ in range(20):
        times.observe(0.03)
    assert times.late_after_s(0.2) == 0.06
    for _ in range(64):
        times.observe(5.0)
    assert times.late_after_s(0.2) == 0.2
    assert times.hanging_after_s(0.2) > 1.0


def test_a_mechanism_that_is_off_is_replaced_by_what_stands_in_its_place() -> None:
    found = Mechanisms()

    @found.register("doubling", without=lambda value: value)
    def double(value: int) -> int:
        """Double a value."""
        return 2 * value

    assert (double(3), found.by_name["doubling"].summary) == (6, "Double a value.")
    found.switch_off(["doubling"])
    assert double(3) == 3
    try:
        found.switch_off(["none"])
    except UnknownMechanismError as exc:
        assert "doubling" in str(exc)
    else:
        raise AssertionError("an unknown mechanism was taken")
