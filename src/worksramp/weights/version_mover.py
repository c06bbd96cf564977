"""Order the workers of a fleet to load new versions of models.

`worksramp.weights.version_moves` decides which workers load. This module gives the orders, and records a
version as held only after the worker has reported or confirmed it.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import structlog

from worksramp.routing.fleet_view import FleetView, FleetWork, ModelWork
from worksramp.routing.table import RouteTable
from worksramp.routing.worker_port import (
    OrderHeldAlready,
    OrderOpen,
    OrderRefused,
    OrderTaken,
    RunsDuringLoad,
    VersionOrder,
    WorkerPort,
    WorkerReport,
)
from worksramp.routing.workers import WorkerDirectory, WorkerState
from worksramp.weights.model_homes import HomeCandidate, ModelDemand, place_models
from worksramp.weights.version_moves import ModelNeed, Move, WorkerVersion, decide_moves, max_concurrent_loads

TICK_SECONDS = 0.05
FIRST_POLL_SECONDS = 0.9
POLL_SECONDS = 0.1
#: Steps wait for loads, so the end of a load is polled often, for three seconds in all.
MAX_POLLS = 30
#: A worker that answers none of this many reports in a row may have ended, and does not count as loading.
MAX_SILENT_POLLS = 2
PAUSE_AFTER_FAILURE_SECONDS = 0.5
#: In a fleet with more workers, only the homes get work, reports and orders, so that an owner's connections
#: and decisions grow with its steps and not with the fleet.
MAX_ACTIVE_WORKERS = 100

#: What the homes of a service's models depend on: usable workers, demands, slow and fast workers.
PlacementKey = tuple[int, tuple[ModelDemand, ...], frozenset[str], frozenset[str]]

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class MoverContext:
    """Dependencies of a `VersionMover`.

    Attributes:
        directory: workers of all services.
        port: sends orders to workers and reads their reports.
        work: open work of the fleet; the mover adds the loads in progress to it.
        wake: makes the owner schedule the fleet's work again at once.
        named_versions: newest version of each model, kept up to date by the node.
        table: returns the configuration in force, or None before the first.
        may_order: returns whether the lease allows an order now.
        announce_order: records in the log that an order will be given, and returns after that.
        holder: name of this machine.
        fence: epoch of the lease.
        max_loading: workers that may load at the same time, None for a share of the fleet.
    """

    directory: WorkerDirectory
    port: WorkerPort
    work: FleetWork
    wake: Callable[[], None]
    named_versions: dict[str, int]
    table: Callable[[], RouteTable | None]
    may_order: Callable[[], bool]
    announce_order: Callable[[], Awaitable[None]]
    holder: str
    fence: int
    max_loading: int | None


@dataclass(slots=True)
class VersionMover:
    """Order workers to load new versions while this node holds the lease."""

    context: MoverContext
    _pause_until: dict[str, float] = field(default_factory=dict)
    _homes: dict[str, frozenset[str]] = field(default_factory=dict)
    _placed_for: dict[str, PlacementKey] = field(default_factory=dict)

    async def run(self) -> None:
        """Give orders until cancelled."""
        async with anyio.create_task_group() as group:
            # Workers' entries may not show the effect of the previous owner's orders yet.
            for state in self._ordered_workers():
                group.start_soon(self._fetch_report, state)
            while True:
                if self.context.may_order():
                    self._start_due_loads(group)
                await anyio.sleep(TICK_SECONDS)

    def _fleet(self) -> list[WorkerState]:
        table = self.context.table()
        services = [] if table is None else [name for name, spec in table.services.items() if spec.models]
        return [state for service in services for state in self.context.directory.usable(service)]

    def _ordered_workers(self) -> list[WorkerState]:
        """Return the workers that the previous owner may have ordered to load."""
        self._needs()
        active = self.context.work.active_workers
        return [state for state in self._fleet() if active is None or state.entry.worker_id in active]

    async def _fetch_report(self, state: WorkerState) -> None:
        report = await self.context.port.report(state.entry)
        if report is not None:
            self._record_versions(state, report)
            self.context.wake()

    def _start_due_loads(self, group: anyio.abc.TaskGroup) -> None:
        work = self.context.work
        max_loading = self.context.max_loading or max_concurrent_loads(len(self._fleet()))
        for move in decide_moves(self._needs(), len(work.loading), max_loading):
            work.loading[move.worker_id] = move.model
            group.start_soon(self._execute, move)

    def _needs(self) -> list[ModelNeed]:
        table = self.context.table()
        if table is None:
            return []
        view = self.context.work.view()
        needs = [
            need
            for service, spec in table.services.items()
            if spec.models
            for need in self._needs_of_service(service, spec.models, view)
        ]
        is_large = len(self._fleet()) > MAX_ACTIVE_WORKERS
        homes = frozenset().union(*self._homes.values())
        self.context.work.active_workers = homes if is_large else None
        return needs

    def _needs_of_service(self, service: str, models: tuple[str, ...], view: FleetView) -> list[ModelNeed]:
        homes = self._place(service, models, view)
        states = self.context.directory.usable(service)
        active = frozenset().union(*homes.values()) | frozenset(view.num_taken_slots)
        if len(states) > MAX_ACTIVE_WORKERS:
            states = [state for state in states if state.entry.worker_id in active]
        return [
            self._need(model, homes[model], states, view)
            for model in models
            if model in self.context.named_versions
        ]

    def _place(self, service: str, models: tuple[str, ...], view: FleetView) -> dict[str, frozenset[str]]:
        """Return the homes of a service's models, placed again after a change of what they depend on."""
        works = {model: view.models.get(model, ModelWork()) for model in models}
        demands = tuple(
            ModelDemand(model, work.num_step_items, work.has_one_version_work)
            for model, work in works.items()
        )
        key = (self.context.directory.usable_revision, demands, view.slow_workers, view.fast_workers)
        if key != self._placed_for.get(service):
            self._placed_for[service] = key
            self._update_homes(place_models(demands, self._candidates(service, view)))
        return {model: self._homes[model] for model in models}

    def _candidates(self, service: str, view: FleetView) -> list[HomeCandidate]:
        return [
            HomeCandidate(
                state.entry.worker_id,
                state.entry.num_slots,
                state.entry.worker_id in view.slow_workers,
                state.entry.worker_id in view.fast_workers,
            )
            for state in self.context.directory.usable(service)
        ]

    def _update_homes(self, homes: dict[str, frozenset[str]]) -> None:
        for model, worker_ids in homes.items():
            if worker_ids != self._homes.get(model):
                self._homes[model] = worker_ids
                logger.info("homes_changed", model=model, workers=",".join(sorted(worker_ids)))

    def _need(
        self, model: str, homes: frozenset[str], states: list[WorkerState], view: FleetView
    ) -> ModelNeed:
        work = view.models.get(model, ModelWork())
        return ModelNeed(
            model,
            self.context.named_versions[model],
            work.min_version,
            work.num_waiting,
            work.has_one_version_work,
            tuple(self._worker_version(state, model, view) for state in states),
            homes,
        )

    def _worker_version(self, state: WorkerState, model: str, view: FleetView) -> WorkerVersion:
        worker_id = state.entry.worker_id
        loading = self.context.work.loading
        now = anyio.current_time()
        return WorkerVersion(
            worker_id,
            state.versions.get(model, 0),
            view.num_runs.get((worker_id, model), 0),
            worker_id in loading or self._pause_until.get(worker_id, now) > now,
            max(0, state.entry.num_slots - view.num_taken_slots.get(worker_id, 0)),
            worker_id in view.slow_workers,
            loading.get(worker_id) == model,
        )

    async def _execute(self, move: Move) -> None:
        """Carry out one order; after a failure, pause before the next order to the same worker."""
        worker_id = move.worker_id
        try:
            state = self.context.directory.get(worker_id)
            if state is not None and not await self._load(state, move):
                self._pause_until[worker_id] = anyio.current_time() + PAUSE_AFTER_FAILURE_SECONDS
        finally:
            self.context.work.loading.pop(worker_id, None)
            self.context.wake()

    async def _load(self, state: WorkerState, move: Move) -> bool:
        """Order one load and wait until the worker reports its end.

        Returns:
            Whether the worker holds the version.
        """
        report_before = await self.context.port.report(state.entry)
        if report_before is None:
            return False
        self._record_versions(state, report_before)
        if report_before.model_versions.get(move.model, 0) >= move.version:
            return True
        if report_before.is_busy:
            return await self._wait_until_loaded(state, move)
        await self.context.announce_order()
        # The lease may have expired while this waited for the report or the announcement.
        if not self.context.may_order():
            return False
        outcome = await self.context.port.order_version(state.entry, self._order(move, report_before))
        logger.info(
            "version_ordered",
            worker=move.worker_id,
            model=move.model,
            version=move.version,
            fence=self.context.fence,
            expected_sequence=report_before.order_sequence,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        if isinstance(outcome, OrderHeldAlready):
            state.versions[move.model] = move.version
            return True
        if isinstance(outcome, OrderRefused):
            return False
        assert isinstance(outcome, (OrderTaken, OrderOpen))
        await anyio.sleep(FIRST_POLL_SECONDS)
        return await self._wait_until_loaded(state, move)

    def _order(self, move: Move, report_before: WorkerReport) -> VersionOrder:
        runs = RunsDuringLoad.FINISH_FIRST if move.finishes_runs_first else RunsDuringLoad.CONTINUE
        return VersionOrder(
            move.model,
            move.version,
            runs,
            self.context.holder,
            self.context.fence,
            report_before.order_sequence,
        )

    async def _wait_until_loaded(self, state: WorkerState, move: Move) -> bool:
        num_silent = 0
        for _ in range(MAX_POLLS):
            report = await self.context.port.report(state.entry)
            num_silent = num_silent + 1 if report is None else 0
            if num_silent == MAX_SILENT_POLLS:
                return False
            if report is not None:
                self._record_versions(state, report)
                if not report.is_busy:
                    return report.model_versions.get(move.model, 0) >= move.version
            if state.is_gone:
                return False
            await anyio.sleep(POLL_SECONDS)
        return False

    def _record_versions(self, state: WorkerState, report: WorkerReport) -> None:
        for model, version in report.model_versions.items():
            if version != state.versions.get(model):
                logger.info("version_seen", worker=state.entry.worker_id, model=model, version=version)
            state.versions[model] = version
