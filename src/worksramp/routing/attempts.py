"""Chooses workers for attempts of live requests and records the results of the attempts."""

import random
import zlib
from dataclasses import dataclass, field

import anyio
import structlog

from worksramp.mechanisms import mechanism
from worksramp.routing.fingerprint import HOST_HEADER, fingerprint_of
from worksramp.routing.table import Route
from worksramp.routing.worker_load import ReportedLoad, WorkerLoad, usual_latency_s
from worksramp.routing.worker_port import HeaderList, WorkerAnswer, WorkerRequest, WorkerUnreachableError
from worksramp.routing.workers import WorkerDirectory, WorkerState

AVOID_AFTER_FAILURE_SECONDS = 0.5
AVOID_AFTER_FULL_SECONDS = 0.1
LATENCY_SMOOTHING = 0.2
MIN_WORKER_DEADLINE_SECONDS = 0.001
#: Load of the preferred worker, in requests per slot, from which other workers take some of its requests.
SPILLOVER_LOAD = 0.4
#: How many times cheaper the next worker must be to replace the preferred one. Durations of requests differ,
#: so the moving means of equally fast workers differ as well.
MUCH_CHEAPER_FACTOR = 2.0
#: A slow worker that has had no request for this long is used again, because it may have recovered.
SLOW_WORKER_RETRY_SECONDS = 4.0
#: Number of refused connections that do not count as attempts. Each takes a few milliseconds, so a request
#: still fails at once if the whole fleet is down.
MAX_UNCOUNTED_REFUSALS = 8

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class LiveRequest:
    """A caller's request with its complete body.

    Attributes:
        request_id: id set by the caller; a retry by the caller has another one.
        deadline_at: when the caller stops waiting, on this node's clock.
        resume_after: id of the last event the caller has received, None for a new stream.
        tenant: tenant of the caller, empty for none.
        fingerprint: digest that is the same for all retries of the request, at any node.
    """

    request_id: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    received_at: float
    deadline_at: float
    resume_after: str | None = None
    tenant: str = ""
    fingerprint: str = field(init=False, compare=False)

    def __post_init__(self) -> None:
        host = next((value for key, value in self.headers if key.lower() == HOST_HEADER), b"")
        object.__setattr__(self, "fingerprint", fingerprint_of(self.method, host, self.target, self.body))

    def ends_at(self, route: Route) -> float:
        """Return when this node must have sent its final response, on its own clock."""
        if route.timeout_seconds is None:
            return self.deadline_at
        return min(self.deadline_at, self.received_at + route.timeout_seconds)


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A worker's answer with its complete body."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass(slots=True)
class Attempt:
    """One attempt at one worker. It may have run the request unless something proves that it has not.

    Attributes:
        has_not_run: whether nothing was sent, or the worker states that it has not run the request.
        is_answered: whether the complete answer has arrived.
        is_ended: whether the attempt is over.
        connection: connection that carried the worker's answer, empty if none came.
    """

    worker_id: str
    has_not_run: bool = False
    is_answered: bool = False
    is_ended: bool = False
    connection: str = ""

    def end(self) -> None:
        """Record that the attempt is over."""
        self.is_ended = True

    @property
    def was_interrupted(self) -> bool:
        """Whether the attempt ended without an answer and without proof that the request has not run."""
        return self.is_ended and not self.has_not_run and not self.is_answered


