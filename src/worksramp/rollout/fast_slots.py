"""Estimates when an item gets a slot of a fast worker and what it gains there: pure functions.

Load pattern: steps accumulate, for instance after an outage, while a part of the fleet is far slower than
usual. There are more items than slots, but slots of fast workers become free many times per second.
"""

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Workers count as fast up to this multiple of the fast workers' seconds per event: a smaller difference may
#: be chance.
FAST_PACE_RATIO = 1.2
#: A worker is of a faster kind than the median worker if it is this many times as fast. Equal workers differ
#: by less, from their numbers of runs and from chance.
FASTER_KIND_RATIO = 1.4


@dataclass(frozen=True, slots=True)
class SlotUse:
    """Slots and load of one worker that may run an item.

    Attributes:
        num_expected_events: estimate of the events that its runs will still generate.
        seconds_per_event: last known seconds per event, None if not measured.
    """

    num_free: int
    num_running: int
    num_expected_events: float
    seconds_per_event: float | None


@dataclass(frozen=True, slots=True)
class FastSlots:
    """Slots of the fast workers that may run an item.

    Attributes:
        seconds_per_event: seconds per event of the fast workers.
        num_free: slots that are free now.
        freed_per_s: slots that become free per second.
    """

    seconds_per_event: float
    num_free: int
    freed_per_s: float

    def wait_s(self, num_ahead: int) -> float:
        """Return how many seconds an item waits for a slot behind ``num_ahead`` others; may be infinite."""
        num_needed = num_ahead + 1 - self.num_free
        if num_needed <= 0:
            return 0.0
        return num_needed / self.freed_per_s if self.freed_per_s > 0 else math.inf


def fast_slots(uses: Sequence[SlotUse]) -> FastSlots | None:
    """Return the slots of the fast workers among all, or None if no worker has been measured."""
    paces = [use.seconds_per_event for use in uses if use.seconds_per_event]
    if not paces:
        return None
    pace_s = fast_pace_s(paces)
    fast = [use for use in uses if (use.seconds_per_event or pace_s) <= FAST_PACE_RATIO * pace_s]
    return FastSlots(
        pace_s, sum(use.num_free for use in fast), sum(_freed_per_s(use, pace_s) for use in fast)
    )


def fast_pace_s(paces: Sequence[float]) -> float:
    """Return the seconds per event of the fast workers.

    Where some workers, or a single one, are of a faster kind than the median, this is the slowest of that
    kind. Otherwise it is the lower quartile, as the minimum may be chance.
    """
    return faster_kind_s(paces) or sorted(paces)[len(paces) // 4]


@mechanism("faster_kind", without=lambda paces: None)
def faster_kind_s(paces: Sequence[float]) -> float | None:
    """Recognize a faster kind of workers, however few they are.

    Returns:
        Seconds per event of the slowest of them, None if no worker is of a faster kind than the median one.
    """
    if not paces:
        return None
    bound_s = statistics.median_low(paces) / FASTER_KIND_RATIO
    return max((pace for pace in paces if pace <= bound_s), default=None)


def gain_of_waiting_s(num_events: float, pace_here_s: float | None, fast: FastSlots, num_ahead: int) -> float:
    """Return how many seconds earlier an item ends at a fast worker, after waiting for a slot there.

    Negative if it ends later; 0 if its worker is itself a fast one, or has not been measured.

    Args:
        num_events: events still to be generated.
        pace_here_s: seconds per event at the worker that it would run at otherwise, None if not measured.
        num_ahead: waiting items that get slots before it.
    """
    if pace_here_s is None or pace_here_s <= FAST_PACE_RATIO * fast.seconds_per_event:
        return 0.0
    return num_events * (pace_here_s - fast.seconds_per_event) - fast.wait_s(num_ahead)


def _freed_per_s(use: SlotUse, fast_s: float) -> float:
    """Return how many runs a worker completes per second if all have the mean remaining length.

    Lengths vary widely, so that more runs end than this. Waits are therefore overestimated rather than
    underestimated.
    """
    if use.num_running == 0 or use.num_expected_events <= 0:
        return 0.0
    mean_left_s = use.num_expected_events / use.num_running * (use.seconds_per_event or fast_s)
    return use.num_running / mean_left_s
