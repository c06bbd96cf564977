"""HTTP in front of the stand-ins, each behind the protocol that worksramp's clients speak."""

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
    """Body of ``POST /faults``; fields left out stay as they are."""

    is_down: bool | None = None
    is_frozen: bool | None = None
    extra_seconds: float | None = None
    num_lost_replies: int | None = None


class ScoreBody(msgspec.Struct):
    """Body of a scoring request."""

    prompt: str
    completion: str


def _json(content: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(content), status, media_type="application/json")


def _guarded(handler: Handler) -> Handler:
    """Answer a refusal as marked, and drop the connection where a reply is lost."""

    async def answer(request: Request) -> Response:
        try:
            return await handler(request)
        except NotStartedError as error:
            body = RefusalBody(NOT_STARTED_CODE, error.reason, error.is_leaving)
            response = _json(body, SERVICE_UNAVAILABLE)
            if error.retry_after_seconds is not None:
                response.headers["retry-after"] = f"{error.retry_after_seconds:.0f}"
            return response
        except InterruptedStepError as error:
            return _json(RefusalBody("lost", error.reason), SERVICE_UNAVAILABLE)
        except msgspec.DecodeError as error:
            return _json(RefusalBody("invalid", str(error)), BAD_REQUEST)

    return answer


def _fault_route(faults: Faults) -> Route:
    async def set_faults(request: Request) -> Response:
        order = msgspec.json.decode(await request.body(), type=FaultOrder)
        for name in order.__struct_fields__:
            value = getattr(order, name)
            if value is not None:
                setattr(faults, name, value)
        return _json({"outcome": "accepted"})

    return Route("/faults", _guarded(set_faults), methods=["POST"])


def log_application(core: LogCore) -> Starlette:
    """Return the log service."""

    async def append(request: Request) -> Response:
        offset = await core.append(request.path_params["stream"], await request.body())
        return _json(AppendReply(offset))

    async def read(request: Request) -> Response:
        query = request.query_params
        page = await core.read(
            request.path_params["stream"], int(query["start"]), int(query["max"]), float(query["wait"])
        )
        return _json(page)

    async def size(request: Request) -> Response:
        num_bytes = sum(len(record) for records in core.streams.values() for record in records)
        return _json({"num_bytes": num_bytes})

    path = "/v1/streams/{stream}/records"
    return Starlette(
        routes=[
            Route("/size", size, methods=["GET"]),
            Route(path, _guarded(append), methods=["POST"]),
            Route(path, _guarded(read), methods=["GET"]),
            _fault_route(core.faults),
        ]
    )


def engine_application(core: EngineCore) -> Starlette:
    """Return an engine."""

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
        return _json(await core.report())

    async def order(request: Request) -> Response:
        return _json(await core.order_load(msgspec.json.decode(await request.body(), type=LoadOrder)))

    async def leave(request: Request) -> Response:
        core.leave()
        return _json({"outcome": "accepted"})

    async def token_runs(request: Request) -> Response:
        return _json(core.token_runs)

    return Starlette(
        routes=[
            Route("/v1/completions", _guarded(complete), methods=["POST"]),
            Route("/v1/load", _guarded(load), methods=["GET"]),
            Route("/v1/weights", _guarded(order), methods=["POST"]),
            Route("/leave", leave, methods=["POST"]),
            Route("/token_runs", token_runs, methods=["GET"]),
            _fault_route(core.faults),
        ]
    )


def application_application(core: ApplicationCore) -> Starlette:
    """Return an application worker."""

    async def load(request: Request) -> Response:
        return _json(await core.report())

    async def runs(request: Request) -> Response:
        return _json(dict(core.runs))

    async def call(request: Request) -> Response:
        request_id = request.headers.get("x-request-id", "")
        call = ApplicationRequest(request_id, request.method, request.url.path, await request.body())
        reply = await core.call(call)
        return Response(reply.body, reply.status, media_type="application/json")

    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    return Starlette(
        routes=[
            Route("/v1/load", _guarded(load), methods=["GET"]),
            Route("/runs", runs, methods=["GET"]),
            _fault_route(core.faults),
            Route("/{path:path}", _guarded(call), methods=methods),
        ]
    )


def platform_application(
    store: WeightStoreCore, machine_list: MachineListCore, scorer: ScorerCore
) -> Starlette:
    """Return weight store, machine list and scoring service on one address."""

    async def newest(request: Request) -> Response:
        return _json(VersionReply(await store.newest_version(request.path_params["model"])))

    async def publish(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=VersionReply)
        store.publish(request.path_params["model"], body.weight_version)
        return _json(body)

    async def machines(request: Request) -> Response:
        response = _json(await machine_list.machines())
        etag = f'"{xxhash.xxh64_hexdigest(bytes(response.body))}"'
        if request.headers.get("if-none-match") == etag:
            return Response(status_code=NOT_MODIFIED)
        response.headers["etag"] = etag
        return response

    async def set_machines(request: Request) -> Response:
        machine_list.set_machines(msgspec.json.decode(await request.body(), type=tuple[Machine, ...]))
        return _json({"outcome": "accepted"})

    async def score(request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=ScoreBody)
        return _json(ScoreReply(await scorer.score("scorer", body.prompt, body.completion)))

    return Starlette(
        routes=[
            Route("/v1/models/{model}/newest", _guarded(newest), methods=["GET"]),
            Route("/v1/models/{model}/newest", _guarded(publish), methods=["PUT"]),
            Route("/v1/machines", _guarded(machines), methods=["GET"]),
            Route("/v1/machines", _guarded(set_machines), methods=["PUT"]),
            Route("/v1/score", _guarded(score), methods=["POST"]),
        ]
    )


async def serve_application(application: Starlette, listen: str) -> None:
    """Serve until cancelled."""
    config = Config()
    config.bind = [listen]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1.0
    await serve(application, config, shutdown_trigger=anyio.sleep_forever)  # type: ignore[arg-type]
