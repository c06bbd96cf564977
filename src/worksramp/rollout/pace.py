"""Measures the seconds per event of each worker and finds workers that are far slower than the others."""

import math
import statistics
from dataclasses import dataclass

from worksramp.mechanisms import mechanism
from worksramp.rollout.fast_slots import FAST_PACE_RATIO, fast_pace_s

SMOOTHING = 0.25
MIN_SAMPLES = 4
SLOW_FACTOR = 1.9
#: A measurement older than this may no longer hold.
MAX_AGE_SECONDS = 3.0
#: A measurement older than this says nothing about the worker and is discarded.
DISCARD_AFTER_S = 30.0


@dataclass(slots=True)
class _WorkerPace:
    """Seconds per event of one worker.

    Attributes:
        seconds: moving mean of the seconds per event.
        sampled_at: when the latest sample was added.
        former_seconds: mean before a long time without samples, kept until the new mean is known.
    """

    seconds: float
    num_samples: int
    sampled_at: float
    former_seconds: float | None = None

    def is_old(self, now: float) -> bool:
        return now - self.sampled_at > MAX_AGE_SECONDS


@dataclass(frozen=True, slots=True)
class LastKnownPace:
    """Last known seconds per event of a worker.

    Attributes:
        is_old: the measurement is old, so that the worker may have recovered.
    """

    seconds_per_event: float
    is_old: bool


@mechanism("remembered_paces", without=lambda pace: None)
def _last_measured(pace: _WorkerPace) -> LastKnownPace | None:
    """Treat a worker as being as slow as when last measured until it is measured again."""
    seconds = pace.seconds if pace.num_samples >= MIN_SAMPLES else pace.former_seconds
    return None if seconds is None else LastKnownPace(seconds, is_old=True)


class PaceTracker:
    """Moving means of the time between two events of a run, by worker.

    Times are seconds of the owner's clock. Fewer than MIN_SAMPLES samples do not count as a measurement.
    """

    def __init__(self) -> None:
        self._paces: dict[str, _WorkerPace] = {}
        #: Seconds per event of the fast workers, cached for one time value: it is needed once for each run.
        self._fast_s = math.inf
        self._fast_at = -math.inf

    def observe(self, worker_id: str, seconds: float, now: float) -> None:
        """Add the time between two events of one run as a sample."""
        pace = self._paces.get(worker_id)
        if pace is None:
            self._paces[worker_id] = _WorkerPace(seconds, 1, now)
            return
        if pace.is_old(now):
            # A slow worker may have recovered, so samples from before the gap do not enter the new mean.
            former = pace.seconds if pace.num_samples >= MIN_SAMPLES else pace.former_seconds
            self._paces[worker_id] = _WorkerPace(seconds, 1, now, former)
            return
        pace.seconds += SMOOTHING * (seconds - pace.seconds)
        pace.num_samples += 1
        pace.sampled_at = now

    def discard_worker(self, worker_id: str) -> None:
        """Discard the measurement of a worker, for instance after its restart."""
        self._paces.pop(worker_id, None)

    def seconds_per_event(self, worker_id: str, now: float) -> float | None:
        """Return the seconds per event of a worker, or None if not measured or measured too long ago."""
        pace = self._paces.get(worker_id)
        if pace is None or pace.num_samples < MIN_SAMPLES or pace.is_old(now):
            return None
        return pace.seconds

    def last_known(self, worker_id: str, now: float) -> LastKnownPace | None:
        """Return the last known seconds per event of a worker, even if old, or None if there are none."""
        pace = self._paces.get(worker_id)
        if pace is None:
            return None
        if now - pace.sampled_at > DISCARD_AFTER_S:
            del self._paces[worker_id]
            return None
        if pace.num_samples >= MIN_SAMPLES and not pace.is_old(now):
            return LastKnownPace(pace.seconds, is_old=False)
        return _last_measured(pace)

    def last_known_slow(self, now: float) -> frozenset[str]:
        """Return the workers that were far slower than the median worker when last measured."""
        found = {worker_id: self.last_known(worker_id, now) for worker_id in list(self._paces)}
        paces = {worker_id: pace.seconds_per_event for worker_id, pace in found.items() if pace is not None}
        if not paces:
            return frozenset()
        bound = SLOW_FACTOR * statistics.median_low(paces.values())
        return frozenset(worker_id for worker_id, seconds in paces.items() if seconds > bound)

    def is_slower_than_fast(self, worker_id: str, now: float) -> bool:
        """Return whether a recently measured worker is clearly slower than the fast workers."""
        own = self.seconds_per_event(worker_id, now)
        if own is None:
            return False
        if self._fast_at != now:
            found = [self.seconds_per_event(each, now) for each in self._paces]
            self._fast_s = fast_pace_s([pace for pace in found if pace is not None])
            self._fast_at = now
        return own > FAST_PACE_RATIO * self._fast_s

    def typical_seconds(self, now: float) -> float | None:
        """Return the median seconds per event of recently measured workers, or None if there are none."""
        known = [self.seconds_per_event(worker_id, now) for worker_id in list(self._paces)]
        paces = [pace for pace in known if pace is not None]
        return statistics.median_low(paces) if paces else None

    def slow_workers(self, now: float) -> frozenset[str]:
        """Return the recently measured workers that are far slower than the median."""
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
        """Return whether a recently measured worker is far slower than the median."""
        own = self.seconds_per_event(worker_id, now)
        typical = self.typical_seconds(now)
        return own is not None and typical is not None and own > SLOW_FACTOR * typical
