"""What an item that runs would gain at another worker: a pure decision from one view.

Load pattern: workers turn slow under long items, in calm as well as while more items wait than there are
slots. A move is worth its cost where the item gets a slot of a fast worker soon enough; while others wait, it
comes after those that are longer or of an old batch, and one of the others takes the slot that it leaves.
Each move breaks a connection, so that an item which ends before the longest of its batch stays where it is.
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

#: Texts become up to about this much longer than estimated.
LENGTH_SPREAD = 2.0


class Elsewhere:
    """The workers of a fleet and what waits for them, at one moment."""

    def __init__(
        self, places: list[WorkerView], waiting: list[WaitingItem], longest_left: Mapping[str, float]
    ) -> None:
        """Take a view in.

        Args:
            longest_left: events still to be made of the longest open item of each batch.
        """
        self._places = places
        self._longest_left = longest_left
        paces = [place.seconds_per_event for place in places if place.seconds_per_event]
        self._fast_s = fast_pace_s(paces) if paces else math.inf
        self._ranks = defaultdict(list)
        for item in waiting:
            self._ranks[item.needs].append(rank(item))
        for ranks in self._ranks.values():
            ranks.sort()

    def gain_s(self, item: WaitingItem, worker_id: str, pace_s: float, num_events_left: float) -> float:
        """Return the seconds by which an item that runs at ``worker_id`` ends sooner elsewhere."""
        if self._ranks and not _may_move_while_items_wait():
            return 0.0
        longest_left = self._longest_left.get(item.key[0], num_events_left)
        if not _is_critical(num_events_left * pace_s, longest_left * self._fast_s):
            return 0.0
        fast = _slots_for(item, [place for place in self._places if place.worker_id != worker_id])
        if fast is None:
            return 0.0
        return gain_of_waiting_s(num_events_left, pace_s, fast, self._num_ahead(item))

    def _num_ahead(self, item: WaitingItem) -> int:
        return bisect.bisect_left(self._ranks.get(item.needs, []), rank(item))


@mechanism("moves_of_critical_items", without=lambda left_s, longest_left_s: True)
def _is_critical(left_s: float, longest_left_s: float) -> bool:
    """Move only items that may end after the longest one of their batch would at a fast worker."""
    return LENGTH_SPREAD * left_s > longest_left_s


@mechanism("moves_while_items_wait", without=lambda: False)
def _may_move_while_items_wait() -> bool:
    """Move long items off slow workers even while others wait for a place, or for weights."""
    return True


def _slots_for(item: WaitingItem, places: Iterable[WorkerView]) -> FastSlots | None:
    """Return the slots of fast workers that an item may go to, None while no pace is known."""
    return fast_slots(
        [
            SlotUse(
                max(0, place.num_slots - place.num_running),
                place.num_running,
                place.num_expected_events,
                place.seconds_per_event,
            )
            for place in places
            if may_run(item, place) and not place.is_failing
        ]
    )
