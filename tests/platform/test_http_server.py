"""The HTTP server of a node, on loopback, with applications of a few lines."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import pytest

from tests.platform.test_process import free_address
from worksramp.routing.table import CallerLimits
from worksramp.serving.asgi import Application, Receive, Response, Scope, Send, read_body, send_response
from worksramp.serving.connection_limits import ConnectionLimit
from worksramp.serving.server import HttpServer, Listener

LIMITS = CallerLimits(max_body_bytes=400_000, header_timeout_seconds=0.3, idle_timeout_seconds=0.6)
HANG_S = 20.0
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def echo(scope: Scope, receive: Receive, send: Send) -> None:
    body = await read_body(receive, LIMITS.max_body_bytes)
    await send_response(send, Response(200, [], scope["method"].encode() + b" %d" % len(body)))


async def refuse(scope: Scope, receive: Receive, send: Send) -> None:
    await send_response(send, Response(413, [], b"too large"))


async def fail(scope: Scope, receive: Receive, send: Send) -> None:
    raise ValueError("not this time")


@asynccontextmanager
async def serving(
    application: Application = echo, max_connections: int = 10, grace_s: float = 0.5
) -> AsyncIterator[tuple[str, ConnectionLimit, anyio.Event]]:
    address, limit, stop = free_address(), ConnectionLimit(max_connections), anyio.Event()
    server = HttpServer(application, [Listener(address, limit)], lambda: LIMITS)
    with anyio.fail_after(HANG_S):
        async with anyio.create_task_group() as group:
            group.start_soon(server.serve, stop, grace_s)
            await anyio.wait_all_tasks_blocked()
            yield address, limit, stop
            stop.set()


async def connect(address: str) -> anyio.abc.SocketStream:
    host, _, port = address.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def read_all(stream: anyio.abc.SocketStream) -> bytes:
    """Return what arrives until the connection ends."""
    data = b""
    try:
        while True:
            data += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return data


async def read_until(stream: anyio.abc.SocketStream, end: bytes) -> bytes:
    data = b""
    while not data.endswith(end):
        data += await stream.receive()
    return data


async def exchange(application: Application, sent: bytes) -> bytes:
    """Return all that a client receives that sends once and then reads until the connection ends."""
    async with serving(application) as (address, _, _), await connect(address) as stream:
        await stream.send(sent)
        return await read_all(stream)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    anyio.run(scenario)


def test_requests_on_one_connection_are_answered_in_turn_until_it_rests_too_long() -> None:
    sent = GET + b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + GET
    answers = anyio.run(exchange, echo, sent)
    assert answers.count(b"HTTP/1.1 200") == 3
    assert [answers.index(text) for text in (b"GET 0", b"POST 3")] == sorted(
        answers.index(text) for text in (b"GET 0", b"POST 3")
    )


def test_a_connection_is_used_again() -> None:
    async def main() -> None:
        async with serving() as (address, limit, _), await connect(address) as stream:
            for _ in range(3):
                await stream.send(GET)
                assert (await read_until(stream, b"GET 0")).startswith(b"HTTP/1.1 200")
            assert limit.num_connections == 1

    run(main)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"505"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX-Long: " + b"a" * 60_000, b"431"),
        (b"GET /a HTTP/1.1\r\nHost: h\r\n", b"408"),
    ],
    ids=["http_2", "no_host", "tls", "long_head", "slow_head"],
)
def test_what_is_no_request_is_refused(sent: bytes, status: bytes) -> None:
    answer = anyio.run(exchange, echo, sent)
    assert answer.startswith(b"HTTP/1.1 " + status) and answer.count(b"HTTP/1.1") == 1


def test_a_connection_without_a_request_ends_without_an_answer() -> None:
    assert anyio.run(exchange, echo, b"") == b""


@pytest.mark.parametrize("protocol", [b"h2c", b"websocket"])
def test_a_change_of_the_protocol_is_ignored(protocol: bytes) -> None:
    fields = b"Host: h\r\nConnection: upgrade, http2-settings\r\nHTTP2-Settings: AAMAAABk\r\nUpgrade: "
    answer = anyio.run(exchange, echo, b"GET /a HTTP/1.1\r\n" + fields + protocol + b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"GET 0")


def test_a_head_up_to_its_limit_is_read_also_in_pieces() -> None:
    async def main() -> None:
        async with serving() as (address, _, _), await connect(address) as stream:
            await stream.send(b"GET /a HTTP/1.1\r\nHost: h\r\nX-Long: ")
            for _ in range(16):
                await stream.send(b"a" * 1000)
                await anyio.sleep(0.001)
            await stream.send(b"\r\n\r\n")
            assert (await read_until(stream, b"GET 0")).startswith(b"HTTP/1.1 200")

    run(main)


def test_a_body_is_asked_for_once_it_is_wanted() -> None:
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"

    async def main() -> None:
        async with serving() as (address, _, _), await connect(address) as stream:
            await stream.send(head)
            assert (await stream.receive()).startswith(b"HTTP/1.1 100")
            await stream.send(b"abc")
            assert (await read_until(stream, b"POST 3")).startswith(b"HTTP/1.1 200")

    run(main)
    refused = anyio.run(exchange, refuse, head)
    assert refused.startswith(b"HTTP/1.1 413") and b" 100 " not in refused


def test_a_refusal_reaches_a_sender_that_reads_at_its_end() -> None:
    body_b = LIMITS.max_body_bytes - 1
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % body_b
    answer = anyio.run(exchange, refuse, head + bytes(body_b))
    assert answer.startswith(b"HTTP/1.1 413") and answer.endswith(b"too large")
    assert b"connection: close" in answer.lower()


def test_parts_of_one_byte_are_joined() -> None:
    sizes: list[int] = []

    async def note_sizes(scope: Scope, receive: Receive, send: Send) -> None:
        has_more = True
        while has_more:
            message = await receive()
            sizes.append(len(message["body"]))
            has_more = message["more_body"]
        await send_response(send, Response(200, []))

    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer = anyio.run(exchange, note_sizes, head + b"1\r\na\r\n" * 5000 + b"0\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200")
    assert sum(sizes) == 5000 and len(sizes) < 50


def test_an_error_of_the_application_ends_its_connection_alone() -> None:
    async def main() -> None:
        async with serving(fail) as (address, _, _):
            for _ in range(2):
                async with await connect(address) as stream:
                    await stream.send(GET)
                    assert (await read_all(stream)).startswith(b"HTTP/1.1 500")

    run(main)


def test_an_answer_to_head_has_no_body() -> None:
    answer = anyio.run(exchange, echo, b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert answer.endswith(b"\r\n\r\n") and b"content-length: 6" in answer.lower()


def test_an_application_hears_that_its_caller_has_gone() -> None:
    gone = anyio.Event()

    async def wait(scope: Scope, receive: Receive, send: Send) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        gone.set()

    async def main() -> None:
        async with serving(wait) as (address, limit, _):
            async with await connect(address) as stream:
                await stream.send(GET)
                await anyio.sleep(0.05)
            await gone.wait()
            while limit.num_connections:
                await anyio.sleep(0.01)

    run(main)


def test_a_full_server_ends_the_connection_that_rests_for_longest() -> None:
    async def main() -> None:
        async with serving(max_connections=2) as (address, limit, _):
            async with await connect(address) as first, await connect(address) as second:
                for stream in (first, second):
                    await stream.send(GET)
                    await read_until(stream, b"GET 0")
                async with await connect(address) as third:
                    await third.send(GET)
                    await read_until(third, b"GET 0")
                    assert await read_all(first) == b""
                    await second.send(GET)
                    assert (await read_until(second, b"GET 0")).startswith(b"HTTP/1.1 200")
            assert (limit.num_displaced, limit.num_refused) == (1, 0)

    run(main)


def test_a_stop_ends_connections_that_rest_and_awaits_answers() -> None:
    has_begun, may_answer = anyio.Event(), anyio.Event()

    async def answer_later(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["path"] == "/late":
            has_begun.set()
            await may_answer.wait()
        await send_response(send, Response(200, [], b"done"))

    async def main() -> None:
        async with (
            serving(answer_later, grace_s=HANG_S) as (address, _, stop),
            await connect(address) as resting,
            await connect(address) as working,
        ):
            await resting.send(GET)
            await read_until(resting, b"done")
            await working.send(GET.replace(b"/a", b"/late"))
            await has_begun.wait()
            stop.set()
            assert await read_all(resting) == b""
            may_answer.set()
            answer = await read_all(working)
            assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"done")
            assert b"connection: close" in answer.lower()

    run(main)
