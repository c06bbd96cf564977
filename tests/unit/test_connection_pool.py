"""Connections to a worker: none is left open, and one call that is repeated does not collect them."""

from contextlib import AsyncExitStack

import anyio
import anyio.abc
import pytest
import trio.testing

from worksramp.connections.answers import Call
from worksramp.connections.errors import CallError, NoConnectionError
from worksramp.connections.pool import ConnectionPool, PoolCounters, PoolLimits

LIMITS = PoolLimits(max_connections=3, connect_timeout_s=0.05, idle_s=10.0, send_timeout_ms=1000)
NUM_REPEATS = 40


class FakeWorker:
    """Opens connections that answer each call at once, unless it is silent; counts the open ones."""

    def __init__(self) -> None:
        self.is_silent = False
        self.headers = b""
        self.num_open = 0
        self.max_open = 0

    async def connect(self, address: str) -> anyio.abc.ByteStream:
        self.num_open += 1
        self.max_open = max(self.max_open, self.num_open)
        return FakeStream(self)


class FakeStream(anyio.abc.ByteStream):
    def __init__(self, worker: FakeWorker) -> None:
        self._worker = worker
        self._answers: list[bytes] = []
        self._is_open = True

    async def send(self, item: bytes) -> None:
        name = item.partition(b"x-id: ")[2].partition(b"\r\n")[0]
        self._answers.append(
            b"HTTP/1.1 200 OK\r\nx-id: %s\r\n%scontent-length: 0\r\n\r\n" % (name, self._worker.headers)
        )

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if self._worker.is_silent:
            await anyio.sleep_forever()
        if not self._answers:
            raise anyio.EndOfStream
        return self._answers.pop(0)

    async def send_eof(self) -> None:
        pass

    async def aclose(self) -> None:
        self._worker.num_open -= self._is_open
        self._is_open = False


def call(call_id: bytes) -> Call:
    return Call(call_id, "GET", b"/", [(b"host", b"h"), (b"x-id", call_id)], b"")


def pool_of(worker: FakeWorker) -> ConnectionPool:
    return ConnectionPool("127.0.0.1:1", b"x-id", LIMITS, PoolCounters(), worker.connect)


async def ask(pool: ConnectionPool, call_id: bytes) -> str:
    async with pool.call(call(call_id)) as answer:
        async for _ in answer.body:
            pass
        return answer.connection


def test_an_id_that_is_sent_again_goes_on_another_connection() -> None:
    async def main() -> list[str]:
        pool = pool_of(FakeWorker())
        return [await ask(pool, call_id) for call_id in (b"a", b"b", b"a", b"b", b"c")]

    assert anyio.run(main) == ["1/1", "1/2", "2/1", "2/2", "2/3"]


def test_a_call_that_is_repeated_does_not_collect_connections() -> None:
    worker = FakeWorker()

    async def main() -> None:
        pool = pool_of(worker)
        for _ in range(NUM_REPEATS):
            await ask(pool, b"a")
        await pool.aclose()

    anyio.run(main)
    assert worker.max_open == 1
    assert worker.num_open == 0


def test_a_cancelled_call_leaves_no_connection_and_no_slot_behind() -> None:
    worker = FakeWorker()

    async def main() -> None:
        pool = pool_of(worker)
        worker.is_silent = True
        for number in range(2 * LIMITS.max_connections):
            with anyio.move_on_after(0.001):
                await ask(pool, b"%d" % number)
        assert worker.num_open == 0
        worker.is_silent = False
        assert await ask(pool, b"x")

    anyio.run(main)


def test_a_call_beyond_the_limit_is_not_sent() -> None:
    async def main() -> None:
        pool = pool_of(FakeWorker())
        async with AsyncExitStack() as stack:
            for number in range(LIMITS.max_connections):
                await stack.enter_async_context(pool.call(call(b"%d" % number)))
            with pytest.raises(NoConnectionError):
                await ask(pool, b"x")
        assert await ask(pool, b"x")

    anyio.run(main)


def test_connections_of_a_closed_pool_are_closed_after_their_calls() -> None:
    worker = FakeWorker()

    async def main() -> None:
        pool = pool_of(worker)
        await ask(pool, b"a")
        async with pool.call(call(b"b")):
            await pool.aclose()
        assert worker.num_open == 0

    anyio.run(main)


def test_a_connection_that_broke_is_not_used_again() -> None:
    worker = FakeWorker()

    async def main() -> None:
        pool = pool_of(worker)
        with pytest.raises(CallError):
            async with pool.call(call(b"a")):
                raise CallError("the answer is of no use")
        assert worker.num_open == 0

    anyio.run(main)


@pytest.mark.parametrize(
    ("headers", "idle_s", "connection"),
    [
        (b"", 9.0, "1/2"),
        (b"", 10.5, "2/1"),
        (b"Keep-Alive: timeout=5\r\n", 4.0, "1/2"),
        (b"keep-alive: max=3, timeout=5\r\n", 4.8, "2/1"),
        (b"Keep-Alive: timeout=99\r\n", 10.5, "2/1"),
    ],
)
def test_a_connection_that_its_worker_is_about_to_close_carries_no_call(
    headers: bytes, idle_s: float, connection: str
) -> None:
    worker = FakeWorker()
    worker.headers = headers

    async def main() -> str:
        pool = pool_of(worker)
        await ask(pool, b"a")
        await anyio.sleep(idle_s)
        return await ask(pool, b"b")

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert anyio.run(main, backend="trio", backend_options={"clock": clock}) == connection
    assert worker.num_open == 1
