"""How many samples a job keeps in flight: as many as the fleet takes, found by trial.

Asking engines that have no room wastes work on every node and lets chance, not the plan, decide which
sample starts next. So the limit doubles until the first refusal, then grows slowly and shrinks a little
for each second in which samples were refused.
"""

INITIAL_LIMIT = 32.0
GROWTH_PER_SUCCESS = 0.25
SHRINK_FACTOR = 0.9
SHRINK_PERIOD_SECONDS = 1.0
MIN_LIMIT = 1.0


class SampleThrottle:
    """Limit on a job's samples in flight.

    Args:
        max_in_flight: ceiling, from the job's settings.
    """

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._limit = min(INITIAL_LIMIT, float(max_in_flight))
        self._is_probing = True
        self._shrunk_at = float("-inf")

    @property
    def limit(self) -> int:
        """Samples that may be in flight now."""
        return int(self._limit)

    def note_success(self) -> None:
        """Count a sample that was generated."""
        growth = 1.0 if self._is_probing else GROWTH_PER_SUCCESS
        self._limit = min(float(self._max_in_flight), self._limit + growth)

    def note_refusal(self, now: float) -> None:
        """Count a sample that no engine took."""
        self._is_probing = False
        if now - self._shrunk_at >= SHRINK_PERIOD_SECONDS:
            self._shrunk_at = now
            self._limit = max(MIN_LIMIT, self._limit * SHRINK_FACTOR)
