"""Emulated fleet of model workers that run the items of batches, with injected faults.

An item's text is a function of its id, so that checkers can compute the complete text of every item.
"""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc
import xxhash

from worksramp.routing.worker_port import (
    ListenerState,
    OrderHeldAlready,
    OrderOpen,
    OrderOutcome,
    OrderRefused,
    OrderTaken,
    VersionOrder,
    WorkerAnswer,
    WorkerAnswerBrokenError,
    WorkerPort,
    WorkerReport,
    WorkerRequest,
    WorkerUnreachableError,
)
from worksramp.routing.workers import WorkerEntry
from worksramp_emulator.application import ApplicationRecord, serve_live_request

VERSION_FIELD = "weight-version"
#: Service time of a scoring call.
SCORING_S = 0.03
LOAD_SECONDS = 0.9
SILENT_CALL_SECONDS = 0.8
MIN_EVENTS, MAX_EVENTS = 4, 30


def num_events_of(item_id: str) -> int:
    """Return the number of events in an item's complete text."""
    return MIN_EVENTS + xxhash.xxh32_intdigest(item_id.encode()) % (MAX_EVENTS - MIN_EVENTS)


def event_data(item_id: str, number: int) -> str:
    """Return the data of one event of an item; events are numbered from 0."""
    return f"{item_id}.{number}"


