"""Responses of one node to valid and invalid calls, with the log and the workers of the emulator."""

import json
import random
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpx
import pytest
from worksramp_platform.callers import CallersApi
from worksramp_platform.documents import StoreRecords, decode_table

from worksramp.coordination.shared_log import KeyedRecord
from worksramp.edge.node import EdgeNode
from worksramp.edge.settings import EdgeSettings, StoreSettings
from worksramp.logs import configure_logs
from worksramp.serving.asgi import Message, Receive, Scope, Send
from worksramp_emulator.batch_fleet import BatchFleet, FleetPort, FleetWorker, complete_text
from worksramp_emulator.shared_log import LogClient, LogStore

HOST = "shop.example"
RECORDS = StoreRecords()
CONFIGURATION = {
    "version": 1,
    "routes": [
        {"name": "d", "host": HOST, "pathPrefix": "/drafts/", "type": "generation", "service": "fleet",
         "maxAttempts": 3},
        {"name": "c", "host": HOST, "pathPrefix": "/checks/", "type": "idempotent", "service": "desk",
         "sloMs": 100, "maxAttempts": 2},
        {"name": "s", "host": "scores.example", "pathPrefix": "/scores/", "type": "idempotent",
         "service": "desk", "sloMs": 100, "maxAttempts": 2},
    ],
    "services": [{"name": "fleet", "engine": {"models": [{"name": "m"}]}}, {"name": "desk"}],
    "limits": {"maxHeaderBytes": 2000, "maxBodyBytes": 3000, "headerTimeoutMs": 3000, "idleTimeoutMs": 200},
}  # fmt: skip


class Deployment:
    """A node with its store and its workers."""

    def __init__(self, store: LogStore, fleet: BatchFleet) -> None:
        self.store = store
        self.fleet = fleet
        port = FleetPort(fleet, "node", "m")
        self.node = EdgeNode(
            EdgeSettings("node", "z", "127.0.0.1:8001", StoreSettings("127.0.0.1:2"), "127.0.0.1:8002"),
            LogClient(store, "node"),
            port,
            RECORDS,
        )
        self.api = CallersApi(self.node)

    def client(self, port: int = 8001) -> httpx.AsyncClient:
        transport = httpx.ASGITransport(app=self.api)
        return httpx.AsyncClient(
            transport=transport, base_url=f"http://127.0.0.1:{port}", headers={"host": HOST}
        )

    def configure(self) -> None:
        record = KeyedRecord("config", json.dumps(CONFIGURATION).encode())
        self.store.do_append(RECORDS.control, (record,), None, None)

    def add_worker(self) -> None:
        worker_record = {"service": "fleet", "address": "10.128.0.9:8080", "slots": 8, "state": "ready",
                         "models": [{"name": "m", "version": 1}], "born": 1765000000123}  # fmt: skip
        self.store.do_append(
            RECORDS.workers, (KeyedRecord("w-1", json.dumps(worker_record).encode()),), None, None
        )
        event = RECORDS.worker_event(_change("w-1", worker_record))
        self.fleet.add(FleetWorker(event.entry, 0.005, {"m": 1}))  # type: ignore[union-attr]

    def add_scorer(self) -> None:
        worker_record = {"service": "desk", "address": "10.128.0.8:8080", "slots": 8, "state": "ready",
                         "born": 1765000000123}  # fmt: skip
        self.store.do_append(
            RECORDS.workers, (KeyedRecord("s-1", json.dumps(worker_record).encode()),), None, None
        )
        event = RECORDS.worker_event(_change("s-1", worker_record))
        self.fleet.add(FleetWorker(event.entry, is_scorer=True))  # type: ignore[union-attr]


def _change(key: str, value: Any) -> Any:
    from worksramp.coordination.keyed_replica import Change

    return Change(key, json.dumps(value).encode(), 0)


