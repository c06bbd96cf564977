"""Decides which scoring calls are sent now and to which workers, as a pure function of its arguments.

Scorers also serve live requests, which have precedence: scoring calls use only a share of a worker's slots,
and one slot where requests already wait. One call for each worker is always allowed, so that scoring cannot
starve.
"""

from dataclasses import dataclass, replace

from worksramp.mechanisms import mechanism

#: Share of a worker's slots that scoring calls may take.
SCORING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class UnscoredItem:
    """Item whose text is complete and not scored yet.

    Attributes:
        key: batch id and index, copied into the assignment.
        service: service that runs the call.
        batch_age_s: seconds since the batch was first submitted.
        num_group_left: number of items of its group that are not listed yet.
        waiting_s: seconds since its text was complete.
        avoided: workers that must not get the call now.
        last_resorts: workers that get the call only if no other worker has a free slot.
    """

    key: tuple[str, int]
    service: str
    batch_age_s: float
    num_group_left: int
    waiting_s: float
    avoided: frozenset[str] = frozenset()
    last_resorts: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ScorerView:
    """Last known state of a worker that runs scoring calls.

    Attributes:
        num_calls: scoring calls of this owner that are in flight at the worker.
        num_reported_waiting: waiting requests in the worker's last load report.
        latency_s: moving mean of the times of its answers in seconds, None before the first.
        is_failing: whether it has recently failed a large share of its work; such a worker is chosen after
            all others.
    """

    worker_id: str
    service: str
    num_slots: int
    num_calls: int = 0
    num_reported_waiting: int = 0
    latency_s: float | None = None
    is_failing: bool = False

    @property
    def num_free(self) -> int:
        """Number of further scoring calls that the worker may get; negative if it has too many."""
        allowed = 1 if self.num_reported_waiting else max(1, int(SCORING_SHARE * self.num_slots))
        return allowed - self.num_calls


@dataclass(frozen=True, slots=True)
class ScoringAssignment:
    """Assignment of an item's scoring call to a worker."""

    key: tuple[str, int]
    worker_id: str


def assign_calls(items: list[UnscoredItem], scorers: list[ScorerView]) -> list[ScoringAssignment]:
    """Assign items to workers with free slots.

    Items of old batches come first, then items of groups with few unlisted items, then the longest waiting.
    Each item gets the least loaded worker of its service, failing workers last.

    Returns:
        Assignments in order of priority; items that find no free slot have none.
    """
    by_id = {scorer.worker_id: scorer for scorer in scorers}
    assignments: list[ScoringAssignment] = []
    for item in sorted(items, key=_rank):
        scorer = _choose_scorer(item, by_id)
        if scorer is None:
            continue
        by_id[scorer.worker_id] = replace(scorer, num_calls=scorer.num_calls + 1)
        assignments.append(ScoringAssignment(item.key, scorer.worker_id))
    return assignments


def _rank(item: UnscoredItem) -> tuple[float, int, float, tuple[str, int]]:
    return (-item.batch_age_s, _group_rank(item), -item.waiting_s, item.key)


@mechanism("scoring_by_group", without=lambda item: 0)
def _group_rank(item: UnscoredItem) -> int:
    """Score items of nearly complete groups first."""
    return item.num_group_left


def _choose_scorer(item: UnscoredItem, scorers: dict[str, ScorerView]) -> ScorerView | None:
    candidates = [
        scorer
        for scorer in scorers.values()
        if scorer.service == item.service and scorer.num_free > 0 and scorer.worker_id not in item.avoided
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda scorer: (
            scorer.worker_id in item.last_resorts,
            scorer.is_failing,
            (scorer.num_calls + scorer.num_reported_waiting) / max(1, scorer.num_slots),
            scorer.latency_s or 0.0,
            scorer.worker_id,
        ),
    )
