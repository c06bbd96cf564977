"""Forwards one live request: choice of workers, attempts, deadlines, resumed streams.

What may have run and may not be repeated is never sent again, and never called *not run*.
"""

import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace

import anyio
import structlog

from worksramp.routing.events import EventSplitter
from worksramp.routing.table import Route, RouteKind
from worksramp.routing.worker_port import (
    HeaderList,
    WorkerAnswer,
    WorkerAnswerBrokenError,
    WorkerPort,
    WorkerRequest,
    WorkerUnreachableError,
)
from worksramp.routing.workers import WorkerDirectory, WorkerState

STATUS_SERVER_ERROR = 500
TOLD_LOAD_SECONDS = 1.0
AVOID_AFTER_FAILURE_SECONDS = 0.5
AVOID_AFTER_FULL_SECONDS = 0.1
HEDGE_SHARE_OF_OBJECTIVE = 0.5
MIN_ATTEMPT_SECONDS = 0.03
LATENCY_SMOOTHING = 0.2
SMALL_LOAD = 0.01

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class LiveRequest:
    """A caller's request, read whole.

    Attributes:
        deadline_at: when the caller stops waiting, on this node's clock.
    """

    request_id: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    received_at: float
    deadline_at: float
    resume_after: str | None = None


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A worker's answer with its whole body."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamAnswer:
    """A worker's stream; ``events`` raises WorkerAnswerBrokenError when it cannot be brought to its end."""

    status: int
    headers: HeaderList
    events: AsyncIterator[bytes]


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


ForwardOutcome = WholeAnswer | StreamAnswer | NotRun | MayHaveRun


@dataclass(slots=True)
class _Course:
    """What has happened to one request so far."""

    tried: list[str] = field(default_factory=list)
    may_have_run: bool = False
    last_reason: str = "no_worker"
    failure: WholeAnswer | None = None


