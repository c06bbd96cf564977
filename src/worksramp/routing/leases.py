"""Report leases: a worker gets work only while a recent report states that it is not draining.

Each load report is a lease that starts when the report was requested, less the age that the worker states for
it. A worker that starts draining at time T therefore gets no work after T plus `LEASE_SECONDS`, whatever
happens to the machine list, to gossip or to later reports. Once a worker is known to be draining, it stays
so.

See Also:
    docs/design/routing.md, "Leaving back ends"
"""

from collections import Counter
from dataclasses import dataclass

import xxhash

from worksramp.backends.base import Machine, WorkerReport

LEASE_SECONDS = 4.9
LIVE_SMOOTHING = 0.05


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker with its latest report.

    Attributes:
        machine: entry of the worker in the machine list.
        asked_at: when the report was requested, on this node's clock.
        num_in_flight: number of this node's own requests at the worker now.
        num_rollout_in_flight: how many of them are rollout requests.
        num_in_flight_at_report: value of ``num_in_flight`` when the report was recorded.
        num_sharers: number of nodes expected to use this worker, including this one.
        share_rank: rank of this node among them, from 0, by hash; decides which nodes get the remainder if
            the slots do not divide evenly.
        mean_live: estimated mean number of live requests at the worker, from all nodes.
    """

    machine: Machine
    report: WorkerReport
    asked_at: float
    num_in_flight: int = 0
    num_rollout_in_flight: int = 0
    num_in_flight_at_report: int = 0
    num_sharers: int = 1
    share_rank: int = 0
    mean_live: float = 0.0

    @property
    def estimated_load(self) -> int:
        """Number of requests at the worker: the delayed report plus the requests this node has sent since."""
        num_sent_since = max(0, self.num_in_flight - self.num_in_flight_at_report)
        return self.report.num_running + self.report.num_queued + num_sent_since

    def own_share(self, num_slots: int) -> int:
        """Return how many of the given slots this node may fill by itself."""
        return (num_slots + self.num_sharers - 1 - self.share_rank) // self.num_sharers

    @property
    def has_free_slot(self) -> bool:
        """Whether another request would start at once."""
        return self.estimated_load < self.report.max_num_seqs

    @property
    def expires_at(self) -> float:
        """Time when the lease ends, on this node's clock."""
        return self.asked_at - self.report.age_seconds + LEASE_SECONDS


@dataclass(frozen=True, slots=True)
class _HeldReport:
    """A report, and the number of requests this node had at the worker when the report was recorded."""

    report: WorkerReport
    asked_at: float
    num_in_flight: int


class WorkerTable:
    """One node's view of the workers of a group, which is a fleet or an application.

    Args:
        node_id: id of this node, from which its rank among the nodes that share a worker is derived.
    """

    def __init__(self, node_id: str = "") -> None:
        self._node_id = node_id
        self._machines: dict[str, Machine] = {}
        self.num_sharers = 1
        self._reports: dict[str, _HeldReport] = {}
        self._in_flight: Counter[str] = Counter()
        self._rollout_in_flight: Counter[str] = Counter()
        self._draining: set[tuple[str, int]] = set()
        self._mean_own_live = 0.0

    def set_machines(self, machines: tuple[Machine, ...]) -> None:
        """Replace the machines by those of the machine list.

        A machine that is marked as draining stays so for its incarnation. Reports of machines that are not on
        the list are discarded.
        """
        self._machines = {machine.machine_id: machine for machine in machines}
        for machine in machines:
            if machine.is_leaving:
                self.mark_draining(machine.machine_id)
        known = self._machines.keys()
        self._reports = {key: value for key, value in self._reports.items() if key in known}

    def machines(self) -> tuple[Machine, ...]:
        """Return the machines of the group, including draining ones."""
        return tuple(self._machines.values())

    def record_report(self, machine_id: str, report: WorkerReport, asked_at: float) -> None:
        """Record a load report, unless a newer one is recorded already.

        Args:
            asked_at: when the report was requested, on this node's clock.
        """
        held = self._reports.get(machine_id)
        if held is not None and held.asked_at - held.report.age_seconds > asked_at - report.age_seconds:
            return
        self._reports[machine_id] = _HeldReport(report, asked_at, self._in_flight[machine_id])
        num_own_live = self._in_flight.total() - self._rollout_in_flight.total()
        self._mean_own_live += LIVE_SMOOTHING * (num_own_live - self._mean_own_live)
        if report.is_leaving:
            self.mark_draining(machine_id)

    def mark_draining(self, machine_id: str) -> None:
        """Mark the current incarnation of a machine as draining, permanently."""
        machine = self._machines.get(machine_id)
        if machine is not None:
            self._draining.add((machine_id, machine.incarnation))

    def drop_lease(self, machine_id: str) -> None:
        """Stop using a worker that failed a request, until it reports again."""
        self._reports.pop(machine_id, None)

    def begin(self, machine_id: str, is_rollout: bool) -> None:
        """Count a request that is sent to a worker."""
        self._in_flight[machine_id] += 1
        if is_rollout:
            self._rollout_in_flight[machine_id] += 1

    def end(self, machine_id: str, is_rollout: bool) -> None:
        """Stop counting a request that has ended at a worker."""
        self._in_flight[machine_id] -= 1
        if is_rollout:
            self._rollout_in_flight[machine_id] -= 1

    def usable(self, now: float) -> tuple[Worker, ...]:
        """Return the workers that have a valid lease and are not known to be draining.

        Args:
            now: current time on this node's clock.
        """
        return tuple(worker for worker in self._workers() if self._is_usable(worker, now))

    def reported_versions(self) -> dict[str, int]:
        """Return the weight version that each worker last reported, by machine id."""
        return {key: held.report.weight_version for key, held in self._reports.items()}

    def _workers(self) -> list[Worker]:
        # This node can count only its own live requests; the other nodes that share a worker are assumed to
        # send as many.
        mean_live = self._mean_own_live * self.num_sharers / max(1, len(self._machines))
        return [
            Worker(
                self._machines[key],
                held.report,
                held.asked_at,
                self._in_flight[key],
                self._rollout_in_flight[key],
                held.num_in_flight,
                self.num_sharers,
                xxhash.xxh32_intdigest(f"{self._node_id}|{key}".encode()) % self.num_sharers,
                mean_live,
            )
            for key, held in self._reports.items()
            if key in self._machines
        ]

    def _is_usable(self, worker: Worker, now: float) -> bool:
        identity = (worker.machine.machine_id, worker.machine.incarnation)
        return now < worker.expires_at and identity not in self._draining and not worker.report.is_leaving
