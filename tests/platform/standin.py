"""Stand-in of the platform's store, written from its protocol page, over the emulator's log."""

import base64
import json
import struct
from typing import Any
from urllib.parse import parse_qs

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
from worksramp.edge.asgi import Receive, Scope, Send, read_body
from worksramp_emulator.shared_log import LogStore

MAX_BODY = 4_000_000


def parse_records(data: bytes) -> tuple[KeyedRecord, ...]:
    """Return records of a keyed topic: length, length of the key, key, value."""
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
    """The store's three calls that the adapter makes, and its refusals."""

    def __init__(self, store: LogStore) -> None:
        self.store = store
        self.refuse_with: int | None = None
        self.page_size = 2

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        query = {name: values[0] for name, values in parse_qs(scope["query_string"].decode()).items()}
        body = await read_body(receive, MAX_BODY)
        partition = Partition(query["topic"], int(query["part"]))
        if self.refuse_with is not None:
            status, answer = self.refuse_with, b"{}"
        else:
            handler = {"log-append": self._append, "log-read": self._read, "log-newest": self._newest}
            status, answer = handler[scope["path"].rpartition("/")[2]](partition, query, body)
        await send({"type": "http.response.start", "status": status, "headers": []})
        await send({"type": "http.response.body", "body": answer})

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
        return 200, head + b"".join(format_record(record) for record in state.records[start:])

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
