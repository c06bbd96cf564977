"""Crowds of clients outside the limits, which took a node over its machine's memory or out of descriptors.

Each starts a node in a process of its own. What is checked does not depend on speed: that the process lives,
that its memory and the kernel's buffers of its connections stay below the memory of its machine, that its
descriptors come back, and that an ordinary caller is answered.
"""

import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest

from tests.platform import crowd
from tests.platform.crowd import Crowd, Pieces
from tests.platform.standin import StoreApp
from tests.platform.test_callers import CONFIGURATION, HOST, RECORDS
from tests.platform.test_process import PLATFORM, SETTINGS, _serve, free_address
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.serving.asgi import Receive, Scope, Send, read_body, send_response
from worksramp.serving.asgi import Response as AsgiResponse
from worksramp_emulator.shared_log import LogStore

pytestmark = [
    pytest.mark.alone,
    pytest.mark.skipif(not Path("/proc/net/tcp").exists(), reason="reads memory and queues in /proc"),
]

#: The least that a node's own memory and its counted bytes take.
MEMORY_MB = 96
MAX_DESCRIPTORS = 1024
MAX_BODY_B = 33_554_432
GRACE_S = 4.0
#: A node that hangs is found by these; nothing is measured by them.
HANG_S = 60.0
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MAX_BODY_B,
    "headerTimeoutMs": 1000,
    "idleTimeoutMs": 3000,
}
MB = 1_000_000


