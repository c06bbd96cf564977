"""What all attempts of live requests share: choice of a worker, and what its answers teach."""

import random
import zlib
from dataclasses import dataclass, field

import anyio
import structlog

from worksramp.mechanisms import mechanism
from worksramp.routing.fingerprint import HOST_HEADER, fingerprint_of
from worksramp.routing.table import Route
from worksramp.routing.worker_port import HeaderList, WorkerAnswer, WorkerRequest
from worksramp.routing.workers import WorkerDirectory, WorkerState

TOLD_LOAD_SECONDS = 1.0
AVOID_AFTER_FAILURE_SECONDS = 0.5
AVOID_AFTER_FULL_SECONDS = 0.1
LATENCY_SMOOTHING = 0.2
#: Stands for the latency of a worker that has answered nothing yet: it is tried soon.
UNKNOWN_LATENCY_SECONDS = 0.01
MIN_WORKER_SECONDS = 0.001
#: Requests for each slot of the usual worker from which on others share its load.
SPREAD_LOAD = 0.4
#: Lengths of requests differ, and so do moving means of like workers.
FAR_BETTER_FACTOR = 2.0
#: A slow worker that has been left alone for this long may have recovered.
TRY_AGAIN_SECONDS = 4.0
#: Workers that may refuse a connection without taking an attempt, a few milliseconds each: where a whole
#: fleet is down, a request is still given up at once.
MAX_REFUSING = 8

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class LiveRequest:
    """A caller's request, read whole.

    Attributes:
        request_id: the caller's id of this try.
        deadline_at: when the caller stops waiting, on this node's clock.
        fingerprint: the same for all tries of the request, at any node.
    """

    request_id: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    received_at: float
    deadline_at: float
    resume_after: str | None = None
    fingerprint: str = field(init=False, compare=False)

    def __post_init__(self) -> None:
        host = next((value for key, value in self.headers if key.lower() == HOST_HEADER), b"")
        object.__setattr__(self, "fingerprint", fingerprint_of(self.method, host, self.target, self.body))

    def ends_at(self, route: Route) -> float:
        """Return when this node must have given its final answer."""
        if route.timeout_seconds is None:
            return self.deadline_at
        return min(self.deadline_at, self.received_at + route.timeout_seconds)


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A worker's answer with its whole body."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass(slots=True)
class Course:
    """What has happened to one request so far.

    Attributes:
        tried: workers that were chosen, in order.
        num_refusing: those of them that refused a connection at once; nothing was sent there.
        failure: an answer of failure to give if no attempt does better.
    """

    tried: list[str] = field(default_factory=list)
    num_refusing: int = 0
    may_have_run: bool = False
    last_reason: str = "no_worker"
    failure: WholeAnswer | None = None

    def has_attempt_left(self, route: Route) -> bool:
        """Return whether the request may go to one more worker.

        Workers that have just ended keep their entries for seconds. If each took an attempt, requests would
        be refused while another stands free: with two of three workers down, 0.85 of the first tries were
        served instead of 1.00 (simulation, 3 calls a second, 8 seeds).
        """
        num_spared = min(self.num_refusing, MAX_REFUSING)
        return len(self.tried) - num_spared < route.max_attempts


