"""Poll the machine list, and maintain this node's worker pools from it."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import structlog

from worksramp.backends.base import Machine, MachineRole, Platform, WorkerReport
from worksramp.outcomes import StepError
from worksramp.routing.pool import WorkerPool

POLL_SECONDS = 5.0
FIRST_POLL_SECONDS = 0.5
ASSIGN_PERIOD_SECONDS = 1.0
logger = structlog.get_logger()


@dataclass(slots=True)
class MachineDirectory:
    """Keeps a copy of the machine list, and one worker pool per fleet and application.

    While the machine list is unavailable, the last copy is used.

    Attributes:
        node_id: instance id of this process, as in `live_nodes`.
        subset_size: number of workers of a group that a node uses on average.
        live_nodes: returns the instance ids of the live nodes that share the workers: the gateways.
        machines: the last copy of the list, empty until the list has been read once.
    """

    platform: Platform
    node_id: str
    zone: str
    subset_size: int
    rng: random.Random
    live_nodes: Callable[[], frozenset[str]]
    machines: tuple[Machine, ...] = ()
    _pools: dict[tuple[MachineRole, str], WorkerPool] = field(default_factory=dict)
    _group: anyio.abc.TaskGroup | None = None
    _assigned_from: tuple[tuple[Machine, ...], frozenset[str]] = ((), frozenset())

    async def run(self) -> None:
        """Poll the list, assign workers to the pools and run the pools until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._poll_list)
            while True:
                self._assign_workers()
                await anyio.sleep(ASSIGN_PERIOD_SECONDS)

    def pool(self, role: MachineRole, group_name: str) -> WorkerPool | None:
        """Return the pool of a fleet or application, or None if the list has had no machine of it."""
        return self._pools.get((role, group_name))

    def node_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the nodes in the list."""
        return tuple(machine.address for machine in self.machines if machine.role is MachineRole.NODE)

    def engines(self, fleet: str) -> tuple[Machine, ...]:
        """Return all engines of a fleet, including those outside this node's subset."""
        return tuple(
            machine
            for machine in self.machines
            if machine.role is MachineRole.ENGINE and machine.group == fleet
        )

    async def _poll_list(self) -> None:
        while True:
            try:
                self.machines = await self.platform.machine_list.machines()
            except StepError as error:
                logger.warning("machine_list_failed", step=error.step, peer=error.peer, reason=error.reason)
            self._assign_workers()
            # Poll more often until the list has been read once. Before that, the node has no other nodes to
            # join and no workers.
            await anyio.sleep(POLL_SECONDS if self.machines else FIRST_POLL_SECONDS)

    def _assign_workers(self) -> None:
        """Choose this node's workers again if the list or the live nodes have changed."""
        view = (self.machines, self.live_nodes())
        if view == self._assigned_from:
            return
        self._assigned_from = view
        for role, report in self._report_functions().items():
            groups = {machine.group for machine in self.machines if machine.role is role}
            for name in sorted(groups):
                self._update_pool(role, name, report)

    def _report_functions(self) -> dict[MachineRole, Callable[[str], Awaitable[WorkerReport]]]:
        return {
            MachineRole.ENGINE: self.platform.engines.report,
            MachineRole.APPLICATION: self.platform.applications.report,
        }

    def _update_pool(
        self, role: MachineRole, name: str, report: Callable[[str], Awaitable[WorkerReport]]
    ) -> None:
        pool = self._pools.get((role, name))
        is_new = pool is None
        if pool is None:
            pool = WorkerPool(self.node_id, self.zone, report, self.subset_size, self.rng)
            self._pools[(role, name)] = pool
        members = tuple(
            machine for machine in self.machines if machine.role is role and machine.group == name
        )
        pool.set_machines(members, self.live_nodes())
        if is_new and self._group is not None:
            self._group.start_soon(pool.run)
