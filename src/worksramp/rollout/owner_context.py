"""What the parts of an owner of a shard share."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from worksramp.coordination.fenced_writer import FencedWriter
from worksramp.coordination.value_store import ValueStore
from worksramp.rollout.batch_values import BatchValues
from worksramp.rollout.batches import BatchLedger
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.table import RouteTable
from worksramp.routing.worker_port import WorkerPort
from worksramp.routing.workers import WorkerDirectory


def _ignore(_: object) -> None:
    """Take in nothing."""


class TableSource:
    """Where the configuration in force is found."""

    def __init__(self) -> None:
        self.current: RouteTable | None = None


@dataclass(frozen=True, slots=True)
class OwnerContext:
    """What an owner works with.

    Attributes:
        values: items and texts of batches.
        progress: texts so far of items, for the next owner.
        table: where the configuration in force is found.
        named_versions: newest version of each model, kept up to date by the node.
        cancel_s: an item must reach no worker later than this after the end of its batch.
        quarantine: what is known of requests that crash workers.
        status_seconds: age until which the results of an ended batch are kept.
        time_of_day: seconds, as batches are stamped.
        on_run_ended: told the class of each run's outcome.
        on_scoring_ended: told the class of each scoring call's outcome.
        on_listed: told the age of the batch, in seconds, at each listing.
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
    quarantine: Quarantine
    time_of_day: Callable[[], float] = time.time
    on_run_ended: Callable[[str], None] = _ignore
    on_scoring_ended: Callable[[str], None] = _ignore
    on_listed: Callable[[float], None] = _ignore
