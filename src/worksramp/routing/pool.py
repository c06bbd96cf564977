"""Pool of workers: renews leases by requesting load reports, and chooses workers for requests."""

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio

from worksramp.backends.base import Machine, WorkerReport
from worksramp.outcomes import NotStartedError, StepError
from worksramp.routing.choice import RouteRequest, choose_worker
from worksramp.routing.leases import Worker, WorkerTable
from worksramp.routing.subset import choose_subset, num_nodes_per_worker

# A single lost report must not end a lease, so a lease is longer than two periods and a timeout.
REPORT_PERIOD_SECONDS = 2.0
REPORT_TIMEOUT_SECONDS = 0.8

ReportFunction = Callable[[str], Awaitable[WorkerReport]]


class WorkerPool:
    """The workers of one group that this node uses.

    Args:
        node_id: this node, among those that share the workers.
        zone: this node's zone.
        fetch_report: requests the load report of the worker at an address.
        subset_size: average number of workers that a node uses.
        rng: source of random choices.
    """

    def __init__(
        self, node_id: str, zone: str, fetch_report: ReportFunction, subset_size: int, rng: random.Random
    ) -> None:
        self.table = WorkerTable(node_id)
        self.zone = zone
        self._node_id = node_id
        self._fetch_report = fetch_report
        self._subset_size = subset_size
        self._rng = rng

    def set_machines(self, machines: tuple[Machine, ...], node_ids: frozenset[str] = frozenset()) -> None:
        """Replace the workers by those of the machine list that are assigned to this node.

        Args:
            machines: all workers of the group.
            node_ids: live nodes that share the group; this node may be missing from them.
        """
        num_nodes = len(node_ids | {self._node_id})
        num_per_worker = num_nodes_per_worker(num_nodes, len(machines), self._subset_size)
        self.table.set_machines(choose_subset(self._node_id, node_ids, machines, num_per_worker))
        self.table.num_sharers = num_per_worker

    def choose(self, request: RouteRequest) -> Worker | None:
        """Return a worker that may get this request now, or None if there is none."""
        return choose_worker(self.table.usable(anyio.current_time()), request, self._rng)

    def max_reported_version(self) -> int:
        """Return the newest weight version that any worker reports, 0 if there are no reports."""
        return max(self.table.reported_versions().values(), default=0)

    @contextmanager
    def using(self, worker: Worker, is_rollout: bool = False) -> Iterator[None]:
        """Count a request at the worker, and update the worker's lease if the request fails."""
        machine_id = worker.machine.machine_id
        self.table.begin(machine_id, is_rollout)
        try:
            yield
        except NotStartedError as error:
            if error.is_leaving:
                self.table.mark_draining(machine_id)
            elif error.retry_after_seconds is None:
                self.table.drop_lease(machine_id)
            raise
        except StepError:
            self.table.drop_lease(machine_id)
            raise
        finally:
            self.table.end(machine_id, is_rollout)

    async def run(self) -> None:
        """Request a report from each worker once per period, until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                for machine in self.table.machines():
                    group.start_soon(self._refresh, machine)
                group.start_soon(anyio.sleep, REPORT_PERIOD_SECONDS)

    async def _refresh(self, machine: Machine) -> None:
        asked_at = anyio.current_time()
        try:
            with anyio.fail_after(REPORT_TIMEOUT_SECONDS):
                report = await self._fetch_report(machine.address)
        except (StepError, TimeoutError):
            # Without a new report the lease is not renewed and expires by itself.
            return
        self.table.record_report(machine.machine_id, report, asked_at)
