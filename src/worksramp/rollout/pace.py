"""Measures how fast each worker lastingly is, and finds workers that are far slower than the others.

Load pattern: workers share their machines with other programs, so that a part of them is much slower for
fractions of a second. Such a slowness is over before a move of a run pays, and must not count; one that lasts
must be seen within about two seconds. The lasting seconds per event of a worker are therefore the median over
short intervals of equal length, however many events each of them had.
"""

import math
import statistics
from collections import deque
from dataclasses import dataclass, field

from worksramp.mechanisms import mechanism
from worksramp.rollout.fast_slots import FAST_PACE_RATIO, fast_pace_s, faster_kind_s

#: Length of one interval.
INTERVAL_S = 0.2
#: A slowness counts once it has lasted for half of this.
WINDOW_S = 1.6
#: Weight of a sample in the moving mean that stands in for the median while that is switched off.
SMOOTHING = 0.25
MIN_SAMPLES = 4
SLOW_FACTOR = 1.9
#: A measurement older than this may no longer hold.
MAX_AGE_SECONDS = 3.0
#: A measurement older than this says nothing about the worker and is discarded.
DISCARD_AFTER_S = 30.0


@dataclass(slots=True)
class _Interval:
    """Samples of one interval.

    Attributes:
        number: start of the interval, in multiples of INTERVAL_S.
    """

    number: int
    sum_s: float = 0.0
    num_samples: int = 0

    @property
    def mean_s(self) -> float:
        return self.sum_s / self.num_samples


@dataclass(slots=True)
class _WorkerPace:
    """Seconds per event of one worker.

    Attributes:
        moving_mean_s: moving mean over the samples.
        sampled_at: when the latest sample was added.
        former_seconds: measurement before a long time without samples, kept until the new one is complete.
        intervals: latest intervals that have samples, oldest first.
    """

    sampled_at: float
    former_seconds: float | None = None
    moving_mean_s: float = 0.0
    num_samples: int = 0
    intervals: deque[_Interval] = field(default_factory=deque)
    _lasting_s: float | None = None

    def add(self, seconds: float, now: float) -> None:
        number = int(now / INTERVAL_S)
        if not self.intervals or self.intervals[-1].number != number:
            self.intervals.append(_Interval(number))
            while self.intervals[0].number <= number - WINDOW_S / INTERVAL_S:
                self.intervals.popleft()
        self.intervals[-1].sum_s += seconds
        self.intervals[-1].num_samples += 1
        weight = SMOOTHING if self.num_samples else 1.0
        self.moving_mean_s += weight * (seconds - self.moving_mean_s)
        self.num_samples += 1
        self.sampled_at = now
        self._lasting_s = None

    @property
    def seconds(self) -> float:
        if self._lasting_s is None:
            self._lasting_s = _lasting_seconds(self)
        return self._lasting_s

    @property
    def measured_seconds(self) -> float | None:
        return self.seconds if self.num_samples >= MIN_SAMPLES else self.former_seconds

    def is_old(self, now: float) -> bool:
        return now - self.sampled_at > MAX_AGE_SECONDS


@mechanism("lasting_pace", without=lambda pace: pace.moving_mean_s)
def _lasting_seconds(pace: _WorkerPace) -> float:
    """Measure a worker by the median over intervals, so that a slow moment does not count."""
    return statistics.median_low(interval.mean_s for interval in pace.intervals)


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
    seconds = pace.measured_seconds
    return None if seconds is None else LastKnownPace(seconds, is_old=True)


class PaceTracker:
    """Lasting seconds between two events of a run, by worker.

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
        if pace is None or pace.is_old(now):
            # A slow worker may have recovered: samples from before the gap do not enter the new measurement.
            former = None if pace is None else pace.measured_seconds
            pace = self._paces[worker_id] = _WorkerPace(now, former)
        pace.add(seconds, now)

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
        paces = self._last_known_paces(now)
        if not paces:
            return frozenset()
        bound = SLOW_FACTOR * statistics.median_low(paces.values())
        return frozenset(worker_id for worker_id, seconds in paces.items() if seconds > bound)

    def _last_known_paces(self, now: float) -> dict[str, float]:
        found = {worker_id: self.last_known(worker_id, now) for worker_id in list(self._paces)}
        return {worker_id: pace.seconds_per_event for worker_id, pace in found.items() if pace is not None}

    def fast_workers(self, now: float) -> frozenset[str]:
        """Return the workers that were of a faster kind than the median worker when last measured."""
        paces = self._last_known_paces(now)
        bound_s = faster_kind_s(list(paces.values()))
        return frozenset(
            worker_id for worker_id, seconds in paces.items() if bound_s is not None and seconds <= bound_s
        )

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
        """Return the median of the workers' last known seconds per event, or None if there are none.

        Those that run nothing now count too: at low load only fast workers run items.
        """
        paces = self._last_known_paces(now)
        return statistics.median_low(paces.values()) if paces else None

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
