"""Stand-ins of workers that answer twice."""

import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc

from worksramp_emulator.soak.plan import CHUNKED_SHARE, Kind, Plan, Surplus
from worksramp_emulator.soak.record import Record, WorkerAnswer
from worksramp_emulator.soak.server import (
    CHUNK_END,
    CONNECTION_ERRORS,
    Link,
    Request,
    Server,
    format_answer,
    format_chunk,
    format_head,
)
from worksramp_emulator.soak.words import Words

#: Header of the soak's callers that names the send, with a number that no other send has.
SERIAL_HEADER = "soak-serial"
REJECTED_SHARE, FAILED_SHARE = 0.06, 0.03
SERVICE_S = (0.004, 0.05)
NUM_STREAM_EVENTS = 5
STREAM_EVENT_S = 0.01
NUM_SLOTS = 8
OTHER_STATUSES = {200: (500, 503), 202: (200, 409, 412)}


def stream_event(serial: str, number: int) -> bytes:
    """Return an event of a caller's stream."""
    return f"id: {number}\ndata: {serial} {number}\n\n".encode()


@dataclass(frozen=True, slots=True)
class WorkerSite:
    """What all workers share.

    Attributes:
        tasks: tasks that outlive a connection.
        put_entry: writes the entry of a worker into the store.
    """

    words: Words
    plan: Plan
    record: Record
    tasks: anyio.abc.TaskGroup
    put_entry: Callable[[str, dict[str, Any]], None]


