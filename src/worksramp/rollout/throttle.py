"""Adaptive limit on the samples that a job keeps in flight.

Requests to engines without free slots waste work on every node, and chance instead of the plan decides which
sample starts next. The limit therefore follows the capacity of the fleet: it doubles until the first refusal
(slow start), then grows slowly and shrinks slightly for each second in which samples were refused.
"""

INITIAL_LIMIT = 32.0
GROWTH_AFTER_SLOW_START = 0.25
SHRINK_FACTOR = 0.9
SHRINK_PERIOD_SECONDS = 1.0
MIN_LIMIT = 1.0


class SampleThrottle:
    """Limit on a job's samples in flight.

    Args:
        max_in_flight: upper bound of the limit, from the job's settings.
    """

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._limit = min(INITIAL_LIMIT, float(max_in_flight))
        self._is_in_slow_start = True
        self._shrunk_at = float("-inf")

    @property
    def limit(self) -> int:
        """Maximum number of samples in flight now."""
        return int(self._limit)

    def note_success(self) -> None:
        """Raise the limit after a sample was generated."""
        growth = 1.0 if self._is_in_slow_start else GROWTH_AFTER_SLOW_START
        self._limit = min(float(self._max_in_flight), self._limit + growth)

    def note_refusal(self, now: float) -> None:
        """Lower the limit after no engine accepted a sample.

        Args:
            now: time of the refusal in seconds; the limit shrinks at most once in `SHRINK_PERIOD_SECONDS`.
        """
        self._is_in_slow_start = False
        if now - self._shrunk_at >= SHRINK_PERIOD_SECONDS:
            self._shrunk_at = now
            self._limit = max(MIN_LIMIT, self._limit * SHRINK_FACTOR)
