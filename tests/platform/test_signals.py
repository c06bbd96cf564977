"""Signals at any moment of a node's process, in any order: only a stop that was asked for ends anything."""

import json
import os
import shutil
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import anyio.abc
import httpx
import pytest

from tests.platform.test_callers import HOST, RECORDS
from tests.platform.test_process import READY_SECONDS, Running, free_address, run_scenario
from worksramp.coordination.shared_log import KeyedRecord

ROOT = Path(__file__).parents[2]
START = ROOT / "deploy" / "start.py"
SIGNALS_MODULE = ROOT / "src" / "worksramp" / "signals.py"
TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP


class HoldingWorker:
    """Worker of live requests that keeps each one until ``may_answer`` is set."""

    def __init__(self) -> None:
        self.num_begun = 0
        self.may_answer = anyio.Event()

    async def wait_begun(self) -> None:
        """Wait until a request has arrived."""
        with anyio.fail_after(READY_SECONDS):
            while not self.num_begun:
                await anyio.sleep(0.02)

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            head = b""
            while b"\r\n\r\n" not in head:
                head += await stream.receive()
            fields = dict(line.split(": ", 1) for line in head.decode().lower().splitlines()[1:] if line)
            self.num_begun += 1
            await self.may_answer.wait()
            request_id = fields["x-worksramp-attempt-id"]
            answer = (
                f"HTTP/1.1 200 OK\r\nX-Worksramp-Attempt-Id: {request_id}\r\n"
                "X-Worksramp-Server-Stamp: stamp\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone"
            )
            await stream.send(answer.encode())


@asynccontextmanager
async def holding_worker(node: Running) -> AsyncIterator[HoldingWorker]:
    address, worker = free_address(), HoldingWorker()
    host, _, port = address.rpartition(":")
    record = {"service": "desk", "address": address, "slots": 8, "state": "ready", "born": 1765000000123}
    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, worker.handle)
        entry = KeyedRecord("s-1", json.dumps(record).encode())
        node.store.do_append(RECORDS.workers, (entry,), None, None)
        yield worker
        group.cancel_scope.cancel()


async def post_until_taken(node: Running, answers: list[int]) -> None:
    """Send a request, again while it is refused, since the node may not have seen the worker yet."""
    headers = {"host": HOST, "X-Worksramp-Attempt-Id": "r1", "X-Worksramp-Deadline-Ms": "20000"}
    async with httpx.AsyncClient(base_url=f"http://{node.front}", timeout=READY_SECONDS) as client:
        while (answer := await client.post("/checks/1", headers=headers)).status_code == 503:
            await anyio.sleep(0.05)
    answers.append(answer.status_code)


async def wait_not_ready(node: Running) -> None:
    async with httpx.AsyncClient() as client:
        with anyio.fail_after(READY_SECONDS):
            while (await client.get(f"http://{node.ready}/api/readyz")).status_code == 200:
                await anyio.sleep(0.02)


async def end_of(node: Running) -> int:
    """Wait until the process has ended and return its status."""
    with anyio.fail_after(READY_SECONDS):
        while (status := node.process.poll()) is None:
            await anyio.sleep(0.05)
    return status


async def send_signals(node: Running, series: Sequence[signal.Signals]) -> None:
    """Send the first signals up to one that stops the node, and the others once it is stopping."""
    first = next(idx for idx, number in enumerate(series) if number is not HUP)
    for number in series[: first + 1]:
        node.process.send_signal(number)
    await wait_not_ready(node)
    for number in series[first + 1 :]:
        node.process.send_signal(number)
        await anyio.sleep(0.05)


@pytest.mark.parametrize("series", [(TERM, HUP, TERM, INT, HUP), (HUP, INT, INT, HUP, TERM)])
def test_a_stopping_node_answers_what_it_has_taken_whatever_signals_follow(
    tmp_path: Path, series: Sequence[signal.Signals]
) -> None:
    # A change of the settings file (SIGHUP) after SIGTERM ended the process with its requests in flight.
    async def scenario(node: Running) -> None:
        async with holding_worker(node) as worker, anyio.create_task_group() as group:
            answers: list[int] = []
            group.start_soon(post_until_taken, node, answers)
            await worker.wait_begun()
            await send_signals(node, series)
            assert node.process.poll() is None
            worker.may_answer.set()
            assert await end_of(node) == 0
            assert answers == [200]

    run_scenario(tmp_path, scenario, grace_s=6.0)


def test_a_request_that_outlasts_the_stop_is_answered_and_not_by_an_error_of_the_node(tmp_path: Path) -> None:
    # A request in flight at the end of the grace period got a 500 of the node's own.
    async def scenario(node: Running) -> None:
        async with holding_worker(node) as worker, anyio.create_task_group() as group:
            answers: list[int] = []
            group.start_soon(post_until_taken, node, answers)
            await worker.wait_begun()
            node.process.send_signal(TERM)
            assert await end_of(node) == 0
            assert answers == [502]

    run_scenario(tmp_path, scenario)


def write_package(folder: Path, process_module: str) -> None:
    """Write a start program whose node is ``process_module``."""
    shutil.copy(START, folder / "start.py")
    (folder / "worksramp").mkdir()
    (folder / "worksramp" / "__init__.py").write_text("")
    shutil.copy(SIGNALS_MODULE, folder / "worksramp" / "signals.py")
    (folder / "worksramp_platform").mkdir()
    (folder / "worksramp_platform" / "__init__.py").write_text("")
    (folder / "worksramp_platform" / "process.py").write_text(process_module)


def run_start(folder: Path) -> "subprocess.CompletedProcess[str]":
    environment = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
    command = [sys.executable, "-S", str(folder / "start.py")]
    return subprocess.run(command, env=environment, capture_output=True, text=True, check=False)


def test_signals_while_the_libraries_are_loaded_are_kept_for_the_node(tmp_path: Path) -> None:
    # A SIGHUP in the first third of a second after a start ended the process.
    write_package(
        tmp_path,
        "import os, signal\n"
        "os.kill(os.getpid(), signal.SIGHUP)\n"
        "os.kill(os.getpid(), signal.SIGTERM)\n"
        "def main(signals):\n"
        "    print(signals.take().name, signals.take().name, signals.take())\n",
    )
    result = run_start(tmp_path)
    assert (result.returncode, result.stdout) == (0, "SIGHUP SIGTERM None\n"), result.stderr


def test_signals_after_the_node_has_stopped_do_not_change_the_end_of_the_process(tmp_path: Path) -> None:
    # The default actions were back while logs were flushed and the interpreter ended.
    write_package(
        tmp_path,
        "import atexit, os, signal\n"
        "def main(signals):\n"
        "    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):\n"
        "        atexit.register(os.kill, os.getpid(), number)\n"
        "    signals.close()\n",
    )
    result = run_start(tmp_path)
    assert result.returncode == 0, result.stderr
