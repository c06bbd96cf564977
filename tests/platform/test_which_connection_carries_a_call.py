"""Which calls share a connection to a worker: those whose answers can be told from each other."""

from dataclasses import replace

import anyio
import anyio.abc
from worksramp_platform.workers import PlatformWorkers

from tests.platform.served_worker import status_of
from tests.platform.stuttering_worker import stuttering_worker
from tests.unit.test_connection_pool import FakeStream, FakeWorker, ask, call, pool_of
from worksramp.connections.answers import Call
from worksramp.connections.connection import MAX_CALLS_PER_CONNECTION
from worksramp.connections.pool import ConnectionPool


async def ask_by(pool: ConnectionPool, asked: Call) -> str:
    async with pool.call(asked) as answer:
        async for _ in answer.body:
            pass
        return answer.connection


def test_a_call_that_takes_an_answer_without_an_id_goes_on_an_unused_connection() -> None:
    # Any former call of the connection may have caused an answer without an id.
    async def main() -> list[str]:
        pool = pool_of(FakeWorker())
        return [await ask(pool, b"a"), await ask_by(pool, replace(call(b"b"), may_be_unnamed=True))]

    assert anyio.run(main) == ["1/1", "2/1"]


def test_a_call_whose_answer_has_no_body_shares_no_connection() -> None:
    # A surplus answer with a body would be cut behind its head there.
    async def main() -> list[str]:
        pool = pool_of(FakeWorker())
        head = replace(call(b"b"), method="HEAD")
        return [await ask(pool, b"a"), await ask_by(pool, head), await ask(pool, b"c"), await ask(pool, b"d")]

    assert anyio.run(main) == ["1/1", "2/1", "1/2", "1/3"]


def test_a_connection_remembers_a_bounded_number_of_ids() -> None:
    # Each connection keeps the ids that it has carried.
    async def main() -> str:
        pool = pool_of(FakeWorker())
        labels = [await ask(pool, b"%d" % number) for number in range(MAX_CALLS_PER_CONNECTION + 1)]
        return labels[-1]

    assert anyio.run(main) == "2/1"


class NoisyWorker(FakeWorker):
    """Sends bytes that are no answer in one piece with each answer."""

    async def connect(self, address: str) -> anyio.abc.ByteStream:
        await super().connect(address)
        return NoisyStream(self)


class NoisyStream(FakeStream):
    async def send(self, item: bytes) -> None:
        await super().send(item)
        self._answers[-1] += b"\0noise"


def test_noise_that_came_together_with_an_answer_costs_no_call() -> None:
    # It stays in the parser, where a look at the socket shows nothing.
    async def main() -> list[str]:
        pool = pool_of(NoisyWorker())
        return [await ask(pool, b"a"), await ask(pool, b"b")]

    assert anyio.run(main) == ["1/1", "2/1"]


def test_a_later_start_of_a_worker_gets_connections_of_its_own() -> None:
    # What an earlier start left on its connections answers nothing that a later one was asked.
    async def main() -> list[int]:
        async with stuttering_worker() as worker:
            workers = PlatformWorkers()
            for started_ms in (1, 2):
                await status_of(workers, replace(worker.entry, started_ms=started_ms), f"id-{started_ms}")
            return [run.connection for run in worker.runs]

    assert anyio.run(main) == [1, 2]
