"""How long scoring calls take, and what follows for how long one is waited for."""

from collections import deque

#: Answers that the typical time is taken from.
NUM_REMEMBERED = 64
#: A call that has taken this multiple of what nearly all take is late.
LATE_FACTOR = 2.0
#: Share of the answers that "nearly all" means.
NEARLY_ALL = 0.9
#: A call that has taken this multiple of the late time is given up: its worker hangs.
HANGING_FACTOR = 6.0


class ScoringTimes:
    """Times of the last good answers."""

    def __init__(self) -> None:
        self._times_s: deque[float] = deque(maxlen=NUM_REMEMBERED)

    def observe(self, seconds: float) -> None:
        """Take in the time of a good answer."""
        self._times_s.append(seconds)

    def late_after_s(self, objective_s: float) -> float:
        """Return after how long a second worker is asked.

        Args:
            objective_s: time in which the route's answers are worth most; holds until answers are known.
        """
        if not self._times_s:
            return objective_s
        ordered = sorted(self._times_s)
        nearly_all_s = ordered[int(NEARLY_ALL * (len(ordered) - 1))]
        return min(objective_s, LATE_FACTOR * nearly_all_s)

    def hanging_after_s(self, objective_s: float) -> float:
        """Return after how long a call is closed."""
        return HANGING_FACTOR * max(objective_s, self.late_after_s(objective_s))
