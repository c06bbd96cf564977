"""What an edge node asks of the platform it runs on, beside the log and the workers."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import Partition
from worksramp.routing.table import RouteTable
from worksramp.routing.workers import WorkerEntry


@dataclass(frozen=True, slots=True)
class TableAccepted:
    """A configuration was accepted."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class VersionNamed:
    """A trainer named a version of a model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class WorkerSeen:
    """A worker's entry was written."""

    entry: WorkerEntry


@dataclass(frozen=True, slots=True)
class WorkerGone:
    """A worker's entry is no longer there."""

    worker_id: str


class RecordFault(StrEnum):
    """Why a record cannot be used.

    Attributes:
        MALFORMED: the bytes are not of the form that records have.
        BAD_VALUE: a field is missing, of another type, or beyond what it can be.
        UNKNOWN_STATE: it names a state that is not known.
        FORMER_START: it tells of a start of the worker before one that is known.
    """

    MALFORMED = "malformed"
    BAD_VALUE = "bad_value"
    UNKNOWN_STATE = "unknown_state"
    FORMER_START = "former_start"


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record that cannot be used.

    A configuration known before stays in force; a worker's entry then names no worker.
    """

    key: str
    reason: str
    fault: RecordFault = RecordFault.MALFORMED


ControlEvent = TableAccepted | VersionNamed | UnreadableRecord
WorkerEvent = WorkerSeen | WorkerGone | UnreadableRecord


class PlatformRecords(Protocol):
    """Where the platform keeps its records and what they mean.

    Attributes:
        values: partitions of items and texts, which no node follows; the same on all nodes.
        progress: partition of texts so far, which only owners read.
    """

    control: Partition
    workers: Partition
    batches: Partition
    values: tuple[Partition, ...]
    progress: Partition

    def control_event(self, change: Change) -> ControlEvent | None:
        """Return what a change of configuration or versions means."""

    def worker_event(self, change: Change) -> WorkerEvent | None:
        """Return what a change of a worker's entry means."""
