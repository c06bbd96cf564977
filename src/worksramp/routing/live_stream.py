"""Forwards a live stream in complete events, and resumes it at another worker if the route allows that."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace

import anyio
import structlog

from worksramp.routing.attempts import (
    Attempt,
    AttemptHistory,
    LiveRequest,
    WholeAnswer,
    WorkerChoice,
    to_worker_request,
)
from worksramp.routing.events import EventSplitter
from worksramp.routing.held_bytes import AnswerSource, HeldBytes
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.table import Route
from worksramp.routing.worker_port import (
    HeaderList,
    WorkerAnswer,
    WorkerAnswerBrokenError,
    WorkerPort,
    WorkerUnreachableError,
)
from worksramp.routing.workers import WorkerState

FIRST_FAILURE_STATUS = 300

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class StreamAnswer:
    """A worker's stream.

    Attributes:
        events: its events; raises WorkerAnswerBrokenError if the stream cannot be completed.
        ends_at: when the stream must have ended, on this node's clock, whatever its worker and its caller do.
    """

    status: int
    headers: HeaderList
    events: AsyncIterator[bytes]
    ends_at: float


class LiveStream:
    """One stream from its first attempt to its end. No attempt begins after the request's end time."""

    def __init__(
        self,
        port: WorkerPort,
        choice: WorkerChoice,
        quarantine: Quarantine,
        held: HeldBytes,
        request: LiveRequest,
        route: Route,
        history: AttemptHistory,
    ) -> None:
        self._port = port
        self._choice = choice
        self._quarantine = quarantine
        self._held = held
        self._request = request
        self._route = route
        self._history = history
        self._ends_at = request.ends_at(route)
        self._attempt_stack = AsyncExitStack()
        self._worker: WorkerState | None = None
        self._attempt: Attempt | None = None

    async def open(self, worker: WorkerState, stack: AsyncExitStack) -> StreamAnswer | WholeAnswer | None:
        """Open the stream at a worker; return None if another attempt is needed.

        Args:
            stack: keeps the connection open until the caller has passed on the stream.
        """
        stack.push_async_callback(self._attempt_stack.aclose)
        with anyio.move_on_after(max(0.0, self._ends_at - anyio.current_time())):
            answer = await self._send(worker, self._request)
            if answer is None:
                return None
            if answer.status >= FIRST_FAILURE_STATUS:
                return await self._read_failure(answer, worker)
            return StreamAnswer(answer.status, answer.headers, self._events(answer), self._ends_at)
        self._history.last_reason = "deadline"
        return None

    async def _read_failure(self, answer: WorkerAnswer, worker: WorkerState) -> WholeAnswer | None:
        """Return an error answer with its complete body, or None if the body could not be read."""
        try:
            body = await self._held.read_whole(answer, self._source(answer))
            self._record_answered()
        except WorkerAnswerBrokenError as error:
            self._choice.record_failure(self._request, worker, self._history, f"broken: {error}")
            await self._quarantine.handle_broken_connection(worker)
            return None
        finally:
            await self._attempt_stack.aclose()
        return WholeAnswer(answer.status, answer.headers, body)

    async def _send(self, worker: WorkerState, request: LiveRequest) -> WorkerAnswer | None:
        """Send to one worker; return None if the request has not run there or the answer was lost."""
        running = self._quarantine.running(request.fingerprint)
        attempt = self._history.begin_attempt(worker)
        self._worker, self._attempt = worker, attempt
        worker.begin(running)
        self._attempt_stack.callback(worker.end, running)
        self._attempt_stack.callback(attempt.end)
        is_open = False
        try:
            sending = self._port.send(worker.entry, to_worker_request(request, self._ends_at))
            answer = await self._attempt_stack.enter_async_context(sending)
            is_open = not self._choice.record_answer_head(answer, worker, self._history, attempt)
            if is_open:
                # A stream begins to run with its first event, which the head of its answer precedes.
                self._history.record_begun(anyio.current_time())
            return answer if is_open else None
        except WorkerUnreachableError as error:
            self._choice.record_unreachable(request, worker, self._history, attempt, error)
        except WorkerAnswerBrokenError as error:
            self._choice.record_failure(request, worker, self._history, f"broken: {error}")
            await self._quarantine.handle_broken_connection(worker)
        finally:
            if not is_open:
                await self._attempt_stack.aclose()
        return None

    async def _events(self, answer: WorkerAnswer) -> AsyncIterator[bytes]:
        """Yield complete events, and resume the stream whenever it breaks."""
        last_id = self._request.resume_after
        # After an event whose id is not known, a resumed stream would repeat or skip events.
        is_id_known = True
        while True:
            splitter = EventSplitter()
            holding = self._attempt_stack.enter_context(self._held.hold(self._source(answer), splitter.clear))
            reason = "ended inside an event"
            try:
                async for chunk in answer.body:
                    await holding.begin_chunk()
                    for event in splitter.feed(chunk):
                        if not event.is_empty:
                            is_id_known = event.event_id is not None
                        last_id = event.event_id or last_id
                        yield event.block
                    holding.resize(splitter.size_b)
                holding.check()
                if not splitter.has_partial_event:
                    if splitter.rest:
                        yield splitter.rest
                    self._record_answered()
                    self._quarantine.record_complete_answer(self._request.fingerprint)
                    return
            except WorkerAnswerBrokenError as error:
                reason = str(error)
            if self._worker is not None:
                await self._quarantine.handle_broken_connection(self._worker)
            await self._attempt_stack.aclose()
            logger.info(
                "stream_broken", request_id=self._request.request_id, last_event_id=last_id, reason=reason
            )
            if not is_id_known:
                raise WorkerAnswerBrokenError(f"an event has no usable id, not resumed: {reason}")
            answer = await self._resume(last_id, reason)

    async def _resume(self, last_id: str | None, reason: str) -> WorkerAnswer:
        """Resume the stream after the last complete event at another worker.

        Raises:
            WorkerAnswerBrokenError: the route does not allow it, or no worker resumes the stream.
        """
        request = replace(self._request, resume_after=last_id)
        while self._may_resume():
            worker = self._choice.choose(self._choice.choose_service(self._route), self._history)
            if worker is None:
                break
            answer = await self._send(worker, request)
            if answer is not None and answer.status < FIRST_FAILURE_STATUS:
                return answer
            await self._attempt_stack.aclose()
        raise WorkerAnswerBrokenError(f"not resumed: {reason}")

    def _source(self, answer: WorkerAnswer) -> AnswerSource:
        worker_id = "" if self._worker is None else self._worker.entry.worker_id
        return AnswerSource(worker_id, self._request.request_id, answer.connection)

    def _record_answered(self) -> None:
        if self._attempt is not None:
            self._attempt.is_answered = True

    def _may_resume(self) -> bool:
        return (
            self._route.is_resumable
            and not self._quarantine.is_quarantined(self._request.fingerprint)
            and self._history.has_attempt_left(self._route)
            and anyio.current_time() < self._ends_at
        )
