"""Shell around the decision of version moves: gives the orders and believes only what workers report."""

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
FIRST_LOOK_SECONDS = 0.9
LOOK_AGAIN_SECONDS = 0.1
#: Steps wait for loads, so an end is looked for often; three seconds in all.
MAX_LOOKS = 30
PAUSE_AFTER_FAILURE_SECONDS = 0.5

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class MoverContext:
    """What the mover works with.

    Attributes:
        named_versions: newest version of each model, kept up to date by the node.
        wake: has the fleet's work looked at again at once.
        may_order: whether the lease allows an order at this moment.
        announce_order: returns once the log says that an order is about to be given.
        holder: name of this machine.
        fence: epoch of the lease.
        max_loading: workers that load at the same time, None for a share of the fleet.
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
    """Orders workers to take new versions while this node holds the lease."""

    context: MoverContext
    _pause_until: dict[str, float] = field(default_factory=dict)
    _homes: dict[str, frozenset[str]] = field(default_factory=dict)

    async def run(self) -> None:
        """Give orders until cancelled."""
        async with anyio.create_task_group() as group:
            # Workers' entries lag behind the orders of the owner before.
            for state in self._fleet():
                group.start_soon(self._ask, state)
            while True:
                if self.context.may_order():
                    self._order_what_is_due(group)
                await anyio.sleep(TICK_SECONDS)

    def _fleet(self) -> list[WorkerState]:
        table = self.context.table()
        services = [] if table is None else [name for name, spec in table.services.items() if spec.models]
        return [state for service in services for state in self.context.directory.usable(service)]

    async def _ask(self, state: WorkerState) -> None:
        report = await self.context.port.report(state.entry)
        if report is not None:
            self._believe(state, report)
            self.context.wake()

    def _order_what_is_due(self, group: anyio.abc.TaskGroup) -> None:
        work = self.context.work
        max_loading = self.context.max_loading or max_concurrent_loads(len(self._fleet()))
        for move in decide_moves(self._needs(), len(work.loading), max_loading):
            work.loading[move.worker_id] = move.model
            group.start_soon(self._carry_out, move)

    def _needs(self) -> list[ModelNeed]:
        table = self.context.table()
        if table is None:
            return []
        view = self.context.work.view()
        return [
            need
            for service, spec in table.services.items()
            if spec.models
            for need in self._needs_of_service(service, spec.models, view)
        ]

    def _needs_of_service(self, service: str, models: tuple[str, ...], view: FleetView) -> list[ModelNeed]:
        states = self.context.directory.usable(service)
        candidates = [
            HomeCandidate(
                state.entry.worker_id, state.entry.num_slots, state.entry.worker_id in view.slow_workers
            )
            for state in states
        ]
        homes = place_models(
            [ModelDemand(model, view.models.get(model, ModelWork()).num_step_items) for model in models],
            candidates,
        )
        self._note_homes(homes)
        return [
            self._need(model, homes[model], states, view)
            for model in models
            if model in self.context.named_versions
        ]

    def _note_homes(self, homes: dict[str, frozenset[str]]) -> None:
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
            tuple(self._worker(state, model, view) for state in states),
            homes,
        )

    def _worker(self, state: WorkerState, model: str, view: FleetView) -> WorkerVersion:
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

    async def _carry_out(self, move: Move) -> None:
        worker_id = move.worker_id
        try:
            state = self.context.directory.get(worker_id)
            if state is not None and not await self._load(state, move):
                self._pause_until[worker_id] = anyio.current_time() + PAUSE_AFTER_FAILURE_SECONDS
        finally:
            self.context.work.loading.pop(worker_id, None)
            self.context.wake()

    async def _load(self, state: WorkerState, move: Move) -> bool:
        """Order one load and wait until the worker reports its end; return whether it holds the version."""
        before = await self.context.port.report(state.entry)
        if before is None:
            return False
        self._believe(state, before)
        if before.model_versions.get(move.model, 0) >= move.version:
            return True
        if before.is_busy:
            return await self._wait_for(state, move)
        await self.context.announce_order()
        # The lease may have run out while the report or the announcement was on its way.
        if not self.context.may_order():
            return False
        outcome = await self.context.port.order_version(state.entry, self._order(move, before))
        logger.info(
            "version_ordered",
            worker=move.worker_id,
            model=move.model,
            version=move.version,
            fence=self.context.fence,
            expected_sequence=before.order_sequence,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
        )
        if isinstance(outcome, OrderHeldAlready):
            state.versions[move.model] = move.version
            return True
        if isinstance(outcome, OrderRefused):
            return False
        assert isinstance(outcome, (OrderTaken, OrderOpen))
        await anyio.sleep(FIRST_LOOK_SECONDS)
        return await self._wait_for(state, move)

    def _order(self, move: Move, before: WorkerReport) -> VersionOrder:
        runs = RunsDuringLoad.FINISH_FIRST if move.finishes_runs_first else RunsDuringLoad.CONTINUE
        return VersionOrder(
            move.model,
            move.version,
            runs,
            self.context.holder,
            self.context.fence,
            before.order_sequence,
        )

    async def _wait_for(self, state: WorkerState, move: Move) -> bool:
        for _ in range(MAX_LOOKS):
            report = await self.context.port.report(state.entry)
            if report is not None:
                self._believe(state, report)
                if not report.is_busy:
                    return report.model_versions.get(move.model, 0) >= move.version
            if state.is_gone:
                return False
            await anyio.sleep(LOOK_AGAIN_SECONDS)
        return False

    def _believe(self, state: WorkerState, report: WorkerReport) -> None:
        for model, version in report.model_versions.items():
            if version != state.versions.get(model):
                logger.info("version_seen", worker=state.entry.worker_id, model=model, version=version)
            state.versions[model] = version
