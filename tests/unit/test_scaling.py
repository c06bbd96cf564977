"""How many workers each zone is to have: what a zone lost is replaced there, or elsewhere if it has none."""

from worksramp.duties.port import WorkerCount
from worksramp.duties.scaling import (
    BOOT_MARGIN_S,
    SURPLUS_HOLD_S,
    ZonePool,
    decide_count,
    targets,
)
from worksramp.routing.table import ScalingLimits

LIMITS = ScalingLimits(1, 15, boot_s=4.0, zone_prices={"x": 1.0, "y": 0.8, "z": 1.25})


def pools(**live: int) -> dict[str, ZonePool]:
    return {zone: ZonePool("fleet", zone, 8, num) for zone, num in live.items()}


def orders(by_zone: dict[str, ZonePool], now: float) -> dict[str, int]:
    wanted = targets(by_zone.values(), LIMITS, now)
    decided = [decide_count(pool, wanted[zone], LIMITS, now) for zone, pool in by_zone.items()]
    return {order.zone: order.num_workers for order in decided if order is not None}


def test_a_whole_fleet_needs_no_order() -> None:
    assert orders(pools(x=8, y=8, z=8), 100.0) == {}


def test_a_lost_worker_is_ordered_again_and_the_order_repeated_until_it_serves() -> None:
    by_zone = pools(x=8, y=6, z=8)
    assert orders(by_zone, 100.0) == {"y": 8}
    by_zone["y"].ordered, by_zone["y"].ordered_at = 8, 100.0
    assert orders(by_zone, 100.0 + LIMITS.boot_s) == {}
    assert orders(by_zone, 100.1 + LIMITS.boot_s + BOOT_MARGIN_S) == {"y": 8}
    by_zone["y"].num_live = 8
    assert orders(by_zone, 120.0) == {}


def test_what_a_zone_cannot_replace_is_ordered_in_the_others_within_their_limits() -> None:
    by_zone = pools(x=8, y=0, z=8)
    by_zone["y"].refused_at = 100.0
    assert orders(by_zone, 100.5) == {"x": 15, "z": 9}


def test_a_zone_is_asked_again_when_it_may_have_workers() -> None:
    by_zone = pools(x=8, y=0, z=8)
    by_zone["y"].refused_at = 100.0
    assert orders(by_zone, 110.0) == {"y": 8}


def test_workers_that_this_system_did_not_order_are_never_cut() -> None:
    """Entries that appear late make the first number of a zone too low; its workers must not end for that."""
    by_zone = pools(x=12, y=8, z=8)
    assert orders(by_zone, 100.0) == {}
    assert orders(by_zone, 101.0 + SURPLUS_HOLD_S) == {}


def test_more_workers_than_needed_are_kept_for_a_while() -> None:
    by_zone = pools(x=12, y=8, z=8)
    by_zone["x"].ordered = 12
    assert orders(by_zone, 100.0) == {}
    assert orders(by_zone, 100.0 + SURPLUS_HOLD_S) == {"x": 8}


def test_workers_that_may_be_taken_away_count_towards_the_number_of_a_zone() -> None:
    pool = ZonePool("fleet", "x", 8, num_live=3, num_spot=4)
    assert decide_count(pool, 8, LIMITS, 0.0) == WorkerCount("fleet", "x", 4)
