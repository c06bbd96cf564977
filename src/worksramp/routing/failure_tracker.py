"""Detects workers that fail a large share of their work, whatever their health checks report."""

from dataclasses import dataclass

#: Time after which the weight of an outcome is halved, so that a recovered worker is soon used again.
HALF_LIFE_S = 3.0
#: Weight of failures below which a worker never counts as failing, because a single failure may be chance.
MIN_FAILURES = 1.5
MIN_FAILURE_SHARE = 0.25


@dataclass(slots=True)
class _Record:
    successes: float = 0.0
    failures: float = 0.0
    at: float = 0.0

    def decay_to(self, now: float) -> None:
        """Reduce the weight of earlier outcomes according to their age."""
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.at = now


class FailureTracker:
    """Counts recent successes and failures of each worker, weighted by age."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def observe(self, worker_id: str, is_failure: bool, now: float) -> None:
        """Record one outcome.

        Args:
            is_failure: whether the worker was unreachable, aborted or failed the work, or stopped sending; an
                answer that refuses the work does not count.
        """
        record = self._records.setdefault(worker_id, _Record(at=now))
        record.decay_to(now)
        if is_failure:
            record.failures += 1.0
        else:
            record.successes += 1.0

    def discard_worker(self, worker_id: str) -> None:
        """Discard the outcomes of a worker that has restarted."""
        self._records.pop(worker_id, None)

    def failing_workers(self, now: float) -> frozenset[str]:
        """Return the ids of workers that fail a large share of their work; others are used before them."""
        for record in self._records.values():
            record.decay_to(now)
        return frozenset(worker_id for worker_id, record in self._records.items() if _is_failing(record))


def _is_failing(record: _Record) -> bool:
    if record.failures < MIN_FAILURES:
        return False
    return record.failures >= MIN_FAILURE_SHARE * (record.failures + record.successes)
