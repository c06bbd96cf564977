"""Placement of shards: which node should own a shard, by rendezvous hashing, and when to claim or hand over.

Placement only decides which node tries to own a shard; the log decides which node owns it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

import xxhash

from worksramp.coordination.fold import Ownership

HANDOVER_HOLD_SECONDS = 5.0
TAKEOVER_SECONDS = 15.0


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in descending order of their random weight for this key.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """
    return sorted(members, key=lambda member: _rank(key, member))


class PlacementAction(Enum):
    """What a node should do about one shard."""

    IGNORE = auto()
    FOLLOW = auto()
    CLAIM = auto()
    SERVE = auto()
    RELEASE = auto()


def preferred_member(key: str, members: Iterable[str]) -> str:
    """Return the first member of `rendezvous_order` for a key, empty without members."""
    return min(members, key=lambda member: _rank(key, member), default="")


def _rank(key: str, member: str) -> tuple[int, str]:
    return (-xxhash.xxh64_intdigest(f"{member}|{key}".encode()), member)


@dataclass(frozen=True, slots=True)
class PlacementView:
    """One node's view of one shard, from which it decides.

    Attributes:
        instance_id: instance id of this process.
        preferred: instance id of the node that should own the shard; empty if there is none.
        eligible: instance ids of coordinators that are alive or suspected and not draining, this one
            included unless it is draining.
        ownership: ownership as folded from the shard's stream; None while the stream is not followed or not
            caught up.
        misplaced_seconds: how long the shard has been owned by a node other than the preferred one.
    """

    instance_id: str
    preferred: str
    eligible: frozenset[str]
    ownership: Ownership | None
    misplaced_seconds: float = 0.0


def decide_placement(view: PlacementView) -> PlacementAction:
    """Decide what to do about a shard.

    The preferred node claims when the owner has released the shard or is not eligible. An eligible owner that
    is no longer preferred hands over after a hold time, so that a flapping member does not move shards. If it
    does not hand over, the preferred node claims all the same: a claim that took effect late can make a node
    the owner of a stream that it no longer follows, and no claim can do harm.
    """
    is_preferred = view.preferred == view.instance_id
    ownership = view.ownership
    if ownership is None:
        return PlacementAction.FOLLOW if is_preferred else PlacementAction.IGNORE
    if ownership.is_held_by(view.instance_id):
        should_hand_over = (
            not is_preferred and bool(view.preferred) and view.misplaced_seconds >= HANDOVER_HOLD_SECONDS
        )
        return PlacementAction.RELEASE if should_hand_over else PlacementAction.SERVE
    if not is_preferred:
        return PlacementAction.IGNORE
    is_owner_alive = not ownership.is_released and ownership.owner in view.eligible
    is_takeover_due = view.misplaced_seconds >= TAKEOVER_SECONDS
    return PlacementAction.FOLLOW if is_owner_alive and not is_takeover_due else PlacementAction.CLAIM