def complete_text(item_id: str) -> str:
    """Return an item's complete text."""
    return "\n".join(event_data(item_id, number) for number in range(num_events_of(item_id)))


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """A version order that reached a worker, which may have been unresponsive."""

    at: float
    worker_id: str
    holder: str
    fence: int
    version: int


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A scoring call that a scorer received.

    Attributes:
        signature: signature of the scorer's answer, an empty string if the call failed.
    """

    at: float
    worker_id: str
    call_id: str
    signature: str


@dataclass(slots=True)
class FleetWorker:
    """One emulated worker: its state and its faults.

    Attributes:
        seconds_per_event: time between two events of a run.
        is_unresponsive: whether it answers nothing; its items and scoring calls make no progress meanwhile.
        is_gone: whether it has ended, and its connections are broken.
        is_scorer: whether it answers scoring calls instead of running items.
        is_application: whether it answers live requests instead of running items.
        late_orders: share of orders that are not answered and are applied later.
        break_share: share of events, or of scoring calls, at which the connection breaks.
        spoilt_share: share of events that hold a byte that is not UTF-8.
        fail_share: share of runs or scoring calls that end with status 500.
        failing_items: ids of items or scoring calls that always end with status 500.
        impossible_items: ids of items that always end with status 422.
        loading: model whose weights it loads now, an empty string for none.
    """

    entry: WorkerEntry
    seconds_per_event: float = 0.04
    versions: dict[str, int] = field(default_factory=dict)
    is_unresponsive: bool = False
    is_gone: bool = False
    is_scorer: bool = False
    is_application: bool = False
    late_orders: float = 0.0
    break_share: float = 0.0
    spoilt_share: float = 0.0
    fail_share: float = 0.0
    failing_items: set[str] = field(default_factory=set)
    impossible_items: set[str] = field(default_factory=set)
    num_running: int = 0
    order_sequence: int = 0
    highest_fence: int = 0
    loading: str = ""


class BatchFleet:
    """All emulated workers, and a record of what they received and emitted.

    Attributes:
        runs: runs of items as (time, calling node, worker id, item id).
        requests: every request that reached a running worker.
        emitted_versions: weight versions that emitted an event, by item id and event number.
        emitted_at: times and weight versions at which an event was emitted, by item id and event number.
    """

    def __init__(self, rng: random.Random, background: anyio.abc.TaskGroup) -> None:
        self.workers: dict[str, FleetWorker] = {}
        self.orders: list[ReceivedOrder] = []
        self.runs: list[tuple[float, str, str, str]] = []
        self.calls: list[ReceivedCall] = []
        self.requests: list[WorkerRequest] = []
        self.emitted_versions: dict[tuple[str, int], set[int]] = {}
        self.emitted_at: dict[tuple[str, int], list[tuple[float, int]]] = {}
        self.application = ApplicationRecord()
        #: Whether the machines of ended workers are gone too, so that connection attempts get no answer.
        self.are_ended_workers_silent = False
        self.rng = rng
        self._background = background

    def add(self, worker: FleetWorker) -> None:
        """Add a worker, or replace the one with the same id."""
        self.workers[worker.entry.worker_id] = worker

    def apply_order(self, worker: FleetWorker, order: VersionOrder) -> OrderOutcome:
        """Apply an order now.

        The order is refused if its fence is lower than one seen before, if a load is in progress, or if it
        expects another order sequence number than the worker's. An order for a version that the worker
        already has changes nothing.
        """
        if order.fence < worker.highest_fence:
            return OrderRefused("fence", is_fenced=True)
        worker.highest_fence = order.fence
        if worker.loading:
            return OrderRefused("busy", is_conflict=True)
        if order.expected_sequence is not None and order.expected_sequence != worker.order_sequence:
            return OrderRefused("sequence", is_conflict=True)
        if worker.versions.get(order.model, 0) >= order.version:
            return OrderHeldAlready()
        worker.order_sequence += 1
        worker.loading = order.model
        self._background.start_soon(self._load, worker, order)
        return OrderTaken()

    async def _load(self, worker: FleetWorker, order: VersionOrder) -> None:
        await anyio.sleep(LOAD_SECONDS)
        worker.versions[order.model] = order.version
        worker.loading = ""

    def apply_order_later(self, worker: FleetWorker, order: VersionOrder, delay: float) -> None:
        """Apply an order after a delay in seconds."""

        async def run() -> None:
            await anyio.sleep(delay)
            self.apply_order(worker, order)

        self._background.start_soon(run)


class FleetPort(WorkerPort):
    """Client of the fleet for one node.

    Args:
        node: name of the calling node, for the records of the fleet.
        model: model of all items; its weight version is sent with each answer.
    """

    version_field = VERSION_FIELD

    def __init__(self, fleet: BatchFleet, node: str, model: str) -> None:
        self._fleet = fleet
        self._node = node
        self._model = model

    @asynccontextmanager
    async def send(self, worker: WorkerEntry, request: WorkerRequest) -> AsyncIterator[WorkerAnswer]:
        """Send an item, a scoring call or a live request to a worker.

        The answer has status 503 if all slots are in use or if the model's weights are being loaded.

        Raises:
            WorkerUnreachableError: the worker does not exist or has ended.
        """
        target = self._fleet.workers.get(worker.worker_id)
        await anyio.sleep(0.002)
        if target is None or target.is_gone:
            raise WorkerUnreachableError(
                worker.worker_id, is_refusal=not self._fleet.are_ended_workers_silent
            )
        if target.is_unresponsive:
            await anyio.sleep_forever()
        if target.num_running >= target.entry.num_slots or target.loading == self._model:
            yield self._answer(503, target, request, is_not_run=True)
            return
        self._fleet.requests.append(request)
        if target.is_application:
            async with serve_live_request(self._fleet.application, target, self._node, request) as answer:
                yield answer
            return
        if target.is_scorer:
            async with self._score(target, request) as answer:
                yield answer
            return
        self._fleet.runs.append((anyio.current_time(), self._node, worker.worker_id, request.request_id))
        if request.request_id in target.impossible_items:
            yield self._answer(422, target, request)
            return
        has_failed = target.fail_share > 0 and self._fleet.rng.random() < target.fail_share
        if has_failed or request.request_id in target.failing_items:
            yield self._answer(500, target, request)
            return
        target.num_running += 1
        try:
            yield self._answer(200, target, request)
        finally:
            target.num_running -= 1

    @asynccontextmanager
    async def _score(self, target: FleetWorker, request: WorkerRequest) -> AsyncIterator[WorkerAnswer]:
        fleet, call_id = self._fleet, request.request_id
        is_bad = call_id in target.failing_items or fleet.rng.random() < target.fail_share
        signature = "" if is_bad else f"{target.entry.worker_id}.{call_id}.{len(fleet.calls)}"
        fleet.calls.append(ReceivedCall(anyio.current_time(), target.entry.worker_id, call_id, signature))
        target.num_running += 1
        try:
            await anyio.sleep(SCORING_S)
            while target.is_unresponsive:
                await anyio.sleep(SCORING_S)
            if target.is_gone or fleet.rng.random() < target.break_share:
                raise WorkerAnswerBrokenError(target.entry.worker_id)
            yield WorkerAnswer(
                status=500 if is_bad else 200,
                headers=(),
                is_not_run=False,
                is_other_worker=False,
                is_leaving=False,
                signature=signature or target.entry.worker_id,
                load=None,
                weight_version=None,
                body=self._score_body(),
            )
        finally:
            target.num_running -= 1

    async def _score_body(self) -> AsyncIterator[bytes]:
        yield b"scored"

    def _answer(
        self, status: int, worker: FleetWorker, request: WorkerRequest, is_not_run: bool = False
    ) -> WorkerAnswer:
        return WorkerAnswer(
            status=status,
            headers=(),
            is_not_run=is_not_run,
            is_other_worker=False,
            is_leaving=False,
            signature=None if is_not_run else worker.entry.worker_id,
            load=None,
            weight_version=worker.versions.get(self._model, 0),
            body=self._events(worker, request),
        )

    async def _events(self, worker: FleetWorker, request: WorkerRequest) -> AsyncIterator[bytes]:
        item_id = request.request_id
        first = 0 if request.resume_after is None else int(request.resume_after) + 1
        announced = worker.versions.get(self._model, 0)
        for number in range(first, num_events_of(item_id)):
            await anyio.sleep(worker.seconds_per_event)
            while worker.is_unresponsive or worker.loading:
                await anyio.sleep(worker.seconds_per_event)
            if worker.is_gone:
                raise WorkerAnswerBrokenError(worker.entry.worker_id)
            version = worker.versions.get(self._model, 0)
            version_line = "" if version == announced else f"{VERSION_FIELD}: {version}\n"
            announced = version
            block = f"{version_line}id: {number}\ndata: {event_data(item_id, number)}\n\n".encode()
            if self._fleet.rng.random() < worker.break_share:
                yield block[: len(block) // 2]
                raise WorkerAnswerBrokenError(worker.entry.worker_id)
            if worker.spoilt_share and self._fleet.rng.random() < worker.spoilt_share:
                yield block.replace(b"data: ", b"data: \xff")
                continue
            self._fleet.emitted_versions.setdefault((item_id, number), set()).add(version)
            self._fleet.emitted_at.setdefault((item_id, number), []).append((anyio.current_time(), version))
            yield block

    async def listener_state(self, worker: WorkerEntry) -> ListenerState:
        """Return how a worker's listener reacts to a connection attempt now."""
        target = self._fleet.workers.get(worker.worker_id)
        await anyio.sleep(0.002)
        if target is None or target.is_gone:
            return ListenerState.SILENT if self._fleet.are_ended_workers_silent else ListenerState.REFUSES
        return ListenerState.SILENT if target.is_unresponsive else ListenerState.ACCEPTS

    async def order_version(self, worker: WorkerEntry, order: VersionOrder) -> OrderOutcome:
        """Order a worker to load a weight version."""
        target = self._fleet.workers.get(worker.worker_id)
        await anyio.sleep(0.002)
        if target is None or target.is_gone:
            return OrderRefused("unreachable")
        self._fleet.orders.append(
            ReceivedOrder(anyio.current_time(), worker.worker_id, order.holder, order.fence, order.version)
        )
        if target.is_unresponsive:
            await anyio.sleep(SILENT_CALL_SECONDS)
            return OrderOpen("no answer")
        if self._fleet.rng.random() < target.late_orders:
            self._fleet.apply_order_later(target, order, self._fleet.rng.uniform(2.0, 12.0))
            await anyio.sleep(SILENT_CALL_SECONDS)
            return OrderOpen("late")
        return self._fleet.apply_order(target, order)

    async def report(self, worker: WorkerEntry) -> WorkerReport | None:
        """Return a worker's report, or None if it does not answer."""
        target = self._fleet.workers.get(worker.worker_id)
        await anyio.sleep(0.002)
        if target is None or target.is_gone:
            return None
        if target.is_unresponsive:
            await anyio.sleep(SILENT_CALL_SECONDS)
            return None
        return WorkerReport(
            dict(target.versions), bool(target.loading), target.order_sequence, 0, target.num_running
        )

    async def is_there(self, worker: WorkerEntry, health_path: str) -> bool:
        """Return whether a worker answers."""
        report = await self.report(worker)
        return report is not None and report.is_of_worker