@dataclass(slots=True)
class AttemptHistory:
    """Attempts made so far for one request.

    Attributes:
        attempts: all attempts, in order.
        num_refused_connections: how many of them met a refused connection, so that nothing was sent.
        began_at: when the first attempt was sent that a worker has run or may have run, None before.
        last_reason: why the latest attempt failed.
        failure: error answer of a worker, returned to the caller if no attempt succeeds.
    """

    attempts: list[Attempt] = field(default_factory=list)
    num_refused_connections: int = 0
    began_at: float | None = None
    last_reason: str = "no_worker"
    failure: WholeAnswer | None = None

    @property
    def tried(self) -> list[str]:
        """Ids of the workers that were chosen, in order."""
        return [attempt.worker_id for attempt in self.attempts]

    @property
    def may_have_run(self) -> bool:
        """Whether a worker may have run the request."""
        return any(not attempt.has_not_run for attempt in self.attempts)

    @property
    def was_interrupted(self) -> bool:
        """Whether an attempt that may have run ended without its answer."""
        return any(attempt.was_interrupted for attempt in self.attempts)

    def begin_attempt(self, worker: WorkerState) -> Attempt:
        """Add an attempt at a worker."""
        attempt = Attempt(worker.entry.worker_id)
        self.attempts.append(attempt)
        return attempt

    def record_begun(self, sent_at: float) -> None:
        """Record that an attempt sent at this time has run or may have run."""
        self.began_at = sent_at if self.began_at is None else min(self.began_at, sent_at)

    def has_attempt_left(self, route: Route) -> bool:
        """Return whether the request may be sent to one more worker.

        Workers that have just ended keep their entries for seconds. If each of them counted as an attempt,
        requests would be refused although another worker is free: with two of three workers down, a share of
        0.85 of the requests succeeded without a retry by the caller, instead of 1.00 (simulation, 3 calls per
        second, 8 seeds).
        """
        num_uncounted = min(self.num_refused_connections, MAX_UNCOUNTED_REFUSALS)
        return len(self.attempts) - num_uncounted < route.max_attempts