@asynccontextmanager
async def running_deployment(is_configured: bool = True) -> Any:
    configure_logs("error")
    async with anyio.create_task_group() as group:
        source = random.Random(1)
        deployment = Deployment(LogStore(source, group), BatchFleet(source, group))
        if is_configured:
            deployment.configure()
            deployment.add_worker()
        group.start_soon(deployment.node.run)
        with anyio.fail_after(30):
            while is_configured and not deployment.node.is_ready:
                await anyio.sleep(0.01)
        yield deployment
        group.cancel_scope.cancel()


def run_scenario(scenario: Callable[[Deployment], Awaitable[None]], is_configured: bool = True) -> None:
    async def main() -> None:
        async with running_deployment(is_configured) as deployment:
            await scenario(deployment)

    anyio.run(main)


def lot(*item_ids: str, **changes: Any) -> dict[str, Any]:
    items = [{"id": item_id, "path": "/drafts/1", "headers": {}, "body": "q83v", "tokens": 9, "group": "g"}
             for item_id in item_ids]  # fmt: skip
    return {"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": items, **changes}


HEADERS = {"X-Worksramp-Attempt-Id": "b1"}


def test_a_batch_is_accepted_run_listed_read_and_ended() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = deployment.client()
        for _ in range(2):
            answer = await client.post("/drafts/x", headers=HEADERS, json=lot("i1", "i2"))
            assert answer.status_code == 202
        body = await client.get("/api/items/b1", params={"id": "i1"})
        assert (body.status_code, body.content) == (200, b"\xab\xcd\xef")
        results: list[dict[str, Any]] = []
        while len(results) < 2:
            answer = await client.get(
                "/api/lots/b1", params={"afterRev": len(results)}, headers={"X-Worksramp-Wait-Ms": "1000"}
            )
            page = answer.json()
            results += page["results"]
            assert (page["total"], page["nextToken"]) == (2, len(results))
        assert {r["id"]: r["message"] for r in results} == {
            "i1": complete_text("i1"),
            "i2": complete_text("i2"),
        }
        assert all(r["state"] == "completed" and r["versions"] == [1] for r in results)
        for _ in range(2):
            assert (await client.delete("/api/lots/b1")).status_code == 200

    run_scenario(scenario)


def scored_lot(**changes: Any) -> dict[str, Any]:
    call = {"id": "c1", "host": "scores.example", "path": "/scores/1", "body": "q83v"}
    submission = lot("i1", "i2")
    submission["items"][0]["scoringCall"] = {name: value for name, value in (call | changes).items() if value}
    return submission


def test_an_item_with_a_scoring_call_is_listed_with_the_signature_of_its_answer() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = deployment.client()
        assert (await client.post("/drafts/x", headers=HEADERS, json=scored_lot())).status_code == 202
        results: dict[str, dict[str, Any]] = {}
        while len(results) < 2:
            page = (await client.get("/api/lots/b1", headers={"X-Worksramp-Wait-Ms": "1000"})).json()
            results = {result["id"]: result for result in page["results"]}
            if "i2" in results and not deployment.fleet.calls:
                assert "i1" not in results
                deployment.add_scorer()
        assert results["i1"]["score"] == deployment.fleet.calls[0].signature
        assert "score" not in results["i2"]

    run_scenario(scenario)


def test_an_unrouted_scoring_call_is_to_be_retried_while_the_configuration_is_stale() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.faults.is_down = True
        while deployment.node.is_table_fresh():
            await anyio.sleep(0.05)
        answer = await deployment.client().post("/drafts/x", headers=HEADERS, json=scored_lot(path="/no/1"))
        assert (answer.status_code, "retry-after" in answer.headers) == (503, True)

    run_scenario(scenario)


