"""Whether the worker of an entry answers at its address, as no other writer of entries can arrange."""

import json

import anyio
import anyio.abc
import pytest
from worksramp_platform.documents import decode_table
from worksramp_platform.worker_calls import MAX_POOLS, WorkerPools
from worksramp_platform.workers import PlatformWorkers

from tests.platform.served_worker import id_in, listening
from worksramp.connections.pool import PoolCounters
from worksramp.routing.workers import WorkerEntry

MODELS = b'{"models":[{"name":"m","version":3}],"seq":4}'
HEALTH = b"\r\nX-Worksramp-Instance-Id: "
NAMED = b"\r\nX-Worksramp-Attempt-Id: "


async def is_there(status: bytes, fields: bytes, body: bytes, is_named: bool, health_path: str) -> bool:
    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            request = await stream.receive()
            assert request.startswith(b"GET " + (health_path or "/api/report").encode() + b" ")
            assert b"x-worksramp-expect-instance: i-1\r\n" in request.lower()
            name = NAMED + id_in(request) if is_named else b""
            length = b"\r\ncontent-length: %d\r\n\r\n" % len(body)
            await stream.send(b"HTTP/1.1 " + status + fields + name + length + body)

    async with listening(serve) as entry:
        return await PlatformWorkers().is_there(entry, health_path)


@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize(
    ("status", "body", "is_worker"),
    [
        (b"200 x", MODELS, True),
        (b"200 x", b"{}", False),
        (b"200 x", b"<html>", False),
        (b"404 x", MODELS, False),
        (b"421 x", MODELS, False),
        (b"503 x", b"", False),
    ],
)
def test_a_report_that_names_models_is_of_a_worker(
    status: bytes, body: bytes, is_worker: bool, is_named: bool
) -> None:
    assert anyio.run(is_there, status, b"", body, is_named, "") is is_worker


@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize(
    ("status", "fields", "is_worker"),
    [
        (b"200 x", HEALTH + b"i-1", True),
        (b"503 x", HEALTH + b"i-1", True),
        (b"200 x", HEALTH + b"i-2", False),
        (b"421 x", HEALTH + b"i-2", False),
        (b"200 x", b"", False),
    ],
)
def test_a_health_answer_is_of_the_worker_that_it_names(
    status: bytes, fields: bytes, is_worker: bool, is_named: bool
) -> None:
    assert anyio.run(is_there, status, fields, b"", is_named, "/healthz") is is_worker


def test_nobody_is_there_at_a_closed_or_silent_address() -> None:
    async def main() -> None:
        async def serve(stream: anyio.abc.SocketStream) -> None:
            await anyio.sleep_forever()

        workers = PlatformWorkers()
        async with listening(serve) as entry:
            assert not await workers.is_there(entry, "/healthz")
        assert not await workers.is_there(entry, "/healthz")

    anyio.run(main)


@pytest.mark.parametrize(
    ("stated", "used"),
    [("/healthz", "/healthz"), ("healthz", ""), ("/a b", ""), ("/é", ""), (7, ""), (None, ""), ({}, "")],
)
def test_an_unusable_health_path_leaves_the_configuration_in_use(stated: object, used: str) -> None:
    config = {"version": 1, "routes": [], "services": [{"name": "s", "healthPath": stated}]}
    assert decode_table(json.dumps(config).encode()).services["s"].health_path == used


def test_checks_of_many_entries_close_no_connections_to_a_worker_in_use() -> None:
    # The pool that had been there for longest was closed, also that of a worker in use.
    async def main() -> None:
        pools = WorkerPools(PoolCounters(), None)
        worker = WorkerEntry("i-1", "s", "127.0.0.1:9", "z", 4)
        first = await pools.connections_to(worker)
        for number in range(2 * MAX_POOLS):
            await pools.connections_to(WorkerEntry(f"odd-{number}", "s", "127.0.0.1:9", "z", 4))
            assert await pools.connections_to(worker) is first

    anyio.run(main)
