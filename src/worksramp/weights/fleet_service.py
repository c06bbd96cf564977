"""Roll new weight versions out over one cell of a fleet, on the node that owns the cell.

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
SETTLED_POLL_SECONDS = 5.0
STORE_FALLBACK_PERIOD_SECONDS = 10.0

Announce = Callable[[AnnounceVersion], Awaitable[NodeReply]]
MAX_ORDERS_PER_ROUND = 4

logger = structlog.get_logger()


class EmptyState(msgspec.Struct):
    """State of a cell's stream, which holds claims only: the engines' reports are the state of the cell."""

    def begin_epoch(self, epoch: int) -> None:
        """Do nothing: there is no state that a new epoch changes."""

    def apply_entry(self, offset: int, epoch: int, entry: bytes) -> str | None:
        """Reject the entry, because no entry is ever written to this stream."""
        return "this stream holds claims only"


class FleetService(ShardService):
    """Order the engines of a cell to load new weight versions.

    The weight store is rate-limited. Therefore only the owner of the first cell polls it often, and announces
    new versions to the owners of the other cells. These poll the store rarely, in case an announcement is
    missing.

    Args:
        replica: replica of the cell's stream; its epoch fences the orders.
        model: name of the model in the weight store.
        machines: returns the engines of the cell that are in the machine list.
        engines: client of the engines.
        weight_store: client of the weight store.
        other_cells: shards to announce new versions to; empty unless this is the first cell.
        is_watcher: whether this is the first cell.
        announce: sends an announcement to the owner of another cell.
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
        self._polled_at = float("-inf")
        self._store_read_at = float("-inf")
        self._other_cells = other_cells
        self._is_watcher = is_watcher
        self._announce = announce
        self._pending_announcements: dict[str, int] = {}
        self._target_raised = anyio.Event()

    async def run(self) -> None:
        """Poll the store and the engines when due and order loads, once a round until cancelled."""
        while True:
            self._machines = self._list_machines()
            if self._is_store_read_due():
                self._store_read_at = anyio.current_time()
                with anyio.move_on_after(STEP_TIMEOUT_SECONDS):
                    await self._fetch_target()
            await self._announce_to_other_cells()
            if self._is_poll_due():
                self._polled_at = anyio.current_time()
                await self._poll_engines()
                await self._order_loads()
            with anyio.move_on_after(ROUND_SECONDS):
                await self._target_raised.wait()

    def _is_store_read_due(self) -> bool:
        period = ROUND_SECONDS if self._is_watcher else STORE_FALLBACK_PERIOD_SECONDS
        return anyio.current_time() - self._store_read_at >= period

    async def _announce_to_other_cells(self) -> None:
        """Send the pending announcements; one that fails, as to a cell without owner, is sent again later."""

        async def announce_to(shard: str, version: int) -> None:
            try:
                with anyio.fail_after(STEP_TIMEOUT_SECONDS):
                    await self._announce(AnnounceVersion(shard, version))
            except (StepError, TimeoutError):
                return
            self._pending_announcements.pop(shard, None)

        async with anyio.create_task_group() as group:
            for shard, version in list(self._pending_announcements.items()):
                group.start_soon(announce_to, shard, version)

    def _raise_target(self, weight_version: int) -> None:
        if weight_version <= self._target_version:
            return
        self._target_version = weight_version
        self._pending_announcements = dict.fromkeys(self._other_cells, weight_version)
        self._target_raised.set()
        self._target_raised = anyio.Event()

    def _is_poll_due(self) -> bool:
        """Return whether to poll the engines: each round during a rollout, rarely otherwise.

        The rare polls find engines that did not answer, are new, or restarted with old weights. Polling them
        each round would cost more than it gains.
        """
        is_settled = all(self._is_current(key) for key in self._listed_ids() if key in self._reports)
        return not is_settled or anyio.current_time() - self._polled_at >= SETTLED_POLL_SECONDS

    def _listed_ids(self) -> list[str]:
        return [machine.machine_id for machine in self._machines if not machine.is_leaving]

    def _is_current(self, machine_id: str) -> bool:
        report = self._reports.get(machine_id)
        return report is not None and report.weight_version >= self._target_version

    async def handle(self, request: NodeRequest) -> NodeReply:
        """Record the version of an announcement, and reply with the cell's target version."""
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

    async def _fetch_target(self) -> None:
        try:
            newest = await self._weight_store.newest_version(self._model)
        except StepError:
            return
        self._raise_target(newest)

    async def _poll_engines(self) -> None:
        reports: dict[str, WorkerReport] = {}

        async def poll(machine: Machine) -> None:
            try:
                with anyio.fail_after(STEP_TIMEOUT_SECONDS):
                    reports[machine.machine_id] = await self._engines.report(machine.address)
            except (StepError, TimeoutError):
                return

        async with anyio.create_task_group() as group:
            for machine in self._machines:
                group.start_soon(poll, machine)
        self._reports = reports

    async def _order_loads(self) -> None:
        if not self._replica.is_owner:
            return
        now = anyio.current_time()
        no_order = (0, float("-inf"))
        views = tuple(
            EngineView(key, report, *self._orders.get(key, no_order)) for key, report in self._reports.items()
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
            # The next report shows whether the order took effect.
            logger.info(
                "load_order_failed", peer=machine.address, step="engine.order_load", reason=str(error)
            )
