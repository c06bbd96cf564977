"""Large requests at the same time, which took a node over the memory of its machine."""

import base64
import json
import os
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest

from tests.platform.test_callers import CONFIGURATION, HOST, RECORDS, Deployment, lot
from tests.platform.test_callers import run_scenario as run_in_process
from tests.platform.test_process import Running, run_scenario
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.serving.asgi import Message

BODY_B = 16_000_000
NUM_REQUESTS = 8
#: Memory of the smallest machines of the users' deployments.
MEMORY_MB = 128


def config(max_body_b: int) -> KeyedRecord:
    limits: dict[str, Any] = {**CONFIGURATION["limits"], "maxBodyBytes": max_body_b, "idleTimeoutMs": 5000}  # type: ignore[dict-item]
    return KeyedRecord("config", json.dumps({**CONFIGURATION, "version": 2, "limits": limits}).encode())


def peak_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM:"))


@pytest.mark.skipif(not Path("/proc/self/status").exists(), reason="reads the memory of a process in /proc")
@pytest.mark.parametrize("has_length", [True, False], ids=["with_length", "in_chunks"])
def test_large_requests_at_once_keep_a_node_within_the_memory_of_its_machine(
    tmp_path: Path, has_length: bool
) -> None:
    statuses: list[int] = []
    body = os.urandom(BODY_B)

    async def chunks() -> Any:
        for start in range(0, BODY_B, 64_000):
            yield body[start : start + 64_000]

    async def scenario(node: Running) -> None:
        node.store.do_append(RECORDS.control, (config(33_554_432),), None, None)
        await anyio.sleep(1.0)
        async with (
            httpx.AsyncClient(base_url=f"http://{node.front}", headers={"host": HOST}, timeout=30) as client,
            anyio.create_task_group() as group,
        ):

            async def ask(number: int) -> None:
                headers = {"X-Worksramp-Attempt-Id": f"r-{number}"}
                content = body if has_length else chunks()
                answer = await client.post(f"/checks/{number}", headers=headers, content=content)
                statuses.append(answer.status_code)

            for number in range(NUM_REQUESTS):
                group.start_soon(ask, number)
        assert peak_mb(node.process.pid) < MEMORY_MB

    run_scenario(tmp_path, scenario)
    # No worker of the service is there, so that each request is refused in any case.
    assert statuses == [503] * NUM_REQUESTS


def test_a_request_without_room_is_refused_as_not_run_and_small_ones_still_fit() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.do_append(RECORDS.control, (config(100_000),), None, None)
        deployment.add_scorer()
        with anyio.fail_after(5):
            while deployment.node.table.current is None or deployment.node.table.current.version < 2:
                await anyio.sleep(0.01)
        memory = deployment.node.request_memory
        memory.budget.max_b = 50_000
        client = deployment.client()
        with memory.hold() as holding:
            await holding.reserve(45_000)
            headers = {"X-Worksramp-Attempt-Id": "r-1"}
            refused = await client.post("/checks/1", headers=headers, content=bytes(40_000))
            assert refused.status_code == 503 and float(refused.headers["retry-after"]) > 0
            assert not deployment.fleet.application.runs
            headers = {"X-Worksramp-Attempt-Id": "r-2"}
            assert (await client.post("/checks/2", headers=headers, content=b"abc")).status_code == 200
        headers = {"X-Worksramp-Attempt-Id": "r-3"}
        # The only request may be larger than all of them together may be.
        assert (await client.post("/checks/3", headers=headers, content=bytes(90_000))).status_code == 200
        assert memory.budget.used_b == 0 and memory.num_refused == 1

    run_in_process(scenario)


