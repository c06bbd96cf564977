"""Estimates what a running item gains by a move to another worker: pure functions of one view.

Load pattern: workers become slow while they run long items, both at low load and while more items wait than
there are slots. A move is worth its cost if the item gets a slot of a fast worker soon enough. While other
items wait, the moved item queues behind those that are longer or of an old batch, and another item gets the
slot that it frees. Each move breaks a connection, so an item that ends before the longest one of its batch is
not moved. Where a part of the workers is merely of a faster kind, many items gain by its slots, and an item
moves only to a slot that is free and kept for it.
"""

import bisect
import math
from collections import defaultdict
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass

from worksramp.mechanisms import MECHANISMS, mechanism
from worksramp.rollout.batch_schedule import rank
from worksramp.rollout.fast_slots import (
    FAST_PACE_RATIO,
    FastSlots,
    SlotUse,
    fast_pace_s,
    fast_slots,
    gain_of_waiting_s,
)
from worksramp.rollout.schedule_views import WaitingItem, WorkerView, may_run

#: A move opens a new connection, and the new worker has to read the prompt and the text so far.
MOVE_COST_S = 0.1
MIN_GAIN_S = 0.25


@dataclass(frozen=True, slots=True)
class RunView:
    """A run that may be moved.

    Attributes:
        worker_id: worker that it runs at.
        pace_s: seconds per event there.
        num_events_left: expected number of events still to be generated.
        most_events_left: most events that may still have to be generated.
        is_at_slow_worker: whether the worker is far slower than the median one.
    """

    item: WaitingItem
    worker_id: str
    pace_s: float
    num_events_left: float
    most_events_left: float
    is_at_slow_worker: bool


@dataclass(frozen=True, slots=True)
class Move:
    """Decision to close a run so that another worker continues its text.

    Attributes:
        target: worker that keeps a slot for it, an empty string if it queues for one.
    """

    target: str


class MoveEstimator:
    """View of the workers of a fleet and of the items that wait for them."""

    def __init__(
        self, workers: list[WorkerView], waiting: list[WaitingItem], longest_left: Mapping[str, float]
    ) -> None:
        """Create an estimator.

        Args:
            longest_left: for each batch, events still to be generated for its longest open item.
        """
        self._workers = workers
        self._longest_left = longest_left
        paces = [worker.seconds_per_event for worker in workers if worker.seconds_per_event]
        self._fast_s = fast_pace_s(paces) if paces else math.inf
        self._ranks = defaultdict(list)
        for item in waiting:
            self._ranks[item.needs].append(rank(item))
        for ranks in self._ranks.values():
            ranks.sort()

    def gain_s(self, run: RunView) -> float:
        """Return how many seconds earlier an item ends after a move, which may have to wait for a slot.

        The result is 0 if the item must not be moved now.
        """
        if self._ranks and not _may_move_while_items_wait():
            return 0.0
        if not self._is_critical(run):
            return 0.0
        fast = _fast_slots_for(run.item, [each for each in self._workers if each.worker_id != run.worker_id])
        if fast is None:
            return 0.0
        return gain_of_waiting_s(run.num_events_left, run.pace_s, fast, self._num_ahead(run.item))

    def decide(self, run: RunView, excluded: Container[str]) -> Move | None:
        """Decide whether a run is to be moved now, and to which free slot.

        Args:
            excluded: workers whose free slots must not be used.
        """
        target = self._free_target(run, excluded)
        if target is not None and target.seconds_per_event is not None:
            gain_s = run.num_events_left * (run.pace_s - target.seconds_per_event)
            if gain_s > MOVE_COST_S + MIN_GAIN_S:
                return Move(target.worker_id)
        if not run.is_at_slow_worker and MECHANISMS.is_on("reserved_slots"):
            return None
        gain_s = self.gain_s(run)
        return Move("") if gain_s > MOVE_COST_S + MIN_GAIN_S else None

    @mechanism("reserved_slots", without=lambda estimator, run, excluded: None)
    def _free_target(self, run: RunView, excluded: Container[str]) -> WorkerView | None:
        """Move an item only to a slot that is kept for it, unless its worker is far slower than others."""
        if not self._is_critical(run):
            return None
        others = [worker for worker in self._workers if worker.worker_id != run.worker_id]
        return free_fast_worker(run.item, others, self._fast_s, excluded)

    def _is_critical(self, run: RunView) -> bool:
        longest_left = self._longest_left.get(run.item.key[0], run.num_events_left)
        return _may_end_last(run.most_events_left * run.pace_s, longest_left * self._fast_s)

    def _num_ahead(self, item: WaitingItem) -> int:
        return bisect.bisect_left(self._ranks.get(item.needs, []), rank(item))


def free_fast_worker(
    item: WaitingItem, workers: Iterable[WorkerView], fast_s: float, excluded: Container[str]
) -> WorkerView | None:
    """Return the fast worker that has a slot and memory for an item, and the most free slots of those.

    Args:
        fast_s: seconds per event of the fast workers.
        excluded: workers that must not be returned.
    """
    candidates = [
        worker
        for worker in workers
        if worker.worker_id not in excluded
        and worker.num_running < worker.num_slots
        and worker.seconds_per_event is not None
        and worker.seconds_per_event <= FAST_PACE_RATIO * fast_s
        and not worker.is_failing
        and may_run(item, worker)
        and worker.has_memory_for(item)
    ]
    return max(candidates, key=lambda worker: worker.num_slots - worker.num_running, default=None)


@mechanism("moves_of_critical_items", without=lambda left_s, longest_left_s: True)
def _may_end_last(left_s: float, longest_left_s: float) -> bool:
    """Move only items that may end later than the longest one of their batch would at a fast worker."""
    return left_s > longest_left_s


@mechanism("moves_while_items_wait", without=lambda: False)
def _may_move_while_items_wait() -> bool:
    """Move long items off slow workers even while other items wait for a slot or for weights."""
    return True


def _fast_slots_for(item: WaitingItem, workers: Iterable[WorkerView]) -> FastSlots | None:
    """Return the slots of fast workers that may run an item, or None if no such worker has been measured."""
    return fast_slots(
        [
            SlotUse(
                max(0, worker.num_slots - worker.num_running) if worker.has_memory_for(item) else 0,
                worker.num_running,
                worker.num_expected_events,
                worker.seconds_per_event,
            )
            for worker in workers
            if may_run(item, worker) and not worker.is_failing
        ]
    )
