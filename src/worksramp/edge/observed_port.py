"""Wrap a worker port to report which workers have answered under their ids."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from worksramp.routing.worker_port import (
    ListenerState,
    OrderOutcome,
    VersionOrder,
    WorkerAnswer,
    WorkerPort,
    WorkerReport,
    WorkerRequest,
)
from worksramp.routing.workers import WorkerEntry


class ObservedPort(WorkerPort):
    """Pass all calls on to another port, and report each answer that proves an entry to be its worker's.

    Args:
        port: makes the calls.
        on_answer: called with the entry of a worker that has answered.
    """

    def __init__(self, port: WorkerPort, on_answer: Callable[[WorkerEntry], None]) -> None:
        self.version_field = port.version_field
        self._port = port
        self._on_answer = on_answer

    @asynccontextmanager
    async def send(self, worker: WorkerEntry, request: WorkerRequest) -> AsyncIterator[WorkerAnswer]:
        """Send a request; see `WorkerPort.send`."""
        async with self._port.send(worker, request) as answer:
            # Only a worker signs, and another one at this address says that it is another one.
            if answer.is_signed and not answer.is_other_worker:
                self._on_answer(worker)
            yield answer

    async def listener_state(self, worker: WorkerEntry) -> ListenerState:
        """Open and close a connection to a worker; see `WorkerPort.listener_state`."""
        return await self._port.listener_state(worker)

    async def order_version(self, worker: WorkerEntry, order: VersionOrder) -> OrderOutcome:
        """Order a worker to load a weight version; see `WorkerPort.order_version`."""
        return await self._port.order_version(worker, order)

    async def report(self, worker: WorkerEntry) -> WorkerReport | None:
        """Return a worker's report; see `WorkerPort.report`."""
        report = await self._port.report(worker)
        if report is not None and report.is_of_worker:
            self._on_answer(worker)
        return report

    async def is_there(self, worker: WorkerEntry, health_path: str) -> bool:
        """Return whether the worker of an entry answers under its id; see `WorkerPort.is_there`."""
        return await self._port.is_there(worker, health_path)
