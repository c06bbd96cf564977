"""Choice of scoring calls and workers, and the time after which a call is late."""

from worksramp.mechanisms import Mechanisms, UnknownMechanismError
from worksramp.rollout.scoring_schedule import ScorerView, UnscoredItem, assign_calls
from worksramp.rollout.scoring_times import ScoringTimes


def item(index: int, **changes: object) -> UnscoredItem:
    values = {"key": ("b", index), "service": "s", "batch_age_s": 1.0, "num_group_left": 4, "waiting_s": 0.0}
    return UnscoredItem(**(values | changes))  # type: ignore[arg-type]


def scorer(name: str, num_slots: int = 2, **changes: object) -> ScorerView:
    return ScorerView(name, "s", num_slots, **changes)  # type: ignore[arg-type]


def assigned(items: list[UnscoredItem], scorers: list[ScorerView]) -> list[tuple[int, str]]:
    return [(assignment.key[1], assignment.worker_id) for assignment in assign_calls(items, scorers)]


def test_old_batches_go_first_and_then_nearly_complete_groups() -> None:
    items = [item(0), item(1, num_group_left=1), item(2, batch_age_s=5.0, num_group_left=4)]
    assert [index for index, _ in assigned(items, [scorer("w", 6)])] == [2, 1, 0]


def test_calls_leave_half_of_the_slots_to_live_requests() -> None:
    assert len(assigned([item(index) for index in range(9)], [scorer("w", 6)])) == 3
    assert assigned([item(0)], [scorer("w", 6, num_calls=3)]) == []


def test_a_scorer_with_waiting_requests_gets_one_call_at_a_time_and_scoring_never_starves() -> None:
    busy = scorer("w", 6, num_reported_waiting=5)
    assert assigned([item(0), item(1)], [busy]) == [(0, "w")]
    assert assigned([item(0)], [scorer("w", 1)]) == [(0, "w")]


def test_calls_are_balanced_over_the_workers_of_their_service() -> None:
    scorers = [scorer("a", 8), scorer("b", 8), ScorerView("c", "other", 8)]
    assert assigned([item(0), item(1)], scorers) == [(0, "a"), (1, "b")]


def test_failing_workers_are_chosen_last_and_avoided_workers_never() -> None:
    scorers = [scorer("a"), scorer("b", is_failing=True)]
    assert assigned([item(0, last_resorts=frozenset("a"))], scorers) == [(0, "b")]
    assert assigned([item(0, last_resorts=frozenset("a"), avoided=frozenset("b"))], scorers) == [(0, "a")]
    assert assigned([item(0, avoided=frozenset("ab"))], scorers) == []


def test_late_time_follows_measured_times_up_to_the_objective() -> None:
    times = ScoringTimes()
    assert times.late_after_s(0.2) == 0.2
    for _ in range(20):
        times.observe(0.03)
    assert times.late_after_s(0.2) == 0.06
    for _ in range(64):
        times.observe(5.0)
    assert times.late_after_s(0.2) == 0.2
    assert times.hanging_after_s(0.2) > 1.0


def test_a_mechanism_that_is_off_is_replaced_by_its_substitute() -> None:
    registry = Mechanisms()

    @registry.register("doubling", without=lambda value: value)
    def double(value: int) -> int:
        """Double a value."""
        return 2 * value

    assert (double(3), registry.by_name["doubling"].summary) == (6, "Double a value.")
    registry.switch_off(["doubling"])
    assert double(3) == 3
    try:
        registry.switch_off(["none"])
    except UnknownMechanismError as exc:
        assert "doubling" in str(exc)
    else:
        raise AssertionError("an unknown mechanism was accepted")
