"""Port of an edge node to the records of its platform: configurations, weight versions and worker entries."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import Partition
from worksramp.routing.table import RouteTable
from worksramp.routing.workers import WorkerEntry


@dataclass(frozen=True, slots=True)
class TableAccepted:
    """A configuration was accepted.

    Attributes:
        table: the decoded configuration.
    """

    table: RouteTable


@dataclass(frozen=True, slots=True)
class VersionNamed:
    """A trainer named a new weight version of a model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class WorkerSeen:
    """A worker's entry was written or renewed."""

    entry: WorkerEntry


@dataclass(frozen=True, slots=True)
class WorkerGone:
    """A worker's entry was removed or has expired."""

    worker_id: str


class RecordFault(StrEnum):
    """Why a record cannot be used.

    Attributes:
        MALFORMED: the bytes cannot be decoded as a record.
        BAD_VALUE: a field is missing, has the wrong type, or is out of range.
        UNKNOWN_STATE: the state in the record is not a known one.
        FORMER_START: the start time in the record is before the known start of the worker.
    """

    MALFORMED = "malformed"
    BAD_VALUE = "bad_value"
    UNKNOWN_STATE = "unknown_state"
    FORMER_START = "former_start"


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record that cannot be used.

    If it is a configuration, the one before stays in force. If it is a worker's entry, the worker gets no new
    work until its entry can be used again.

    Attributes:
        key: key of the record; the worker id for a worker's entry.
        reason: one line for people.
        fault: class of the fault.
    """

    key: str
    reason: str
    fault: RecordFault = RecordFault.MALFORMED


ControlEvent = TableAccepted | VersionNamed | UnreadableRecord
WorkerEvent = WorkerSeen | WorkerGone | UnreadableRecord


class PlatformRecords(Protocol):
    """Partitions of the platform's records, and their decoding.

    Attributes:
        control: partition of configurations and weight versions.
        workers: partition of workers' entries.
        batches: partition of batches, results, owners and crash records.
        values: partitions of items and texts, which no node follows; the same on all nodes.
        progress: partition of partial texts, which only owners read.
        usage: partition of the nodes' usage counts, which only owners read.
    """

    control: Partition
    workers: Partition
    batches: Partition
    values: tuple[Partition, ...]
    progress: Partition
    usage: Partition

    def control_event(self, change: Change) -> ControlEvent | None:
        """Return the event in a change of the partition ``control``, None if the node need not handle it."""

    def worker_event(self, change: Change) -> WorkerEvent | None:
        """Return the event in a change of the partition ``workers``, None if the node need not handle it."""