BAD_CALLS: list[tuple[dict[str, Any], int, str, str]] = [
    ({"id": None}, 400, "body", "`id` - at `$.items[0].scoringCall`"),
    ({"host": None}, 400, "body", "`host` - at `$.items[0].scoringCall`"),
    ({"path": None}, 400, "body", "`path` - at `$.items[0].scoringCall`"),
    ({"body": None}, 400, "body", "`body` - at `$.items[0].scoringCall`"),
    ({"body": "%%"}, 400, "body", "base64"),
    ({"id": "i2"}, 400, "items[0].scoringCall.id", "twice"),
    ({"path": "scores"}, 400, "items[0].scoringCall.path", "no path"),
    ({"path": "/drafts/1", "host": HOST}, 400, "items[0].scoringCall.path", "takes batches"),
    ({"path": "/nowhere/1"}, 404, "items[0].scoringCall.path", "no route"),
    ({"host": "other.example"}, 404, "items[0].scoringCall.path", "no route"),
]


@pytest.mark.parametrize(("changes", "status", "field", "reason"), BAD_CALLS)
def test_a_malformed_scoring_call_is_refused_by_field_and_sent_to_no_worker(
    changes: dict[str, Any], status: int, field: str, reason: str
) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.add_scorer()
        answer = await deployment.client().post("/drafts/x", headers=HEADERS, json=scored_lot(**changes))
        assert (answer.status_code, answer.json()["field"]) == (status, field)
        assert reason in answer.json()["error"]
        assert deployment.fleet.runs == [] and deployment.fleet.calls == []
        assert [key for key in deployment.store.newest_keys(RECORDS.batches) if key.startswith("b/")] == []

    run_scenario(scenario)


BAD_LOTS: list[tuple[Any, str]] = [
    ([], "body"),
    ({"items": []}, "items"),
    (lot("i1", "i1"), "items[1].id"),
    (lot(""), "items[0].id"),
    (lot("a/b"), "items[0].id"),
    ({"items": [{"id": "i1", "path": "no-slash"}]}, "items[0].path"),
    ({"items": [{"id": "i1", "path": "/x", "body": "%%"}]}, "body"),
    (lot("i1", minVersion="newest"), "body"),
]


