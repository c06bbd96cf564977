"""Calls to a worker that takes few connections, or names only some of its calls."""

from dataclasses import dataclass, field

import anyio
import anyio.abc
import pytest
from worksramp_platform import names
from worksramp_platform.workers import PlatformWorkers

from tests.platform.served_worker import id_in, listening, status_of
from tests.platform.stuttering_worker import Turn, stuttering_worker
from tests.platform.test_answers_that_come_twice import TAKEN
from worksramp.routing.worker_port import OrderTaken, RunsDuringLoad, VersionOrder

ORDER = VersionOrder("m", 7, RunsDuringLoad.CONTINUE, "n", 1, None)
REPORT = b'{"models":[],"busy":false,"seq":5}'


@dataclass
class SmallWorker:
    """Takes one connection and resets each further one that it gets a request on.

    Attributes:
        names_calls: whether reports carry the id back.
    """

    names_calls: bool = True
    num_open: int = 0
    paths: list[str] = field(default_factory=list)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection to its end; requests arrive in one piece."""
        self.num_open += 1
        try:
            async with stream:
                while self.num_open == 1:
                    data = await stream.receive()
                    await stream.send(self.answer(data))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.num_open -= 1

    def answer(self, request: bytes) -> bytes:
        """Return the answer: a report, or a refusal of the first request and a success for the others."""
        path = request.split(b" ", 2)[1].decode()
        call_id = id_in(request)
        self.paths.append(path)
        is_report = path == names.REPORT_PATH
        is_refusal = not is_report and len(self.paths) == 1
        lines = [b"HTTP/1.1 503 x" if is_refusal else b"HTTP/1.1 200 x", names.STAMP + b": s"]
        if is_refusal:
            lines.append(names.NOT_EXECUTED + b": 1")
        if self.names_calls or not is_report:
            lines.append(names.ATTEMPT_ID + b": " + call_id)
        body = REPORT if is_report else b"ok"
        return b"\r\n".join([*lines, b"content-length: %d" % len(body), b"", body])


@pytest.mark.parametrize("names_calls", [True, False])
def test_a_report_gets_through_while_the_only_connection_rests(names_calls: bool) -> None:
    # A report went on one more connection beside a resting one, which a worker at its limit resets.
    async def main() -> bool:
        small = SmallWorker(names_calls)
        async with listening(small.serve) as entry:
            workers = PlatformWorkers()
            await status_of(workers, entry, "id-1")
            return await workers.report(entry) is not None

    assert anyio.run(main)


def test_a_refused_request_that_is_sent_again_gets_through_while_the_only_connection_rests() -> None:
    # A request was sent again on one more connection beside a resting one, and lost at a worker at its limit.
    async def main() -> list[int]:
        small = SmallWorker()
        async with listening(small.serve) as entry:
            workers = PlatformWorkers()
            return [await status_of(workers, entry, "id-1") for _ in range(3)]

    assert anyio.run(main) == [503, 200, 200]


def test_orders_are_not_open_for_ever_at_a_worker_that_names_only_its_reports() -> None:
    # One named answer was taken for a promise: each later answer without an id left its order open.
    async def main() -> list[object]:
        async with stuttering_worker() as worker:
            workers = PlatformWorkers()
            worker.turns["7"] = Turn(TAKEN)
            assert await workers.report(worker.entry) is not None
            worker.carries_all_ids = False
            return [await workers.order_version(worker.entry, ORDER) for _ in range(3)]

    assert OrderTaken() in anyio.run(main)
