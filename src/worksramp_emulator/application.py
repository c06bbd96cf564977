"""Stand-in for workers of an application: live requests, some of which end the worker that runs them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from worksramp.routing.worker_port import WorkerAnswer, WorkerAnswerBrokenError, WorkerRequest
from worksramp.routing.workers import WorkerEntry

#: Work of an ordinary request, as the prepared machines' application workers need for theirs.
SERVICE_S = 0.0375
#: From the begin of a request that ends its worker to that worker's end, as seen on the prepared machines.
CRASH_S = 0.08
TICK_S = 0.0025


class ApplicationWorker(Protocol):
    """What a worker of an application is here."""

    entry: WorkerEntry
    is_gone: bool
    num_running: int


@dataclass(frozen=True, slots=True)
class ServedRun:
    """A live request as a worker began to run it."""

    at: float
    worker_id: str
    node: str
    target: bytes


@dataclass(frozen=True, slots=True)
class CrashSeen:
    """A worker's end.

    Attributes:
        target: of the request that ended it, empty when none did.
    """

    at: float
    worker_id: str
    target: bytes


@dataclass(slots=True)
class ApplicationRecord:
    """What all workers of the application saw.

    Attributes:
        crashing_targets: requests that end each worker that begins to run them.
        num_resets: times that the connections of all workers broke.
    """

    crashing_targets: set[bytes] = field(default_factory=set)
    runs: list[ServedRun] = field(default_factory=list)
    crashes: list[CrashSeen] = field(default_factory=list)
    num_resets: int = 0

    def crash(self, worker: ApplicationWorker, target: bytes = b"") -> None:
        """End a worker; all that runs there breaks off."""
        if worker.is_gone:
            return
        worker.is_gone = True
        self.crashes.append(CrashSeen(anyio.current_time(), worker.entry.worker_id, target))


@asynccontextmanager
async def served(
    record: ApplicationRecord, worker: ApplicationWorker, node: str, request: WorkerRequest
) -> AsyncIterator[WorkerAnswer]:
    """Run a live request at a worker, or end the worker with it."""
    worker_id = worker.entry.worker_id
    record.runs.append(ServedRun(anyio.current_time(), worker_id, node, request.target))
    is_killing = request.target in record.crashing_targets
    num_resets = record.num_resets
    worker.num_running += 1
    try:
        ends_at = anyio.current_time() + (CRASH_S if is_killing else SERVICE_S)
        while anyio.current_time() < ends_at and not worker.is_gone:
            await anyio.sleep(TICK_S)
            if record.num_resets != num_resets:
                raise WorkerAnswerBrokenError(worker_id)
        if is_killing:
            record.crash(worker, request.target)
        if worker.is_gone:
            raise WorkerAnswerBrokenError(worker_id)
        yield WorkerAnswer(
            status=200,
            headers=(),
            is_not_run=False,
            is_other_worker=False,
            is_leaving=False,
            signature=f"{worker_id}.{request.request_id}",
            load=None,
            weight_version=None,
            body=_body(),
        )
    finally:
        worker.num_running -= 1


async def _body() -> AsyncIterator[bytes]:
    yield b"done"
