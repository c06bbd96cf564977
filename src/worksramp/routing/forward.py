"""Forwards one live request: attempts, backup attempts, deadlines.

What may have run and may not be repeated is never sent again, and never called *not run*.
"""

import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import anyio
import structlog

from worksramp.mechanisms import mechanism
from worksramp.routing.attempts import Course, LiveRequest, WholeAnswer, WorkerChoice, to_worker
from worksramp.routing.hedge import first_result
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
        retry_after_seconds: when to come back.
    """

    reason: str
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run.

    Attributes:
        is_late: time ran out; otherwise the answer was lost.
    """

    reason: str
    is_late: bool


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request has crashed workers before; in this try it has not run and will not."""

    reason: str = "crashes_workers"


ForwardOutcome = WholeAnswer | StreamAnswer | NotRun | MayHaveRun | Quarantined
OutcomeObserver = Callable[[Route, ForwardOutcome, float], None]


@mechanism("backup_attempts", without=lambda route: False)
def _may_back_up(route: Route) -> bool:
    """Ask a second worker while the first is late, where a request may be repeated."""
    return route.may_repeat


class Forwarder:
    """Forwards live requests of one node.

    Args:
        quarantine: shared by the node's parts; None for one that knows only what is forwarded here.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        port: WorkerPort,
        source: random.Random,
        on_outcome: OutcomeObserver | None = None,
        node: str = "",
        quarantine: Quarantine | None = None,
    ) -> None:
        self._port = port
        self._quarantine = quarantine or Quarantine(port, directory, node)
        self._on_outcome = on_outcome
        self._choice = WorkerChoice(directory, source, node)

    async def forward(self, request: LiveRequest, route: Route, stack: AsyncExitStack) -> ForwardOutcome:
        """Forward a request and return the final outcome.

        Args:
            stack: holds what a stream keeps open; closed by the caller when the answer has been passed on.
        """
        course = Course()
        outcome = await self._forward(request, route, stack, course)
        if self._on_outcome is not None:
            self._on_outcome(route, outcome, anyio.current_time() - request.received_at)
        logger.info(
            "request_forwarded",
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            route=route.name,
            outcome=type(outcome).__name__,
            status=getattr(outcome, "status", 0),
            reason=getattr(outcome, "reason", ""),
            workers=",".join(course.tried),
            seconds=round(anyio.current_time() - request.received_at, 4),
        )
        return outcome

    async def _forward(
        self, request: LiveRequest, route: Route, stack: AsyncExitStack, course: Course
    ) -> ForwardOutcome:
        # The route bounds the workers of one try only: a caller that comes again would go on to further ones.
        if not self._quarantine.admit(request.request_id, request.fingerprint):
            return Quarantined()
        last_start = request.ends_at(route) - MIN_ATTEMPT_SECONDS
        service = self._choice.choose_service(route)
        while course.has_attempt_left(route) and anyio.current_time() < last_start:
            worker = self._choice.choose(service, course)
            if worker is None:
                break
            course.tried.append(worker.entry.worker_id)
            outcome: ForwardOutcome | None
            if route.kind is RouteKind.STREAMING:
                stream = LiveStream(self._port, self._choice, self._quarantine, request, route, course)
                outcome = await stream.open(worker, stack)
            else:
                outcome = await self._attempt_with_backup(request, route, service, worker, course)
            if outcome is not None:
                return outcome
            if course.may_have_run and not route.may_repeat:
                break
            if self._quarantine.is_quarantined(request.fingerprint):
                refusal = Quarantined()
                return MayHaveRun(refusal.reason, is_late=False) if course.may_have_run else refusal
        return self._give_up(course, route, is_late=anyio.current_time() >= last_start)

    def _give_up(self, course: Course, route: Route, is_late: bool) -> ForwardOutcome:
        if course.failure is not None:
            return course.failure
        if course.may_have_run:
            return MayHaveRun(course.last_reason, is_late)
        return NotRun(course.last_reason, min(MAX_RETRY_AFTER_SECONDS, route.objective_seconds / 2))

    async def _attempt_with_backup(
        self, request: LiveRequest, route: Route, service: str, worker: WorkerState, course: Course
    ) -> WholeAnswer | None:
        """Send to a worker, and to a second one when the first is late and the request may be repeated."""
        ends_at = request.ends_at(route)
        # Under a suspect a second worker might crash too, before the end of the first is known.
        is_suspect = self._quarantine.is_suspect(request.fingerprint)
        if is_suspect or not _may_back_up(route) or not course.has_attempt_left(route):
            return await self._attempt(request, worker, ends_at, course)

        async def attempt() -> WholeAnswer | None:
            answer = await self._attempt(request, worker, ends_at, course)
            return self._unless_failed(answer, course)

        async def backup() -> WholeAnswer | None:
            other = self._choice.choose_sound(service, course)
            if other is None:
                return None
            course.tried.append(other.entry.worker_id)
            answer = await self._attempt(request, other, ends_at, course)
            return self._unless_failed(answer, course)

        return await first_result(attempt, backup, BACKUP_SHARE_OF_OBJECTIVE * route.objective_seconds)

    @staticmethod
    def _unless_failed(answer: WholeAnswer | None, course: Course) -> WholeAnswer | None:
        """Keep a worker's failure for the case that no other worker does better."""
        if answer is None or answer.status < FIRST_SERVER_ERROR_STATUS:
            return answer
        course.failure = answer
        return None

    async def _attempt(
        self, request: LiveRequest, worker: WorkerState, ends_at: float, course: Course
    ) -> WholeAnswer | None:
        """Send to one worker and read the whole answer; None when another attempt is needed."""
        started = anyio.current_time()
        running = self._quarantine.running(request.fingerprint)
        worker.begin(running)
        is_beaten = True
        try:
            with anyio.move_on_after(max(0.0, ends_at - started)):
                async with self._port.send(worker.entry, to_worker(request, ends_at)) as answer:
                    if self._choice.take_refusal(answer, worker, course):
                        is_beaten = False
                        return None
                    body = b"".join([chunk async for chunk in answer.body])
                    self._choice.note_good(worker, anyio.current_time() - started)
                    self._quarantine.record_complete_answer(request.fingerprint)
                    is_beaten = False
                    return WholeAnswer(answer.status, answer.headers, body)
            course.may_have_run = True
            course.last_reason = "deadline"
        except WorkerUnreachableError as error:
            is_beaten = False
            course.num_refusing += int(error.is_refusal)
            self._choice.note_failure(request, worker, course, f"unreachable: {error}")
        except WorkerAnswerBrokenError as error:
            is_beaten = False
            course.may_have_run = True
            self._choice.note_failure(request, worker, course, f"broken: {error}")
            await self._quarantine.handle_broken_connection(worker)
        finally:
            if is_beaten:
                # Cancelled, or out of time: without this a worker that hangs would look as fast as before.
                self._choice.note_beaten(worker, anyio.current_time() - started)
            worker.end(running)
        return None
