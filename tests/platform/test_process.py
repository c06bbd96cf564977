"""A node in a process of its own on loopback, with stand-ins for the store and a worker."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

from tests.platform.standin import StoreApp, WorkerApp
from tests.platform.test_callers import CONFIGURATION, HOST, RECORDS, lot
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.routing.workers import WorkerEntry
from worksramp_emulator.batch_fleet import BatchFleet, FleetWorker, complete_text
from worksramp_emulator.shared_log import LogStore

PLATFORM = Path(__file__).parents[2] / "platform"
READY_SECONDS = 30
SETTINGS = """
node_id = "node"
zone = "z"
listen = "{front}"
ready_listen = "{ready}"
metrics_listen = "{metrics}"
[store]
address = "{store}"
[bounds]
grace = {grace_s}
"""
GRACE_S = 2.0


def free_address() -> str:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


@dataclass
class Running:
    """A node process and the stand-ins that it calls."""

    process: subprocess.Popen[bytes]
    store: LogStore
    worker: WorkerApp
    front: str
    ready: str
    metrics: str

    async def wait_ready(self) -> None:
        async with httpx.AsyncClient() as client:
            with anyio.fail_after(READY_SECONDS):
                while True:
                    try:
                        answer = await client.get(f"http://{self.ready}/api/readyz")
                        if answer.status_code == 200:
                            return
                    except httpx.TransportError:
                        pass
                    await anyio.sleep(0.05)


async def _serve(app: Any, address: str, stop: anyio.Event) -> None:
    config = Config()
    config.bind = [address]
    config.errorlog = None
    config.graceful_timeout = 0.1
    await serve(app, config, shutdown_trigger=stop.wait)


@asynccontextmanager
async def running(tmp_path: Path, grace_s: float = GRACE_S) -> AsyncIterator[Running]:
    addresses = {name: free_address() for name in ("front", "ready", "metrics", "store", "worker")}
    async with anyio.create_task_group() as group:
        source = random.Random(1)
        store, fleet = LogStore(source, group), BatchFleet(source, group)
        fleet.add(FleetWorker(WorkerEntry("w-1", "fleet", addresses["worker"], "z", 8), 0.002, {"m": 1}))
        worker = WorkerApp(fleet, "w-1", "m")
        worker_record = {"service": "fleet", "address": addresses["worker"], "slots": 8, "state": "ready",
                         "models": [{"name": "m", "version": 1}], "born": 1765000000123}  # fmt: skip
        for partition, key, value in (
            (RECORDS.control, "config", CONFIGURATION),
            (RECORDS.workers, "w-1", worker_record),
        ):
            store.do_append(partition, (KeyedRecord(key, json.dumps(value).encode()),), None, None)
        stop = anyio.Event()
        group.start_soon(_serve, StoreApp(store), addresses["store"], stop)
        group.start_soon(_serve, worker, addresses["worker"], stop)
        file = tmp_path / "node.toml"
        file.write_text(SETTINGS.format(**addresses, grace_s=grace_s))
        environment = {**os.environ, "PYTHONPATH": str(PLATFORM), "WORKSRAMP_CONFIG": str(file)}
        process = subprocess.Popen([sys.executable, "-m", "worksramp_platform"], env=environment)
        try:
            yield Running(
                process, store, worker, addresses["front"], addresses["ready"], addresses["metrics"]
            )
        finally:
            process.kill()
            process.wait()
            stop.set()


def run_scenario(
    tmp_path: Path, scenario: Callable[[Running], Awaitable[None]], grace_s: float = GRACE_S
) -> None:
    async def main() -> None:
        async with running(tmp_path, grace_s) as node:
            await node.wait_ready()
            await scenario(node)

    anyio.run(main)


def test_a_process_runs_a_batch_orders_a_version_and_stops_cleanly(tmp_path: Path) -> None:
    async def scenario(node: Running) -> None:
        async with httpx.AsyncClient(base_url=f"http://{node.front}", headers={"host": HOST}) as client:
            headers = {"X-Worksramp-Attempt-Id": "b1"}
            assert (await client.post("/drafts/x", headers=headers, json=lot("i1", "i2"))).status_code == 202
            results: list[dict[str, Any]] = []
            while len(results) < 2:
                page = await client.get("/api/lots/b1", params={"afterRev": len(results)})
                results += page.json()["results"]
                await anyio.sleep(0.05)
            assert {r["id"]: r["message"] for r in results} == {i: complete_text(i) for i in ("i1", "i2")}
            seen = node.worker.seen[0]
            assert (seen["host"], seen["path"], seen["body"]) == (HOST, "/drafts/1", "abcdef")
            named = KeyedRecord("version/m", b'{"model":"m","version":2}')
            node.store.do_append(RECORDS.control, (named,), None, None)
            with anyio.fail_after(READY_SECONDS):
                while node.worker._worker.versions != {"m": 2}:
                    await anyio.sleep(0.05)
            metrics_text = (await client.get(f"http://{node.metrics}/metrics")).text
            assert 'worksramp_item_runs_total{outcome="RunFinished"} 2.0' in metrics_text
            assert "worksramp_lease_epoch 1.0" in metrics_text
            node.process.send_signal(signal.SIGTERM)
            with anyio.fail_after(READY_SECONDS):
                while node.process.poll() is None:
                    await anyio.sleep(0.05)
            assert node.process.returncode == 0

    run_scenario(tmp_path, scenario)


def test_a_request_with_content_length_and_transfer_encoding_is_sent_to_no_worker(tmp_path: Path) -> None:
    async def scenario(node: Running) -> None:
        host, _, port = node.front.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(
                b"POST /checks/1 HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\nX-Worksramp-Attempt-Id: a\r\n"
                b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                b"GET /checks/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            answer = await stream.receive()
        assert answer.startswith(b"HTTP/1.1 400")
        assert node.worker.seen == []

    run_scenario(tmp_path, scenario)
