"""Crashed workers: what the adapter reports of them, and the response to a request that crashes workers."""

import json
import socket

import anyio
import anyio.abc
import pytest
from worksramp_platform.documents import EntryError, decode_worker
from worksramp_platform.workers import PlatformWorkers

from tests.platform.test_callers import HOST, Deployment, run_scenario
from worksramp.routing.crash_ledger import CrashRecord
from worksramp.routing.fingerprint import fingerprint_of
from worksramp.routing.worker_port import ListenerState
from worksramp.routing.workers import WorkerEntry

ATTEMPT_HEADERS = {"X-Worksramp-Attempt-Id": "t1", "X-Worksramp-Deadline-Ms": "1000"}


def worker_at(port: int) -> WorkerEntry:
    return WorkerEntry("w", "desk", f"127.0.0.1:{port}", "z", 4)


def unused_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def test_a_listening_worker_accepts_connections_and_an_ended_one_refuses_them() -> None:
    async def main() -> None:
        workers = PlatformWorkers()
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            assert await workers.listener_state(worker_at(port)) is ListenerState.ACCEPTS
        assert await workers.listener_state(worker_at(unused_port())) is ListenerState.REFUSES

    anyio.run(main)


def test_a_worker_that_does_not_answer_is_silent() -> None:
    async def main() -> None:
        with socket.socket() as backlogged:
            backlogged.bind(("127.0.0.1", 0))
            # Nothing accepts connections and the backlog holds one: the kernel does not respond to more.
            backlogged.listen(0)
            port = int(backlogged.getsockname()[1])
            waiting = [socket.socket() for _ in range(4)]
            for connection in waiting:
                connection.setblocking(False)
                connection.connect_ex(("127.0.0.1", port))
            assert await PlatformWorkers().listener_state(worker_at(port)) is ListenerState.SILENT
            for connection in waiting:
                connection.close()

    anyio.run(main)


def test_the_entry_of_a_worker_contains_its_start_time() -> None:
    worker_record = {
        "service": "desk",
        "address": "10.128.0.9:8080",
        "slots": 6,
        "state": "ready",
        "born": 1765000000123,
    }
    assert decode_worker("i-1", json.dumps(worker_record).encode()).started_ms == 1765000000123
    for invalid in ("1765000000123", 1765000000123.5, -1):
        with pytest.raises(EntryError, match="born"):
            decode_worker("i-1", json.dumps({**worker_record, "born": invalid}).encode())


def test_a_request_that_crashes_workers_is_refused_without_retry_after() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.add_scorer()
        await anyio.sleep(0.5)
        fingerprint = fingerprint_of("GET", HOST.encode(), b"/checks/x", b"")
        for number in range(3):
            record = CrashRecord(fingerprint, f"crash-{number}", "node", is_again=True)
            deployment.node.quarantine.ledger.add(record, anyio.current_time())
        answer = await deployment.client().get("/checks/x", headers=ATTEMPT_HEADERS)
        assert (answer.status_code, answer.json()["error"]) == (503, "crashes_workers")
        assert "retry-after" not in answer.headers
        assert b'worksramp_crash_events_total{event="refused"} 1.0' in deployment.node.metrics.text()
        assert (await deployment.client().get("/checks/y", headers=ATTEMPT_HEADERS)).status_code == 200

    run_scenario(scenario)