class Forwarder:
    """Forwards live requests of one node."""

    def __init__(
        self, directory: WorkerDirectory, port: WorkerPort, zone: str, source: random.Random
    ) -> None:
        self._directory = directory
        self._port = port
        self._zone = zone
        self._source = source

    async def forward(self, request: LiveRequest, route: Route, stack: AsyncExitStack) -> ForwardOutcome:
        """Forward a request and return the final outcome.

        Args:
            stack: holds what a stream keeps open; closed by the caller when the answer has been passed on.
        """
        course = _Course()
        outcome = await self._forward(request, route, stack, course)
        logger.info(
            "request_forwarded",
            request_id=request.request_id,
            route=route.name,
            outcome=type(outcome).__name__,
            status=getattr(outcome, "status", 0),
            reason=getattr(outcome, "reason", ""),
            workers=",".join(course.tried),
            seconds=round(anyio.current_time() - request.received_at, 4),
        )
        return outcome

    async def _forward(
        self, request: LiveRequest, route: Route, stack: AsyncExitStack, course: _Course
    ) -> ForwardOutcome:
        ends_at = self._ends_at(request, route)
        service = route.choose_service(self._source)
        while len(course.tried) < route.max_attempts and anyio.current_time() < ends_at - MIN_ATTEMPT_SECONDS:
            worker = self._choose(service, course.tried)
            if worker is None:
                break
            course.tried.append(worker.entry.worker_id)
            outcome: ForwardOutcome | None
            if route.kind is RouteKind.STREAMING:
                outcome = await self._attempt_stream(request, route, worker, ends_at, course, stack)
            else:
                outcome = await self._attempt_with_hedge(request, route, service, worker, ends_at, course)
            if outcome is not None:
                return outcome
            if course.may_have_run and not route.may_repeat:
                break
        return self._give_up(course, route, ends_at)

    def _ends_at(self, request: LiveRequest, route: Route) -> float:
        if route.timeout_seconds is None:
            return request.deadline_at
        return min(request.deadline_at, request.received_at + route.timeout_seconds)

    def _give_up(self, course: _Course, route: Route, ends_at: float) -> ForwardOutcome:
        if course.failure is not None:
            return course.failure
        if course.may_have_run:
            return MayHaveRun(
                course.last_reason, is_late=anyio.current_time() >= ends_at - MIN_ATTEMPT_SECONDS
            )
        return NotRun(course.last_reason, min(0.25, route.objective_seconds / 2))

    def _choose(self, service: str, tried: list[str]) -> WorkerState | None:
        """Return the better of two workers drawn at random, those of this zone and sound ones first."""
        now = anyio.current_time()
        fresh = [w for w in self._directory.usable(service) if w.entry.worker_id not in tried]
        sound = [w for w in fresh if w.avoid_until <= now] or fresh
        if not sound:
            return None
        drawn = self._source.sample(sound, min(2, len(sound)))
        return min(drawn, key=lambda worker: self._cost(worker, now))

    def _cost(self, worker: WorkerState, now: float) -> float:
        load = worker.estimated_load(now, TOLD_LOAD_SECONDS)
        latency = worker.latency_seconds or SMALL_LOAD
        return (1.0 + load) * latency

    async def _attempt_with_hedge(
        self,
        request: LiveRequest,
        route: Route,
        service: str,
        worker: WorkerState,
        ends_at: float,
        course: _Course,
    ) -> ForwardOutcome | None:
        """Send to a worker; ask a second one when the first is late and the request may be repeated."""
        may_hedge = route.may_repeat and route.max_attempts > len(course.tried)
        found: list[WholeAnswer] = []
        async with anyio.create_task_group() as group:

            async def attempt(target: WorkerState) -> None:
                answer = await self._attempt(request, target, ends_at, course)
                if answer is None:
                    return
                if answer.status >= STATUS_SERVER_ERROR and may_hedge:
                    course.failure = answer
                    return
                found.append(answer)
                group.cancel_scope.cancel()

            async def hedge() -> None:
                await anyio.sleep(HEDGE_SHARE_OF_OBJECTIVE * route.objective_seconds)
                other = self._choose(service, course.tried)
                if other is not None and other.avoid_until <= anyio.current_time():
                    course.tried.append(other.entry.worker_id)
                    await attempt(other)

            async def first() -> None:
                await attempt(worker)
                if hedge_scope is not None and hedging_not_begun():
                    hedge_scope.cancel()

            num_before = len(course.tried)

            def hedging_not_begun() -> bool:
                return len(course.tried) == num_before

            hedge_scope: anyio.CancelScope | None = None
            if may_hedge:
                hedge_scope = anyio.CancelScope()

                async def guarded() -> None:
                    assert hedge_scope is not None
                    with hedge_scope:
                        await hedge()

                group.start_soon(guarded)
            group.start_soon(first)
        return found[0] if found else None

    async def _attempt(
        self, request: LiveRequest, worker: WorkerState, ends_at: float, course: _Course
    ) -> WholeAnswer | None:
        """Send to one worker and read the whole answer; None when another attempt is needed."""
        started = anyio.current_time()
        worker.num_in_flight += 1
        was_sent = False
        try:
            with anyio.move_on_after(max(0.0, ends_at - started)):
                was_sent = True
                async with self._port.send(worker.entry, self._to_worker(request, ends_at)) as answer:
                    if self._is_refusal(answer, worker, course):
                        return None
                    body = b"".join([chunk async for chunk in answer.body])
                    self._note_good(worker, answer, anyio.current_time() - started)
                    return WholeAnswer(answer.status, answer.headers, body)
            course.may_have_run = course.may_have_run or was_sent
            course.last_reason = "deadline"
        except WorkerUnreachableError as error:
            self._note_failure(worker, course, f"unreachable: {error}", request)
        except WorkerAnswerBrokenError as error:
            course.may_have_run = True
            self._note_failure(worker, course, f"broken: {error}", request)
        finally:
            worker.num_in_flight -= 1
        return None

    async def _attempt_stream(
        self,
        request: LiveRequest,
        route: Route,
        worker: WorkerState,
        ends_at: float,
        course: _Course,
        stack: AsyncExitStack,
    ) -> ForwardOutcome | None:
        """Open a stream at one worker; None when another attempt is needed."""
        started = anyio.current_time()
        opened = AsyncExitStack()
        worker.num_in_flight += 1
        opened.callback(self._note_closed, worker)
        try:
            with anyio.move_on_after(max(0.0, ends_at - started)):
                answer = await opened.enter_async_context(
                    self._port.send(worker.entry, self._to_worker(request, ends_at))
                )
                if not self._is_refusal(answer, worker, course):
                    return await self._stream_or_whole(request, route, answer, ends_at, course, opened, stack)
                await opened.aclose()
                return None
            course.may_have_run = True
            course.last_reason = "deadline"
        except WorkerUnreachableError as error:
            self._note_failure(worker, course, f"unreachable: {error}", request)
        except WorkerAnswerBrokenError as error:
            course.may_have_run = True
            self._note_failure(worker, course, f"broken: {error}", request)
        except BaseException:
            await opened.aclose()
            raise
        await opened.aclose()
        return None

    async def _stream_or_whole(
        self,
        request: LiveRequest,
        route: Route,
        answer: WorkerAnswer,
        ends_at: float,
        course: _Course,
        opened: AsyncExitStack,
        stack: AsyncExitStack,
    ) -> ForwardOutcome:
        if answer.status >= 300:
            body = b"".join([chunk async for chunk in answer.body])
            await opened.aclose()
            return WholeAnswer(answer.status, answer.headers, body)
        await stack.enter_async_context(opened)
        return StreamAnswer(
            answer.status, answer.headers, self._events(request, route, answer, ends_at, course, opened)
        )

    async def _events(
        self,
        request: LiveRequest,
        route: Route,
        answer: WorkerAnswer,
        ends_at: float,
        course: _Course,
        opened: AsyncExitStack,
    ) -> AsyncIterator[bytes]:
        """Yield whole events, going on at another worker where the route allows it."""
        last_id = request.resume_after
        while True:
            splitter = EventSplitter()
            try:
                async for chunk in answer.body:
                    for event in splitter.feed(chunk):
                        last_id = event.event_id or last_id
                        yield event.block
                if not splitter.has_rest:
                    return
                reason = "ended inside an event"
            except WorkerAnswerBrokenError as error:
                reason = str(error)
            await opened.aclose()
            logger.info("stream_broken", request_id=request.request_id, last_event_id=last_id, reason=reason)
            if not route.is_resumable:
                raise WorkerAnswerBrokenError(reason)
            resumed = await self._resume(
                replace(request, resume_after=last_id), route, ends_at, course, opened
            )
            if resumed is None:
                raise WorkerAnswerBrokenError(f"not resumed: {reason}")
            answer = resumed

    async def _resume(
        self, request: LiveRequest, route: Route, ends_at: float, course: _Course, opened: AsyncExitStack
    ) -> WorkerAnswer | None:
        while len(course.tried) < route.max_attempts and anyio.current_time() < ends_at - MIN_ATTEMPT_SECONDS:
            worker = self._choose(route.choose_service(self._source), course.tried)
            if worker is None:
                return None
            course.tried.append(worker.entry.worker_id)
            try:
                answer = await opened.enter_async_context(
                    self._port.send(worker.entry, self._to_worker(request, ends_at))
                )
                if not self._is_refusal(answer, worker, course) and answer.status < 300:
                    return answer
            except (WorkerUnreachableError, WorkerAnswerBrokenError) as error:
                self._note_failure(worker, course, str(error), request)
            await opened.aclose()
        return None

    def _to_worker(self, request: LiveRequest, ends_at: float) -> WorkerRequest:
        return WorkerRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            deadline_seconds=max(0.001, ends_at - anyio.current_time()),
            resume_after=request.resume_after,
        )

    def _is_refusal(self, answer: WorkerAnswer, worker: WorkerState, course: _Course) -> bool:
        """Take in that a worker has not run the request, if so."""
        if answer.load is not None:
            worker.told_running, worker.told_waiting = answer.load.num_running, answer.load.num_waiting
            worker.told_at = anyio.current_time()
        if answer.is_leaving and answer.is_not_run:
            self._directory.mark_leaving(worker.entry.worker_id)
        if answer.is_other_worker:
            self._directory.mark_leaving(worker.entry.worker_id)
            course.last_reason = "other_worker"
            return True
        if not answer.is_not_run:
            return False
        worker.avoid_until = anyio.current_time() + AVOID_AFTER_FULL_SECONDS
        course.last_reason = f"worker_status_{answer.status}"
        return True

    def _note_good(self, worker: WorkerState, answer: WorkerAnswer, seconds: float) -> None:
        worker.num_recent_failures = 0
        before = worker.latency_seconds
        worker.latency_seconds = (
            seconds if before is None else before + LATENCY_SMOOTHING * (seconds - before)
        )

    def _note_failure(self, worker: WorkerState, course: _Course, reason: str, request: LiveRequest) -> None:
        worker.num_recent_failures += 1
        worker.avoid_until = anyio.current_time() + AVOID_AFTER_FAILURE_SECONDS
        course.last_reason = reason
        logger.info(
            "attempt_failed",
            request_id=request.request_id,
            worker=worker.entry.worker_id,
            reason=reason,
            may_have_run=course.may_have_run,
        )

    @staticmethod
    def _note_closed(worker: WorkerState) -> None:
        worker.num_in_flight -= 1
