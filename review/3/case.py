"""The settings of a node change while it stops after SIGTERM: are requests that it took still answered?"""

import asyncio
import signal
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
    configuration,
    has_trouble,
    route,
    run_case,
    whole,
)

NUM_NODES = 3
SLOTS = 6
WORK_S = 0.19
NUM_CLIENTS = 4
PAUSE_S = 0.05
ALLOWED_MS = 2000
GRACE_S = 8.0
#: Nodes are stopped in turn; the settings file of a stopping node changes this long after its SIGTERM.
STOP_EVERY_S = 6.0
CHANGE_AFTER_S = 1.0
#: A node that is asked once a second is out after two misses; until then, it gets new connections.
OUT_AFTER_S = 2.0
FIRST_STOP_S = 2.0
LENGTH_S = FIRST_STOP_S + NUM_NODES * STOP_EVERY_S + 2.0
LIMIT_S = 100.0
CONFIG = configuration(
    [
        route("r-order", "/lohu930/", "idempotent", "desk", timeout_ms=2000, slo_ms=192, max_attempts=2),
        route("r-pay", "/pago17/", "non_idempotent", "desk", timeout_ms=2000, slo_ms=192, max_attempts=2),
    ],
    [{"name": "desk", "healthPath": "/healthz", "maxConns": 96}],
)
PATHS = ("/lohu930/1", "/pago17/1")


class DeskWorker(Worker):
    """A sound worker."""

    async def run(self, request: Request, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Answer a request that is run."""
        await asyncio.sleep(WORK_S)
        writer.write(whole(200, b"x" * 800, self.own_headers(request_id)))
        return True


class Clients:
    """Clients of one node; they keep their connections, and open new ones only while the node is in."""

    def __init__(self, deployment: Deployment, node: Node) -> None:
        self._deployment = deployment
        self._node = node
        self.is_out = False
        self.stopped_at = float("inf")
        self.num_answered = 0
        self.lost: list[str] = []

    def _is_planned(self, sent_at: float, ended_at: float) -> bool:
        """Return whether a connection ended around the node's stop, before the request's time was up."""
        is_around_stop = self.stopped_at <= ended_at <= self.stopped_at + GRACE_S + 1.0
        return is_around_stop and ended_at - sent_at < ALLOWED_MS / 1000

    async def run(self, number: int, ends_at: float) -> None:
        """Send requests one after the other."""
        connection, count, loop = Connection(self._node.front), 0, asyncio.get_running_loop()
        while loop.time() < ends_at:
            await asyncio.sleep(PAUSE_S)
            if self.is_out and not connection.is_open:
                continue
            request_id, count = f"{self._node.name}-{number}-{count:04}", count + 1
            fields = {ATTEMPT_ID: request_id, DEADLINE_MS: str(ALLOWED_MS)}
            sent_at = loop.time()
            answer = await connection.exchange("POST", PATHS[number % 2], fields, b"{}")
            is_begun = self._deployment.num_begun(request_id) > 0
            if answer is not None and answer.is_whole:
                self.num_answered += 1
                self._deployment.record.add("client", f"{request_id}: {answer.status}")
            elif is_begun and self._is_planned(sent_at, loop.time()):
                self.lost.append(request_id)
                self._deployment.record.add(
                    "client",
                    f"{request_id}: connection ended without an answer; a worker has begun to run it",
                )
            else:
                self._deployment.record.add("client", f"{request_id}: no answer; no worker has run it")
        connection.close()


async def stop_in_turn(deployment: Deployment, clients: list[Clients]) -> None:
    """Stop each node by SIGTERM; meanwhile its settings file changes."""
    await asyncio.sleep(FIRST_STOP_S)
    for node, of_node in zip(deployment.nodes, clients, strict=True):
        of_node.stopped_at = asyncio.get_running_loop().time()
        node.stop()
        await asyncio.sleep(CHANGE_AFTER_S)
        if has_trouble():
            node.change_settings()
            node.signal(signal.SIGHUP)
        await asyncio.sleep(OUT_AFTER_S - CHANGE_AFTER_S)
        of_node.is_out = True
        await asyncio.sleep(STOP_EVERY_S - OUT_AFTER_S)
        await node.wait_ready()
        of_node.is_out = False


async def case(folder: Path, record: Record) -> bool:
    """Return whether all requests that a node passed on were answered."""
    workers: list[Worker] = [DeskWorker(f"i-desk{number}", "desk", SLOTS, record) for number in range(3)]
    deployment = Deployment(folder, record, workers, NUM_NODES)
    clients = [Clients(deployment, node) for node in deployment.nodes]
    try:
        await deployment.start(CONFIG)
        ends_at = asyncio.get_running_loop().time() + LENGTH_S
        running = [of_node.run(number, ends_at) for of_node in clients for number in range(NUM_CLIENTS)]
        await asyncio.gather(stop_in_turn(deployment, clients), *running)
    finally:
        await deployment.stop_all()
    for node in deployment.nodes:
        record.add("case", f"{node.name} ended with the statuses {node.ends}")
    lost = [request_id for of_node in clients for request_id in of_node.lost]
    num_answered = sum(of_node.num_answered for of_node in clients)
    record.add("case", f"LOST: {len(lost)} requests passed on and never answered; {num_answered} answered")
    return not lost


if __name__ == "__main__":
    raise SystemExit(run_case(Path(__file__).parent, case, LIMIT_S))
