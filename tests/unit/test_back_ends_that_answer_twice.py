"""Back ends of the gateway role that answer twice: no second answer is taken for that of the next call."""

import anyio
import anyio.abc
import httpx
import pytest

from worksramp.backends.base import ApplicationRequest
from worksramp.backends.http import HttpApplicationClient, HttpEngineClient, HttpScorerClient

HEAD_END = b"\r\n\r\n"
NUM_CALLS = 4


class TwiceAnswering:
    """Answers each call twice in one write, with the number of the call in the body."""

    def __init__(self, body: str) -> None:
        self._body = body
        self._num_calls = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        received = b""
        async with stream:
            async for data in stream:
                received += data
                while HEAD_END in received:
                    head, _, received = received.partition(HEAD_END)
                    length = int((head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]) or b"0")
                    while len(received) < length:
                        received += await stream.receive()
                    received = received[length:]
                    await stream.send(self._answer() * 2)

    def _answer(self) -> bytes:
        self._num_calls += 1
        body = (self._body % self._num_calls).encode()
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


async def _application(client: httpx.AsyncClient, address: str) -> float:
    reply = await HttpApplicationClient(client).call(address, ApplicationRequest("r", "POST", "/x", b"x"))
    return float(reply.body)


async def _scorer(client: httpx.AsyncClient, address: str) -> float:
    return await HttpScorerClient(client).score(address, "p", "c")


async def _engine_report(client: httpx.AsyncClient, address: str) -> float:
    return (await HttpEngineClient(client).report(address)).weight_version


REPORT = '{"worker_id": "w", "weight_version": %d}'


@pytest.mark.parametrize(
    ("body", "ask"), [("%d", _application), ('{"reward": %d}', _scorer), (REPORT, _engine_report)]
)
def test_each_call_gets_its_own_answer(body, ask) -> None:  # type: ignore[no-untyped-def]
    async def main() -> list[float]:
        server = TwiceAnswering(body)
        async with (
            await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
            anyio.create_task_group() as group,
            httpx.AsyncClient(trust_env=False) as client,
        ):
            group.start_soon(listener.serve, server.serve)
            address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
            answers = [await ask(client, address) for _ in range(NUM_CALLS)]
            group.cancel_scope.cancel()
        return answers

    assert anyio.run(main) == list(range(1, NUM_CALLS + 1))
