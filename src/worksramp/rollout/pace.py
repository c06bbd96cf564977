"""How fast workers make events, and which are far slower than the rest."""

import statistics
from dataclasses import dataclass

SMOOTHING = 0.25
MIN_SAMPLES = 4
SLOW_FACTOR = 1.9
FORGET_SECONDS = 3.0


@dataclass(slots=True)
class _WorkerPace:
    seconds: float
    num_samples: int
    sampled_at: float


class PaceTracker:
    """Moving means of the time between two events of a run, by worker."""

    def __init__(self) -> None:
        self._paces: dict[str, _WorkerPace] = {}

    def observe(self, worker_id: str, seconds: float, now: float) -> None:
        """Take in the time between two events of one run."""
        pace = self._paces.get(worker_id)
        if pace is None:
            self._paces[worker_id] = _WorkerPace(seconds, 1, now)
            return
        pace.seconds += SMOOTHING * (seconds - pace.seconds)
        pace.num_samples += 1
        pace.sampled_at = now

    def forget(self, worker_id: str) -> None:
        """Take in that the worker has started again."""
        self._paces.pop(worker_id, None)

    def seconds_per_event(self, worker_id: str, now: float) -> float | None:
        """Return a worker's pace, None when it is not known or too old."""
        pace = self._paces.get(worker_id)
        if pace is None or pace.num_samples < MIN_SAMPLES:
            return None
        if now - pace.sampled_at > FORGET_SECONDS:
            # What was slow may have recovered: only new runs can tell.
            del self._paces[worker_id]
            return None
        return pace.seconds

    def typical_seconds(self, now: float) -> float | None:
        """Return the median pace of all workers, None when none is known."""
        known = [self.seconds_per_event(worker_id, now) for worker_id in list(self._paces)]
        paces = [pace for pace in known if pace is not None]
        return statistics.median_low(paces) if paces else None

    def slow_workers(self, now: float) -> frozenset[str]:
        """Return the workers that are far slower than the typical one."""
        typical = self.typical_seconds(now)
        if typical is None:
            return frozenset()
        paces = {worker_id: self.seconds_per_event(worker_id, now) for worker_id in list(self._paces)}
        return frozenset(
            worker_id
            for worker_id, pace in paces.items()
            if pace is not None and pace > SLOW_FACTOR * typical
        )

    def is_slow(self, worker_id: str, now: float) -> bool:
        """Return whether a worker is far slower than the typical one."""
        own = self.seconds_per_event(worker_id, now)
        typical = self.typical_seconds(now)
        return own is not None and typical is not None and own > SLOW_FACTOR * typical
