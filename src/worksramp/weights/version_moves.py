"""Which workers take the next version of a model now: a pure decision from one view.

A worker that may no longer run what waits loads at once. One that still may loads while it has none of that
model's runs and none wait, so that a new version costs no work its place.
"""

from dataclasses import dataclass

DEFAULT_MAX_LOADING = 2


@dataclass(frozen=True, slots=True)
class WorkerVersion:
    """A worker and one model on it.

    Attributes:
        num_running: runs of this model there.
        is_loading: an order for any model is under way there.
    """

    worker_id: str
    version: int
    num_running: int
    is_loading: bool


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """One model of a fleet.

    Attributes:
        named_version: the newest version.
        min_version: oldest that any open batch may use.
        num_waiting: items that wait for a place.
        has_one_version_runs: open batches need one version for all text of an item.
    """

    model: str
    named_version: int
    min_version: int
    num_waiting: int
    has_one_version_runs: bool
    workers: tuple[WorkerVersion, ...]


@dataclass(frozen=True, slots=True)
class Move:
    """Order this worker to take this version."""

    worker_id: str
    model: str
    version: int
    lets_runs_finish: bool


def decide_moves(needs: list[ModelNeed], num_loading: int, max_loading: int) -> list[Move]:
    """Return the orders to give now, the most needed first."""
    urgent: list[Move] = []
    idle: list[Move] = []
    for need in needs:
        for worker in sorted(need.workers, key=lambda worker: (worker.version, worker.num_running)):
            if worker.is_loading or worker.version >= need.named_version:
                continue
            move = Move(worker.worker_id, need.model, need.named_version, need.has_one_version_runs)
            if worker.version < need.min_version:
                urgent.append(move)
            elif worker.num_running == 0 and need.num_waiting == 0:
                idle.append(move)
    chosen: list[Move] = []
    for move in urgent + idle:
        if len(chosen) + num_loading >= max_loading:
            break
        # One order at a time for each worker.
        if all(other.worker_id != move.worker_id for other in chosen):
            chosen.append(move)
    return chosen
