"""Connections on which requests are sent again, are answered early, or get an answer that is of no use."""

from dataclasses import dataclass, field

import anyio
import anyio.abc
import pytest
from worksramp_platform import names
from worksramp_platform.workers import PlatformWorkers

from tests.platform.marked_sends import Verdict, World
from tests.platform.served_worker import id_in, listening, status_of
from tests.platform.stuttering_worker import Turn, stuttering_worker
from tests.platform.test_answers_that_come_twice import FULL

LONG_BODY = b"b" * 8_000_000


@dataclass
class EarlyWorker:
    """Answers each request at its first bytes, reads on later, and keeps what each connection has read."""

    received: list[bytes] = field(default_factory=list)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection to its end."""
        number = len(self.received)
        self.received.append(b"")
        async with stream:
            try:
                data = await stream.receive()
                call_id = id_in(data)
                lines = [b"HTTP/1.1 500 x", names.ATTEMPT_ID + b": " + call_id, b"content-length: 0"]
                await stream.send(b"\r\n".join([*lines, b"", b""]))
                while True:
                    self.received[number] += data
                    data = await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass


def test_a_worker_that_answers_before_a_long_body_gets_the_whole_body_and_nothing_else_in_it() -> None:
    # The next call must not begin where the rest of the body is due.
    early = EarlyWorker()

    async def main() -> None:
        async with listening(early.serve) as entry, anyio.create_task_group() as group:
            workers = PlatformWorkers()
            assert await status_of(workers, entry, "id-1", LONG_BODY) == 500
            group.start_soon(status_of, workers, entry, "id-2")
            with anyio.fail_after(10.0):
                while not any(b"id-2" in data for data in early.received):
                    await anyio.sleep(0.001)
            group.cancel_scope.cancel()

    anyio.run(main)
    body = early.received[0].partition(b"\r\n\r\n")[2]
    assert body[: len(LONG_BODY)] == LONG_BODY


@pytest.mark.parametrize("kind", ["port", "item", "scoring"])
def test_a_full_worker_that_is_asked_again_and_again_costs_few_connections(kind: str) -> None:
    # An id needs a connection of its own each time; many ids share the same ones.
    num_ids, num_rounds = 20, 6

    async def main() -> tuple[set[Verdict], int]:
        async with stuttering_worker() as worker:
            world = World(worker)
            verdicts = set()
            for _ in range(num_rounds):
                for number in range(num_ids):
                    verdicts.add((await world.send(kind, f"id-{number}", Turn(FULL)))[0])
            return verdicts, world.workers.counters.num_opened

    verdicts, num_opened = anyio.run(main)
    assert verdicts == {Verdict.OWN}
    assert num_opened <= num_rounds


def test_a_success_without_a_signature_leaves_nothing_for_the_next_call() -> None:
    # An answer that its reader refuses must not stay on a connection that is used again.
    async def main() -> list[int]:
        async def serve(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                data = await stream.receive()
                call_id = id_in(data)
                lines = [b"HTTP/1.1 200 x", names.ATTEMPT_ID + b": " + call_id, b"content-length: 0"]
                await stream.send(b"\r\n".join([*lines, b"", b""]))
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()

        async with listening(serve) as entry:
            workers = PlatformWorkers()
            return [await status_of(workers, entry, f"id-{number}") for number in range(2)]

    assert anyio.run(main) == [0, 0]
