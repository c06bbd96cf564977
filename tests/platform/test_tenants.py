"""Callers' keys at a node: who is let in, which tenant workers are told, and whose batches a caller reaches.

Guards against a key that reaches a worker or a log line, a tenant that a caller names for itself, a valid key
that is refused, a removed key that is accepted, and a batch or a text that reaches another tenant.
"""

import json
import random
import sys
from collections.abc import Callable
from typing import Any

import anyio
import pytest
from worksramp_platform.workers import PlatformWorkers

from tests.platform.standin import WorkerApp
from tests.platform.test_callers import CONFIGURATION, HEADERS, RECORDS, Deployment, lot, run_scenario
from tests.platform.test_process import _serve, free_address
from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.edge.ports import UnreadableRecord
from worksramp.routing.worker_port import WorkerRequest
from worksramp.routing.workers import WorkerEntry
from worksramp_emulator.batch_fleet import BatchFleet, FleetWorker
from worksramp_emulator.shared_log import LogStore

KEY_OF_A, OTHER_KEY_OF_A, KEY_OF_B, UNKNOWN_KEY = "key-a", "key-a-2", "key-b", "key-none"
TENANTS = [
    {"name": "a", "apiKeys": [KEY_OF_A, OTHER_KEY_OF_A], "priority": 1},
    {"name": "b", "apiKeys": [KEY_OF_B]},
]
ROUTES: list[dict[str, Any]] = CONFIGURATION["routes"]  # type: ignore[assignment]
PUBLIC_ROUTES = [{**ROUTES[0], "public": True}, {**ROUTES[1], "public": True}, *ROUTES[2:]]


def configure(deployment: Deployment, version: int, **changes: Any) -> None:
    document = {**CONFIGURATION, "tenants": TENANTS, "version": version, **changes}
    record = KeyedRecord("config", json.dumps(document).encode())
    deployment.store.do_append(RECORDS.control, (record,), None, None)


async def in_force(deployment: Deployment, version: int) -> None:
    """Wait until a version is in force and the node knows all workers."""
    with anyio.fail_after(5):
        while any(deployment.node.directory.get(worker_id) is None for worker_id in deployment.fleet.workers):
            await anyio.sleep(0.01)
        while (table := deployment.node.table.current) is None or table.version < version:
            await anyio.sleep(0.01)


def key(text: str, **others: str) -> dict[str, str]:
    return {**HEADERS, "X-Worksramp-Key": text, **others}


async def status(deployment: Deployment, headers: dict[str, str]) -> int:
    return (await deployment.client().get("/checks/1", headers=headers)).status_code


def sent_to_workers(deployment: Deployment) -> list[tuple[str, str]]:
    return [(request.request_id, request.tenant) for request in deployment.fleet.requests]


def test_a_request_runs_for_the_tenant_of_its_key_and_only_with_a_known_key() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.add_scorer()
        configure(deployment, 2)
        await in_force(deployment, 2)
        assert await status(deployment, key(UNKNOWN_KEY)) == 401
        assert await status(deployment, HEADERS) == 401
        assert sent_to_workers(deployment) == []
        forged = key(OTHER_KEY_OF_A, **{"X-Worksramp-Tenant": "b"})
        assert await status(deployment, forged) == 200
        assert {tenant for _, tenant in sent_to_workers(deployment)} == {"a"}
        sent = [header for request in deployment.fleet.requests for header in request.headers]
        assert not [name for name, _ in sent if name in (b"x-worksramp-key", b"x-worksramp-tenant")]

    run_scenario(scenario)


def test_keys_follow_the_configuration_in_force() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.add_scorer()
        moved = [{"name": "a", "apiKeys": [KEY_OF_B]}, {"name": "b", "apiKeys": [UNKNOWN_KEY]}]
        configure(deployment, 2)
        configure(deployment, 3, tenants=moved)
        await in_force(deployment, 3)
        assert await status(deployment, key(KEY_OF_A)) == 401
        assert await status(deployment, key(KEY_OF_B)) == 200
        assert await status(deployment, key(UNKNOWN_KEY)) == 200
        assert [tenant for _, tenant in sent_to_workers(deployment)] == ["a", "b"]

    run_scenario(scenario)


