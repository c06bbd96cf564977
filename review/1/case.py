"""The store loses answers to writes while batch jobs change hands: does one machine act as their owner?"""

import asyncio
import base64
import json
import sys
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    ATTEMPT_ID,
    HEADERS,
    WIRE,
    Connection,
    Deployment,
    Node,
    Record,
    Request,
    Worker,
    camel,
    chunk,
    configuration,
    has_trouble,
    head,
    route,
    run_case,
    whole,
)

MODEL = "daka510000"
NUM_NODES, NUM_WORKERS = 3, 3
SLOTS = 12
NUM_EVENTS, EVENT_S = 17, 0.04
LOAD_S = 0.9
#: Reports tell things "as they stood some hundred ms earlier".
REPORT_AGE_S = 0.3
#: From a change to the heartbeat that writes it into the store, at most `heartbeatMs`.
BEAT_S = 0.6
#: `platform_lost`, late: answers are lost for 4 to 6.4 s in the small deployments, and what they were to
#: answer is "done 1 to 6 s later". Losses end this long after the second write under a condition was taken.
TROUBLE_S = 6.0
OWNER_LATE_S, NEXT_LATE_S = 1.5, 5.0
END_AFTER_S = 0.2
#: From the start of an attempt to the trouble, and to the first version that the trainer names.
TROUBLE_AT_S, NAMED_AT_S = 4.0, 13.5
NAME_EVERY_S, NUM_VERSIONS = 4.0, 2
NUM_ATTEMPTS = 4
NUM_GROUPS, GROUP_SIZE = 12, 4
READ_EVERY_S = 0.5
LIMIT_S = 115.0
CONFIG = configuration(
    [route("r-drafts", "/pufi791/", "generation", "fleet", run_target_ms=7500, keep_s=40.0, resumable=True)],
    [
        {
            "name": "fleet",
            "healthPath": "/healthz",
            "maxConns": 150,
            "engine": camel(slots=SLOTS, kv_capacity=114759, stride=58, models=[{"name": MODEL}]),
        }
    ],
)


@dataclass(frozen=True)
class WorkerStage:
    """What a worker reports from a moment on."""

    since: float
    version: int
    num_orders: int
    is_loading: bool


