"""Callers of a soak: clients that keep connections, and submitters of batches."""

import base64
import json
from dataclasses import dataclass
from itertools import count
from typing import Any

import anyio
import h11

from worksramp_emulator.soak.caller import Answer, CallerConnection
from worksramp_emulator.soak.plan import Kind, Plan, Send
from worksramp_emulator.soak.record import (
    NO_ANSWER,
    BatchSeen,
    CallerAnswer,
    ItemResult,
    Record,
    scoring_call_id,
)
from worksramp_emulator.soak.words import Words
from worksramp_emulator.soak.workers import SERIAL_HEADER

DEADLINE_S = 4.0
#: Time after the deadline for which a caller waits.
PATIENCE_S = 1.0
RETURN_PAUSE_S = 0.2
NUM_ITEMS = 8
READ_EVERY_S = 0.25


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What all callers share.

    Attributes:
        nodes: addresses of the nodes for callers.
    """

    words: Words
    plan: Plan
    record: Record
    nodes: tuple[str, ...]


class Client:
    """Sends live requests one after the other; it leaves a node only when its connection has ended."""

    def __init__(self, number: int, around: Surroundings) -> None:
        self._number = number
        self._around = around
        self._node = number % len(around.nodes)
        self._connection = CallerConnection(around.nodes[self._node])
        self._last_ids: dict[Kind, str] = {}

    async def run(self) -> None:
        """Send the requests of the plan until the time is up."""
        plan, record = self._around.plan, self._around.record
        for number, send in enumerate(plan.sends(self._number)):
            if record.now_s() > plan.length_s:
                break
            await anyio.sleep(send.think_s)
            answer = await self._send(f"{self._number}-{number}", send)
            if answer is None:
                self._node = (self._node + 1) % len(self._around.nodes)
                self._connection = CallerConnection(self._around.nodes[self._node])
                await anyio.sleep(RETURN_PAUSE_S)
        await self._connection.close()

    async def _send(self, serial: str, send: Send) -> Answer | None:
        words, record = self._around.words, self._around.record
        is_return = send.is_same_id and send.kind in self._last_ids
        request_id = self._last_ids[send.kind] if is_return else f"r{serial}"
        self._last_ids[send.kind] = request_id
        prefixes = {
            Kind.IDEMPOTENT: words.paths.idempotent,
            Kind.ONCE: words.paths.once,
            Kind.STREAM: words.paths.stream,
        }
        headers = {
            "Host": words.host,
            words.headers.request_id: request_id,
            words.headers.deadline_ms: str(int(DEADLINE_S * 1000)),
            SERIAL_HEADER: serial,
        }
        target, answer = prefixes[send.kind] + serial, None
        try:
            answer = await self._connection.exchange(
                "POST", target, headers, serial.encode(), send.is_chunked, DEADLINE_S + PATIENCE_S
            )
        except h11.RemoteProtocolError as error:
            record.faults.append(f"MIXED: bytes that are no answer reached the caller of {serial}: {error}")
        seen = answer or Answer(NO_ANSWER, {}, b"", False)
        stamp = seen.headers.get(words.headers.stamp.lower(), "")
        node = f"node-{self._node}"
        record.answers.append(
            CallerAnswer(serial, send.kind, request_id, node, record.now_s(), seen.status, stamp, seen.body,
                         seen.is_whole)
        )  # fmt: skip
        return answer


class Submitter:
    """Submits batches one after the other and reads each to its end, all calls on new connections."""

    def __init__(self, number: int, around: Surroundings) -> None:
        self._number = number
        self._around = around
        self._calls = count(number)

    async def run(self) -> None:
        """Submit batches until the time is up, and read the last one to its end."""
        record = self._around.record
        for step in count():
            if record.now_s() > self._around.plan.length_s:
                return
            batch_id = f"b{self._number}-{step}"
            seen = BatchSeen(batch_id, tuple(f"{batch_id}-i{number}" for number in range(NUM_ITEMS)))
            if not await self._submit(seen, step):
                continue
            record.batches.append(seen)
            while len(seen.results) < NUM_ITEMS:
                await anyio.sleep(READ_EVERY_S)
                await self._read(seen)
            seen.is_ended = True
            await self._read(seen)
            await self._call("DELETE", self._around.words.paths.batches + seen.batch_id, seen.batch_id, b"")

    async def _submit(self, seen: BatchSeen, step: int) -> bool:
        """Submit a batch, again until it is taken; return False if the time is up first."""
        words, record = self._around.words, self._around.record
        items = [
            {
                "id": item_id,
                "path": words.paths.generation + item_id,
                "headers": {},
                "body": base64.b64encode(item_id.encode()).decode(),
                "tokens": 900,
                "group": item_id,
                "scoringCall": {
                    "id": scoring_call_id(item_id),
                    "host": words.host,
                    "path": words.paths.idempotent + item_id,
                    "body": base64.b64encode(item_id.encode()).decode(),
                },
            }
            for item_id in seen.item_ids
        ]
        batch = {"step": step, "model": words.model, "desired": NUM_ITEMS, "items": items}
        while record.now_s() <= self._around.plan.length_s:
            target = words.paths.generation + seen.batch_id
            answer = await self._call("POST", target, seen.batch_id, json.dumps(batch).encode())
            if answer is not None and answer.status == 202:
                return True
            await anyio.sleep(RETURN_PAUSE_S)
        return False

    async def _read(self, seen: BatchSeen) -> None:
        """Read a batch, at times from the start, and note results that were otherwise before."""
        words, record = self._around.words, self._around.record
        start = 0 if seen.is_ended else len(seen.results)
        target = f"{words.paths.batches}{seen.batch_id}{words.paths.results_after}{start}"
        answer = await self._call("GET", target, seen.batch_id, b"")
        if answer is None or answer.status != 200 or not answer.is_whole:
            return
        page = json.loads(answer.body)
        if page["total"] != NUM_ITEMS:
            record.faults.append(f"MIXED: batch {seen.batch_id} has a total of {page['total']}")
        for position, result in enumerate(page["results"], start):
            row = _row_of(result)
            if position >= len(seen.results):
                seen.results.append(row)
            elif seen.results[position] != row:
                record.changed.append(f"batch {seen.batch_id} position {position}: {row}")

    async def _call(self, method: str, target: str, request_id: str, body: bytes) -> Answer | None:
        words, nodes = self._around.words, self._around.nodes
        connection = CallerConnection(nodes[next(self._calls) % len(nodes)])
        headers = {"Host": words.host, words.headers.request_id: request_id}
        try:
            return await connection.exchange(method, target, headers, body, False, DEADLINE_S)
        except h11.RemoteProtocolError as error:
            self._around.record.faults.append(f"MIXED: no answer to a call for {request_id}: {error}")
            return None
        finally:
            await connection.close()


def _row_of(result: dict[str, Any]) -> ItemResult:
    score = result.get("score", "")
    return ItemResult(result["id"], result["message"], result["state"], tuple(result["versions"]), score)
