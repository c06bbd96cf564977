"""Stand-in of the platform's store over HTTP, with the emulator's log behind it."""

import base64
import json
import struct
from typing import Any

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
from worksramp_emulator.shared_log import LogStore
from worksramp_emulator.soak.server import Link, Request, Server, format_answer
from worksramp_emulator.soak.words import Words

PAGE_SIZE = 500
MAX_READ_KB = 1024
#: Time that a write takes.
APPEND_S = 0.002


class StoreServer:
    """The calls of the store that a node uses."""

    def __init__(self, store: LogStore, words: Words) -> None:
        self.server = Server(self._handle)
        self._store = store
        self._words = words

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record as the operator or a worker does."""
        record = KeyedRecord(key, json.dumps(value).encode())
        self._store.do_append(Partition(topic, 0), (record,), None, None)

    def remove(self, topic: str, key: str) -> None:
        """Remove the record of a key."""
        self._store.do_append(Partition(topic, 0), (KeyedRecord(key, b""),), None, None)

    async def _handle(self, request: Request, link: Link) -> None:
        query, names = request.query, self._words.store
        partition = Partition(query["topic"], int(query["part"]))
        call = request.path.rpartition("/")[2]
        if call == names.append:
            await anyio.sleep(APPEND_S)
            status, answer = self._append(partition, query, request.body)
        elif call == names.read:
            status, answer = 200, await self._read(partition, query)
        elif call == names.newest:
            status, answer = 200, self._newest(partition, query.get(names.newest_after, ""))
        else:
            status, answer = 404, b"{}"
        await link.send(format_answer(status, {}, answer))

    def _append(self, partition: Partition, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        fence = None
        if "producer" in query:
            fence = Fence(query["producer"], int(query["epoch"]), int(query["seq"]))
        expected_end = int(query["at"]) if "at" in query else None
        outcome = self._store.do_append(partition, _parse_records(body), fence, expected_end)
        answers: dict[type, tuple[int, Any]] = {
            Appended: (200, {"offset": getattr(outcome, "offset", 0), "end": getattr(outcome, "end", 0)}),
            ConditionFailed: (412, {"end": getattr(outcome, "end", 0)}),
            FencedOff: (409, {"why": "fenced"}),
            OutOfSequence: (409, {"why": "seq", "wanted": getattr(outcome, "wanted", 0)}),
        }
        status, answer = answers[type(outcome)]
        return status, json.dumps(answer).encode()

    async def _read(self, partition: Partition, query: dict[str, str]) -> bytes:
        state, start = self._store.state(partition), int(query["from"])
        with anyio.move_on_after(int(query.get("waitMs", "0")) / 1000):
            while len(state.records) <= start:
                await state.changed.wait()
        left_b = 1024 * int(query.get("max_kb", MAX_READ_KB))
        parts = [struct.pack(">QQ", len(state.records), state.first_kept)]
        for record in state.records[start:]:
            data = _format_record(record)
            left_b -= len(data)
            if left_b < 0 and len(parts) > 1:
                break
            parts.append(data)
        return b"".join(parts)

    def _newest(self, partition: Partition, after: str) -> bytes:
        state = self._store.state(partition)
        keys = sorted(key for key in state.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(state.newest[key].value).decode(),
                "offset": state.newest[key].offset,
            }
            for key in keys[:PAGE_SIZE]
        ]
        answer = {"items": items, "more": len(keys) > PAGE_SIZE, "end": len(state.records)}
        return json.dumps(answer).encode()


def _parse_records(data: bytes) -> tuple[KeyedRecord, ...]:
    """Decode records: length of the record, length of the key, key, value."""
    records: list[KeyedRecord] = []
    while data:
        (length,) = struct.unpack(">I", data[:4])
        body, data = data[4 : 4 + length], data[4 + length :]
        records.append(KeyedRecord(body[1 : 1 + body[0]].decode(), body[1 + body[0] :]))
    return tuple(records)


def _format_record(record: StoredRecord) -> bytes:
    key = record.key.encode()
    body = bytes([len(key)]) + key + record.value
    return struct.pack(">I", len(body)) + body
