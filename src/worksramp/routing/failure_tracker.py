"""Which workers fail part of what they are given, whatever their health checks say."""

from dataclasses import dataclass

#: An outcome weighs half as much after this time: a worker that recovers is soon tried again.
HALF_LIFE_S = 3.0
#: Weight of failures below which nothing is said: one failure may be chance.
MIN_FAILURES = 1.5
SUSPECT_SHARE = 0.25


@dataclass(slots=True)
class _Record:
    successes: float = 0.0
    failures: float = 0.0
    at: float = 0.0

    def decay_to(self, now: float) -> None:
        """Let what was seen weigh less."""
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.at = now


class FailureTracker:
    """Recent successes and failures of each worker."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def observe(self, worker_id: str, is_failure: bool, now: float) -> None:
        """Take in one outcome.

        Args:
            is_failure: the worker broke it off, failed it or fell silent; a refusal is none.
        """
        record = self._records.setdefault(worker_id, _Record(at=now))
        record.decay_to(now)
        if is_failure:
            record.failures += 1.0
        else:
            record.successes += 1.0

    def forget(self, worker_id: str) -> None:
        """Take in that the worker has started again."""
        self._records.pop(worker_id, None)

    def suspects(self, now: float) -> frozenset[str]:
        """Return the workers that fail a large share, to be used after all others."""
        for record in self._records.values():
            record.decay_to(now)
        return frozenset(worker_id for worker_id, record in self._records.items() if _is_suspect(record))


def _is_suspect(record: _Record) -> bool:
    if record.failures < MIN_FAILURES:
        return False
    return record.failures >= SUSPECT_SHARE * (record.failures + record.successes)
