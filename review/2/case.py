"""Workers fail streams that must not be repeated and break off some of these answers: are they run again?"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    ATTEMPT_ID,
    DEADLINE_MS,
    Connection,
    Deployment,
    Node,
    Record,
    Request,
    Worker,
    chunk,
    configuration,
    has_trouble,
    head,
    route,
    run_case,
    whole,
)

SLOTS = 12
#: Number of the faulty worker in the list.
FAULTY = 0
NUM_NODES = 3
NUM_EVENTS, EVENT_S = 6, 0.02
FAILING_WORK_S = 0.03
#: Share of its requests that the faulty worker fails (`srv_grey`; the sites have 0.3 to 0.48 at 0.09 to 0.17
#: of the workers for 5 to 7.2 s), and of its answers that it breaks off (`garble`; 0.01 to 0.03 at up to 0.6
#: of the workers for 4 to 6.8 s). One of three workers is faulty.
FAILED_SHARE, BROKEN_SHARE = 0.4, 0.05
NUM_CONNECTIONS = 6
PAUSE_S = 0.05
TROUBLE_AT_S, TROUBLE_FOR_S = 3.0, 13.0
LENGTH_S = 20.0
LIMIT_S = 100.0
ALLOWED_MS = 3000
PATHS = ("/lohu930/1", "/pago17/1")
CONFIG = configuration(
    [
        route("r-stream", "/lohu930/", "streaming", "desk", timeout_ms=4000, max_attempts=3, resumable=False),
        route("r-once", "/pago17/", "streaming", "desk", timeout_ms=4000, max_attempts=1, resumable=False),
    ],
    [{"name": "desk", "healthPath": "/healthz", "maxConns": 96}],
)


class StreamWorker(Worker):
    """Answers with a stream of events, or with its own 500; a faulty one breaks off some answers."""

    def __init__(self, number: int, record: Record) -> None:
        super().__init__(f"i-desk{number}", "desk", SLOTS, record)
        self.is_faulty = False
        self._rng = random.Random(number)

    async def run(self, request: Request, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Answer a request that is run."""
        is_failed = self.is_faulty and self._rng.random() < FAILED_SHARE
        is_broken = self.is_faulty and has_trouble() and self._rng.random() < BROKEN_SHARE
        if is_failed:
            return await self._fail(request_id, writer, is_broken)
        fields = {**self.own_headers(request_id), "Content-Type": "text/event-stream"}
        writer.write(head(200, {**fields, "Transfer-Encoding": "chunked"}))
        for number in range(1, NUM_EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            writer.write(chunk(f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()))
            await writer.drain()
            if is_broken and number == NUM_EVENTS // 2:
                writer.transport.abort()
                return False
        writer.write(chunk(b""))
        return True

    async def _fail(self, request_id: str, writer: asyncio.StreamWriter, is_broken: bool) -> bool:
        """Answer with an error of its own, which counts as run."""
        await asyncio.sleep(FAILING_WORK_S)
        answer = whole(500, b"the request was begun and failed" * 8, self.own_headers(request_id))
        if not is_broken:
            writer.write(answer)
            return True
        self.record.add(self.worker_id, f"has run {request_id}, fails it and breaks off its answer 500")
        writer.write(answer[:-100])
        await writer.drain()
        writer.transport.abort()
        return False


async def send_streams(deployment: Deployment, node: Node, number: int, statuses: dict[str, int]) -> None:
    """Send streams one after the other, each once: a client doesn't repeat what may have run."""
    connection, count, loop = Connection(node.front), 0, asyncio.get_running_loop()
    ends_at = loop.time() + LENGTH_S
    while loop.time() < ends_at:
        await asyncio.sleep(PAUSE_S)
        request_id, count = f"{node.name}-{number}-{count:04}", count + 1
        fields = {ATTEMPT_ID: request_id, DEADLINE_MS: str(ALLOWED_MS)}
        answer = await connection.exchange("POST", PATHS[number % 2], fields, b"{}")
        statuses[request_id] = 0 if answer is None else answer.status
        deployment.record.add(
            "client",
            f"{request_id}: answer {'none' if answer is None else answer.status}, "
            f"{'whole' if answer is not None and answer.is_whole else 'broken off'}",
        )
    connection.close()


async def cause_trouble(worker: StreamWorker) -> None:
    """Let a worker be faulty for a while."""
    await asyncio.sleep(TROUBLE_AT_S)
    worker.is_faulty = True
    await asyncio.sleep(TROUBLE_FOR_S)
    worker.is_faulty = False


async def case(folder: Path, record: Record) -> bool:
    """Return whether no stream ran twice, and none that ran was said not to have run."""
    workers = [StreamWorker(number, record) for number in (1, 2, 3)]
    deployment = Deployment(folder, record, list(workers), NUM_NODES)
    statuses: dict[str, int] = {}
    try:
        await deployment.start(CONFIG)
        senders = [
            send_streams(deployment, node, number, statuses)
            for node in deployment.nodes
            for number in range(NUM_CONNECTIONS)
        ]
        await asyncio.gather(cause_trouble(workers[FAULTY]), *senders)
    finally:
        await deployment.stop_all()
    twice = [request_id for request_id in statuses if deployment.num_begun(request_id) > 1]
    refused = [name for name, status in statuses.items() if status == 503 and deployment.num_begun(name)]
    for request_id in twice:
        ran_at = {worker.worker_id: worker.begun[request_id] for worker in workers}
        record.add("case", f"TWICE: {request_id} began to run at {ran_at}, answered {statuses[request_id]}")
    for request_id in refused:
        record.add("case", f"REFUSED: {request_id} was answered 503 although it had run")
    record.add(
        "case", f"{len(statuses)} streams, {len(twice)} run more than once, {len(refused)} refused but run"
    )
    return not twice and not refused


if __name__ == "__main__":
    raise SystemExit(run_case(Path(__file__).parent, case, LIMIT_S))
