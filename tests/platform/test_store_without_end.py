"""A store, or a platform's interface, that sends without an end, over sockets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import anyio.abc
import pytest
from worksramp_platform import duties, store
from worksramp_platform.http_calls import CallTimeouts, CompleteHttpResponse, HttpClient, Target

from worksramp.connections.errors import CallError
from worksramp.coordination.shared_log import (
    KeyedRecord,
    LogLimits,
    LogUnavailableError,
    OutcomeOpen,
    Partition,
)
from worksramp.duties.port import DutyHolder, DutyOpen

HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS_BODY = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK_B = 64 * 1024
CHUNK = b"%x\r\n%s\r\n" % (CHUNK_B, b"x" * CHUNK_B)
#: More than any limit, and little enough for a test.
FLOOD_PARTS = 1000
#: All that the two ends of a connection hold in their sockets' buffers, and more.
SOCKET_BUFFERS_B = 32 * 1024 * 1024
TIMEOUTS = CallTimeouts(0.05, 0.2, 0.2)
PARTITION = Partition("keyed.t", 0)


@dataclass
class EndlessServer:
    """Answers each request with a start, and then with one part again and again.

    Attributes:
        pause_s: before each part, in seconds.
        num_parts: parts after which the answer ends, None for no end.
        num_sent_b: bytes sent.
    """

    start: bytes
    part: bytes
    pause_s: float = 0.0
    num_parts: int | None = None
    num_sent_b: int = 0

    async def answer(self, stream: anyio.abc.SocketStream) -> None:
        try:
            async with stream:
                await stream.receive()
                await self._send(stream, self.start)
                num_left = self.num_parts
                while num_left is None or num_left > 0:
                    await anyio.sleep(self.pause_s)
                    await self._send(stream, self.part)
                    num_left = None if num_left is None else num_left - 1
                await anyio.sleep_forever()
        except (anyio.BrokenResourceError, anyio.EndOfStream):
            return

    async def _send(self, stream: anyio.abc.SocketStream, data: bytes) -> None:
        await stream.send(data)
        self.num_sent_b += len(data)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[str]:
        """Listen, and yield the address."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self.answer)
            yield f"127.0.0.1:{port}"
            group.cancel_scope.cancel()


def call(
    server: EndlessServer, timeouts: CallTimeouts = TIMEOUTS, **limits: int
) -> CompleteHttpResponse | CallError:
    """Return the response to a call, or the error that ended it."""

    async def main() -> CompleteHttpResponse | CallError:
        async with server.running() as address:
            client = HttpClient(1, 1, 1.0)
            target = Target(address, b"/")
            with anyio.move_on_after(8.0):
                try:
                    return await client.call("GET", target, [(b"host", b"h")], b"", timeouts, **limits)
                except CallError as error:
                    return error
        raise AssertionError("the call had no end")

    return anyio.run(main)


@pytest.mark.parametrize(
    "start, part",
    [
        (ENDLESS_BODY, b"1\r\nx\r\n"),
        (HEAD + b"Content-Length: 1000000\r\n\r\n", b"x"),
        (HEAD, b"X-A: b\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ],
    ids=["chunks", "length", "head", "interim answers"],
)
def test_a_call_to_a_peer_that_trickles_without_an_end_ends(start: bytes, part: bytes) -> None:
    # Only each read had a time limit, so any byte put off the end of the call.
    assert isinstance(call(EndlessServer(start, part, pause_s=0.02)), CallError)


def test_interim_answers_without_an_end_and_without_a_pause_end_a_call() -> None:
    assert isinstance(call(EndlessServer(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100)), CallError)


def test_a_body_over_the_limit_ends_a_call() -> None:
    # The whole body was held, whatever its size.
    server = EndlessServer(ENDLESS_BODY, CHUNK, num_parts=FLOOD_PARTS)
    outcome = call(server, CallTimeouts(1.0, 5.0, 5.0), max_body_b=1_000_000)
    assert isinstance(outcome, CallError) and "over 1000000 bytes" in str(outcome)
    assert server.num_sent_b < SOCKET_BUFFERS_B


def test_a_large_body_may_take_longer_than_a_small_one() -> None:
    # The time is that of a body at the lowest pace: a busy store sends a large page slowly, and must be read.
    body_b = 64 * 8192
    server = EndlessServer(HEAD + b"Content-Length: %d\r\n\r\n" % body_b, b"x" * 8192, 0.02, num_parts=64)
    response = call(server, CallTimeouts(0.05, 0.4, 0.4), max_body_b=body_b)
    assert isinstance(response, CompleteHttpResponse) and len(response.body) == body_b


@pytest.mark.parametrize("part", [CHUNK, b"1\r\nx\r\n"], ids=["flood", "trickle"])
def test_calls_to_a_store_and_of_duties_end_whatever_it_sends(
    part: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    for module, name in ((store, "READ_TIMEOUT_S"), (store, "APPEND_TIMEOUT_S"), (duties, "CALL_TIMEOUT_S")):
        monkeypatch.setattr(module, name, 0.3)
    monkeypatch.setattr(store, "CONNECT_TIMEOUT_S", 0.1)
    monkeypatch.setattr(duties, "CONNECT_TIMEOUT_S", 0.1)
    is_flood = part is CHUNK
    server = EndlessServer(
        ENDLESS_BODY, part, 0.0 if is_flood else 0.05, num_parts=FLOOD_PARTS if is_flood else None
    )

    async def main() -> list[str]:
        ended: list[str] = []
        async with server.running() as address:
            log, duty_port = store.StoreLog(address, LogLimits()), duties.PlatformDuties(address)

            async def read() -> None:
                with pytest.raises(LogUnavailableError):
                    await log.read(PARTITION, 0, 0.0)
                ended.append("read")

            async def newest() -> None:
                with pytest.raises(LogUnavailableError):
                    await log.newest(PARTITION, None)
                ended.append("newest")

            async def append() -> None:
                assert isinstance(await log.append(PARTITION, (KeyedRecord("k", b"v"),)), OutcomeOpen)
                ended.append("append")

            async def report() -> None:
                assert isinstance(await duty_port.report_usage(DutyHolder("n", 1), 1, {}), DutyOpen)
                ended.append("report")

            with anyio.move_on_after(8.0):
                async with anyio.create_task_group() as group:
                    for call_once in (read, newest, append, report):
                        group.start_soon(call_once)
        return ended

    assert sorted(anyio.run(main)) == ["append", "newest", "read", "report"]
    assert server.num_sent_b < 4 * SOCKET_BUFFERS_B
