"""Emulated workers of an application: they run live requests, some of which crash the worker."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from worksramp.routing.worker_port import WorkerAnswer, WorkerAnswerBrokenError, WorkerRequest
from worksramp.routing.workers import WorkerEntry

#: Service time of an ordinary request, that of the application workers on the prepared machines.
SERVICE_S = 0.0375
#: Time from the start of a crashing request to the crash of its worker, as on the prepared machines.
CRASH_S = 0.08
#: Interval at which a run checks whether its worker has ended or its connection is broken.
TICK_S = 0.0025


class ApplicationWorker(Protocol):
    """Attributes of an emulated worker that the runs of live requests use."""

    entry: WorkerEntry
    is_gone: bool
    num_running: int


@dataclass(frozen=True, slots=True)
class LiveRun:
    """A live request that a worker started to run.

    Attributes:
        node: name of the node that sent the request.
    """

    at: float
    worker_id: str
    node: str
    target: bytes


@dataclass(frozen=True, slots=True)
class WorkerCrash:
    """The crash of a worker.

    Attributes:
        target: target of the request that crashed the worker, empty if no request did.
    """

    at: float
    worker_id: str
    target: bytes


@dataclass(slots=True)
class ApplicationRecord:
    """Faults of the application's workers, and a record of their runs and crashes.

    Attributes:
        crashing_targets: targets of requests that crash each worker that runs them.
        num_resets: how often the connections to all workers were broken so far.
    """

    crashing_targets: set[bytes] = field(default_factory=set)
    runs: list[LiveRun] = field(default_factory=list)
    crashes: list[WorkerCrash] = field(default_factory=list)
    num_resets: int = 0

    def crash(self, worker: ApplicationWorker, target: bytes = b"") -> None:
        """Crash a worker, which breaks the connections of its runs; does nothing if it has ended already."""
        if worker.is_gone:
            return
        worker.is_gone = True
        self.crashes.append(WorkerCrash(anyio.current_time(), worker.entry.worker_id, target))


@asynccontextmanager
async def serve_live_request(
    record: ApplicationRecord, worker: ApplicationWorker, node: str, request: WorkerRequest
) -> AsyncIterator[WorkerAnswer]:
    """Run a live request at a worker, or crash the worker if the request is a crashing one.

    Raises:
        WorkerAnswerBrokenError: the worker ended or the connections broke during the run.
    """
    worker_id = worker.entry.worker_id
    record.runs.append(LiveRun(anyio.current_time(), worker_id, node, request.target))
    is_crashing = request.target in record.crashing_targets
    num_resets = record.num_resets
    worker.num_running += 1
    try:
        ends_at = anyio.current_time() + (CRASH_S if is_crashing else SERVICE_S)
        while anyio.current_time() < ends_at and not worker.is_gone:
            await anyio.sleep(TICK_S)
            if record.num_resets != num_resets:
                raise WorkerAnswerBrokenError(worker_id)
        if is_crashing:
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
