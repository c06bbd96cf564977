"""An entry that becomes odd and good again while requests and items run at its worker.

An odd entry says nothing about the worker's process. It gets no new work meanwhile; what runs there goes on.
"""

import json
from typing import Any

import anyio
from worksramp_platform.documents import StoreRecords

from tests.platform.test_callers import CONFIGURATION, HOST, Deployment, lot, run_scenario
from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.edge.ports import WorkerSeen
from worksramp_emulator.batch_fleet import FleetWorker, complete_text

RECORDS = StoreRecords()
NUM_REQUESTS = 40
CHANGE_S = 0.01


def entry(service: str, **changes: Any) -> bytes:
    good = {
        "service": service,
        "address": "10.128.0.7:8080",
        "slots": 64,
        "state": "ready",
        "born": 1765000000123,
        "models": [{"name": "m", "version": 1}],
    }
    return json.dumps({**good, **changes}).encode()


def odd_entries(service: str) -> list[bytes]:
    return [
        b'{"x":' + b"[" * 100_000,
        entry(service, slots=10**400),
        entry(service, address="10.128.0.7:99999"),
        entry(service, address="fe80::1%é:80"),
        entry(service, models=[{"name": "m", "version": 2**64}]),
        entry(service, born=None),
        entry("", state="resting"),
        b"\xff",
    ]


def put(deployment: Deployment, worker_id: str, value: bytes) -> None:
    deployment.store.do_append(RECORDS.workers, (KeyedRecord(worker_id, value),), None, None)


def add(deployment: Deployment, worker_id: str, service: str, is_application: bool) -> None:
    put(deployment, worker_id, entry(service))
    event = RECORDS.worker_event(Change(worker_id, entry(service), 0))
    assert isinstance(event, WorkerSeen)
    deployment.fleet.add(FleetWorker(event.entry, 0.005, {"m": 1}, is_application=is_application))


async def change_forever(deployment: Deployment, worker_id: str, service: str) -> None:
    while True:
        for odd in odd_entries(service):
            put(deployment, worker_id, odd)
            await anyio.sleep(CHANGE_S)
            put(deployment, worker_id, entry(service))
            await anyio.sleep(CHANGE_S)


async def until_usable(deployment: Deployment, *worker_ids: str) -> None:
    with anyio.fail_after(20):
        while not all(deployment.node.directory.is_usable(worker_id) for worker_id in worker_ids):
            await anyio.sleep(0.01)


async def forbid_repeats(deployment: Deployment) -> None:
    """Put a configuration into force in which live requests must not be repeated, not even as a backup."""
    all_routes: Any = CONFIGURATION["routes"]
    routes = [{**route, "type": "non_idempotent"} for route in all_routes if route["name"] == "c"]
    config = {**CONFIGURATION, "version": 2, "routes": routes}
    record = KeyedRecord("config", json.dumps(config).encode())
    deployment.store.do_append(RECORDS.control, (record,), None, None)
    with anyio.fail_after(20):
        while True:
            table = deployment.node.table.current
            route = None if table is None else table.match(HOST, "/checks/1")
            if route is not None and not route.may_repeat:
                return
            await anyio.sleep(0.01)


def test_live_requests_are_answered_while_an_entry_changes() -> None:
    statuses: list[int] = []

    async def scenario(deployment: Deployment) -> None:
        for worker_id in ("a-1", "a-2"):
            add(deployment, worker_id, "desk", is_application=True)
        await until_usable(deployment, "a-1", "a-2")
        await forbid_repeats(deployment)
        client = deployment.client()

        async def ask(number: int) -> None:
            headers = {"X-Worksramp-Attempt-Id": f"r-{number}"}
            statuses.append((await client.get(f"/checks/{number}", headers=headers)).status_code)

        async with anyio.create_task_group() as group:
            group.start_soon(change_forever, deployment, "a-1", "desk")
            async with anyio.create_task_group() as requests:
                for number in range(NUM_REQUESTS):
                    requests.start_soon(ask, number)
                    await anyio.sleep(CHANGE_S / 2)
            group.cancel_scope.cancel()
        put(deployment, "a-1", entry("desk"))
        await until_usable(deployment, "a-1")
        runs = [run.target for run in deployment.fleet.application.runs]
        assert len(runs) == len(set(runs)) == NUM_REQUESTS

    run_scenario(scenario)
    assert statuses == [200] * NUM_REQUESTS


def test_items_of_a_batch_are_whole_while_an_entry_changes() -> None:
    item_ids = [f"i{number}" for number in range(8)]

    async def scenario(deployment: Deployment) -> None:
        add(deployment, "w-2", "fleet", is_application=False)
        await until_usable(deployment, "w-1", "w-2")
        client = deployment.client()
        async with anyio.create_task_group() as group:
            group.start_soon(change_forever, deployment, "w-2", "fleet")
            headers = {"X-Worksramp-Attempt-Id": "b1"}
            assert (await client.post("/drafts/x", headers=headers, json=lot(*item_ids))).status_code == 202
            texts: dict[str, str] = {}
            with anyio.fail_after(20):
                while len(texts) < len(item_ids):
                    page = (await client.get("/api/lots/b1", headers={"X-Worksramp-Wait-Ms": "500"})).json()
                    texts = {result["id"]: result["message"] for result in page["results"]}
            group.cancel_scope.cancel()
        assert texts == {item_id: complete_text(item_id) for item_id in item_ids}
        assert deployment.node.shard.is_owner

    run_scenario(scenario)
