"""Stand-ins for the platform's store and workers.

They follow the protocol page of the platform and use the emulator's log and workers.
"""

import base64
import json
import struct
from typing import Any
from urllib.parse import parse_qs

import anyio

from worksramp.coordination.shared_log import (
    Appended,
    ConditionFailed,
    Fence,
    FencedOff,
    KeyedRecord,
    OutOfSequence,
    Partition,
    StoredRecord,
)
from worksramp.routing.worker_port import (
    OrderHeldAlready,
    OrderTaken,
    RunsDuringLoad,
    VersionOrder,
    WorkerRequest,
)
from worksramp.serving.asgi import Receive, Scope, Send, json_response, read_body, send_response, send_stream
from worksramp_emulator.batch_fleet import BatchFleet, FleetPort
from worksramp_emulator.shared_log import LogStore

MAX_BODY = 4_000_000


def parse_records(data: bytes) -> tuple[KeyedRecord, ...]:
    """Decode records of a keyed topic: length of the record, length of the key, key, value."""
    records: list[KeyedRecord] = []
    while data:
        (length,) = struct.unpack(">I", data[:4])
        body, data = data[4 : 4 + length], data[4 + length :]
        records.append(KeyedRecord(body[1 : 1 + body[0]].decode(), body[1 + body[0] :]))
    return tuple(records)


def format_record(record: StoredRecord) -> bytes:
    key = record.key.encode()
    body = bytes([len(key)]) + key + record.value
    return struct.pack(">I", len(body)) + body


class StoreApp:
    """The three calls of the store that the adapter uses, and refusals."""

    def __init__(self, store: LogStore) -> None:
        self.store = store
        self.refuse_with: int | None = None
        self.page_size = 2

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        query = {name: values[0] for name, values in parse_qs(scope["query_string"].decode()).items()}
        body = await read_body(receive, MAX_BODY)
        partition = Partition(query["topic"], int(query["part"]))
        if self.refuse_with is not None:
            status, answer = self.refuse_with, b"{}"
        else:
            handler = {"log-append": self._append, "log-read": self._read, "log-newest": self._newest}
            name = scope["path"].rpartition("/")[2]
            if name == "log-read":
                await self._wait_for_record(partition, query)
            status, answer = handler[name](partition, query, body)
        await send({"type": "http.response.start", "status": status, "headers": []})
        await send({"type": "http.response.body", "body": answer})

    async def _wait_for_record(self, partition: Partition, query: dict[str, str]) -> None:
        with anyio.move_on_after(int(query.get("waitMs", "0")) / 1000):
            while len(self.store.state(partition).records) <= int(query["from"]):
                await self.store.state(partition).changed.wait()

    def _append(self, partition: Partition, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        fence = None
        if "producer" in query:
            fence = Fence(query["producer"], int(query["epoch"]), int(query["seq"]))
        expected_end = int(query["at"]) if "at" in query else None
        outcome = self.store.do_append(partition, parse_records(body), fence, expected_end)
        answers: dict[type, tuple[int, Any]] = {
            Appended: (200, {"offset": getattr(outcome, "offset", 0), "end": getattr(outcome, "end", 0)}),
            ConditionFailed: (412, {"end": getattr(outcome, "end", 0)}),
            FencedOff: (409, {"why": "fenced"}),
            OutOfSequence: (409, {"why": "seq", "wanted": getattr(outcome, "wanted", 0)}),
        }
        status, answer = answers[type(outcome)]
        return status, json.dumps(answer).encode()

    def _read(self, partition: Partition, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        state = self.store.state(partition)
        start = int(query["from"])
        if start < state.first_kept:
            return 410, json.dumps({"first": state.first_kept}).encode()
        head = struct.pack(">QQ", len(state.records), state.first_kept)
        limit_b = int(query.get("max_kb", "1024")) * 1024
        answer = bytearray(head)
        for record in state.records[start:]:
            framed = format_record(record)
            if len(answer) > len(head) and len(answer) + len(framed) > limit_b:
                break
            answer += framed
        return 200, bytes(answer)

    def _newest(self, partition: Partition, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        state = self.store.state(partition)
        keys = sorted(key for key in state.newest if key > query.get("afterRev", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(state.newest[key].value).decode(),
                "offset": state.newest[key].offset,
            }
            for key in keys[: self.page_size]
        ]
        answer = {"items": items, "more": len(keys) > self.page_size, "end": len(state.records)}
        return 200, json.dumps(answer).encode()


class WorkerApp:
    """A model worker: runs items as streams of events, sends reports and accepts version orders."""

    def __init__(self, fleet: BatchFleet, worker_id: str, model: str) -> None:
        self._fleet = fleet
        self._worker = fleet.workers[worker_id]
        self._port = FleetPort(fleet, "caller", model)
        self._model = model
        self.seen: list[dict[str, str]] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        headers = {key.decode().lower(): value.decode() for key, value in scope["headers"]}
        body = await read_body(receive, MAX_BODY)
        if headers.get("x-worksramp-expect-instance") != self._worker.entry.worker_id:
            await send_response(send, json_response(421, {}, [_id_of(headers["x-worksramp-attempt-id"])]))
        elif scope["path"] == "/api/report":
            await send_response(send, json_response(200, self._report()))
        elif scope["path"] == "/api/order":
            await send_response(send, json_response(self._order(json.loads(body)), {}))
        else:
            self.seen.append({**headers, "path": scope["raw_path"].decode(), "body": body.hex()})
            await self._run(headers, send)

    def _report(self) -> dict[str, Any]:
        models = [{"name": name, "version": version} for name, version in self._worker.versions.items()]
        return {"models": models, "busy": bool(self._worker.loading), "seq": self._worker.order_sequence}

    def _order(self, body: dict[str, Any]) -> int:
        order = VersionOrder(
            body["model"],
            body["version"],
            RunsDuringLoad.CONTINUE,
            body["holder"],
            body["fence"],
            body.get("expectedRev"),
        )
        outcome = self._fleet.apply_order(self._worker, order)
        return {OrderTaken: 202, OrderHeldAlready: 200}.get(type(outcome), 409)

    async def _run(self, headers: dict[str, str], send: Send) -> None:
        request = WorkerRequest(
            headers["x-worksramp-attempt-id"],
            "POST",
            b"/",
            (),
            b"",
            resume_after=headers.get("last-event-id"),
        )
        async with self._port.send(self._worker.entry, request) as answer:
            head = [
                _id_of(request.request_id),
                (b"x-worksramp-server-stamp", b"stamp"),
                (b"x-worksramp-weight-versions", str(answer.weight_version).encode()),
            ]
            if answer.is_not_run:
                fields = [_id_of(request.request_id), (b"x-worksramp-not-executed", b"1")]
                await send_response(send, json_response(503, {}, fields))
                return
            await send_stream(send, answer.status, head, answer.body)


def _id_of(request_id: str) -> tuple[bytes, bytes]:
    """Return the header with which each answer names its request."""
    return b"x-worksramp-attempt-id", request_id.encode()
