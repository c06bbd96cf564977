"""Measures the duration of scoring calls and derives the times after which a call is late or hangs."""

from collections import deque

#: Number of recent successful calls that are measured.
NUM_RECENT_CALLS = 64
#: A call is late after this multiple of the `LATE_QUANTILE` of recent durations.
LATE_FACTOR = 2.0
#: Quantile of the recent durations: nearly all calls take at most this long.
LATE_QUANTILE = 0.9
#: A call is cancelled after this multiple of the late time, because its worker hangs.
HANGING_FACTOR = 6.0


class ScoringTimes:
    """Durations of the last successful scoring calls."""

    def __init__(self) -> None:
        self._times_s: deque[float] = deque(maxlen=NUM_RECENT_CALLS)

    def observe(self, seconds: float) -> None:
        """Record the duration of a successful call."""
        self._times_s.append(seconds)

    def late_after_s(self, objective_s: float) -> float:
        """Return the seconds after which a call is late and a second worker may be called.

        Args:
            objective_s: latency objective of the route in seconds, which is the upper bound. It is returned
                until a duration has been recorded.
        """
        if not self._times_s:
            return objective_s
        ordered = sorted(self._times_s)
        quantile_s = ordered[int(LATE_QUANTILE * (len(ordered) - 1))]
        return min(objective_s, LATE_FACTOR * quantile_s)

    def hanging_after_s(self, objective_s: float) -> float:
        """Return the seconds after which a call is cancelled.

        Args:
            objective_s: latency objective of the route in seconds.
        """
        return HANGING_FACTOR * max(objective_s, self.late_after_s(objective_s))
