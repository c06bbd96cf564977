"""Which scoring calls are sent now, and where to: a pure decision from one view.

Scorers serve live requests too. Their time is left to those: calls keep to a share of a worker's slots, and
to one call at a time where requests already wait. One call at each worker is always allowed, so that scoring
never starves.
"""

from dataclasses import dataclass, replace

from worksramp.mechanisms import mechanism

#: Share of a worker's slots that scoring calls may take.
SCORING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class UnscoredItem:
    """An item whose text is whole and waits for its score.

    Attributes:
        key: batch and index, handed back in the assignment.
        service: that answers the call.
        batch_age_s: since the batch was first sent.
        num_group_left: items of its group that are not listed yet.
        waiting_s: since its text was whole.
        avoided: workers it must not go to now.
        last_resorts: workers it goes to after all others.
    """

    key: tuple[str, int]
    service: str
    batch_age_s: float
    num_group_left: int
    waiting_s: float
    avoided: frozenset[str] = frozenset()
    last_resorts: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ScorerPlace:
    """A worker that answers scoring calls.

    Attributes:
        num_calls: scoring calls that the owner has out there.
        num_told_waiting: requests that waited there as it said last.
        latency_s: moving mean of its answers, None before the first.
        is_suspect: fails part of what it is given; used after all others.
    """

    worker_id: str
    service: str
    num_slots: int
    num_calls: int = 0
    num_told_waiting: int = 0
    latency_s: float | None = None
    is_suspect: bool = False

    @property
    def num_free(self) -> int:
        """Scoring calls that may still go there."""
        allowed = 1 if self.num_told_waiting else max(1, int(SCORING_SHARE * self.num_slots))
        return allowed - self.num_calls


@dataclass(frozen=True, slots=True)
class ScoringAssignment:
    """Send this item's call there."""

    key: tuple[str, int]
    worker_id: str


def assign_calls(items: list[UnscoredItem], places: list[ScorerPlace]) -> list[ScoringAssignment]:
    """Give items to workers with room, items of old batches and of nearly whole groups first."""
    by_id = {place.worker_id: place for place in places}
    assignments: list[ScoringAssignment] = []
    for item in sorted(items, key=_rank):
        place = _choose_place(item, by_id)
        if place is None:
            continue
        by_id[place.worker_id] = replace(place, num_calls=place.num_calls + 1)
        assignments.append(ScoringAssignment(item.key, place.worker_id))
    return assignments


def _rank(item: UnscoredItem) -> tuple[float, int, float, tuple[str, int]]:
    return (-item.batch_age_s, _group_rank(item), -item.waiting_s, item.key)


@mechanism("scoring_by_group", without=lambda item: 0)
def _group_rank(item: UnscoredItem) -> int:
    """Score items of nearly whole groups first."""
    return item.num_group_left


def _choose_place(item: UnscoredItem, places: dict[str, ScorerPlace]) -> ScorerPlace | None:
    candidates = [
        place
        for place in places.values()
        if place.service == item.service and place.num_free > 0 and place.worker_id not in item.avoided
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda place: (
            place.worker_id in item.last_resorts,
            place.is_suspect,
            (place.num_calls + place.num_told_waiting) / max(1, place.num_slots),
            place.latency_s or 0.0,
            place.worker_id,
        ),
    )
