"""Owner of one cell of a fleet: orders engines to load new weights.

See Also:
    worksramp.weights.planner: which engines are ordered when.
    docs/design/weights.md
"""

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import structlog

from worksramp.backends.base import EngineClient, LoadOrder, Machine, WeightStoreClient, WorkerReport
from worksramp.coordination.replica import StreamReplica
from worksramp.coordination.shard import ShardService
from worksramp.outcomes import StepError
from worksramp.transport.messages import (
    AnnounceVersion,
    NodeReply,
    NodeRequest,
    NotOwner,
    VersionNoted,
)
from worksramp.weights.planner import EngineView, plan_loads

ROUND_SECONDS = 0.5
STEP_TIMEOUT_SECONDS = 2.0
SETTLED_LOOK_SECONDS = 5.0
STORE_FALLBACK_SECONDS = 10.0

Announce = Callable[[AnnounceVersion], Awaitable[NodeReply]]
MAX_ORDERS_PER_ROUND = 4

logger = structlog.get_logger()


class EmptyState(msgspec.Struct):
    """A cell's stream holds claims only: the engines' own reports are the state."""

    def begin_epoch(self, epoch: int) -> None:
        """Nothing to settle."""

    def apply_entry(self, offset: int, epoch: int, entry: bytes) -> str | None:
        """No entry is ever written."""
        return "this stream holds claims only"


class FleetService(ShardService):
    """Rolls new weight versions out over a cell.

    The owner of the first cell watches the weight store and tells the owners of the others, since the store
    is rate-limited; the others look there only now and then, in case nobody tells them.

    Args:
        replica: the cell's stream; its epoch fences the orders.
        model: name of the model in the weight store.
        machines: returns the engines of the cell, as the machine list has them.
        other_cells: shards of the other cells, to be told by the first; empty for the others.
        is_watcher: whether this is the first cell.
        announce: tells the owner of another cell.
    """

    def __init__(
        self,
        replica: StreamReplica[EmptyState],
        model: str,
        machines: Callable[[], tuple[Machine, ...]],
        engines: EngineClient,
        weight_store: WeightStoreClient,
        other_cells: tuple[str, ...],
        is_watcher: bool,
        announce: Announce,
    ) -> None:
        self._replica = replica
        self._model = model
        self._engines = engines
        self._weight_store = weight_store
        self._list_machines = machines
        self._machines: tuple[Machine, ...] = ()
        self._orders: dict[str, tuple[int, float]] = {}
        self._reports: dict[str, WorkerReport] = {}
        self._target_version = 0
        self._looked_at = float("-inf")
        self._asked_store_at = float("-inf")
        self._other_cells = other_cells
        self._is_watcher = is_watcher
        self._announce = announce
        self._untold: dict[str, int] = {}
        self._woken = anyio.Event()

    async def run(self) -> None:
        """Look, decide and order, once a round."""
        while True:
            self._machines = self._list_machines()
            if self._is_store_due():
                self._asked_store_at = anyio.current_time()
                with anyio.move_on_after(STEP_TIMEOUT_SECONDS):
                    await self._learn_target()
            await self._tell_others()
            if self._is_look_due():
                self._looked_at = anyio.current_time()
                await self._learn_reports()
                await self._order_loads()
            with anyio.move_on_after(ROUND_SECONDS):
                await self._woken.wait()

    def _is_store_due(self) -> bool:
        period = ROUND_SECONDS if self._is_watcher else STORE_FALLBACK_SECONDS
        return anyio.current_time() - self._asked_store_at >= period

    async def _tell_others(self) -> None:
        """Tell each other cell until its owner has taken note; a cell without an owner is told next round."""

        async def tell(shard: str, version: int) -> None:
            try:
                with anyio.fail_after(STEP_TIMEOUT_SECONDS):
                    await self._announce(AnnounceVersion(shard, version))
            except (StepError, TimeoutError):
                return
            self._untold.pop(shard, None)

        async with anyio.create_task_group() as group:
            for shard, version in list(self._untold.items()):
                group.start_soon(tell, shard, version)

    def _raise_target(self, weight_version: int) -> None:
        if weight_version <= self._target_version:
            return
        self._target_version = weight_version
        self._untold = dict.fromkeys(self._other_cells, weight_version)
        self._woken.set()
        self._woken = anyio.Event()

    def _is_look_due(self) -> bool:
        """Return whether to ask the engines: often while weights are on their way, else now and then.

        An engine that is silent, new, or restarted with old weights must be found too, but asking all the
        time for its sake would cost more than it gains.
        """
        is_settled = all(self._is_current(key) for key in self._listed_ids() if key in self._reports)
        return not is_settled or anyio.current_time() - self._looked_at >= SETTLED_LOOK_SECONDS

    def _listed_ids(self) -> list[str]:
        return [machine.machine_id for machine in self._machines if not machine.is_leaving]

    def _is_current(self, machine_id: str) -> bool:
        report = self._reports.get(machine_id)
        return report is not None and report.weight_version >= self._target_version

    async def handle(self, request: NodeRequest) -> NodeReply:
        """Take note of newer weights."""
        if not isinstance(request, AnnounceVersion):
            return NotOwner()
        self._raise_target(request.weight_version)
        return VersionNoted(self._target_version)

    def figures(self) -> dict[str, int]:
        """See `ShardService.figures`."""
        num_current = sum(1 for key in self._reports if self._is_current(key))
        return {
            "target_version": self._target_version,
            "num_engines": len(self._machines),
            "num_current": num_current,
        }

    async def _learn_target(self) -> None:
        try:
            newest = await self._weight_store.newest_version(self._model)
        except StepError:
            return
        self._raise_target(newest)

    async def _learn_reports(self) -> None:
        reports: dict[str, WorkerReport] = {}

        async def ask(machine: Machine) -> None:
            try:
                with anyio.fail_after(STEP_TIMEOUT_SECONDS):
                    reports[machine.machine_id] = await self._engines.report(machine.address)
            except (StepError, TimeoutError):
                return

        async with anyio.create_task_group() as group:
            for machine in self._machines:
                group.start_soon(ask, machine)
        self._reports = reports

    async def _order_loads(self) -> None:
        if not self._replica.is_owner:
            return
        now = anyio.current_time()
        never = (0, float("-inf"))
        views = tuple(
            EngineView(key, report, *self._orders.get(key, never)) for key, report in self._reports.items()
        )
        chosen = plan_loads(views, self._target_version, now, MAX_ORDERS_PER_ROUND)
        async with anyio.create_task_group() as group:
            for machine in self._machines:
                if machine.machine_id in chosen:
                    self._orders[machine.machine_id] = (self._target_version, now)
                    group.start_soon(self._order, machine)

    async def _order(self, machine: Machine) -> None:
        order = LoadOrder(self._model, self._target_version, self._replica.fold.ownership.epoch)
        try:
            with anyio.fail_after(STEP_TIMEOUT_SECONDS):
                await self._engines.order_load(machine.address, order)
        except (StepError, TimeoutError) as error:
            # Whether it took effect, the next report tells.
            logger.info(
                "load_order_failed", peer=machine.address, step="engine.order_load", reason=str(error)
            )