class WorkerChoice:
    """Chooses workers for attempts and takes in what came of them."""

    def __init__(self, directory: WorkerDirectory, source: random.Random, node: str = "") -> None:
        self._directory = directory
        self._source = source
        self._node = node

    def choose(self, service: str, course: Course) -> WorkerState | None:
        """Return a worker for an attempt, None when none is left."""
        now = anyio.current_time()
        fresh = [
            worker for worker in self._directory.usable(service) if worker.entry.worker_id not in course.tried
        ]
        sound = [worker for worker in fresh if worker.avoid_until <= now] or fresh
        if course.may_have_run:
            # One of the requests that a crash broke off may have caused it: tried again at one worker, the
            # others would be taken along once more, and none of them could be told from it.
            sound = [worker for worker in sound if not worker.has_suspect] or sound
        return self._choose_among(sound, now) if sound else None

    def _lesser_of_two(self, sound: list[WorkerState], now: float) -> WorkerState:
        """Return the cheaper of two workers drawn at random."""
        drawn = self._source.sample(sound, min(2, len(sound)))
        return min(drawn, key=lambda worker: self._cost(worker, now))

    @mechanism("usual_worker", without=_lesser_of_two)
    def _choose_among(self, sound: list[WorkerState], now: float) -> WorkerState:
        """Return this node's usual worker, or a better one.

        Each node has workers in an order of its own, since connections are kept by pairs of node and worker
        and new ones are dear. The next one is taken while the usual one is far slower, any one while the
        usual one is loaded.
        """
        usual, *others = sorted(sound, key=self._affinity, reverse=True)
        if not others:
            return usual
        if usual.estimated_load(now, TOLD_LOAD_SECONDS) >= SPREAD_LOAD:
            drawn = self._source.choice(others)
            return min((usual, drawn), key=lambda worker: self._cost(worker, now))
        return others[0] if self._is_far_better(others[0], usual, now) else usual

    def _is_far_better(self, other: WorkerState, usual: WorkerState, now: float) -> bool:
        if other.latency_seconds is None or now - usual.latency_updated_at > TRY_AGAIN_SECONDS:
            return False
        return FAR_BETTER_FACTOR * self._cost(other, now) < self._cost(usual, now)

    def _affinity(self, worker: WorkerState) -> int:
        return zlib.crc32(f"{self._node}/{worker.entry.worker_id}".encode())

    def choose_sound(self, service: str, course: Course) -> WorkerState | None:
        """Return a worker that nothing speaks against, None when none is left."""
        worker = self.choose(service, course)
        if worker is None or worker.avoid_until > anyio.current_time():
            return None
        return worker

    def choose_service(self, route: Route) -> str:
        """Return a service of the route's split."""
        return route.choose_service(self._source)

    def take_refusal(self, answer: WorkerAnswer, worker: WorkerState, course: Course) -> bool:
        """Take in an answer's head; return whether it says that the request has not run."""
        now = anyio.current_time()
        if answer.load is not None:
            worker.reported_running, worker.reported_waiting = (
                answer.load.num_running,
                answer.load.num_waiting,
            )
            worker.load_reported_at = now
        if answer.is_other_worker:
            self._directory.mark_leaving(worker.entry.worker_id)
            course.last_reason = "other_worker"
            return True
        if not answer.is_not_run:
            return False
        worker.avoid_until = now + AVOID_AFTER_FULL_SECONDS
        course.last_reason = f"worker_status_{answer.status}"
        return True

    def note_good(self, worker: WorkerState, seconds: float) -> None:
        """Take in how long a whole answer took."""
        worker.num_recent_failures = 0
        self.note_latency(worker, seconds)

    def note_latency(self, worker: WorkerState, seconds: float) -> None:
        """Take in how long a request took at the least."""
        worker.latency_updated_at = anyio.current_time()
        before = worker.latency_seconds
        change = 0.0 if before is None else LATENCY_SMOOTHING * (seconds - before)
        worker.latency_seconds = seconds if before is None else before + change

    def note_beaten(self, worker: WorkerState, seconds: float) -> None:
        """Take in that another worker answered first, when this one had not after so long."""
        if worker.latency_seconds is None or worker.latency_seconds < seconds:
            self.note_latency(worker, seconds)

    def note_failure(self, request: LiveRequest, worker: WorkerState, course: Course, reason: str) -> None:
        """Take in that an attempt came to nothing."""
        worker.num_recent_failures += 1
        worker.avoid_until = anyio.current_time() + AVOID_AFTER_FAILURE_SECONDS
        course.last_reason = reason
        logger.info(
            "attempt_failed",
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            worker=worker.entry.worker_id,
            beside=",".join(worker.other_running(request.fingerprint)),
            reason=reason,
            may_have_run=course.may_have_run,
        )

    @staticmethod
    def _cost(worker: WorkerState, now: float) -> float:
        load = worker.estimated_load(now, TOLD_LOAD_SECONDS)
        return (1.0 + load) * (worker.latency_seconds or UNKNOWN_LATENCY_SECONDS)


def to_worker(request: LiveRequest, ends_at: float) -> WorkerRequest:
    """Return a live request as it goes to a worker now."""
    return WorkerRequest(
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        deadline_seconds=max(MIN_WORKER_SECONDS, ends_at - anyio.current_time()),
        resume_after=request.resume_after,
    )
