"""Directory of the workers: the contents of their entries, and this node's own observations of them."""

import itertools
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from worksramp.routing.worker_load import ReportedLoad, WorkerLoad, worker_load

#: Start time of a worker whose entry does not state one.
START_UNKNOWN = 0
#: Maximum number of removed workers whose latest start is remembered.
MAX_REMEMBERED_STARTS = 1024


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """State that a worker publishes about itself.

    Attributes:
        worker_id: id of the worker; a restarted worker may use it again.
        address: ``ip:port``.
        is_leaving: whether the worker is draining and accepts no new work.
        num_slots: number of requests the worker runs at the same time.
        model_versions: weight version of each model the worker holds.
        order_sequence: number of orders the worker had accepted when the entry was written.
        started_ms: wall clock time of the start in milliseconds, or START_UNKNOWN.
        is_spot: whether the platform may take the worker away at short notice.
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
    is_spot: bool = False


@dataclass(frozen=True, slots=True, order=True)
class RunningRequest:
    """A request that runs at a worker.

    Attributes:
        is_suspect: whether, when the request was sent, a worker was known to have crashed while running it.
    """

    fingerprint: str
    is_suspect: bool = False


@dataclass(slots=True)
class WorkerState:
    """This node's view of one worker. Times are on this node's own clock.

    Attributes:
        num_in_flight: number of requests this node has at the worker, without batch items.
        reported: load that the worker last reported, None before the first report.
        reported_at: when the worker last reported its load.
        avoid_until: time until which this node sends no batch items to the worker, and live requests only if
            no other worker is left.
        num_recent_failures: failed attempts since the last success.
        latency_seconds: moving mean of response times at the worker's usual speed, None before the first.
        latency_updated_at: when ``latency_seconds`` last changed.
        is_gone: whether the entry was removed or replaced by that of a later start.
        running: requests and batch items this node has at the worker.
    """

    entry: WorkerEntry
    num_in_flight: int = 0
    reported: ReportedLoad | None = None
    reported_at: float = float("-inf")
    avoid_until: float = float("-inf")
    num_recent_failures: int = 0
    latency_seconds: float | None = None
    latency_updated_at: float = float("-inf")
    versions: dict[str, int] = field(default_factory=dict)
    is_gone: bool = False
    running: Counter[RunningRequest] = field(default_factory=Counter)

    def begin(self, request: RunningRequest) -> None:
        """Record that a request is sent to the worker."""
        self.num_in_flight += 1
        self.begin_item(request)

    def end(self, request: RunningRequest) -> None:
        """Record that a request has ended at the worker."""
        self.num_in_flight -= 1
        self.end_item(request)

    def begin_item(self, request: RunningRequest) -> None:
        """Record that a batch item is sent to the worker.

        Items are not part of ``num_in_flight``, because the owner counts them itself.
        """
        self.running[request] += 1

    def end_item(self, request: RunningRequest) -> None:
        """Record that a batch item has ended at the worker."""
        self.running[request] -= 1
        if self.running[request] <= 0:
            del self.running[request]

    def other_running(self, fingerprint: str) -> list[str]:
        """Return the fingerprints of the other requests this node has at the worker, sorted."""
        return sorted({other.fingerprint for other in self.running if other.fingerprint != fingerprint})

    @property
    def has_suspect(self) -> bool:
        """Whether this node has a request at the worker that was a suspect when it was sent."""
        return any(request.is_suspect for request in self.running)

    def record_report(self, report: ReportedLoad, now: float) -> None:
        """Record the load that the worker has just reported."""
        self.reported, self.reported_at = report, now

    def load(self, now: float) -> WorkerLoad:
        """Return what is known about the worker's load, without reports that are too old."""
        return worker_load(
            self.reported,
            now - self.reported_at,
            self.num_in_flight,
            self.entry.num_slots,
            self.latency_seconds,
        )


@dataclass(slots=True)
class _KnownStart:
    started_ms: int
    is_draining: bool = False