def test_a_public_route_needs_no_key_and_an_absent_route_is_not_found() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.add_scorer()
        configure(deployment, 2, routes=PUBLIC_ROUTES)
        await in_force(deployment, 2)
        assert await status(deployment, {**HEADERS, "X-Worksramp-Tenant": "b"}) == 200
        assert await status(deployment, key(KEY_OF_A)) == 200
        assert [tenant for _, tenant in sent_to_workers(deployment)] == ["", "a"]
        assert (await deployment.client().get("/nowhere/", headers=key(KEY_OF_A))).status_code == 404

    run_scenario(scenario)


def test_a_node_with_an_old_configuration_does_not_deny_a_key() -> None:
    async def scenario(deployment: Deployment) -> None:
        configure(deployment, 2)
        await in_force(deployment, 2)
        deployment.store.faults.is_down = True
        while deployment.node.is_table_fresh():
            await anyio.sleep(0.05)
        answer = await deployment.client().get("/checks/1", headers=key(UNKNOWN_KEY))
        assert (answer.status_code, "retry-after" in answer.headers) == (503, True)

    run_scenario(scenario)


BAD_TENANTS = [
    [{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}],
    [{"name": " ", "apiKeys": ["k"]}],
    [{"name": "a\r\nx: y", "apiKeys": ["k"]}],
    [{"name": "a", "apiKeys": ["k"]}, {"name": "a", "apiKeys": ["l"]}],
    [{"name": "a", "apiKeys": "k"}],
]


@pytest.mark.parametrize("tenants", BAD_TENANTS)
def test_a_configuration_with_unusable_tenants_changes_nothing(tenants: list[dict[str, Any]]) -> None:
    document = json.dumps({**CONFIGURATION, "tenants": tenants}).encode()
    event = RECORDS.control_event(Change("config", document, 0))
    assert isinstance(event, UnreadableRecord) and "tenants[" in event.reason

    async def scenario(deployment: Deployment) -> None:
        configure(deployment, 2)
        configure(deployment, 3, tenants=tenants)
        await in_force(deployment, 2)
        await anyio.sleep(0.3)
        table = deployment.node.table.current
        assert table is not None and table.version == 2

    run_scenario(scenario)


async def listed(deployment: Deployment, headers: dict[str, str], num: int) -> list[dict[str, Any]]:
    with anyio.fail_after(10):
        while True:
            answer = await deployment.client().get("/api/lots/b1", headers=headers)
            assert answer.status_code == 200
            if len(answer.json()["results"]) == num:
                return list(answer.json()["results"])
            await anyio.sleep(0.05)


def test_a_batch_belongs_to_the_tenant_that_submitted_it() -> None:
    async def scenario(deployment: Deployment) -> None:
        configure(deployment, 2)
        await in_force(deployment, 2)
        client = deployment.client()
        submitted = await client.post("/drafts/x", headers=key(KEY_OF_A), json=lot("i1", "i2"))
        assert submitted.status_code == 202
        for stranger in (key(KEY_OF_B), key(KEY_OF_B, **{"X-Worksramp-Tenant": "a"})):
            assert (await client.get("/api/lots/b1", headers=stranger)).status_code == 404
            assert (await client.get("/api/items/b1?id=i1", headers=stranger)).status_code == 404
            assert (await client.delete("/api/lots/b1", headers=stranger)).status_code == 404
        for unknown in (key(UNKNOWN_KEY), HEADERS):
            assert (await client.get("/api/lots/b1", headers=unknown)).status_code == 401
            assert (await client.delete("/api/lots/b1", headers=unknown)).status_code == 401
        others = key(OTHER_KEY_OF_A)
        assert (await client.post("/drafts/x", headers=others, json=lot("i1", "i2"))).status_code == 202
        assert len(await listed(deployment, others, 2)) == 2
        assert (await client.get("/api/items/b1?id=i1", headers=others)).status_code == 200
        assert {tenant for _, tenant in sent_to_workers(deployment)} == {"a"}
        assert (await client.delete("/api/lots/b1", headers=others)).status_code == 200

    run_scenario(scenario)


