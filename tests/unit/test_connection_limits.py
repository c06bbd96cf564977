"""How many connections to a worker the pool keeps, for how long, and which calls they cost."""

from contextlib import AsyncExitStack
from dataclasses import replace

import anyio
import anyio.abc

from tests.unit.test_connection_pool import LIMITS, FakeStream, FakeWorker, ask, call
from worksramp.connections.pool import ConnectionPool, PoolCounters, PoolLimits

NUM_BUSY = 12
NUM_REPEATS = 16


class UnnamedWorker(FakeWorker):
    """Answers calls without naming them if their id begins with "report"."""

    async def connect(self, address: str) -> anyio.abc.ByteStream:
        await super().connect(address)
        return UnnamedStream(self)


class UnnamedStream(FakeStream):
    async def send(self, item: bytes) -> None:
        await super().send(item)
        if b"x-id: report" in item:
            self._answers[-1] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


def pool_of(worker: FakeWorker, limits: PoolLimits, counters: PoolCounters) -> ConnectionPool:
    return ConnectionPool("127.0.0.1:1", b"x-id", limits, counters, worker.connect)


async def use_at_once(pool: ConnectionPool, prefix: str) -> None:
    async with AsyncExitStack() as stack:
        for number in range(NUM_BUSY):
            answered = await stack.enter_async_context(pool.call(call(f"{prefix}-{number}".encode())))
            async for _ in answered.body:
                pass


def test_a_connection_that_rested_too_long_carries_no_call() -> None:
    # The far end may be gone without a sign; a call that is sent there may have run, one that is not has not.
    async def main() -> str:
        pool = pool_of(FakeWorker(), replace(LIMITS, idle_s=0.0), PoolCounters())
        await ask(pool, b"a")
        await anyio.sleep(0.001)
        return await ask(pool, b"b")

    assert anyio.run(main) == "2/1"


def test_calls_that_need_connections_of_their_own_leave_the_kept_ones() -> None:
    # Each report closed a connection that requests could use, and the next requests opened it again.
    counters = PoolCounters()

    async def main() -> int:
        pool = pool_of(UnnamedWorker(), replace(LIMITS, max_connections=NUM_BUSY + 1), counters)
        await use_at_once(pool, "a")
        for number in range(NUM_BUSY):
            name = f"report-{number}".encode()
            async with pool.call(replace(call(name), may_be_unnamed=True)) as answered:
                assert not answered.is_named
        num_opened = counters.num_opened
        await use_at_once(pool, "b")
        return counters.num_opened - num_opened

    assert anyio.run(main) == 0


def test_one_call_that_is_repeated_stays_within_the_limit_of_open_connections() -> None:
    # An item that a full worker refuses again and again held more connections than the pool may open.
    worker = FakeWorker()

    async def main() -> None:
        pool = pool_of(worker, LIMITS, PoolCounters())
        for _ in range(NUM_REPEATS):
            await ask(pool, b"a")

    anyio.run(main)
    assert worker.max_open <= LIMITS.max_connections
