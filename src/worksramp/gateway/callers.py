"""Callers' API: completions in the OpenAI format, and calls to application workers."""

import itertools
import time
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

import msgspec
from sse_starlette.sse import EventSourceResponse
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from worksramp.backends.base import ApplicationRequest, GenerateRequest, GenerationChunk
from worksramp.coordination.ledger import MAX_CLOCK_SKEW_MS, canonical_key, key_time_ms, shard_of
from worksramp.coordination.ledger_service import LEDGER_RETENTION_MS
from worksramp.gateway.backend import GatewayBackend
from worksramp.gateway.http import (
    BAD_GATEWAY,
    CONFLICT,
    NOT_FOUND,
    UNAVAILABLE,
    ErrorBody,
    Natural,
    RequestError,
    authorize,
    invalid,
    json_response,
    read_body,
    read_deadline,
    read_struct,
    require_ready,
    step_error_body,
    with_error_responses,
)
from worksramp.outcomes import Completed, ExecutionOutcome, KeyReused, NotRun, OutcomeUnknown, StepError
from worksramp.rollout.document import group_name
from worksramp.rollout.sampler import SegmentRecorder
from worksramp.settings import KeyRole
from worksramp.transport.messages import ExecuteOnce, ExecuteReply, SegmentReply, from_execute_reply

SSE_DONE = "[DONE]"
CALL_MARGIN_SECONDS = 0.5
KEY_HEADER = "idempotency-key"
MAX_TOKENS = 131_072
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class CompletionBody(msgspec.Struct):
    """Body of a completion request; fields of the OpenAI API that are not supported are ignored."""

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False
    seed: Natural = 0


class Choice(msgspec.Struct):
    """One choice of a completion."""

    index: int
    text: str
    finish_reason: str | None


class Completion(msgspec.Struct):
    """A completion, or one event of a streamed completion.

    Attributes:
        weight_versions: the token ranges of the completion, each with the weight version that generated it.
    """

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    weight_versions: tuple[SegmentReply, ...]


class CallersApi:
    """HTTP handlers of the callers' API of one node."""

    def __init__(self, backend: GatewayBackend) -> None:
        self._backend = backend
        self._request_numbers = itertools.count(1)

    def routes(self) -> list[Route]:
        """Return the routes of this API."""
        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        path = "/v1/applications/{application}/{path:path}"
        return [
            Route("/v1/completions", with_error_responses(self._complete), methods=["POST"]),
            Route(path, with_error_responses(self._call_application), methods=methods),
        ]

    async def _complete(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.CALLER)
        require_ready(self._backend)
        body = await read_struct(request, CompletionBody)
        if not 1 <= body.max_tokens <= MAX_TOKENS:
            raise invalid("max_tokens", f"must be from 1 to {MAX_TOKENS}")
        document = self._backend.documents.get(key.tenant)
        if document is None or body.model not in document.models:
            raise RequestError(NOT_FOUND, ErrorBody("not_found", f"no model {body.model!r}", "model"))
        generate = GenerateRequest(
            request_id=f"{self._backend.membership.self_member.instance_id}-{next(self._request_numbers)}",
            model=body.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            seed=body.seed,
        )
        fleet = group_name(key.tenant, document.models[body.model])
        seconds = read_deadline(self._backend, request)
        chunks = self._backend.live.complete(key.tenant, fleet, generate, seconds)
        if body.stream:
            return await _stream_response(generate, chunks)
        return await _collected_response(generate, chunks)

    async def _call_application(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.CALLER)
        require_ready(self._backend)
        application = group_name(key.tenant, request.path_params["application"])
        path = "/" + request.path_params["path"]
        if request.url.query:
            path = f"{path}?{request.url.query}"
        seconds = read_deadline(self._backend, request)
        body = await read_body(request)
        raw_key = request.headers.get(KEY_HEADER)
        if raw_key is not None:
            execute = self._execute_once(
                key.tenant, raw_key, application, request.method, path, body, seconds
            )
            return _outcome_response(await self._execute(execute))
        call = ApplicationRequest(f"call-{next(self._request_numbers)}", request.method, path, body)
        is_safe = request.method in SAFE_METHODS
        reply = await self._backend.live.call_without_key(key.tenant, application, call, is_safe, seconds)
        return Response(reply.body, reply.status, media_type="application/json")

    def _execute_once(
        self, tenant: str, raw_key: str, application: str, method: str, path: str, body: bytes, seconds: float
    ) -> ExecuteOnce:
        created_at_ms = key_time_ms(raw_key)
        if created_at_ms is None:
            raise invalid(KEY_HEADER, "must be a UUID of version 7 (RFC 9562)")
        now_ms = self._backend.wall_clock_ms()
        if created_at_ms > now_ms + MAX_CLOCK_SKEW_MS:
            raise invalid(KEY_HEADER, "its timestamp is in the future")
        if created_at_ms < now_ms - LEDGER_RETENTION_MS:
            raise invalid(KEY_HEADER, "is older than outcomes are retained; ask an operator whether it ran")
        canonical = canonical_key(tenant, raw_key)
        shard = f"ledger.{shard_of(canonical, self._backend.settings.num_ledger_shards)}"
        return ExecuteOnce(shard, canonical, application, method, path, body, seconds)

    async def _execute(self, request: ExecuteOnce) -> ExecutionOutcome:
        with self._backend.live.track_request():
            reply = await self._backend.call_owner(request, request.deadline_seconds + CALL_MARGIN_SECONDS)
        if not isinstance(reply, ExecuteReply):
            raise StepError("gateway.execute", request.shard, f"unexpected {type(reply).__name__}")
        return from_execute_reply(reply)