def test_tenants_with_equal_ids_get_batches_and_texts_of_their_own() -> None:
    async def scenario(deployment: Deployment) -> None:
        configure(deployment, 2)
        await in_force(deployment, 2)
        client = deployment.client()
        for text in (KEY_OF_A, KEY_OF_B):
            assert (await client.post("/drafts/x", headers=key(text), json=lot("i1"))).status_code == 202
            await listed(deployment, key(text), 1)
        assert sent_to_workers(deployment) == [("i1", "a"), ("i1", "b")]

    run_scenario(scenario)


def test_a_removed_key_ends_no_batch_and_an_item_cannot_name_a_tenant() -> None:
    async def scenario(deployment: Deployment) -> None:
        configure(deployment, 2)
        await in_force(deployment, 2)
        body = lot("i1")
        body["items"][0]["headers"] = {"X-Worksramp-Tenant": "b", "x-worksramp-key": KEY_OF_B, "x-other": "1"}
        client = deployment.client()
        assert (await client.post("/drafts/x", headers=key(KEY_OF_A), json=body)).status_code == 202
        configure(deployment, 3, tenants=[{"name": "a", "apiKeys": [OTHER_KEY_OF_A]}])
        await in_force(deployment, 3)
        assert (await client.get("/api/lots/b1", headers=key(KEY_OF_A))).status_code == 401
        await listed(deployment, key(OTHER_KEY_OF_A), 1)
        assert sent_to_workers(deployment) == [("i1", "a")]
        assert {name.lower() for name, _ in deployment.fleet.requests[0].headers} == {b"host", b"x-other"}

    run_scenario(scenario)


def test_the_worker_is_told_the_tenant_and_never_the_key() -> None:
    async def scenario() -> None:
        address, stop = free_address(), anyio.Event()
        async with anyio.create_task_group() as group:
            source = random.Random(1)
            LogStore(source, group)
            fleet = BatchFleet(source, group)
            entry = WorkerEntry("w-1", "fleet", address, "z", 8)
            fleet.add(FleetWorker(entry, 0.002, {"m": 1}))
            app = WorkerApp(fleet, "w-1", "m")
            group.start_soon(_serve, app, address, stop)
            headers = ((b"X-Worksramp-Key", b"k"), (b"X-Worksramp-Tenant", b"forged"), (b"host", b"h"))
            request = WorkerRequest("i1", "POST", b"/1", headers, b"x", tenant="a")
            with anyio.fail_after(5):
                while not app.seen:
                    try:
                        async with PlatformWorkers().send(entry, request) as answer:
                            async for _ in answer.body:
                                pass
                    except Exception:
                        await anyio.sleep(0.05)
            stop.set()
        assert app.seen[0]["x-worksramp-tenant"] == "a"
        assert "x-worksramp-key" not in app.seen[0]

    anyio.run(scenario)


class RecordedLines:
    """Stands in for a logger and keeps what it is given, at any level."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def __getattr__(self, level: str) -> Callable[..., None]:
        return lambda event, **fields: self.lines.append(f"{event} {fields}")


def test_no_log_line_holds_a_key(monkeypatch: pytest.MonkeyPatch) -> None:
    recorded = RecordedLines()
    for name, module in list(sys.modules.items()):
        if name.startswith("worksramp") and hasattr(module, "logger"):
            monkeypatch.setattr(module, "logger", recorded)

    async def scenario(deployment: Deployment) -> None:
        deployment.add_scorer()
        configure(deployment, 2)
        await in_force(deployment, 2)
        for text in (KEY_OF_A, UNKNOWN_KEY):
            await status(deployment, key(text))
        await deployment.client().post("/drafts/x", headers=key(KEY_OF_A), json=lot("i1"))
        await listed(deployment, key(KEY_OF_A), 1)

    run_scenario(scenario)
    output = "\n".join(recorded.lines)
    assert all(event in output for event in ("request_denied", "request_forwarded", "item_listed"))
    assert not [text for text in (KEY_OF_A, UNKNOWN_KEY) if text in output]
