"""Estimates what a running item gains by a move to another worker: pure functions of one view.

Load pattern: workers become slow while they run long items, both at low load and while more items wait than
there are slots. A move is worth its cost if the item gets a slot of a fast worker soon enough. While other
items wait, the moved item queues behind those that are longer or of an old batch, and another item gets the
slot that it frees. Each move breaks a connection, so an item that ends before the longest one of its batch is
not moved.
"""

import bisect
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

from worksramp.mechanisms import mechanism
from worksramp.rollout.batch_schedule import WaitingItem, WorkerView, may_run, rank
from worksramp.rollout.fast_slots import (
    FastSlots,
    SlotUse,
    fast_pace_s,
    fast_slots,
    gain_of_waiting_s,
)

#: Texts become up to about this many times as long as estimated.
LENGTH_SPREAD = 2.0


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

    def gain_s(self, item: WaitingItem, worker_id: str, pace_s: float, num_events_left: float) -> float:
        """Return how many seconds earlier an item that runs at ``worker_id`` ends after a move.

        The result is 0 if the item must not be moved now.

        Args:
            pace_s: seconds per event at ``worker_id``.
            num_events_left: events still to be generated.
        """
        if self._ranks and not _may_move_while_items_wait():
            return 0.0
        longest_left = self._longest_left.get(item.key[0], num_events_left)
        if not _is_critical(num_events_left * pace_s, longest_left * self._fast_s):
            return 0.0
        fast = _fast_slots_for(item, [worker for worker in self._workers if worker.worker_id != worker_id])
        if fast is None:
            return 0.0
        return gain_of_waiting_s(num_events_left, pace_s, fast, self._num_ahead(item))

    def _num_ahead(self, item: WaitingItem) -> int:
        return bisect.bisect_left(self._ranks.get(item.needs, []), rank(item))


@mechanism("moves_of_critical_items", without=lambda left_s, longest_left_s: True)
def _is_critical(left_s: float, longest_left_s: float) -> bool:
    """Move only items that may end later than the longest one of their batch would at a fast worker."""
    return LENGTH_SPREAD * left_s > longest_left_s


@mechanism("moves_while_items_wait", without=lambda: False)
def _may_move_while_items_wait() -> bool:
    """Move long items off slow workers even while other items wait for a slot or for weights."""
    return True


def _fast_slots_for(item: WaitingItem, workers: Iterable[WorkerView]) -> FastSlots | None:
    """Return the slots of fast workers that may run an item, or None if no such worker has been measured."""
    return fast_slots(
        [
            SlotUse(
                max(0, worker.num_slots - worker.num_running),
                worker.num_running,
                worker.num_expected_events,
                worker.seconds_per_event,
            )
            for worker in workers
            if may_run(item, worker) and not worker.is_failing
        ]
    )
