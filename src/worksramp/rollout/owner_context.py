"""Defines the dependencies that the parts of a shard's owner share."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from worksramp.coordination.fenced_writer import FencedWriter
from worksramp.coordination.value_store import ValueStore
from worksramp.rollout.batch_values import BatchValues
from worksramp.rollout.batches import BatchLedger
from worksramp.routing.held_bytes import HeldBytes
from worksramp.routing.table import RouteTable
from worksramp.routing.worker_port import WorkerPort
from worksramp.routing.workers import RunningRequest, WorkerDirectory, WorkerState


def _ignore(_: object) -> None:
    """Do nothing."""


class CrashWatch(Protocol):
    """The part of the quarantine that the work of batches has to do with.

    Items and their scoring calls are owed, so an owner can delay them after crashes but has no way to refuse
    them.
    """

    def running(self, fingerprint: str) -> RunningRequest:
        """Return the entry for `WorkerState.running` of a request that is sent to a worker now."""

    def pause_s(self, fingerprint: str) -> float:
        """Return how many seconds to wait before a request is sent to another worker; bounded."""

    async def handle_broken_connection(self, worker: WorkerState) -> None:
        """Check whether a worker has crashed, after a connection to it broke."""

    def record_complete_answer(self, fingerprint: str) -> None:
        """Discard the crash records of a request that a worker has answered without crashing."""


class TableSource:
    """Holder of the route table in force, which the node replaces when the configuration changes.

    Attributes:
        current: None until a configuration has been loaded.
    """

    def __init__(self) -> None:
        self.current: RouteTable | None = None


@dataclass(frozen=True, slots=True)
class OwnerContext:
    """Dependencies and settings of an owner.

    Attributes:
        ledger: batches of the shard, as read from its partition.
        values: store of the items and texts of batches.
        progress: store of the texts so far of open items, for the next owner.
        directory: workers that may be used.
        port: sends requests to workers.
        writer: appends to the partition of the shard, fenced by the owner's epoch.
        table: holder of the route table in force.
        max_record_bytes: largest record that the store accepts.
        status_seconds: age of an ended batch until which its results are kept.
        named_versions: newest version of each model, updated by the node.
        cancel_s: no item may reach a worker later than this many seconds after the end of its batch.
        quarantine: records crashes of workers and delays the work under which they happened.
        time_of_day: returns the time in seconds that batches are stamped with.
        on_run_ended: called with the class name of each run's outcome.
        on_scoring_ended: called with the class name of each scoring call's outcome.
        on_moved: called with the reason of each move of an item to another worker.
        on_listed: called at each listing with the age of the batch in seconds.
        held: counts the bytes of workers' answers that the node holds.
        max_body_b: most bytes of items' bodies that are kept in memory.
    """

    ledger: BatchLedger
    values: BatchValues
    progress: ValueStore
    directory: WorkerDirectory
    port: WorkerPort
    writer: FencedWriter
    table: TableSource
    max_record_bytes: int
    status_seconds: float
    named_versions: dict[str, int]
    cancel_s: float
    quarantine: CrashWatch
    time_of_day: Callable[[], float] = time.time
    on_run_ended: Callable[[str], None] = _ignore
    on_scoring_ended: Callable[[str], None] = _ignore
    on_listed: Callable[[float], None] = _ignore
    on_moved: Callable[[str], None] = _ignore
    held: HeldBytes = field(default_factory=HeldBytes)
    max_body_b: int = 10_000_000