@pytest.mark.parametrize(("body", "field"), BAD_LOTS)
def test_a_malformed_batch_is_refused_by_field_and_not_run(body: Any, field: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        answer = await deployment.client().post("/drafts/x", headers=HEADERS, json=body)
        assert answer.status_code == 400
        assert answer.json()["field"] == field
        assert answer.json()["error"]
        assert deployment.fleet.runs == []

    run_scenario(scenario)


def test_other_invalid_input_is_refused_with_a_reason() -> None:
    async def scenario(deployment: Deployment) -> None:
        client = deployment.client()
        cases = [
            (await client.post("/drafts/x", json=lot("i1")), 400),
            (await client.put("/drafts/x", headers=HEADERS, json=lot("i1")), 405),
            (await client.post("/drafts/x", headers=HEADERS, content=b"x" * 3001), 413),
            (await client.post("/drafts/x", headers={**HEADERS, "x": "y" * 2000}, json=lot("i1")), 431),
            (await client.get("/checks/1"), 400),
            (await client.get("/nowhere/"), 404),
            (await client.get("/drafts"), 404),
            (await client.get("/api/lots/b1", params={"afterRev": "-1"}), 400),
            (await client.get("/api/lots/none"), 404),
            (await client.get("/api/items/none", params={"id": "i1"}), 404),
            (await client.delete("/api/lots/none"), 404),
        ]
        assert [answer.status_code for answer, _ in cases] == [status for _, status in cases]
        assert all(answer.json()["error"] for answer, _ in cases)
        assert deployment.fleet.runs == []

    run_scenario(scenario)


def test_content_length_with_transfer_encoding_is_refused() -> None:
    async def scenario(deployment: Deployment) -> None:
        headers = {**HEADERS, "content-length": "3", "transfer-encoding": "chunked"}
        answer = await deployment.client().post("/checks/1", headers=headers, content=b"abc")
        assert answer.status_code == 400

    run_scenario(scenario)


def test_a_caller_that_stops_sending_gets_a_timeout_response() -> None:
    async def scenario(deployment: Deployment) -> None:
        sent: list[Message] = []

        async def receive() -> Message:
            await anyio.sleep_forever()
            raise AssertionError

        async def send(message: Message) -> None:
            sent.append(message)

        scope: Scope = {"type": "http", "method": "POST", "path": "/checks/1", "raw_path": b"/checks/1",
                        "query_string": b"", "server": ("127.0.0.1", 8001),
                        "headers": [(b"host", HOST.encode())]}  # fmt: skip
        receiver: Receive = receive
        sender: Send = send
        await deployment.api(scope, receiver, sender)
        assert sent[0]["status"] == 408

    run_scenario(scenario)


def test_a_live_request_without_a_worker_is_refused_with_retry_after() -> None:
    async def scenario(deployment: Deployment) -> None:
        answer = await deployment.client().get("/checks/1", headers=HEADERS)
        assert answer.status_code == 503
        assert 0 < float(answer.headers["retry-after"]) <= 1

    run_scenario(scenario)


def test_a_node_without_a_configuration_is_not_ready_and_refuses_requests() -> None:
    async def scenario(deployment: Deployment) -> None:
        assert (await deployment.client(8002).get("/api/readyz")).status_code == 503
        answer = await deployment.client().get("/checks/1", headers=HEADERS)
        assert (answer.status_code, "retry-after" in answer.headers) == (503, True)

    run_scenario(scenario, is_configured=False)


def test_a_node_that_cannot_reach_the_store_never_reports_a_batch_as_missing() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.faults.is_down = True
        client = deployment.client()
        cases = [
            await client.get("/api/lots/b1"),
            await client.get("/api/items/b1", params={"id": "i1"}),
            await client.delete("/api/lots/b1"),
        ]
        assert [answer.status_code for answer in cases] == [503, 503, 503]
        answer = await client.post("/drafts/x", headers=HEADERS, json=lot("i1"))
        assert answer.status_code == 503

    run_scenario(scenario)


def test_an_append_without_an_answer_is_not_reported_as_a_refusal() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.faults.lost_answers = 1.0
        deployment.store.faults.lost_topics = frozenset([RECORDS.batches.topic])
        answer = await deployment.client().post("/drafts/x", headers=HEADERS, json=lot("i1"))
        assert answer.status_code == 504
        deployment.store.faults.lost_answers = 0.0
        answer = await deployment.client().post("/drafts/x", headers=HEADERS, json=lot("i1"))
        assert answer.status_code == 202

    run_scenario(scenario)


def test_a_batch_whose_items_may_not_be_stored_is_refused_and_never_created() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.faults.lost_answers = 1.0
        answer = await deployment.client().post("/drafts/x", headers=HEADERS, json=lot("i1"))
        assert (answer.status_code, "retry-after" in answer.headers) == (503, True)
        deployment.store.faults.lost_answers = 0.0
        assert [key for key in deployment.store.newest_keys(RECORDS.batches) if key.startswith("b/")] == []
        assert (await deployment.client().get("/api/lots/b1")).status_code == 404

    run_scenario(scenario)


def test_a_node_without_a_replica_of_the_log_accepts_a_batch() -> None:
    async def main() -> None:
        configure_logs("error")
        async with anyio.create_task_group() as group:
            source = random.Random(1)
            deployment = Deployment(LogStore(source, group), BatchFleet(source, group))
            deployment.node.table.current = decode_table(json.dumps(CONFIGURATION).encode())
            answer = await deployment.client().post("/drafts/x", headers=HEADERS, json=lot("i1"))
            assert answer.status_code == 202
            assert deployment.store.newest_value(RECORDS.batches, "b/b1") is not None

    anyio.run(main)


def test_a_stopping_node_closes_connections_and_is_not_ready() -> None:
    async def scenario(deployment: Deployment) -> None:
        assert (await deployment.client(8002).get("/api/readyz")).status_code == 200
        deployment.node.stopping.begin(anyio.current_time(), grace_s=8.0)
        assert (await deployment.client(8002).get("/api/readyz")).status_code == 503
        answer = await deployment.client().get("/nowhere/")
        assert answer.headers["connection"] == "close"

    run_scenario(scenario)