class WorkerChoice:
    """Chooses workers for attempts and records the results.

    Args:
        rng: source of random choices.
        node: id of this node, from which its order of preference among workers is derived.
    """

    def __init__(self, directory: WorkerDirectory, rng: random.Random, node: str = "") -> None:
        self._directory = directory
        self._rng = rng
        self._node = node

    def loads(self, service: str) -> list[WorkerLoad]:
        """Return the loads of the workers of a service that a request may be sent to now."""
        now = anyio.current_time()
        return [worker.load(now) for worker in self._directory.usable(service) if worker.avoid_until <= now]

    def choose(self, service: str, history: AttemptHistory) -> WorkerState | None:
        """Return a worker for an attempt, or None if none is left."""
        now = anyio.current_time()
        untried = [
            worker
            for worker in self._directory.usable(service)
            if worker.entry.worker_id not in history.tried
        ]
        healthy = [worker for worker in untried if worker.avoid_until <= now] or untried
        if history.was_interrupted:
            # Any of the requests that a crash interrupted may have caused it. If they were retried at the
            # same worker, the others would be lost again, and the cause could not be told apart from them.
            healthy = [worker for worker in healthy if not worker.has_suspect] or healthy
        return self._choose_among(healthy, now) if healthy else None

    def _cheaper_of_two(self, healthy: list[WorkerState], now: float) -> WorkerState:
        """Return the cheaper of two workers drawn at random."""
        drawn = self._rng.sample(healthy, min(2, len(healthy)))
        return min(drawn, key=lambda worker: self._cost(worker, now))

    @mechanism("usual_worker", without=_cheaper_of_two)
    def _choose_among(self, healthy: list[WorkerState], now: float) -> WorkerState:
        """Return this node's preferred worker, or a better one.

        Each node has its own order of preference, because connections are kept per pair of node and worker
        and new ones are expensive. The next worker in that order is used while the preferred one is much
        slower. A random one may be used while the preferred one is loaded.
        """
        preferred, *others = sorted(healthy, key=self._affinity, reverse=True)
        if not others:
            return preferred
        if preferred.load(now).requests_per_slot >= SPILLOVER_LOAD:
            drawn = self._rng.choice(others)
            return min((preferred, drawn), key=lambda worker: self._cost(worker, now))
        return others[0] if self._is_much_cheaper(others[0], preferred, now) else preferred

    def _is_much_cheaper(self, other: WorkerState, preferred: WorkerState, now: float) -> bool:
        if other.latency_seconds is None or now - preferred.latency_updated_at > SLOW_WORKER_RETRY_SECONDS:
            return False
        return MUCH_CHEAPER_FACTOR * self._cost(other, now) < self._cost(preferred, now)

    def _affinity(self, worker: WorkerState) -> int:
        return zlib.crc32(f"{self._node}/{worker.entry.worker_id}".encode())

    def choose_healthy(self, service: str, history: AttemptHistory) -> WorkerState | None:
        """Return a worker that is not being avoided, or None if none is left."""
        worker = self.choose(service, history)
        if worker is None or worker.avoid_until > anyio.current_time():
            return None
        return worker

    def choose_service(self, route: Route) -> str:
        """Return a service of the route's split, chosen at random by weight."""
        return route.choose_service(self._rng)

    def record_answer_head(
        self, answer: WorkerAnswer, worker: WorkerState, history: AttemptHistory, attempt: Attempt
    ) -> bool:
        """Record the head of an answer and return whether it states that the request has not run."""
        now = anyio.current_time()
        attempt.connection = answer.connection
        attempt.has_not_run = answer.is_other_worker or answer.is_not_run
        if answer.load is not None:
            worker.record_report(answer.load, now)
        if answer.is_other_worker:
            self._directory.mark_draining(worker.entry.worker_id)
            history.last_reason = "other_worker"
            return True
        if not answer.is_not_run:
            return False
        worker.avoid_until = now + AVOID_AFTER_FULL_SECONDS
        history.last_reason = f"worker_status_{answer.status}"
        return True

    def record_success(self, worker: WorkerState, seconds: float, load: ReportedLoad | None = None) -> None:
        """Record a complete answer, how many seconds it took and the load that came with it."""
        worker.num_recent_failures = 0
        self.record_latency(worker, usual_latency_s(seconds, load))

    def record_latency(self, worker: WorkerState, seconds: float) -> None:
        """Update the worker's mean latency with a duration in seconds, which may be a lower bound."""
        worker.latency_updated_at = anyio.current_time()
        before = worker.latency_seconds
        change = 0.0 if before is None else LATENCY_SMOOTHING * (seconds - before)
        worker.latency_seconds = seconds if before is None else before + change

    def record_unfinished(self, worker: WorkerState, seconds: float) -> None:
        """Record an attempt that was cancelled or timed out after ``seconds`` without an answer.

        The duration is a lower bound, so it only ever raises the mean latency.
        """
        if worker.latency_seconds is None or worker.latency_seconds < seconds:
            self.record_latency(worker, seconds)

    def record_unreachable(
        self,
        request: LiveRequest,
        worker: WorkerState,
        history: AttemptHistory,
        attempt: Attempt,
        error: WorkerUnreachableError,
    ) -> None:
        """Record and log an attempt that sent nothing."""
        attempt.has_not_run = True
        history.num_refused_connections += int(error.is_refusal)
        self.record_failure(request, worker, history, f"unreachable: {error}")

    def record_failure(
        self, request: LiveRequest, worker: WorkerState, history: AttemptHistory, reason: str
    ) -> None:
        """Record and log a failed attempt, and avoid the worker for a short time."""
        worker.num_recent_failures += 1
        worker.avoid_until = anyio.current_time() + AVOID_AFTER_FAILURE_SECONDS
        history.last_reason = reason
        logger.info(
            "attempt_failed",
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            worker=worker.entry.worker_id,
            beside=",".join(worker.other_running(request.fingerprint)),
            reason=reason,
            may_have_run=history.may_have_run,
        )

    @staticmethod
    def _cost(worker: WorkerState, now: float) -> float:
        return worker.load(now).expected_s


def to_worker_request(request: LiveRequest, ends_at: float) -> WorkerRequest:
    """Return the request to send to a worker now, with the time left until ``ends_at`` as its deadline."""
    return WorkerRequest(
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        deadline_seconds=max(MIN_WORKER_DEADLINE_SECONDS, ends_at - anyio.current_time()),
        resume_after=request.resume_after,
        tenant=request.tenant,
    )
