"""Stand-in of a model worker, which answers items, rejections, orders and reports twice."""

import random
from typing import Any

import anyio
import xxhash

from worksramp_emulator.soak.plan import CHUNKED_SHARE
from worksramp_emulator.soak.record import ItemRun
from worksramp_emulator.soak.server import CHUNK_END, Link, Request, format_answer, format_chunk, format_head
from worksramp_emulator.soak.workers import NUM_SLOTS, Worker, WorkerSite

ITEM_REJECTED_SHARE = 0.3
MIN_ITEM_EVENTS, MAX_ITEM_EVENTS = 10, 35
ITEM_EVENT_S = 0.04
#: Time in which a prompt is read, before the head of the answer.
PROMPT_S = (0.01, 0.15)
LOAD_S = 0.6
FIRST_VERSION = 1


def item_text(item_id: str) -> list[str]:
    """Return the data of all events of an item."""
    num_events = MIN_ITEM_EVENTS + xxhash.xxh32_intdigest(item_id.encode()) % (
        MAX_ITEM_EVENTS - MIN_ITEM_EVENTS
    )
    return [f"piece {number} of {item_id}" for number in range(1, num_events + 1)]


class ModelWorker(Worker):
    """A worker that runs the items of batches as streams of events, and takes version orders."""

    service = "fleet"

    def __init__(self, worker_id: str, carries_ids: bool, site: WorkerSite) -> None:
        super().__init__(worker_id, carries_ids, site)
        self.version = FIRST_VERSION
        self._num_orders = 0
        self._highest_fence = 0
        self._is_loading = False

    def entry(self) -> dict[str, Any]:
        """Return what the worker states of itself."""
        return {**super().entry(), "stage": "both", "models": self._models(), "seq": self._num_orders}

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": self._words.model, "version": self.version, "adapters": []}]

    def _report(self) -> dict[str, Any]:
        fields = {"models": self._models(), "busy": self._is_loading, "seq": self._num_orders}
        return {**super()._report(), **fields}

    def _order(self, order: dict[str, Any]) -> int:
        self._record.orders[self.worker_id, order["fence"]].add(order["holder"])
        status = self._status_of(order)
        self._record.note(self.worker_id, f"order of {order['holder']} to load {order['version']}: {status}")
        if status == 202:
            self._highest_fence = order["fence"]
            self._num_orders += 1
            self._is_loading = True
            self._site.tasks.start_soon(self._load, order["version"])
        return status

    def _status_of(self, order: dict[str, Any]) -> int:
        if order["fence"] < self._highest_fence:
            return 412
        if self._is_loading or order.get("expectedRev", self._num_orders) != self._num_orders:
            return 409
        return 200 if order["version"] <= self.version else 202

    async def _load(self, version: int) -> None:
        self.publish()
        await anyio.sleep(LOAD_S)
        self.version, self._is_loading = version, False
        self.publish()

    async def _run(self, request: Request, link: Link, draws: random.Random) -> None:
        item_id = self._request_id(request)
        is_rejected = draws.random() < ITEM_REJECTED_SHARE
        if is_rejected or self._is_loading or self._num_running >= NUM_SLOTS:
            headers = self._own_headers(item_id, 503, "")
            first = format_answer(503, headers, b"", draws.random() < CHUNKED_SHARE)
            async with link.turn:
                await self._end_twice(link, draws, request, first, 503, self.worker_id, b"")
            return
        run = ItemRun(item_id, self.worker_id, self._record.now_s())
        self._record.item_runs.append(run)
        self._num_running += 1
        try:
            await self._run_item(request, link, draws, run)
        finally:
            self._num_running -= 1
            run.ended_s = self._record.now_s()

    async def _run_item(self, request: Request, link: Link, draws: random.Random, run: ItemRun) -> None:
        item_id, version = run.item_id, self.version
        stamp = f"{self.worker_id}.{item_id}.{self._num_seen[item_id]}"
        headers = self._own_headers(item_id, 200, stamp)
        headers |= {"Content-Type": "text/event-stream", self._names.versions: str(version)}
        first = int(request.headers.get("last-event-id", "0")) + 1
        sent = b""
        await anyio.sleep(draws.uniform(*PROMPT_S))
        async with link.turn:
            await link.send(format_head(200, {**headers, "Transfer-Encoding": "chunked"}))
            for number, data in enumerate(item_text(item_id), start=1):
                if number < first:
                    continue
                await anyio.sleep(ITEM_EVENT_S)
                line = "" if version == self.version else f"{self._names.versions.lower()}:{self.version}\n"
                version = self.version
                run.versions.add(version)
                event = f"{line}id: {number}\ndata: {data}\n\n".encode()
                sent += event
                await link.send(format_chunk(event))
            await self._end_twice(link, draws, request, CHUNK_END, 200, stamp, sent)