class Worker:
    """A worker of one service.

    Args:
        carries_ids: whether its answers to orders and reports carry the id back that the call had.
    """

    service = "desk"

    def __init__(self, worker_id: str, carries_ids: bool, site: WorkerSite) -> None:
        self.worker_id = worker_id
        self.server = Server(self._handle)
        self._site = site
        self._words = site.words
        self._names = site.words.headers
        self._plan = site.plan
        self._record = site.record
        self._carries_ids = carries_ids
        self._num_seen: Counter[str] = Counter()
        self._num_running = 0

    def publish(self) -> None:
        """Write the worker's entry into the store."""
        self._site.put_entry(self.worker_id, self.entry())

    def entry(self) -> dict[str, Any]:
        """Return what the worker states of itself."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "z",
            "version": "1",
            "slots": NUM_SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
        }

    async def _handle(self, request: Request, link: Link) -> None:
        name = self._serial(request) or request.path
        self._num_seen[name] += 1
        draws = self._plan.source(self.worker_id, name, self._num_seen[name])
        if request.headers.get(self._names.expect_instance.lower()) != self.worker_id:
            await link.send(format_answer(421, {self._names.instance_id: self.worker_id}, b""))
        elif request.path == self._words.paths.report:
            await self._answer_call(link, draws, request, 200, json.dumps(self._report()).encode())
        elif request.path == self._words.paths.order:
            await self._answer_call(link, draws, request, self._order(json.loads(request.body)), b"")
        else:
            await self._run(request, link, draws)

    def _serial(self, request: Request) -> str:
        """Return the number of a send; scoring calls have none, and their own ids."""
        return request.headers.get(SERIAL_HEADER) or self._request_id(request)

    def _request_id(self, request: Request) -> str:
        return request.headers.get(self._names.request_id.lower(), "")

    def _report(self) -> dict[str, Any]:
        return {"stage": "both", "models": [], "busy": False, "seq": 0, "runningCount": self._num_running}

    def _order(self, order: dict[str, Any]) -> int:
        return 400

    async def _answer_call(
        self, link: Link, draws: random.Random, request: Request, status: int, body: bytes
    ) -> None:
        request_id = self._request_id(request) if self._carries_ids else ""
        headers = {self._names.request_id: request_id} if request_id else {}
        other = draws.choice(OTHER_STATUSES.get(status, (200,)))
        first = format_answer(status, headers, body, draws.random() < CHUNKED_SHARE)

        def second(surplus: Surplus) -> bytes:
            other_status = other if surplus.has_other_status else status
            return format_answer(other_status, headers if surplus.has_id else {}, body, surplus.is_chunked)

        async with link.turn:
            await self._end(link, self._plan.surplus(draws), first, second, request.path)

    async def _end(
        self, link: Link, surplus: Surplus | None, last: bytes, second: Callable[[Surplus], bytes], what: str
    ) -> None:
        """Write the last bytes of an answer, and a second answer with them or later."""
        if surplus is None:
            await link.send(last)
        elif surplus.delay_s == 0:
            await link.send(last + second(surplus))
            self._record.surpluses[what] += 1
        else:
            await link.send(last)
            link.tasks.start_soon(self._write_later, link, surplus.delay_s, second(surplus), what)

    async def _write_later(self, link: Link, delay_s: float, data: bytes, what: str) -> None:
        await anyio.sleep(delay_s)
        try:
            async with link.turn:
                await link.send(data)
                self._record.surpluses[what] += 1
        except CONNECTION_ERRORS:
            return

    async def _run(self, request: Request, link: Link, draws: random.Random) -> None:
        serial, kind = self._serial(request), self._kind_of(request)
        draw, service_s = draws.random(), draws.uniform(*SERVICE_S)
        status = 503 if draw < REJECTED_SHARE else 500 if draw < REJECTED_SHARE + FAILED_SHARE else 200
        if self._num_running >= NUM_SLOTS:
            status = 503
        stamp = f"{self.worker_id}.{serial}.{self._num_seen[serial]}"
        if status != 503:
            self._record.num_runs[serial] += 1
            self._num_running += 1
            try:
                await anyio.sleep(service_s)
            finally:
                self._num_running -= 1
        if kind is Kind.STREAM and status == 200:
            await self._stream(link, draws, request, serial, stamp)
        else:
            await self._answer(link, draws, request, status, stamp, f"{stamp} {status}".encode())

    def _kind_of(self, request: Request) -> Kind:
        is_stream = request.path.startswith(self._words.paths.stream)
        return Kind.STREAM if is_stream else Kind.ONCE

    def _own_headers(self, request_id: str, status: int, stamp: str) -> dict[str, str]:
        headers = {self._names.request_id: request_id} if request_id else {}
        if status == 503:
            return {**headers, self._names.not_executed: "1"}
        return {**headers, self._names.stamp: stamp}

    async def _answer(
        self, link: Link, draws: random.Random, request: Request, status: int, stamp: str, body: bytes
    ) -> None:
        """Answer a live request, perhaps twice; the second answer's body tells that it is not the first."""
        headers = self._own_headers(self._request_id(request), status, stamp)
        seen = WorkerAnswer(status, headers.get(self._names.stamp, ""), body)
        self._record.answers_made[self._serial(request)].append(seen)
        first = format_answer(status, headers, body, draws.random() < CHUNKED_SHARE)
        async with link.turn:
            await self._end_twice(link, draws, request, first, status, stamp, body)

    async def _end_twice(
        self,
        link: Link,
        draws: random.Random,
        request: Request,
        last: bytes,
        status: int,
        stamp: str,
        body: bytes,
    ) -> None:
        """Write the last bytes of an answer with the given status and body, and perhaps a second answer."""
        request_id, other = self._request_id(request), draws.choice(OTHER_STATUSES.get(status, (200,)))

        def second(surplus: Surplus) -> bytes:
            number, data = (other, b"second answer: " + body) if surplus.has_other_status else (status, body)
            headers = self._own_headers(request_id if surplus.has_id else "", number, stamp)
            return format_answer(number, headers, data, surplus.is_chunked)

        await self._end(link, self._plan.surplus(draws), last, second, f"{self.service} {status}")

    async def _stream(
        self, link: Link, draws: random.Random, request: Request, serial: str, stamp: str
    ) -> None:
        headers = self._own_headers(self._request_id(request), 200, stamp) | {
            "Content-Type": "text/event-stream"
        }
        events = [stream_event(serial, number) for number in range(1, NUM_STREAM_EVENTS + 1)]
        self._record.answers_made[serial].append(WorkerAnswer(200, stamp, b"".join(events)))
        async with link.turn:
            await link.send(format_head(200, {**headers, "Transfer-Encoding": "chunked"}))
            for event in events:
                await anyio.sleep(STREAM_EVENT_S)
                await link.send(format_chunk(event))
            await self._end_twice(link, draws, request, CHUNK_END, 200, stamp, b"".join(events))
