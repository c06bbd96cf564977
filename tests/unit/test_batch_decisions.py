"""Tests of decisions about batches: assignments, weight loads, lease claims and orders to workers."""

import math

from worksramp.coordination.log_lease import (
    ClaimLease,
    DeferClaim,
    LeaseTimes,
    LeaseView,
    OwnerRecord,
    claim_delay_range,
    decide_claim,
    latest_order_at,
    may_order,
)
from worksramp.rollout.batch_run import TextBuilder
from worksramp.rollout.batch_schedule import assign, pace_tier
from worksramp.rollout.batches import BatchItem, Score
from worksramp.rollout.item_work import ItemWork, longer_text
from worksramp.rollout.pace import PaceTracker
from worksramp.rollout.schedule_views import WaitingItem, WorkerView
from worksramp.routing.events import StreamEvent
from worksramp.routing.failure_tracker import FailureTracker
from worksramp.routing.table import Route, RouteKind, SplitPart
from worksramp.weights.model_homes import HomeCandidate, ModelDemand, place_models
from worksramp.weights.version_moves import ModelNeed, Move, WorkerVersion, decide_moves, max_concurrent_loads

TIMES = LeaseTimes(expiry=1.2, renewal=0.3, order_validity=0.9, order_guard=4.2, max_replica_age=0.8)


def item(index: int, tokens: int = 100, **changes: object) -> WaitingItem:
    values = {
        "key": ("b", index), "service": "s", "model": "m", "batch_age_seconds": 0.0,
        "num_expected_tokens": tokens, "num_held_tokens": 1, "min_version": 1,
    }  # fmt: skip
    return WaitingItem(**(values | changes))  # type: ignore[arg-type]


def worker_view(
    name: str, num_slots: int = 2, num_running: int = 0, version: int = 1, **changes: object
) -> WorkerView:
    values = {
        "worker_id": name, "service": "s", "num_slots": num_slots, "num_running": num_running,
        "num_expected_tokens": 0, "versions": {"m": version},
    }  # fmt: skip
    return WorkerView(**(values | changes))  # type: ignore[arg-type]


def assigned(waiting: list[WaitingItem], views: list[WorkerView]) -> dict[int, str]:
    return {assignment.key[1]: assignment.worker_id for assignment in assign(waiting, views)}


def test_the_longest_items_get_the_fast_workers() -> None:
    fast, slow = worker_view("fast", seconds_per_event=0.04), worker_view("slow", seconds_per_event=0.053)
    assert assigned([item(0, 10), item(1, 900), item(2, 500), item(3, 20)], [slow, fast]) == {
        1: "fast", 2: "fast", 3: "slow", 0: "slow",
    }  # fmt: skip


def test_old_batches_go_first() -> None:
    assert assigned([item(0, 900), item(1, 10, batch_age_seconds=3.0)], [worker_view("w", 1)]) == {1: "w"}


def test_items_are_assigned_only_to_workers_that_their_versions_allow() -> None:
    views = [
        worker_view("old", version=1),
        worker_view("new", version=3),
        worker_view("loads", 9, loading=frozenset("m")),
    ]
    assert assigned([item(0, min_version=2)], views) == {0: "new"}
    assert assigned([item(0, only_version=2)], views) == {}
    assert assigned([item(0, avoided=frozenset(["new", "old"]))], views) == {}


def test_no_more_runs_than_slots() -> None:
    assert (
        len(assigned([item(number) for number in range(9)], [worker_view("a", 3, 1), worker_view("b", 2, 2)]))
        == 2
    )


def test_workers_with_nearly_equal_seconds_per_event_share_one_tier() -> None:
    assert [pace_tier(pace, 0.04) for pace in (None, 0.04, 0.045, 0.053, 0.14)] == [0, 0, 0, 2, 8]


def test_a_worker_counts_as_slow_only_while_its_measurement_is_recent() -> None:
    pace = PaceTracker()
    for step in range(10):
        for worker, seconds in (("a", 0.04), ("b", 0.04), ("c", 0.14)):
            pace.observe(worker, seconds, step / 10)
    assert [pace.is_slow(worker, 1.0) for worker in "abc"] == [False, False, True]
    assert not pace.is_slow("c", 10.0)


def need(*workers: WorkerVersion, min_version: int = 1, num_waiting: int = 0) -> ModelNeed:
    return ModelNeed(
        model="m",
        named_version=3,
        min_version=min_version,
        num_waiting=num_waiting,
        has_single_version_runs=False,
        workers=workers,
    )


def test_a_worker_too_old_for_waiting_items_loads_at_once_and_others_when_idle() -> None:
    busy, idle = WorkerVersion("busy", 2, 3, False), WorkerVersion("idle", 2, 0, False)
    too_old = WorkerVersion("old", 1, 0, False)
    assert decide_moves([need(busy, idle, too_old, min_version=2, num_waiting=1)], 0, 2) == [
        Move("old", "m", 3, False)
    ]
    assert [move.worker_id for move in decide_moves([need(busy, idle, too_old)], 0, 2)] == ["old", "idle"]