async def answer_as_worker(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer each request as a worker of the service that live requests go to."""
    if scope["type"] != "http":
        return
    body = await read_body(receive, MAX_BODY_B)
    headers = dict(scope["headers"])
    fields = [
        (b"x-worksramp-attempt-id", headers.get(b"x-worksramp-attempt-id", b"")),
        (b"x-worksramp-server-stamp", b"stamp"),
        (b"x-worksramp-instance-id", b"d-1"),
    ]
    await send_response(send, AsgiResponse(200, fields, str(len(body)).encode()))


class Node:
    """A node process, its addresses, and an ordinary caller of it."""

    def __init__(
        self, process: subprocess.Popen[bytes], addresses: dict[str, str], max_descriptors: int
    ) -> None:
        self.process = process
        self.front, self.ready, self.metrics = (addresses[name] for name in ("front", "ready", "metrics"))
        self.max_descriptors = max_descriptors
        self._num_asked = 0

    async def wait_ready(self) -> None:
        async with httpx.AsyncClient() as client:
            with anyio.fail_after(HANG_S):
                while not await self._is_ready(client):
                    await anyio.sleep(0.05)
        with anyio.fail_after(HANG_S):
            while await self.ask() != 200:
                await anyio.sleep(0.05)

    async def _is_ready(self, client: httpx.AsyncClient) -> bool:
        try:
            return (await client.get(f"http://{self.ready}/api/readyz")).status_code == 200
        except httpx.TransportError:
            return False

    async def ask(self, body: bytes = b"abc") -> int:
        """Send one ordinary request; return the status of its answer, 0 if the connection ended without."""
        self._num_asked += 1
        headers = {"host": HOST, "X-Worksramp-Attempt-Id": f"ordinary-{self._num_asked}"}
        async with httpx.AsyncClient(timeout=HANG_S) as client:
            try:
                answer = await client.post(f"http://{self.front}/checks/1", headers=headers, content=body)
            except httpx.TransportError:
                return 0
        return answer.status_code

    def memory_b(self) -> int:
        """Return the most memory of the process so far, and what the kernel holds of its connections now."""
        queued = crowd.queued_b(self.front, self.ready, self.metrics)
        return crowd.peak_b(self.process.pid) + queued

    async def wait_connections_closed(self) -> None:
        """Wait until the node has closed the connections of those that have left."""
        with anyio.fail_after(HANG_S):
            while crowd.num_held(self.front, self.ready, self.metrics):
                await anyio.sleep(0.05)

    def check(self) -> None:
        """Check that the process lives and is within the memory of its machine."""
        assert self.process.poll() is None
        assert self.memory_b() < MEMORY_MB * MB
        # A quarter at least is left for the node's own connections and files.
        assert crowd.num_descriptors(self.process.pid) <= 0.75 * self.max_descriptors


@asynccontextmanager
async def running(
    tmp_path: Path,
    max_descriptors: int = MAX_DESCRIPTORS,
    idle_timeout_ms: int = 3000,
    is_awaited: bool = True,
) -> AsyncIterator[Node]:
    addresses = {name: free_address() for name in ("front", "ready", "metrics", "store", "worker")}
    limits: dict[str, Any] = {**LIMITS, "idleTimeoutMs": idle_timeout_ms}
    worker = {"service": "desk", "address": addresses["worker"], "slots": 8, "state": "ready", "born": 1}
    async with anyio.create_task_group() as group:
        import random

        store = LogStore(random.Random(1), group)
        for partition, key, value in (
            (RECORDS.control, "config", {**CONFIGURATION, "limits": limits}),
            (RECORDS.workers, "d-1", worker),
        ):
            store.do_append(partition, (KeyedRecord(key, json.dumps(value).encode()),), None, None)
        stop = anyio.Event()
        group.start_soon(_serve, StoreApp(store), addresses["store"], stop)
        group.start_soon(_serve, answer_as_worker, addresses["worker"], stop)
        file = tmp_path / "node.toml"
        machine = f"[machine]\nmemory_mb = {MEMORY_MB}\n"
        file.write_text(SETTINGS.format(**addresses, grace_s=GRACE_S) + machine)
        process = subprocess.Popen(
            [sys.executable, "-m", "worksramp_platform"],
            env={**os.environ, "PYTHONPATH": str(PLATFORM), "WORKSRAMP_CONFIG": str(file)},
            stdout=subprocess.DEVNULL,
        )
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))
        node = Node(process, addresses, max_descriptors)
        try:
            if is_awaited:
                await node.wait_ready()
            yield node
        finally:
            process.kill()
            process.wait()
            stop.set()


FRONT_CROWDS: dict[str, tuple[int, Pieces]] = {
    "large_bodies_one_byte_short": (12, crowd.announced(HOST, 33_000_000, 32_999_999)),
    "bodies_of_1_mb_one_byte_short": (150, crowd.announced(HOST, MB, MB - 1)),
    "bodies_of_200_kb_one_byte_short": (250, crowd.announced(HOST, 200_000, 199_999)),
    "bodies_of_60_kb_one_byte_short": (500, crowd.announced(HOST, 60_000, 59_999)),
    "chunks_of_1_mb_without_end": (150, crowd.chunked(HOST, MB)),
    "chunks_of_200_kb_without_end": (250, crowd.chunked(HOST, 200_000)),
    "chunks_of_one_byte_without_end": (50, crowd.chunked(HOST, 10_000, chunk_b=1)),
    "chunks_far_over_the_limit": (12, crowd.chunked(HOST, 100_000_000)),
    "announced_far_over_the_limit": (80, crowd.announced(HOST, 2_000_000_000, 20_000_000)),
    "small_requests_sent_ahead": (100, crowd.sent_ahead(HOST, 10, 2000, path=b"/none/")),
    "requests_of_60_kb_sent_ahead": (150, crowd.sent_ahead(HOST, 60_000, 8)),
    "heads_without_end": (500, crowd.endless_heads(HOST, 60_000)),
    "batches_one_byte_short": (150, crowd.announced(HOST, MB, MB - 1, path=b"/drafts/")),
    "connections_without_a_word": (500, crowd.silent),
}


async def play(node: Node, group: Crowd, num_clients: int) -> None:
    """Let a crowd come, stay and leave, and check what must hold."""
    with anyio.fail_after(HANG_S):
        await group.come(num_clients)
    node.check()
    assert await node.ask() == 200
    node.check()
    group.leave()
    await node.wait_connections_closed()
    assert await node.ask() == 200
    node.check()


@pytest.mark.parametrize("name", FRONT_CROWDS)
def test_a_crowd_at_the_front_keeps_a_node_within_its_machine(tmp_path: Path, name: str) -> None:
    num_clients, pieces = FRONT_CROWDS[name]

    async def main() -> None:
        async with running(tmp_path) as node:
            await play(node, Crowd(node.front, pieces), num_clients)

    anyio.run(main)


@pytest.mark.parametrize(("address", "path"), [("metrics", b"/metrics"), ("ready", b"/api/readyz")])
def test_a_crowd_at_other_addresses_keeps_a_node_within_its_machine(
    tmp_path: Path, address: str, path: bytes
) -> None:
    async def main() -> None:
        async with running(tmp_path) as node:
            group = Crowd(getattr(node, address), crowd.questions(path, 10_000))
            await play(node, group, 150)

    anyio.run(main)


def test_idle_connections_leave_descriptors_for_ordinary_callers(tmp_path: Path) -> None:
    async def main() -> None:
        # They stay for longer than the ordinary caller waits.
        idle_timeout_ms = int(2000 * HANG_S)
        async with running(tmp_path, max_descriptors=160, idle_timeout_ms=idle_timeout_ms) as node:
            await play(node, Crowd(node.front, crowd.silent), 300)

    anyio.run(main)


def test_a_second_crowd_comes_while_the_first_is_refused(tmp_path: Path) -> None:
    async def main() -> None:
        async with running(tmp_path) as node:
            first = Crowd(node.front, crowd.announced(HOST, 200_000, 199_999))
            second = Crowd(node.front, crowd.chunked(HOST, 200_000))
            with anyio.fail_after(HANG_S):
                async with anyio.create_task_group() as group:
                    group.start_soon(first.come, 150)
                    group.start_soon(second.come, 150)
            node.check()
            assert await node.ask() == 200
            first.leave()
            await play(node, second, 100)

    anyio.run(main)


def test_a_crowd_comes_while_a_node_starts_and_takes_the_lease(tmp_path: Path) -> None:
    num_clients, pieces = FRONT_CROWDS["bodies_of_1_mb_one_byte_short"]

    async def main() -> None:
        async with running(tmp_path, is_awaited=False) as node:
            group = Crowd(node.front, pieces)
            with anyio.fail_after(HANG_S):
                # Clients that find nobody come again.
                while sum(not client.is_ended for client in group.clients) < num_clients // 4:
                    group.leave()
                    await group.come(num_clients)
            await node.wait_ready()
            node.check()
            group.leave()
            await node.wait_connections_closed()
            assert await node.ask() == 200

    anyio.run(main)


def test_clients_that_come_one_after_the_other_and_stay(tmp_path: Path) -> None:
    async def main() -> None:
        async with running(tmp_path) as node:
            group = Crowd(node.front, crowd.announced(HOST, 200_000, 199_999))
            with anyio.fail_after(HANG_S):
                await group.come(250, is_in_turn=True)
            await play(node, group, 0)

    anyio.run(main)


@pytest.mark.parametrize("name", ["bodies_of_200_kb_one_byte_short", "small_requests_sent_ahead"])
def test_a_node_stops_in_order_before_a_crowd(tmp_path: Path, name: str) -> None:
    num_clients, pieces = FRONT_CROWDS[name]

    async def main() -> None:
        async with running(tmp_path) as node:
            group = Crowd(node.front, pieces)
            with anyio.fail_after(HANG_S):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(group.come, num_clients)
                    node.process.send_signal(signal.SIGHUP)
                    await anyio.sleep(0.1)
                    node.process.send_signal(signal.SIGTERM)
                while node.process.poll() is None:
                    assert node.memory_b() < MEMORY_MB * MB
                    await anyio.sleep(0.05)
            assert node.process.returncode == 0
            group.leave()

    anyio.run(main)


def test_a_slow_request_inside_the_limits_is_served_beside_a_crowd(tmp_path: Path) -> None:
    body, num_parts = bytes(12_000), 12

    async def main() -> None:
        async with running(tmp_path) as node:
            group = Crowd(node.front, crowd.announced(HOST, 200_000, 199_999))

            async def parts() -> AsyncIterator[bytes]:
                for start in range(0, len(body), len(body) // num_parts):
                    yield body[start : start + len(body) // num_parts]
                    await anyio.sleep(0.2)

            headers = {"host": HOST, "X-Worksramp-Attempt-Id": "slow", "Content-Length": str(len(body))}
            with anyio.fail_after(HANG_S):
                async with httpx.AsyncClient(timeout=HANG_S) as client, anyio.create_task_group() as tasks:
                    tasks.start_soon(group.come, 250)
                    answer = await client.post(
                        f"http://{node.front}/checks/1", headers=headers, content=parts()
                    )
            assert (answer.status_code, answer.content) == (200, str(len(body)).encode())
            node.check()
            group.leave()

    anyio.run(main)


def test_a_body_of_the_largest_size_is_served_in_calm(tmp_path: Path) -> None:
    async def main() -> None:
        async with running(tmp_path) as node:
            assert await node.ask(bytes(MAX_BODY_B)) == 200
            assert await node.ask() == 200

    anyio.run(main)
