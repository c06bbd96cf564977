"""Estimates how much longer texts become, from their hints, what they have shown so far, and finished texts.

Load pattern: lengths have a long tail, and the hint of a text is right at the median only. A text that has
passed its hint is likelier to grow on than one at its beginning, and the last text of a step decides when the
step ends.
"""

import bisect
import itertools
import math
import statistics
from collections import deque

#: Spread of lengths around their hints that is assumed before texts have finished: the standard deviation of
#: the logarithm of length over hint.
ASSUMED_SPREAD = 0.5
NUM_ASSUMED_TEXTS = 32
#: Finished texts that the estimates are made from, the latest ones.
MAX_REMEMBERED_TEXTS = 512
#: A text longer than all finished ones, relative to its hint, is expected to grow by this share of itself.
TAIL_SHARE = 0.4
MIN_EVENTS_LEFT = 1.0
#: No text is expected to become longer than the longest of at least this many finished ones: several steps,
#: since the longest texts of a step finish last.
MIN_FINISHED_TEXTS = 256
#: Share of texts that are not longer than the most that is expected.
MOST_SHARE = 0.9


class _LengthRatios:
    """Lengths of finished texts of one model, as multiples of their hints.

    Attributes:
        longest: longest finished text in events, None while too few have finished.
    """

    def __init__(self) -> None:
        self.longest: int | None = None
        self._num_finished = 0
        self._longest_so_far = 0
        normal = statistics.NormalDist(0.0, ASSUMED_SPREAD)
        quantiles = normal.quantiles(NUM_ASSUMED_TEXTS + 1)
        self._latest = deque(math.exp(quantile) for quantile in quantiles)
        self._ranked = sorted(self._latest)
        self._sums: list[float] | None = None

    def add(self, num_hinted: float, num_events: int) -> None:
        ratio = num_events / num_hinted
        self._num_finished += 1
        self._longest_so_far = max(self._longest_so_far, num_events)
        if self._num_finished >= MIN_FINISHED_TEXTS:
            self.longest = self._longest_so_far
        self._latest.append(ratio)
        bisect.insort(self._ranked, ratio)
        if len(self._latest) > MAX_REMEMBERED_TEXTS:
            del self._ranked[bisect.bisect_left(self._ranked, self._latest.popleft())]
        self._sums = None

    def mean_above(self, ratio: float) -> float | None:
        """Return the mean of the ratios above ``ratio``, None if there are none."""
        if self._sums is None:
            self._sums = list(itertools.accumulate(self._ranked, initial=0.0))
        first = bisect.bisect_right(self._ranked, ratio)
        num_above = len(self._ranked) - first
        return (self._sums[-1] - self._sums[first]) / num_above if num_above else None

    def quantile_above(self, ratio: float, share: float) -> float | None:
        """Return the ratio that ``share`` of those above ``ratio`` do not exceed, None if there are none."""
        first = bisect.bisect_right(self._ranked, ratio)
        num_above = len(self._ranked) - first
        return self._ranked[first + int(share * (num_above - 1))] if num_above else None


class TextLengths:
    """Estimates of the lengths of open texts, by model. Lengths are counted in events."""

    def __init__(self) -> None:
        self._ratios: dict[str, _LengthRatios] = {}

    def record(self, model: str, num_hinted: float, num_events: int) -> None:
        """Record a finished text; one without a hint says nothing."""
        if num_hinted > 0:
            self._ratios_of(model).add(num_hinted, num_events)

    def events_left(self, model: str, num_hinted: float, num_made: int) -> float:
        """Return how many more events a text is expected to have, at least `MIN_EVENTS_LEFT`.

        Args:
            num_hinted: length by the text's hint.
            num_made: events so far.
        """
        ratios = self._ratios_of(model)
        mean = ratios.mean_above(num_made / num_hinted) if num_hinted > 0 else None
        return _events_left(mean, ratios.longest, num_hinted, num_made)

    def most_events_left(self, model: str, num_hinted: float, num_made: int) -> float:
        """Return how many more events a text has at most, but for a share of one in ten.

        Args:
            num_hinted: length by the text's hint.
            num_made: events so far.
        """
        ratios = self._ratios_of(model)
        most = ratios.quantile_above(num_made / num_hinted, MOST_SHARE) if num_hinted > 0 else None
        return _events_left(most, ratios.longest, num_hinted, num_made)

    def _ratios_of(self, model: str) -> _LengthRatios:
        return self._ratios.setdefault(model, _LengthRatios())


def _events_left(ratio: float | None, longest: int | None, num_hinted: float, num_made: int) -> float:
    length = (1.0 + TAIL_SHARE) * num_made if ratio is None else ratio * num_hinted
    # Hints may promise more than any text of the model has.
    if longest is not None and longest > num_made:
        length = min(length, longest)
    return max(MIN_EVENTS_LEFT, length - num_made)
