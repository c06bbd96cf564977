"""Reports of workers with numbers out of range, which count as none."""

import json

import anyio
import anyio.abc
import pytest
from worksramp_platform.workers import PlatformWorkers

from tests.platform.served_worker import id_in, listening
from worksramp.routing.worker_port import WorkerReport

HUGE = int("9" * 400)


async def report_of(body: bytes) -> WorkerReport | None:
    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            head = b"HTTP/1.1 200 x\r\nX-Worksramp-Attempt-Id: " + id_in(await stream.receive())
            await stream.send(head + b"\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body))

    async with listening(serve) as entry:
        return await PlatformWorkers().report(entry)


@pytest.mark.parametrize("field", ["seq", "queuedCount", "runningCount"])
@pytest.mark.parametrize("number", [HUGE, -1, 1.5])
def test_a_report_with_a_number_out_of_range_counts_as_none(field: str, number: float) -> None:
    # A version of 400 digits counted as held, and log lines of kilobytes were written of it.
    assert anyio.run(report_of, json.dumps({"models": [], field: number}).encode()) is None


def test_a_report_with_a_version_out_of_range_counts_as_none() -> None:
    models = [{"name": "m", "version": HUGE}]
    assert anyio.run(report_of, json.dumps({"models": models}).encode()) is None
    assert anyio.run(report_of, b'{"models":[{"name":"m","version":3}],"seq":4}') is not None
