"""Forwards live requests to workers: attempts, backup attempts and deadlines.

A request that may have run and must not be repeated is never sent again, and never reported as *not run*.
"""

import random
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import anyio
import structlog

from worksramp.mechanisms import mechanism
from worksramp.routing.admission import Admitted, decide_admission, is_over_share
from worksramp.routing.attempts import (
    Attempt,
    AttemptHistory,
    LiveRequest,
    WholeAnswer,
    WorkerChoice,
    to_worker_request,
)
from worksramp.routing.hedge import first_result
from worksramp.routing.held_bytes import AnswerSource, HeldBytes
from worksramp.routing.live_stream import LiveStream, StreamAnswer
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.table import Route, RouteKind
from worksramp.routing.worker_port import WorkerAnswerBrokenError, WorkerPort, WorkerUnreachableError
from worksramp.routing.workers import WorkerDirectory, WorkerState

FIRST_SERVER_ERROR_STATUS = 500
BACKUP_SHARE_OF_OBJECTIVE = 0.5
MIN_ATTEMPT_SECONDS = 0.03
MAX_RETRY_AFTER_SECONDS = 0.25

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run and will not.

    Attributes:
        retry_after_seconds: how long the caller should wait before a retry.
    """

    reason: str
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run.

    Attributes:
        is_late: whether the time ran out; otherwise the answer was lost.
    """

    reason: str
    is_late: bool


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request is quarantined; for this submission it has not run and will not."""

    reason: str = "crashes_workers"


ForwardOutcome = WholeAnswer | StreamAnswer | NotRun | MayHaveRun | Quarantined
OutcomeObserver = Callable[[Route, ForwardOutcome, float], None]
BeginObserver = Callable[[str, float], None]


@mechanism("backup_attempts", without=lambda route: False)
def _may_back_up(route: Route) -> bool:
    """Return whether a request may be sent to a second worker while the first is late."""
    return route.may_repeat


class Forwarder:
    """Forwards live requests of one node.

    Args:
        rng: source of random choices.
        on_outcome: called with the route, the outcome and the seconds of each request.
        on_begun: called with the tenant of each request that a worker began to run, and the seconds since
            then.
        quarantine: quarantine of the node; None creates one that covers only the requests forwarded here.
        on_no_room: called for each request that is refused because no worker can answer it in time.
        held: counts the bytes of all answers that the node holds; None creates one of its own.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        port: WorkerPort,
        rng: random.Random,
        on_outcome: OutcomeObserver | None = None,
        node: str = "",
        quarantine: Quarantine | None = None,
        on_begun: BeginObserver | None = None,
        on_no_room: Callable[[], None] = lambda: None,
        held: HeldBytes | None = None,
    ) -> None:
        self._port = port
        self._held = held or HeldBytes()
        self._quarantine = quarantine or Quarantine(port, directory, node)
        self._on_outcome = on_outcome
        self._on_begun = on_begun
        self._on_no_room = on_no_room
        self._choice = WorkerChoice(directory, rng, node)
        self._rng = rng
        self._num_in_flight: Counter[str] = Counter()

    async def forward(self, request: LiveRequest, route: Route, stack: AsyncExitStack) -> ForwardOutcome:
        """Forward a request and return the final outcome.

        Args:
            stack: holds the connection of a stream; the caller closes it once the answer has been passed on.
        """
        history = AttemptHistory()
        self._num_in_flight[request.tenant] += 1
        try:
            outcome = await self._forward(request, route, stack, history)
        finally:
            self._num_in_flight[request.tenant] -= 1
            if not self._num_in_flight[request.tenant]:
                del self._num_in_flight[request.tenant]
            # A caller may have left while a worker was running its request.
            if self._on_begun is not None and history.began_at is not None:
                self._on_begun(request.tenant, anyio.current_time() - history.began_at)
        if self._on_outcome is not None:
            self._on_outcome(route, outcome, anyio.current_time() - request.received_at)
        logger.info(
            "request_forwarded",
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            tenant=request.tenant,
            route=route.name,
            outcome=type(outcome).__name__,
            status=getattr(outcome, "status", 0),
            reason=getattr(outcome, "reason", ""),
            workers=",".join(history.tried),
            connections=",".join(attempt.connection for attempt in history.attempts),
            seconds=round(anyio.current_time() - request.received_at, 4),
        )
        return outcome

    async def _forward(
        self, request: LiveRequest, route: Route, stack: AsyncExitStack, history: AttemptHistory
    ) -> ForwardOutcome:
        # The route limits the attempts of one submission only; a retry by the caller would reach more
        # workers.
        if not self._quarantine.admit(request.request_id, request.fingerprint):
            return Quarantined()
        last_start = request.ends_at(route) - MIN_ATTEMPT_SECONDS
        service = self._choice.choose_service(route)
        no_room = self._refuse_for_load(request, service, last_start)
        if no_room is not None:
            return no_room
        while history.has_attempt_left(route) and anyio.current_time() < last_start:
            worker = self._choice.choose(service, history)
            if worker is None:
                break
            outcome: ForwardOutcome | None
            if route.kind is RouteKind.STREAMING:
                stream = LiveStream(
                    self._port, self._choice, self._quarantine, self._held, request, route, history
                )
                outcome = await stream.open(worker, stack)
            else:
                outcome = await self._attempt_with_backup(request, route, service, worker, history)
            if outcome is not None:
                return outcome
            if history.may_have_run and not route.may_repeat:
                break
            if self._quarantine.is_quarantined(request.fingerprint):
                refusal = Quarantined()
                return MayHaveRun(refusal.reason, is_late=False) if history.may_have_run else refusal
        return self._give_up(history, route, is_late=anyio.current_time() >= last_start)

    def _refuse_for_load(self, request: LiveRequest, service: str, last_start: float) -> NotRun | None:
        """Return the refusal of a request that no worker is expected to answer in time, None if one is."""
        decision = decide_admission(
            self._choice.loads(service),
            last_start - anyio.current_time(),
            is_over_share(self._num_in_flight, request.tenant),
            self._rng,
        )
        if isinstance(decision, Admitted):
            return None
        self._on_no_room()
        logger.info(
            "request_refused_for_load",
            request_id=request.request_id,
            tenant=request.tenant,
            service=service,
            expected_s=round(decision.expected_s, 3),
            retry_after_s=round(decision.retry_after_s, 3),
        )
        return NotRun("no_room", decision.retry_after_s)

    def _give_up(self, history: AttemptHistory, route: Route, is_late: bool) -> ForwardOutcome:
        if history.failure is not None:
            return history.failure
        if history.may_have_run:
            return MayHaveRun(history.last_reason, is_late)
        return NotRun(history.last_reason, min(MAX_RETRY_AFTER_SECONDS, route.objective_seconds / 2))

    async def _attempt_with_backup(
        self, request: LiveRequest, route: Route, service: str, worker: WorkerState, history: AttemptHistory
    ) -> WholeAnswer | None:
        """Send to a worker, and to a second one when the first is late and the request may be repeated."""
        ends_at = request.ends_at(route)
        # A backup attempt of a suspect might crash a second worker before the crash of the first is known.
        is_suspect = self._quarantine.is_suspect(request.fingerprint)
        first = history.begin_attempt(worker)
        if is_suspect or not _may_back_up(route) or not history.has_attempt_left(route):
            return await self._attempt(request, worker, ends_at, history, first)

        async def attempt() -> WholeAnswer | None:
            answer = await self._attempt(request, worker, ends_at, history, first)
            return self._unless_failed(answer, history)

        async def backup() -> WholeAnswer | None:
            other = self._choice.choose_healthy(service, history)
            if other is None:
                return None
            second = history.begin_attempt(other)
            answer = await self._attempt(request, other, ends_at, history, second)
            return self._unless_failed(answer, history)

        return await first_result(attempt, backup, BACKUP_SHARE_OF_OBJECTIVE * route.objective_seconds)

    @staticmethod
    def _unless_failed(answer: WholeAnswer | None, history: AttemptHistory) -> WholeAnswer | None:
        """Return the answer unless it is a server error, which is kept in case no attempt succeeds."""
        if answer is None or answer.status < FIRST_SERVER_ERROR_STATUS:
            return answer
        history.failure = answer
        return None

    async def _attempt(
        self,
        request: LiveRequest,
        worker: WorkerState,
        ends_at: float,
        history: AttemptHistory,
        attempt: Attempt,
    ) -> WholeAnswer | None:
        """Send to one worker and return its complete answer, or None if another attempt is needed."""
        started = anyio.current_time()
        running = self._quarantine.running(request.fingerprint)
        worker.begin(running)
        is_unfinished = True
        try:
            with anyio.move_on_after(max(0.0, ends_at - started)):
                async with self._port.send(worker.entry, to_worker_request(request, ends_at)) as answer:
                    if self._choice.record_answer_head(answer, worker, history, attempt):
                        is_unfinished = False
                        return None
                    history.record_begun(started)
                    source = AnswerSource(worker.entry.worker_id, request.request_id, answer.connection)
                    body = await self._held.read_whole(answer, source)
                    attempt.is_answered = True
                    self._choice.record_success(worker, anyio.current_time() - started, answer.load)
                    self._quarantine.record_complete_answer(request.fingerprint)
                    is_unfinished = False
                    return WholeAnswer(answer.status, answer.headers, body)
            history.last_reason = "deadline"
        except WorkerUnreachableError as error:
            is_unfinished = False
            self._choice.record_unreachable(request, worker, history, attempt, error)
        except WorkerAnswerBrokenError as error:
            is_unfinished = False
            history.record_begun(started)
            self._choice.record_failure(request, worker, history, f"broken: {error}")
            await self._quarantine.handle_broken_connection(worker)
        finally:
            attempt.end()
            if is_unfinished:
                history.record_begun(started)
                # The attempt was cancelled or ran out of time. Without this, a worker that hangs would keep
                # its low latency.
                self._choice.record_unfinished(worker, anyio.current_time() - started)
            worker.end(running)
        return None
