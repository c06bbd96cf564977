"""Directory of workers as their entries tell it, with what this node has learned itself."""

import itertools
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

#: Stands for the start of a worker that does not tell it.
START_UNKNOWN = 0
#: Workers that went and are still known by their newest start.
MAX_REMEMBERED_STARTS = 1024


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker says of itself.

    Attributes:
        worker_id: id of this start of the worker.
        address: ``ip:port``.
        is_leaving: it takes no new work.
        num_slots: requests it runs at once.
        model_versions: version of each model it holds.
        order_sequence: orders it has taken, as far as the entry says.
        started_ms: time of day of its start in milliseconds, START_UNKNOWN when it does not say.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    num_slots: int
    is_leaving: bool = False
    model_versions: dict[str, int] = field(default_factory=dict)
    order_sequence: int = 0
    started_ms: int = START_UNKNOWN


@dataclass(frozen=True, slots=True, order=True)
class RunningRequest:
    """A request as it was put to a worker.

    Attributes:
        is_suspect: it was known by then that a worker had crashed while running it.
    """

    fingerprint: str
    is_suspect: bool = False


@dataclass(slots=True)
class WorkerState:
    """One worker as this node believes it to be.

    Attributes:
        num_in_flight: requests this node has there now.
        told_load: requests running and waiting as the worker said last, and when.
        avoid_until: this node sends nothing there before, on its own clock.
        num_recent_failures: broken answers since the last good one.
        latency_seconds: moving mean of answers, None before the first.
        latency_updated_at: when that was last taken in.
        running: requests that this node has there now.
    """

    entry: WorkerEntry
    num_in_flight: int = 0
    reported_running: int = 0
    reported_waiting: int = 0
    load_reported_at: float = float("-inf")
    avoid_until: float = float("-inf")
    num_recent_failures: int = 0
    latency_seconds: float | None = None
    latency_updated_at: float = float("-inf")
    versions: dict[str, int] = field(default_factory=dict)
    is_gone: bool = False
    running: Counter[RunningRequest] = field(default_factory=Counter)

    def begin(self, request: RunningRequest) -> None:
        """Take in that a request goes there."""
        self.num_in_flight += 1
        self.begin_item(request)

    def end(self, request: RunningRequest) -> None:
        """Take in that a request is there no more."""
        self.num_in_flight -= 1
        self.end_item(request)

    def begin_item(self, request: RunningRequest) -> None:
        """Take in that an item of a batch goes there; the owner keeps count of those itself."""
        self.running[request] += 1

    def end_item(self, request: RunningRequest) -> None:
        """Take in that an item of a batch is there no more."""
        self.running[request] -= 1
        if self.running[request] <= 0:
            del self.running[request]

    def running_beside(self, fingerprint: str) -> list[str]:
        """Return the fingerprints of the other requests that this node has there now."""
        return sorted({other.fingerprint for other in self.running if other.fingerprint != fingerprint})

    @property
    def has_suspect(self) -> bool:
        """Whether a request runs there under which another worker has crashed."""
        return any(request.is_suspect for request in self.running)

    def estimated_load(self, now: float, told_valid_seconds: float) -> float:
        """Return requests at the worker for each of its slots."""
        told = (
            self.reported_running + self.reported_waiting
            if now - self.load_reported_at < told_valid_seconds
            else 0
        )
        return max(self.num_in_flight, told) / max(1, self.entry.num_slots)


@dataclass(slots=True)
class _KnownStart:
    started_ms: int
    has_left: bool = False


class WorkerDirectory:
    """All workers that can be used, by id.

    A worker may start again under its id. Such a start is another worker: it holds nothing of the former one,
    and nothing that was learnt of that one counts.
    """

    def __init__(self) -> None:
        self._states: dict[str, WorkerState] = {}
        self._starts: dict[str, _KnownStart] = {}
        self._missing_since: dict[str, float] = {}
        self.revision = 0

    @property
    def num_remembered(self) -> int:
        """Ids whose newest start is known, those of workers that went included."""
        return len(self._starts)

    def is_known(self, worker_id: str) -> bool:
        """Return whether a start of the worker is remembered."""
        return worker_id in self._starts

    def is_former_start(self, entry: WorkerEntry) -> bool:
        """Return whether an entry tells of a start before one that is known."""
        known = self._starts.get(entry.worker_id)
        return known is not None and entry.started_ms < known.started_ms

    def put(self, entry: WorkerEntry) -> None:
        """Take in a worker's entry. Leaving is for good, for that start."""
        self.revision += 1
        self._missing_since.pop(entry.worker_id, None)
        known = self._note_start(entry)
        known.has_left |= entry.is_leaving
        state = self._states.get(entry.worker_id)
        if state is not None and state.entry.started_ms != entry.started_ms:
            state.is_gone = True
            state = None
        if state is None:
            self._states[entry.worker_id] = WorkerState(entry, versions=dict(entry.model_versions))
            return
        state.entry = entry
        for model, version in entry.model_versions.items():
            state.versions[model] = max(version, state.versions.get(model, 0))

    def remove(self, worker_id: str) -> None:
        """Take in that a worker's entry is gone."""
        self.revision += 1
        self._missing_since.pop(worker_id, None)
        state = self._states.pop(worker_id, None)
        if state is not None:
            state.is_gone = True

    def mark_missing(self, worker_id: str, now: float) -> None:
        """Take in that a worker's entry went, which may say nothing of the worker."""
        if worker_id in self._states:
            self._missing_since.setdefault(worker_id, now)

    def missing_since(self, latest: float) -> list[str]:
        """Return the workers whose entries went at this time or before and have not come back."""
        return [worker_id for worker_id, at in self._missing_since.items() if at <= latest]

    def mark_leaving(self, worker_id: str) -> None:
        """Take in that a worker was found to be leaving, or to be another one, by its own answer."""
        known = self._starts.get(worker_id)
        if known is not None:
            known.has_left = True
        self.revision += 1

    def get(self, worker_id: str) -> WorkerState | None:
        """Return a worker's state, None when it has no entry."""
        return self._states.get(worker_id)

    def is_usable(self, worker_id: str) -> bool:
        """Return whether new work may go there."""
        return worker_id in self._states and not self._starts[worker_id].has_left

    def usable(self, service: str) -> list[WorkerState]:
        """Return the workers of a service that take new work, in a fixed order."""
        return [
            state
            for worker_id, state in sorted(self._states.items())
            if state.entry.service == service and not self._starts[worker_id].has_left
        ]

    def all_states(self) -> Iterable[WorkerState]:
        """Return all workers that have an entry."""
        return list(self._states.values())

    def _note_start(self, entry: WorkerEntry) -> _KnownStart:
        known = self._starts.get(entry.worker_id)
        if known is None or known.started_ms != entry.started_ms:
            known = _KnownStart(entry.started_ms)
            self._starts[entry.worker_id] = known
            self._forget_oldest()
        return known

    def _forget_oldest(self) -> None:
        """Bound what is remembered of workers that went."""
        num_over = len(self._starts) - len(self._states) - MAX_REMEMBERED_STARTS
        if num_over <= 0:
            return
        gone = (worker_id for worker_id in self._starts if worker_id not in self._states)
        for worker_id in list(itertools.islice(gone, num_over)):
            del self._starts[worker_id]
