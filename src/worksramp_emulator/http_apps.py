"""HTTP servers for the emulated services, with the protocols that worksramp's clients use."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing

import anyio
import msgspec
import xxhash
from hypercorn.asyncio import serve
from hypercorn.config import Config
from sse_starlette.sse import EventSourceResponse
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from worksramp.backends.base import ApplicationRequest, GenerateRequest, LoadOrder, Machine
from worksramp.backends.http import NOT_STARTED_CODE, AppendReply, RefusalBody, ScoreReply, VersionReply
from worksramp.outcomes import InterruptedStepError, NotStartedError
from worksramp_emulator.engine import EngineCore
from worksramp_emulator.faults import Faults
from worksramp_emulator.platform import (
    ApplicationCore,
    LogCore,
    MachineListCore,
    ScorerCore,
    WeightStoreCore,
)

SERVICE_UNAVAILABLE = 503
NOT_MODIFIED = 304
BAD_REQUEST = 400
SSE_DONE = "[DONE]"

Handler = Callable[[Request], Awaitable[Response]]


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /faults``; faults whose field is missing do not change."""

    is_down: bool | None = None
    is_frozen: bool | None = None
    extra_seconds: float | None = None
    num_lost_replies: int | None = None


class ScoreBody(msgspec.Struct):
    """Body of a scoring request."""

    prompt: str
    completion: str


def _json_response(content: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(content), status, media_type="application/json")


def _with_error_responses(handler: Handler) -> Handler:
    """Return a handler that turns the errors of another one into error responses.

    A refusal is marked as not started; a lost reply and an invalid body have codes of their own.
    """

    async def answer(request: Request) -> Response:
        try:
            return await handler(request)
        except NotStartedError as error:
            body = RefusalBody(NOT_STARTED_CODE, error.reason, error.is_leaving)
            response = _json_response(body, SERVICE_UNAVAILABLE)
            if error.retry_after_seconds is not None:
                response.headers["retry-after"] = f"{error.retry_after_seconds:.0f}"
            return response
        except InterruptedStepError as error:
            return _json_response(RefusalBody("lost", error.reason), SERVICE_UNAVAILABLE)
        except msgspec.DecodeError as error:
            return _json_response(RefusalBody("invalid", str(error)), BAD_REQUEST)

    return answer


def _fault_route(faults: Faults) -> Route:
    async def set_faults(request: Request) -> Response:
        order = msgspec.json.decode(await request.body(), type=FaultOrder)
        for name in order.__struct_fields__:
            value = getattr(order, name)
            if value is not None:
                setattr(faults, name, value)
        return _json_response({"outcome": "accepted"})

    return Route("/faults", _with_error_responses(set_faults), methods=["POST"])


def log_app(core: LogCore) -> Starlette:
    """Return the HTTP application of the log."""

    async def append(request: Request) -> Response:
        offset = await core.append(request.path_params["stream"], await request.body())
        return _json_response(AppendReply(offset))

    async def read(request: Request) -> Response:
        query = request.query_params
        page = await core.read(
            request.path_params["stream"], int(query["start"]), int(query["max"]), float(query["wait"])
        )
        return _json_response(page)

    async def size(request: Request) -> Response:
        num_bytes = sum(len(record) for records in core.streams.values() for record in records)
        return _json_response({"num_bytes": num_bytes})

    path = "/v1/streams/{stream}/records"
    return Starlette(
        routes=[
            Route("/size", size, methods=["GET"]),
            Route(path, _with_error_responses(append), methods=["POST"]),
            Route(path, _with_error_responses(read), methods=["GET"]),
            _fault_route(core.faults),
        ]
    )