class ModelWorker(Worker):
    """Runs items as streams of events, and takes orders to load weights; it checks fences."""

    def __init__(self, number: int, record: Record) -> None:
        super().__init__(f"i-model{number}", "fleet", SLOTS, record)
        #: Holders of the orders that arrived, by fence.
        self.holders: dict[int, set[str]] = defaultdict(set)
        self._highest_fence = 0
        self._stages = [WorkerStage(0.0, 1, 0, False)]

    def _enter(self, version: int, num_orders: int, is_loading: bool) -> None:
        now = asyncio.get_running_loop().time()
        self._stages.append(WorkerStage(now, version, num_orders, is_loading))
        asyncio.get_running_loop().call_later(BEAT_S, self.publish)

    def is_busy(self) -> bool:
        """Return whether a request is rejected now: no slot is free, or an order is under way."""
        return super().is_busy() or self._stages[-1].is_loading

    def entry(self, zone: str) -> dict[str, Any]:
        """Return what the worker says of itself in the store."""
        stage = self._stages[-1]
        models = [{"name": MODEL, "version": stage.version, "adapters": []}]
        return {**super().entry(zone), "stage": "both", "models": models, "seq": stage.num_orders}

    def report(self) -> dict[str, Any]:
        """Return the worker's report, as things stood some hundred ms earlier."""
        until = asyncio.get_running_loop().time() - REPORT_AGE_S
        stage = [stage for stage in self._stages if stage.since <= until][-1]
        models = [{"name": MODEL, "version": stage.version, "adapters": []}]
        return {**super().report(), "models": models, "busy": stage.is_loading, "seq": stage.num_orders}

    def answer_call(self, request: Request) -> bytes | None:
        """Return the answer to a report or an order, None for a request."""
        if request.target != "/api/order":
            return super().answer_call(request)
        order = json.loads(request.body)
        self.holders[order["fence"]].add(order["holder"])
        status = self._status_of(order)
        if status == 202:
            stage = self._stages[-1]
            self._highest_fence = order["fence"]
            self._enter(stage.version, stage.num_orders + 1, True)
            asyncio.get_running_loop().call_later(
                LOAD_S, self._enter, order["version"], stage.num_orders + 1, False
            )
        self.record.add(
            self.worker_id,
            f"order of {order['holder']}, fence {order['fence']}, to load {order['version']}: {status}",
        )
        return whole(status)

    def _status_of(self, order: dict[str, Any]) -> int:
        stage = self._stages[-1]
        if order["fence"] < self._highest_fence:
            return 412
        if stage.is_loading or order.get("expectedRev", stage.num_orders) != stage.num_orders:
            return 409
        return 200 if order["version"] <= stage.version else 202

    async def run(self, request: Request, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Answer an item that is run, from the event after the last one that the sender has."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        version = self._stages[-1].version
        fields = {**self.own_headers(request_id), "Content-Type": "text/event-stream"}
        fields |= {HEADERS["versions"]: str(version), "Transfer-Encoding": "chunked"}
        writer.write(head(200, fields))
        for number in range(first, NUM_EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: piece {number} of {request_id}\n\n"
            if self._stages[-1].version != version:
                version = self._stages[-1].version
                event = f"{HEADERS['versions'].lower()}:{version}\n{event}"
            writer.write(chunk(event.encode()))
            await writer.drain()
        writer.write(chunk(b""))
        return True


class LostAnswers:
    """Which writes the store does late and does not answer; only fields of the platform's own calls count.

    They are writes with a producer, epoch and number. Those of the epoch that holds are done 1.5 s later,
    those of later epochs 5 s later, until 0.2 s after two writes under a condition (`at`) have been taken.
    From then on, all writes are answered; the trouble as a whole lasts 6 s.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._is_on = self._is_losing = False
        self._epoch: int | None = None
        self._num_conditional = self._num_writes = self._num_lost = 0

    def start(self) -> None:
        """Lose answers from now on."""
        self._is_on = self._is_losing = True
        self._record.add("store", "loses answers of writes from now on")
        asyncio.get_running_loop().call_later(TROUBLE_S, self._end)

    def _end(self) -> None:
        self._is_on = self._is_losing = False
        self._record.add(
            "store", f"{self._num_lost} of the {self._num_writes} writes in {TROUBLE_S} s had no answer"
        )

    def _stop_losing(self) -> None:
        self._is_losing = False

    def note_taken(self, query: dict[str, str]) -> None:
        """Count a write under a condition that was taken."""
        if not self._is_losing or "at" not in query:
            return
        self._num_conditional += 1
        self._record.add("store", f"took write {self._num_conditional} under a condition, at {query['at']}")
        if self._num_conditional == 2:
            asyncio.get_running_loop().call_later(END_AFTER_S, self._stop_losing)

    def delay_s(self, query: dict[str, str]) -> float | None:
        """Return after how many seconds a write is done unanswered, None to do and answer it now."""
        self._num_writes += self._is_on
        if not self._is_losing or "producer" not in query:
            return None
        epoch = int(query["epoch"])
        self._epoch = epoch if self._epoch is None else self._epoch
        self._num_lost += 1
        self._record.add("store", f"write of epoch {epoch}, number {query['seq']}: no answer, done late")
        return OWNER_LATE_S if epoch == self._epoch else NEXT_LATE_S


class Trainer:
    """Submits batch jobs, names versions and reads results at all nodes."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        #: Item at each position that was read.
        self.positions: dict[tuple[str, int], str] = {}
        self.changed: list[str] = []
        self.twice: list[str] = []
        self._jobs: list[str] = []

    async def submit(self, step: int) -> None:
        """Submit a batch job, at the next node after each refusal."""
        name = f"job{step:04x}"
        fields = {ATTEMPT_ID: name, "Content-Type": "application/json"}
        for attempt in range(3 * NUM_NODES):
            node = self._deployment.nodes[(step + attempt) % NUM_NODES]
            answer = await Connection(node.front).exchange("POST", "/pufi791/1", fields, batch_job(step))
            status = None if answer is None else answer.status
            self._deployment.record.add("trainer", f"{name} at {node.name}: {status}")
            if status == 202:
                self._jobs.append(name)
                break
            await asyncio.sleep(0.3)

    def name_version(self, version: int) -> None:
        """Name the next version of the weights."""
        self._deployment.store.put(
            WIRE["topics"]["operator"], f"version/{MODEL}", {"model": MODEL, "version": version}
        )
        self._deployment.record.add("trainer", f"names version {version}")

    async def end(self, step: int) -> None:
        """End a batch job, at the next node after each refusal."""
        path = WIRE["paths"]["batch_job"].format(name=f"job{step:04x}")
        for attempt in range(3 * NUM_NODES):
            node = self._deployment.nodes[(step + attempt) % NUM_NODES]
            answer = await Connection(node.front).exchange("DELETE", path, {})
            status = None if answer is None else answer.status
            self._deployment.record.add("trainer", f"ends job{step:04x} at {node.name}: {status}")
            if status == 200:
                break
            await asyncio.sleep(0.3)

    async def read(self, node: Node) -> None:
        """Read the results of all batch jobs from the start again and again, until cancelled."""
        while True:
            await asyncio.sleep(READ_EVERY_S)
            for name in self._jobs[-4:]:
                answer = await Connection(node.front).exchange(
                    "GET", WIRE["paths"]["results"].format(name=name), {}
                )
                if answer is not None and answer.is_whole and answer.status == 200:
                    self._note(name, node, json.loads(answer.body)["results"])

    def _note(self, name: str, node: Node, results: list[dict[str, Any]]) -> None:
        for position, result in enumerate(results):
            before = self.positions.setdefault((name, position), result["id"])
            if before != result["id"]:
                self.changed.append(
                    f"{name} position {position}: {before}, then {result['id']} at {node.name}"
                )
                self.positions[name, position] = result["id"]
        ids = [result["id"] for result in results]
        self.twice += [f"{name}: {item} at two positions" for item in set(ids) if ids.count(item) > 1]


def batch_job(step: int) -> bytes:
    """Return the body of a batch job."""
    items = [
        {
            "id": f"{step:04x}{group:04x}{number:04x}beef",
            "path": f"/pufi791/3/{group}",
            "headers": {HEADERS["model"]: MODEL, HEADERS["token_count"]: "1016,986"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 2002,
            "group": f"g{step}-{group}",
        }
        for group in range(NUM_GROUPS)
        for number in range(GROUP_SIZE)
    ]
    job = camel(step=step, model=MODEL, min_version=max(1, step), desired=NUM_GROUPS, items=items)
    return json.dumps(job).encode()


async def train(trainer: Trainer, lost: LostAnswers) -> None:
    """Submit a first batch job; name versions, each with a further one, once the trouble is over."""
    await trainer.submit(0)
    await asyncio.sleep(TROUBLE_AT_S)
    if has_trouble():
        lost.start()
    await asyncio.sleep(NAMED_AT_S - TROUBLE_AT_S)
    for number in range(1, NUM_VERSIONS + 1):
        await trainer.end(number - 1)
        trainer.name_version(number + 1)
        await asyncio.sleep(NAME_EVERY_S / 2)
        await trainer.submit(number)
        await asyncio.sleep(NAME_EVERY_S / 2)


async def attempt(folder: Path, record: Record) -> bool:
    """Return whether no two machines gave orders under one fence, and no result was changed or twice."""
    folder.mkdir()
    models = [ModelWorker(number, record) for number in range(1, NUM_WORKERS + 1)]
    deployment = Deployment(folder, record, list(models), NUM_NODES)
    lost = LostAnswers(record)
    deployment.store.lost = lost
    trainer = Trainer(deployment)
    readers: list[asyncio.Future[None]] = []
    try:
        await deployment.start(CONFIG)
        readers = [asyncio.ensure_future(trainer.read(node)) for node in deployment.nodes]
        await train(trainer, lost)
    finally:
        for reader in readers:
            reader.cancel()
        await deployment.stop_all()
    for node in deployment.nodes:
        for line in node.log_lines("lease_", "owner_lost"):
            record.add(node.name, f"log: {line.partition(' ')[2][:150]}")
    shared = [
        f"{model.worker_id} got orders under fence {fence} of {sorted(holders)}"
        for model in models
        for fence, holders in model.holders.items()
        if len(holders) > 1
    ]
    for what in shared:
        record.add("case", f"ONE: {what}")
    changes = [*trainer.changed, *sorted(set(trainer.twice))]
    for what in changes[:20]:
        record.add("case", f"TWICE: {what}")
    record.add("case", f"{len(shared)} fences shared (ONE), {len(changes)} results changed or twice (TWICE)")
    return not shared and not changes


async def case(folder: Path, record: Record) -> bool:
    """Return whether the rules held in all attempts."""
    for number in range(NUM_ATTEMPTS):
        record.add("case", f"attempt {number + 1}: a new deployment")
        if not await attempt(folder / str(number), record):
            return False
    return True


if __name__ == "__main__":
    raise SystemExit(run_case(Path(__file__).parent, case, LIMIT_S))