class WorkerDirectory:
    """All workers that have an entry, by id.

    A worker may restart under the same id. The new start is treated as a new worker: it holds no state of the
    previous start, and observations of the previous start do not apply to it.
    """

    def __init__(self) -> None:
        self._states: dict[str, WorkerState] = {}
        self._starts: dict[str, _KnownStart] = {}
        self._missing_since: dict[str, float] = {}
        #: Usable workers by service, sorted by id, since the last change of which workers are usable.
        self._usable: dict[str, list[WorkerState]] = {}
        self.revision = 0
        #: Grows with each change of which workers are usable.
        self.usable_revision = 0

    @property
    def num_remembered(self) -> int:
        """Number of worker ids whose latest start is remembered, including those of removed workers."""
        return len(self._starts)

    def is_known(self, worker_id: str) -> bool:
        """Return whether a start of the worker is remembered, even if its entry is gone."""
        return worker_id in self._starts

    def is_former_start(self, entry: WorkerEntry) -> bool:
        """Return whether an entry is of an earlier start than the one remembered for its worker."""
        known = self._starts.get(entry.worker_id)
        return known is not None and entry.started_ms < known.started_ms

    def put(self, entry: WorkerEntry) -> None:
        """Add or update a worker from its entry.

        A start that has once been draining stays so, whatever later entries of the same start say.
        """
        self.revision += 1
        self._missing_since.pop(entry.worker_id, None)
        known = self._record_start(entry)
        state = self._states.get(entry.worker_id)
        if (
            state is None
            or state.entry.service != entry.service
            or state.entry.started_ms != entry.started_ms
        ):
            self._forget_usable()
        if entry.is_leaving and not known.is_draining:
            known.is_draining = True
            self._forget_usable()
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
        """Remove a worker whose entry is gone. Its latest start stays remembered."""
        self.revision += 1
        self._missing_since.pop(worker_id, None)
        state = self._states.pop(worker_id, None)
        self._forget_usable()
        if state is not None:
            state.is_gone = True

    def mark_missing(self, worker_id: str, now: float) -> None:
        """Record that a worker's entry disappeared, which does not prove that the worker has stopped."""
        if worker_id in self._states:
            self._missing_since.setdefault(worker_id, now)

    def missing_since(self, latest: float) -> list[str]:
        """Return the workers whose entries disappeared at ``latest`` or before and have not reappeared."""
        return [worker_id for worker_id, at in self._missing_since.items() if at <= latest]

    def mark_draining(self, worker_id: str) -> None:
        """Send no new work to the current start of a worker.

        Called when an answer shows that the worker is draining or that another worker has its address.
        """
        known = self._starts.get(worker_id)
        if known is not None:
            known.is_draining = True
        self._forget_usable()
        self.revision += 1

    def get(self, worker_id: str) -> WorkerState | None:
        """Return a worker's state, or None if it has no entry."""
        return self._states.get(worker_id)

    def is_usable(self, worker_id: str) -> bool:
        """Return whether new work may be sent to a worker."""
        return worker_id in self._states and not self._starts[worker_id].is_draining

    def usable(self, service: str) -> list[WorkerState]:
        """Return the workers of a service that accept new work, sorted by id."""
        if service not in self._usable:
            self._usable[service] = [
                state
                for worker_id, state in sorted(self._states.items())
                if state.entry.service == service and not self._starts[worker_id].is_draining
            ]
        return list(self._usable[service])

    def all_states(self) -> Iterable[WorkerState]:
        """Return the states of all workers that have an entry."""
        return list(self._states.values())

    def _forget_usable(self) -> None:
        self._usable.clear()
        self.usable_revision += 1

    def _record_start(self, entry: WorkerEntry) -> _KnownStart:
        known = self._starts.get(entry.worker_id)
        if known is None or known.started_ms != entry.started_ms:
            known = _KnownStart(entry.started_ms)
            self._starts[entry.worker_id] = known
            self._evict_oldest()
        return known

    def _evict_oldest(self) -> None:
        """Evict the oldest starts of removed workers beyond MAX_REMEMBERED_STARTS."""
        num_over = len(self._starts) - len(self._states) - MAX_REMEMBERED_STARTS
        if num_over <= 0:
            return
        gone = (worker_id for worker_id in self._starts if worker_id not in self._states)
        for worker_id in list(itertools.islice(gone, num_over)):
            del self._starts[worker_id]


def _identity(entry: WorkerEntry) -> tuple[str, int]:
    return (entry.service, entry.started_ms)