def engine_app(core: EngineCore) -> Starlette:
    """Return the HTTP application of an engine."""

    async def complete(request: Request) -> Response:
        generate = msgspec.json.decode(await request.body(), type=GenerateRequest)
        chunks = core.generate(generate)
        first = await anext(chunks, None)

        async def events() -> AsyncIterator[dict[str, str]]:
            async with aclosing(chunks) as stream:
                if first is not None:
                    yield {"data": msgspec.json.encode(first).decode()}
                async for chunk in stream:
                    yield {"data": msgspec.json.encode(chunk).decode()}
                yield {"data": SSE_DONE}

        return EventSourceResponse(events(), ping=3600)

    async def load(request: Request) -> Response:
        return _json_response(await core.report())

    async def order(request: Request) -> Response:
        return _json_response(
            await core.order_load(msgspec.json.decode(await request.body(), type=LoadOrder))
        )

    async def leave(request: Request) -> Response:
        core.leave()
        return _json_response({"outcome": "accepted"})

    async def token_runs(request: Request) -> Response:
        return _json_response(core.token_runs)

    return Starlette(
        routes=[
            Route("/v1/completions", _with_error_responses(complete), methods=["POST"]),
            Route("/v1/load", _with_error_responses(load), methods=["GET"]),
            Route("/v1/weights", _with_error_responses(order), methods=["POST"]),
            Route("/leave", leave, methods=["POST"]),
            Route("/token_runs", token_runs, methods=["GET"]),
            _fault_route(core.faults),
        ]
    )


def application_worker_app(core: ApplicationCore) -> Starlette:
    """Return the HTTP application of an application worker."""

    async def load(request: Request) -> Response:
        return _json_response(await core.report())

    async def runs(request: Request) -> Response:
        return _json_response(dict(core.runs))

    async def call(request: Request) -> Response:
        request_id = request.headers.get("x-request-id", "")
        call = ApplicationRequest(request_id, request.method, request.url.path, await request.body())
        reply = await core.call(call)
        return Response(reply.body, reply.status, media_type="application/json")

    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    return Starlette(
        routes=[
            Route("/v1/load", _with_error_responses(load), methods=["GET"]),
            Route("/runs", runs, methods=["GET"]),
            _fault_route(core.faults),
            Route("/{path:path}", _with_error_responses(call), methods=methods),
        ]
    )


def platform_app(store: WeightStoreCore, machine_list: MachineListCore, scorer: ScorerCore) -> Starlette:
    """Return the HTTP application of weight store, machine list and scorer, which share one address."""

    async def newest(request: Request) -> Response:
        return _json_response(VersionReply(await store.newest_version(request.path_params["model"])))

    async def publish(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=VersionReply)
        store.publish(request.path_params["model"], body.weight_version)
        return _json_response(body)

    async def machines(request: Request) -> Response:
        response = _json_response(await machine_list.machines())
        etag = f'"{xxhash.xxh64_hexdigest(bytes(response.body))}"'
        if request.headers.get("if-none-match") == etag:
            return Response(status_code=NOT_MODIFIED)
        response.headers["etag"] = etag
        return response

    async def set_machines(request: Request) -> Response:
        machine_list.set_machines(msgspec.json.decode(await request.body(), type=tuple[Machine, ...]))
        return _json_response({"outcome": "accepted"})

    async def score(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=ScoreBody)
        return _json_response(ScoreReply(await scorer.score("scorer", body.prompt, body.completion)))

    return Starlette(
        routes=[
            Route("/v1/models/{model}/newest", _with_error_responses(newest), methods=["GET"]),
            Route("/v1/models/{model}/newest", _with_error_responses(publish), methods=["PUT"]),
            Route("/v1/machines", _with_error_responses(machines), methods=["GET"]),
            Route("/v1/machines", _with_error_responses(set_machines), methods=["PUT"]),
            Route("/v1/score", _with_error_responses(score), methods=["POST"]),
        ]
    )


async def serve_app(application: Starlette, listen: str) -> None:
    """Serve an HTTP application on the address ``listen`` until cancelled."""
    config = Config()
    config.bind = [listen]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1.0
    await serve(application, config, shutdown_trigger=anyio.sleep_forever)  # type: ignore[arg-type]
