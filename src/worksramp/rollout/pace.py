"""How fast workers make events, and which are far slower than the rest."""

import math
import statistics
from dataclasses import dataclass

from worksramp.mechanisms import mechanism
from worksramp.rollout.fast_slots import FAST_PACE_RATIO, fast_pace_s

SMOOTHING = 0.25
MIN_SAMPLES = 4
SLOW_FACTOR = 1.9
#: A pace this old may no longer hold.
FORGET_SECONDS = 3.0
#: A pace this old says nothing any more.
REMEMBER_S = 30.0


@dataclass(slots=True)
class _WorkerPace:
    """Pace of one worker.

    Attributes:
        former_seconds: pace before a long silence, until the new one is known.
    """

    seconds: float
    num_samples: int
    sampled_at: float
    former_seconds: float | None = None

    def is_old(self, now: float) -> bool:
        return now - self.sampled_at > FORGET_SECONDS


@dataclass(frozen=True, slots=True)
class BelievedPace:
    """A worker's pace.

    Attributes:
        is_old: it was measured a while ago, and the worker may have recovered.
    """

    seconds_per_event: float
    is_old: bool


@mechanism("remembered_paces", without=lambda pace: None)
def _remembered(pace: _WorkerPace) -> BelievedPace | None:
    """Take a worker for as slow as it was until it is measured again."""
    seconds = pace.seconds if pace.num_samples >= MIN_SAMPLES else pace.former_seconds
    return None if seconds is None else BelievedPace(seconds, is_old=True)


class PaceTracker:
    """Moving means of the time between two events of a run, by worker."""

    def __init__(self) -> None:
        self._paces: dict[str, _WorkerPace] = {}
        #: Pace of the fast workers, kept for one moment: it is asked for once a run.
        self._fast_s = math.inf
        self._fast_at = -math.inf

    def observe(self, worker_id: str, seconds: float, now: float) -> None:
        """Take in the time between two events of one run."""
        pace = self._paces.get(worker_id)
        if pace is None:
            self._paces[worker_id] = _WorkerPace(seconds, 1, now)
            return
        if pace.is_old(now):
            # What was slow may have recovered: what it did before does not weigh in what it does now.
            former = pace.seconds if pace.num_samples >= MIN_SAMPLES else pace.former_seconds
            self._paces[worker_id] = _WorkerPace(seconds, 1, now, former)
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
        if pace is None or pace.num_samples < MIN_SAMPLES or pace.is_old(now):
            return None
        return pace.seconds

    def believed(self, worker_id: str, now: float) -> BelievedPace | None:
        """Return a worker's pace, also one of a while ago, None when nothing is known of it."""
        pace = self._paces.get(worker_id)
        if pace is None:
            return None
        if now - pace.sampled_at > REMEMBER_S:
            del self._paces[worker_id]
            return None
        if pace.num_samples >= MIN_SAMPLES and not pace.is_old(now):
            return BelievedPace(pace.seconds, is_old=False)
        return _remembered(pace)

    def believed_slow(self, now: float) -> frozenset[str]:
        """Return the workers that are, or were when last measured, far slower than the typical one."""
        found = {worker_id: self.believed(worker_id, now) for worker_id in list(self._paces)}
        paces = {worker_id: pace.seconds_per_event for worker_id, pace in found.items() if pace is not None}
        if not paces:
            return frozenset()
        bound = SLOW_FACTOR * statistics.median_low(paces.values())
        return frozenset(worker_id for worker_id, seconds in paces.items() if seconds > bound)

    def is_below_fast(self, worker_id: str, now: float) -> bool:
        """Return whether a worker is clearly slower than the fast ones."""
        own = self.seconds_per_event(worker_id, now)
        if own is None:
            return False
        if self._fast_at != now:
            found = [self.seconds_per_event(each, now) for each in self._paces]
            self._fast_s = fast_pace_s([pace for pace in found if pace is not None])
            self._fast_at = now
        return own > FAST_PACE_RATIO * self._fast_s

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