def test_bodies_of_items_that_callers_do_not_read_are_cut() -> None:
    # Each answer that was not read was held for as long as its caller stayed.
    pending: set[int] = set()
    body_b, num_callers = 180_000, 40

    async def scenario(deployment: Deployment) -> None:
        deployment.store.do_append(RECORDS.control, (config(1_000_000),), None, None)
        with anyio.fail_after(5):
            while deployment.node.table.current is None or deployment.node.table.current.version < 2:
                await anyio.sleep(0.01)
        for worker in deployment.fleet.workers.values():
            worker.is_unresponsive = True
        body = base64.b64encode(bytes(body_b)).decode()
        items = [{"id": "i1", "path": "/drafts/1", "headers": {}, "body": body, "tokens": 9, "group": "g"}]
        client = deployment.client()
        headers = {"X-Worksramp-Attempt-Id": "b1"}
        accepted = await client.post("/drafts/x", headers=headers, json={**lot("i1"), "items": items})
        assert accepted.status_code == 202
        deployment.node.unread.budget.max_b = 10 * body_b

        async def call(number: int) -> None:
            async def receive() -> Message:
                if number in pending:
                    await anyio.sleep_forever()
                pending.add(number)
                return {"type": "http.request", "body": b"", "more_body": False}

            async def send(message: Message) -> None:
                if len(message.get("body", b"")) > 1000:
                    await anyio.sleep_forever()

            scope = {"type": "http", "method": "GET", "path": "/api/items/b1", "raw_path": b"/api/items/b1",
                     "query_string": b"id=i1", "headers": [(b"host", HOST.encode())],
                     "server": ("127.0.0.1", 8001)}  # fmt: skip
            await deployment.api(scope, receive, send)
            pending.discard(number)

        async with anyio.create_task_group() as group:
            for number in range(num_callers):
                group.start_soon(call, number)
                await anyio.sleep(0.05)
            await anyio.sleep(0.2)
            # Ten fit, and for half a second after its beginning none is cut: ten more come in that time.
            assert 10 <= len(pending) <= 22
            group.cancel_scope.cancel()

    run_in_process(scenario)


@pytest.mark.skipif(not Path("/proc/self/status").exists(), reason="reads the memory of a process in /proc")
def test_open_items_with_long_prompts_keep_an_owner_within_the_memory_of_its_machine(tmp_path: Path) -> None:
    # An owner held the bodies of all open items: 250 MB with six batches of 31 MB.
    num_batches, num_items, body_b = 8, 100, 100_000
    bodies = {
        f"b{batch}i{number}": os.urandom(16) for batch in range(num_batches) for number in range(num_items)
    }

    async def scenario(node: Running) -> None:
        worker = node.worker._worker
        worker.is_unresponsive = True
        node.store.do_append(RECORDS.control, (config(33_554_432),), None, None)
        await anyio.sleep(1.0)
        async with httpx.AsyncClient(
            base_url=f"http://{node.front}", headers={"host": HOST}, timeout=30
        ) as client:
            for batch in range(num_batches):
                items = [
                    {"id": item_id, "path": "/drafts/1", "headers": {}, "tokens": 9, "group": "g",
                     "body": base64.b64encode(start + bytes(body_b)).decode()}
                    for item_id, start in bodies.items() if item_id.startswith(f"b{batch}i")
                ]  # fmt: skip
                headers = {"X-Worksramp-Attempt-Id": f"b{batch}"}
                accepted = await client.post("/drafts/x", headers=headers, json={**lot("i1"), "items": items})
                assert accepted.status_code == 202
        await anyio.sleep(1.0)
        assert peak_mb(node.process.pid) < MEMORY_MB
        node.worker.seen.clear()
        worker.is_unresponsive = False
        with anyio.fail_after(30):
            while len(seen_ids := {seen["x-worksramp-attempt-id"] for seen in node.worker.seen}) < 200:
                await anyio.sleep(0.1)
        # Bodies that are read again for their runs are among them.
        assert len({item_id.partition("i")[0] for item_id in seen_ids}) > 1
        for seen in node.worker.seen:
            assert bytes.fromhex(seen["body"]) == bodies[seen["x-worksramp-attempt-id"]] + bytes(body_b)
        assert peak_mb(node.process.pid) < MEMORY_MB

    run_scenario(tmp_path, scenario)