def test_concurrent_loads_are_limited_and_each_worker_gets_one_order() -> None:
    workers = tuple(WorkerVersion(f"w{number}", 1, 0, False) for number in range(5))
    assert len(decide_moves([need(*workers, min_version=2)], 0, 2)) == 2
    assert len(decide_moves([need(*workers, min_version=2)], 2, 2)) == 0
    two_models = [need(workers[0], min_version=2), need(workers[0], min_version=2)]
    assert len(decide_moves(two_models, 0, 2)) == 1
    assert decide_moves([need(WorkerVersion("w", 1, 0, is_loading=True), min_version=2)], 0, 2) == []


def fleet(num_workers: int, version: int = 1, num_slots: int = 8) -> tuple[WorkerVersion, ...]:
    return tuple(
        WorkerVersion(f"w{number}", version, 0, False, num_free_slots=num_slots)
        for number in range(num_workers)
    )


def three_needs(num_items: int, **changes: object) -> list[ModelNeed]:
    workers = fleet(24)
    homes = place_models(
        [ModelDemand(model, num_items) for model in "abc"],
        [HomeCandidate(worker.worker_id, 8) for worker in workers],
    )
    values = {
        "named_version": 3,
        "min_version": 2,
        "num_waiting": num_items,
        "has_single_version_runs": False,
    }
    return [
        ModelNeed(model=model, workers=workers, homes=homes[model], **(values | changes))  # type: ignore[arg-type]
        for model in "abc"
    ]


def test_three_models_on_24_workers_load_at_their_homes_in_turn_up_to_the_load_limit() -> None:
    needs = three_needs(48)
    assert [len(need.homes or ()) for need in needs] == [8, 8, 8]
    assert len(frozenset.union(*[need.homes or frozenset() for need in needs])) == 24
    moves = decide_moves(needs, 0, max_concurrent_loads(24))
    assert len(moves) == len({move.worker_id for move in moves}) == 10
    assert sorted(move.model for move in moves) == ["a"] * 4 + ["b"] * 3 + ["c"] * 3
    assert all(
        move.worker_id in (need.homes or ()) for move in moves for need in needs if need.model == move.model
    )


def test_small_fleets_load_two_at_once_and_every_worker_is_a_home_where_a_step_fills_them() -> None:
    assert [max_concurrent_loads(number) for number in (3, 5, 6, 24)] == [2, 2, 2, 10]
    homes = place_models(
        [ModelDemand(model, 56) for model in "ab"], [HomeCandidate(f"w{number}", 16) for number in range(5)]
    )
    assert [len(homes[model]) for model in "ab"] == [5, 5]
    few_items = place_models(
        [ModelDemand(model, 20) for model in "ab"], [HomeCandidate(f"w{number}", 16) for number in range(5)]
    )
    assert [len(few_items[model]) for model in "ab"] == [5, 5]


def test_homes_are_the_same_in_any_order_and_one_lost_worker_moves_few() -> None:
    candidates = [HomeCandidate(f"w{number}", 8) for number in range(24)]
    demands = [ModelDemand(model, 48) for model in "abc"]
    homes = place_models(demands, candidates)
    assert place_models(demands[::-1], candidates[::-1]) == homes
    after = place_models(demands, candidates[1:])
    assert sum(len(after[model] - homes[model]) for model in "abc") <= 4
    slow = [HomeCandidate("w0", 8, is_slow=True), *candidates[1:]]
    assert place_models(demands, slow) == after


def test_helpers_load_only_if_free_and_loading_slots_are_too_few_and_slow_ones_never_do() -> None:
    workers = fleet(4)
    slow_helper = WorkerVersion("slow", 1, 0, False, num_free_slots=8, is_slow=True)

    def moved(num_waiting: int, *more: WorkerVersion) -> list[str]:
        need = ModelNeed(
            "m", 3, 2, num_waiting, False, (slow_helper, *workers, *more), frozenset(["w0", "w1"])
        )
        return [move.worker_id for move in decide_moves([need], 0, 9)]

    assert moved(16) == ["w0", "w1"]
    assert moved(17) == ["w0", "w1", "w2"]
    loading = WorkerVersion("w9", 1, 0, True, num_free_slots=8, is_loading_this=True)
    assert moved(17, loading) == ["w0", "w1"]
    assert moved(100) == ["w0", "w1", "w2", "w3"]


def test_a_worker_that_fails_a_large_share_counts_as_failing_until_the_failures_are_old() -> None:
    failures = FailureTracker()
    for number in range(8):
        failures.observe("grey", is_failure=number % 2 == 0, now=number / 10)
        failures.observe("good", is_failure=False, now=number / 10)
    failures.observe("unlucky", is_failure=True, now=0.8)
    assert failures.failing_workers(0.8) == frozenset(["grey"])
    assert failures.failing_workers(8.0) == frozenset()


