"""Decisions of a node to follow, claim, serve and hand over a shard."""

from worksramp.coordination.fold import Ownership
from worksramp.coordination.placement import (
    HANDOVER_HOLD_SECONDS,
    TAKEOVER_SECONDS,
    PlacementAction,
    PlacementView,
    decide_placement,
    preferred_member,
    rendezvous_order,
)

MEMBERS = frozenset({"a", "b", "c"})
PREFERRED, SECOND, _ = rendezvous_order("shard", MEMBERS)


def view(instance: str, ownership: Ownership | None, seconds: float = 0.0) -> PlacementView:
    return PlacementView(instance, PREFERRED, MEMBERS, ownership, seconds)


def test_the_preferred_node_claims_from_a_dead_owner() -> None:
    assert decide_placement(view(PREFERRED, Ownership(3, "gone", False))) is PlacementAction.CLAIM


def test_the_preferred_node_claims_what_was_released() -> None:
    assert decide_placement(view(PREFERRED, Ownership(3, SECOND, True))) is PlacementAction.CLAIM


def test_the_preferred_node_waits_for_a_live_owner() -> None:
    assert decide_placement(view(PREFERRED, Ownership(3, SECOND, False))) is PlacementAction.FOLLOW


def test_the_preferred_node_takes_over_from_an_owner_that_never_hands_over() -> None:
    # A claim that took effect late can make a node the owner of a stream that it no longer follows.
    ownership = Ownership(3, SECOND, False)
    assert decide_placement(view(PREFERRED, ownership, TAKEOVER_SECONDS)) is PlacementAction.CLAIM


def test_an_owner_that_is_not_preferred_hands_over_after_a_hold() -> None:
    ownership = Ownership(3, SECOND, False)
    assert decide_placement(view(SECOND, ownership)) is PlacementAction.SERVE
    assert decide_placement(view(SECOND, ownership, HANDOVER_HOLD_SECONDS)) is PlacementAction.RELEASE


def test_the_preferred_member_is_the_first_in_order() -> None:
    for number in range(50):
        key = f"shard-{number}"
        assert preferred_member(key, MEMBERS) == rendezvous_order(key, MEMBERS)[0]
    assert preferred_member("shard", ()) == ""
