"""Bodies sent to the gateway role, whose number and sum nothing bounded: each may have 4 MB."""

import anyio
import httpx
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from tests.platform import crowd
from tests.platform.crowd import Crowd
from tests.platform.test_http_server import HANG_S
from tests.platform.test_process import free_address
from worksramp.gateway.body_room import BodyRoom
from worksramp.gateway.http import MAX_BODY_BYTES, read_body, with_error_responses
from worksramp.routing.table import CallerLimits
from worksramp.serving.connection_limits import ConnectionLimit
from worksramp.serving.request_memory import ByteBudget, RequestMemory
from worksramp.serving.server import HttpServer, Listener

BODY_B = 100_000
ROOM_B = 350_000


async def answer(request: Request) -> PlainTextResponse:
    return PlainTextResponse(str(len(await read_body(request))))


def application_with(memory: RequestMemory) -> Starlette:
    return Starlette(
        routes=[Route("/checks/{name}", with_error_responses(answer), methods=["POST"])],
        middleware=[Middleware(BodyRoom, memory=memory)],
    )


async def ask(address: str, body: bytes) -> httpx.Response:
    async with httpx.AsyncClient(timeout=HANG_S) as client:
        return await client.post(f"http://{address}/checks/1", content=body)


def test_bodies_that_stop_short_of_their_end_leave_room_for_ordinary_callers() -> None:
    memory = RequestMemory(ByteBudget(ROOM_B))

    async def main() -> None:
        address, stop = free_address(), anyio.Event()
        limits = CallerLimits(max_body_bytes=MAX_BODY_BYTES)
        listener = Listener(address, ConnectionLimit(50))
        server = HttpServer(application_with(memory), [listener], lambda: limits)
        async with anyio.create_task_group() as group:
            group.start_soon(server.serve, stop, 0.1)
            await anyio.wait_all_tasks_blocked()
            stalling = Crowd(address, crowd.announced("h", BODY_B, BODY_B - 1))
            with anyio.fail_after(HANG_S):
                await stalling.come(20)
                assert memory.budget.used_b <= ROOM_B
                served = await ask(address, bytes(BODY_B))
                assert (served.status_code, served.text) == (200, str(BODY_B))
            stalling.leave()
            with anyio.fail_after(HANG_S):
                while memory.budget.used_b:
                    await anyio.sleep(0.01)
                assert (await ask(address, bytes(MAX_BODY_BYTES))).status_code == 200
                assert (await ask(address, bytes(MAX_BODY_BYTES + 1))).status_code == 413
            stop.set()

    anyio.run(main)
    assert memory.num_refused


def test_a_body_without_room_is_refused_as_not_run() -> None:
    memory = RequestMemory(ByteBudget(ROOM_B))

    async def main() -> None:
        transport = httpx.ASGITransport(app=application_with(memory))
        async with httpx.AsyncClient(transport=transport, base_url="http://h") as client:
            with memory.hold() as other:
                await other.reserve(ROOM_B)
                refused = await client.post("/checks/1", content=bytes(BODY_B))
        assert refused.status_code == 503 and refused.headers["retry-after"]
        assert refused.json()["outcome"] == "not_run"

    anyio.run(main)