def test_a_failing_worker_gets_only_items_without_another_free_slot() -> None:
    grey, slow = worker_view("grey", is_failing=True), worker_view("slow", is_slow=True)
    assert assigned([item(0), item(1)], [grey, slow]) == {0: "slow", 1: "slow"}
    assert assigned([item(0)], [grey, worker_view("slow", is_slow=True, num_running=2)]) == {0: "grey"}


def test_an_item_fails_for_good_at_different_workers_or_with_twice_as_many_failures_at_one() -> None:
    route = Route("r", "h", "/", RouteKind.BATCH, (SplitPart("s", 1.0),), max_attempts=3)
    batch_item = BatchItem("x", "/", (), b"", 10)
    work = ItemWork(("b", 0), batch_item, "m", route, 0.0, 1, TextBuilder())
    for number in range(1, 6):
        work.text.num_failures = number
        work.failed_workers.add("grey")
        assert not work.has_failed_for_good()
    work.text.num_failures = 6
    assert work.has_failed_for_good()
    work.text.num_failures = 3
    work.failed_workers |= {"other", "third"}
    assert work.has_failed_for_good()


def view(owner: OwnerRecord | None, changed_at: float = 0.0, **changes: object) -> LeaseView:
    values = {"is_own_machine": False, "replica_age": 0.1, "may_own": True, "jitter": 0.2}
    return LeaseView(owner=owner, owner_changed_at=changed_at, **(values | changes))  # type: ignore[arg-type]


def test_a_lease_is_claimed_once_its_owner_is_silent_and_the_replica_is_fresh() -> None:
    owner = OwnerRecord("a", "x", 4)
    assert decide_claim(view(owner), TIMES, 1.3) == DeferClaim("owner_renews")
    assert decide_claim(view(owner), TIMES, 1.5) == ClaimLease(5)
    assert decide_claim(view(owner, replica_age=1.0), TIMES, 9.0) == DeferClaim("copy_not_fresh")
    assert decide_claim(view(owner, may_own=False), TIMES, 9.0) == DeferClaim("not_wanted")
    assert decide_claim(view(None), TIMES, 0.3) == ClaimLease(1)


def test_a_released_lease_or_one_of_a_former_process_of_this_machine_is_claimed_at_once() -> None:
    assert decide_claim(view(OwnerRecord("a", "x", 4, is_released=True)), TIMES, 0.3) == ClaimLease(5)
    assert decide_claim(view(OwnerRecord("a", "x", 4), is_own_machine=True), TIMES, 0.0) == ClaimLease(5)


def test_small_machines_delay_claims_longer_than_large_ones() -> None:
    assert claim_delay_range(2.15) == (0.0, 0.2)
    assert claim_delay_range(0.516)[0] > claim_delay_range(2.15)[1]


def test_orders_wait_for_a_former_owners_announcement_and_need_a_recent_renewal() -> None:
    assert not may_order(now=10.0, former_order_at=6.0, renewed_at=10.0, times=TIMES)
    assert may_order(now=10.3, former_order_at=6.0, renewed_at=10.0, times=TIMES)
    # For instance after a suspension that the owner did not detect.
    assert not may_order(now=13.0, former_order_at=6.0, renewed_at=10.0, times=TIMES)


def test_the_last_order_of_another_machine_is_at_least_as_old_as_its_owner_says() -> None:
    record = OwnerRecord("a", "a1", 3, num_orders=4, last_order_node="a", last_order_age_s=5.0)
    assert latest_order_at(record, "b", now=100.0) == 95.0
    assert latest_order_at(record, "a", now=100.0) == -math.inf


def test_an_order_passed_on_by_an_owner_without_orders_keeps_its_machine() -> None:
    record = OwnerRecord("b", "b1", 4, num_orders=4, last_order_node="a", last_order_age_s=1.0)
    assert latest_order_at(record, "c", now=100.0) == 99.0
    assert latest_order_at(record, "b", now=100.0) == 99.0
    assert latest_order_at(record, "a", now=100.0) == -math.inf


def test_a_record_of_an_older_release_blocks_orders_of_all_machines() -> None:
    record = OwnerRecord("a", "a1", 3, num_orders=4)
    assert latest_order_at(record, "a", now=100.0) == 100.0
    assert record.is_order_open


def scored_text() -> TextBuilder:
    return TextBuilder(["a", "b"], "1", [3], is_whole=True, score=Score("call", "signature"))


def test_a_cleared_or_extended_text_loses_its_score_and_a_kept_one_does_not() -> None:
    text = scored_text()
    assert TextBuilder.from_text(text.freeze("b1")).score == Score("call", "signature")
    text.clear()
    assert text.score is None
    grown = scored_text()
    grown.add(StreamEvent(b"", "2", "c", {}), 3)
    assert grown.score is None


def test_the_longer_text_is_continued_with_the_failure_counts_of_the_first() -> None:
    kept, carried = TextBuilder(["a"], "0", [3], num_failures=2), TextBuilder(["a", "b"], "1", [4])
    assert (longer_text(kept, carried).pieces, longer_text(kept, carried).num_failures) == (["a", "b"], 2)
    assert longer_text(carried, kept) is carried
