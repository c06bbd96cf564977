"""Which node should own a shard: rendezvous hashing, and when to claim or hand over.

Placement only decides who tries; the log decides who owns.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

import xxhash

from worksramp.coordination.fold import Ownership

HANDOVER_HOLD_SECONDS = 5.0
TAKEOVER_SECONDS = 15.0


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return the members, best first, by highest random weight for this key.

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
    """Return the best member for a key, as `rendezvous_order` has it first; empty without members."""
    return min(members, key=lambda member: _rank(key, member), default="")


def _rank(key: str, member: str) -> tuple[int, str]:
    return (-xxhash.xxh64_intdigest(f"{member}|{key}".encode()), member)


@dataclass(frozen=True, slots=True)
class PlacementView:
    """What one node knows when it decides about one shard.

    Attributes:
        instance_id: this process.
        preferred: instance id of the node that should own the shard; empty if there is none.
        eligible: instance ids of coordinators believed alive and not leaving, this one included unless
            it is leaving.
        ownership: as folded from the shard's stream; None while the stream is not followed or not
            caught up.
        misplaced_seconds: how long the shard's living owner has not been the preferred node.
    """

    instance_id: str
    preferred: str
    eligible: frozenset[str]
    ownership: Ownership | None
    misplaced_seconds: float = 0.0


def decide_placement(view: PlacementView) -> PlacementAction:
    """Decide what to do about a shard.

    The preferred node claims when the owner has released, or is not believed alive. A living owner
    that is no longer preferred hands over after a hold time, so that a flapping member moves nothing.
    If it does not, the preferred node claims all the same: a claim that landed late can make a node the
    owner of a stream that it no longer follows, and no claim can do harm.
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
    is_owner_idle = view.misplaced_seconds >= TAKEOVER_SECONDS
    return PlacementAction.FOLLOW if is_owner_alive and not is_owner_idle else PlacementAction.CLAIM
