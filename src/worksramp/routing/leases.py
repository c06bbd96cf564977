"""Report leases: a worker may be given work only while a recent report says that it is not leaving.

Each load report is a lease that runs from when the report was asked for, less the age that the worker
itself states. A worker that leaves at time T can be given nothing after T plus `LEASE_SECONDS`, whatever
becomes of the machine list, of gossip or of later reports. Evidence of leaving is sticky.

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
    """A machine that may be given work, with its newest report.

    Attributes:
        asked_at: when the report was asked for, on this node's clock.
        num_in_flight: this node's own requests there now.
        num_rollout_in_flight: those of them that are rollout.
        num_in_flight_at_report: the same when the report was asked for.
        num_sharers: how many nodes are expected to use this worker, this one included.
        mean_live: live requests that the worker is estimated to hold on average, from all nodes.
        share_rank: from 0 below ``num_sharers``, by hash; says who gets what does not divide evenly.
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
        """Requests on the worker: the lagged report and what this node has sent since."""
        num_sent_since = max(0, self.num_in_flight - self.num_in_flight_at_report)
        return self.report.num_running + self.report.num_queued + num_sent_since

    def own_part(self, num_slots: int) -> int:
        """Return how many of so many slots this node may fill by itself."""
        return (num_slots + self.num_sharers - 1 - self.share_rank) // self.num_sharers

    @property
    def has_room(self) -> bool:
        """Whether another request would start at once."""
        return self.estimated_load < self.report.max_num_seqs

    @property
    def expires_at(self) -> float:
        """When the lease ends, on this node's clock."""
        return self.asked_at - self.report.age_seconds + LEASE_SECONDS


@dataclass(frozen=True, slots=True)
class _HeldReport:
    """A report, and what this node had in flight on the worker when it was taken."""

    report: WorkerReport
    asked_at: float
    num_in_flight: int


class WorkerTable:
    """The workers of one group (a fleet or an application) as one node knows them.

    Args:
        node_id: seeds this node's rank among those that share a worker.
    """

    def __init__(self, node_id: str = "") -> None:
        self._node_id = node_id
        self._machines: dict[str, Machine] = {}
        self.num_sharers = 1
        self._reports: dict[str, _HeldReport] = {}
        self._in_flight: Counter[str] = Counter()
        self._rollout_in_flight: Counter[str] = Counter()
        self._leaving: set[tuple[str, int]] = set()
        self._mean_own_live = 0.0

    def set_machines(self, machines: tuple[Machine, ...]) -> None:
        """Take the machine list's view; a leaving mark in it is sticky for that incarnation."""
        self._machines = {machine.machine_id: machine for machine in machines}
        for machine in machines:
            if machine.is_leaving:
                self.mark_leaving(machine.machine_id)
        known = self._machines.keys()
        self._reports = {key: value for key, value in self._reports.items() if key in known}

    def machines(self) -> tuple[Machine, ...]:
        """Return the machines of the group, leaving ones included."""
        return tuple(self._machines.values())

    def take_report(self, machine_id: str, report: WorkerReport, asked_at: float) -> None:
        """Take a load report; an older one than is held is ignored."""
        held = self._reports.get(machine_id)
        if held is not None and held.asked_at - held.report.age_seconds > asked_at - report.age_seconds:
            return
        self._reports[machine_id] = _HeldReport(report, asked_at, self._in_flight[machine_id])
        num_own_live = self._in_flight.total() - self._rollout_in_flight.total()
        self._mean_own_live += LIVE_SMOOTHING * (num_own_live - self._mean_own_live)
        if report.is_leaving:
            self.mark_leaving(machine_id)

    def mark_leaving(self, machine_id: str) -> None:
        """Note evidence that this incarnation of a machine is leaving; it is never taken back."""
        machine = self._machines.get(machine_id)
        if machine is not None:
            self._leaving.add((machine_id, machine.incarnation))

    def drop_lease(self, machine_id: str) -> None:
        """Stop using a worker until it reports again, after it failed a request."""
        self._reports.pop(machine_id, None)

    def begin(self, machine_id: str, is_rollout: bool) -> None:
        """Count a request sent to a worker."""
        self._in_flight[machine_id] += 1
        if is_rollout:
            self._rollout_in_flight[machine_id] += 1

    def end(self, machine_id: str, is_rollout: bool) -> None:
        """Count a request to a worker as over."""
        self._in_flight[machine_id] -= 1
        if is_rollout:
            self._rollout_in_flight[machine_id] -= 1

    def usable(self, now: float) -> tuple[Worker, ...]:
        """Return the workers that hold a lease now and show no evidence of leaving."""
        return tuple(worker for worker in self._workers() if self._is_usable(worker, now))

    def reported_versions(self) -> dict[str, int]:
        """Return the weight version that each worker last reported, by machine id."""
        return {key: held.report.weight_version for key, held in self._reports.items()}

    def _workers(self) -> list[Worker]:
        # This node sees its own live requests only; the nodes that share a worker are taken as alike.
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
        return now < worker.expires_at and identity not in self._leaving and not worker.report.is_leaving