def _outcome_response(outcome: ExecutionOutcome) -> Response:
    """Return the HTTP response for the outcome of a keyed request."""
    match outcome:
        case Completed(status=status, body=body):
            return Response(body, status, media_type="application/json")
        case NotRun(step=step, peer=peer, reason=reason, retry_after_seconds=seconds):
            error_body = ErrorBody("not_run", reason, "", step, peer, seconds)
            return json_response(error_body, UNAVAILABLE, seconds)
        case OutcomeUnknown(step=step, peer=peer, reason=reason):
            return json_response(ErrorBody("unknown", reason, "", step, peer), BAD_GATEWAY)
        case KeyReused(reason=reason):
            return json_response(ErrorBody("conflict", reason, KEY_HEADER), CONFLICT)


async def _collected_response(
    request: GenerateRequest, chunks: AsyncGenerator[GenerationChunk, None]
) -> Response:
    recorder = SegmentRecorder()
    async with aclosing(chunks) as stream:
        async for chunk in stream:
            recorder.add_chunk(chunk)
    sample = recorder.sample()
    choice = Choice(0, "".join(sample.tokens), "stop")
    return json_response(_completion(request, choice, sample.segments))


async def _stream_response(
    request: GenerateRequest, chunks: AsyncGenerator[GenerationChunk, None]
) -> Response:
    """Return a response that streams a completion.

    A failure before the first chunk is raised here, so that it gets an ordinary error response.
    """
    first = await anext(chunks, None)

    async def events() -> AsyncIterator[dict[str, str]]:
        async with aclosing(chunks) as stream:
            if first is not None:
                yield {"data": _encode_event(request, first)}
            try:
                async for chunk in stream:
                    yield {"data": _encode_event(request, chunk)}
            except StepError as error:
                _, body = step_error_body(error)
                yield {"event": "error", "data": msgspec.json.encode(body).decode()}
                return
            yield {"data": SSE_DONE}

    return EventSourceResponse(events(), ping=3600)


def _encode_event(request: GenerateRequest, chunk: GenerationChunk) -> str:
    choice = Choice(0, "".join(chunk.tokens), "stop" if chunk.is_final else None)
    segment = SegmentReply(chunk.weight_version, chunk.start, chunk.start + len(chunk.tokens))
    return msgspec.json.encode(_completion(request, choice, (segment,))).decode()


def _completion(request: GenerateRequest, choice: Choice, segments: tuple[SegmentReply, ...]) -> Completion:
    return Completion(
        id=request.request_id,
        object="text_completion",
        created=int(time.time()),
        model=request.model,
        choices=(choice,),
        weight_versions=segments,
    )
