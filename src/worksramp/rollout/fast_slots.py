"""How soon an item gets a slot of a fast worker, and what it gains there: pure functions of one view.

Load pattern: steps pile up, as they do after an outage, while a part of the fleet runs at a fraction of the
usual pace. Items outnumber slots, yet slots of fast workers become free many times a second.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

#: Paces within this ratio of the fastest count as fast: below it the difference may be chance.
FAST_PACE_RATIO = 1.2


@dataclass(frozen=True, slots=True)
class SlotUse:
    """The slots of one worker that an item may go to.

    Attributes:
        num_expected_events: events that its runs are still expected to make.
        seconds_per_event: its pace as believed, None when nothing is known of it.
    """

    num_free: int
    num_running: int
    num_expected_events: float
    seconds_per_event: float | None


@dataclass(frozen=True, slots=True)
class FastSlots:
    """Slots of the fast workers that an item may go to.

    Attributes:
        seconds_per_event: their pace.
        freed_per_s: how many of them become free a second.
    """

    seconds_per_event: float
    num_free: int
    freed_per_s: float

    def wait_s(self, num_before: int) -> float:
        """Return how long an item waits that comes after ``num_before`` others."""
        num_needed = num_before + 1 - self.num_free
        if num_needed <= 0:
            return 0.0
        return num_needed / self.freed_per_s if self.freed_per_s > 0 else math.inf


def fast_slots(uses: Sequence[SlotUse]) -> FastSlots | None:
    """Return the slots of the fast ones among workers, None while no pace is known."""
    paces = [use.seconds_per_event for use in uses if use.seconds_per_event]
    if not paces:
        return None
    pace_s = fast_pace_s(paces)
    fast = [use for use in uses if (use.seconds_per_event or pace_s) <= FAST_PACE_RATIO * pace_s]
    return FastSlots(
        pace_s, sum(use.num_free for use in fast), sum(_freed_per_s(use, pace_s) for use in fast)
    )


def fast_pace_s(paces: Sequence[float]) -> float:
    """Return the pace of the fast workers: the lower quartile, since the least of many is chance."""
    return sorted(paces)[len(paces) // 4]


def gain_of_waiting_s(
    num_events: float, pace_here_s: float | None, fast: FastSlots, num_before: int
) -> float:
    """Return the seconds by which an item ends sooner at a fast worker, the wait for its slot included.

    Args:
        num_events: still to be made.
        pace_here_s: seconds for each event where it would be otherwise.
        num_before: waiting items that come before it.
    """
    if pace_here_s is None or pace_here_s <= FAST_PACE_RATIO * fast.seconds_per_event:
        return 0.0
    return num_events * (pace_here_s - fast.seconds_per_event) - fast.wait_s(num_before)


def _freed_per_s(use: SlotUse, fast_s: float) -> float:
    """Return how many runs a worker ends a second, as if all were as long as their mean.

    Lengths differ widely, so that more end than that: a wait is rather taken for too long than too short.
    """
    if use.num_running == 0 or use.num_expected_events <= 0:
        return 0.0
    mean_left_s = use.num_expected_events / use.num_running * (use.seconds_per_event or fast_s)
    return use.num_running / mean_left_s
