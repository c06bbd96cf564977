"""Which workers take the next version of a model now: a pure decision from one view.

A home of a model (`worksramp.weights.model_homes`) that may no longer run what waits loads at once; one that
still may loads while it has none of that model's runs and none wait, so that a new version costs no work its
place. Other workers are brought in only where the homes have too few free slots for what waits.
"""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Loads at once, as a share of the fleet: beyond it each takes longer on the deployments measured
#: (2 of 5 and 6 workers, 10 of 24).
MAX_LOADING_SHARE = 0.4
MIN_MAX_LOADING = 2


def max_concurrent_loads(num_workers: int) -> int:
    """Return how many workers of a fleet may load at the same time."""
    return max(MIN_MAX_LOADING, round(MAX_LOADING_SHARE * num_workers))


@dataclass(frozen=True, slots=True)
class WorkerVersion:
    """A worker and one model on it.

    Attributes:
        num_running: runs of this model there.
        is_loading: an order for any model is under way there.
        num_free_slots: slots that no run of any model takes.
        is_slow: far slower than the others now.
        is_loading_this: the order under way is for this model.
    """

    worker_id: str
    version: int
    num_running: int
    is_loading: bool
    num_free_slots: int = 0
    is_slow: bool = False
    is_loading_this: bool = False


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """One model of a fleet.

    Attributes:
        named_version: the newest version.
        min_version: oldest that any open batch may use.
        num_waiting: items that wait for a place.
        has_single_version_runs: open batches need one version for all text of an item.
        homes: workers that follow the model's versions, None for all.
    """

    model: str
    named_version: int
    min_version: int
    num_waiting: int
    has_single_version_runs: bool
    workers: tuple[WorkerVersion, ...]
    homes: frozenset[str] | None = None

    def is_home(self, worker: WorkerVersion) -> bool:
        """Return whether a worker follows the model's versions."""
        return self.homes is None or worker.worker_id in self.homes


@dataclass(frozen=True, slots=True)
class Move:
    """Order this worker to take this version."""

    worker_id: str
    model: str
    version: int
    lets_runs_finish: bool


def decide_moves(needs: list[ModelNeed], num_loading: int, max_loading: int) -> list[Move]:
    """Return the orders to give now, the most needed first, the models in turn."""
    candidates = itertools.chain(
        _in_turn(_urgent_moves(need) for need in needs),
        _in_turn(_early_moves(need) for need in needs),
    )
    chosen: dict[str, Move] = {}
    for move in candidates:
        if len(chosen) + num_loading >= max_loading:
            break
        # One order at a time for each worker.
        chosen.setdefault(move.worker_id, move)
    return list(chosen.values())


def _in_turn(moves_by_model: Iterable[list[Move]]) -> Iterable[Move]:
    for round_of_moves in itertools.zip_longest(*moves_by_model):
        yield from (move for move in round_of_moves if move is not None)


def _urgent_moves(need: ModelNeed) -> list[Move]:
    """Workers that must load before they can run what is open: homes, and helpers for what finds no slot."""
    too_old = [worker for worker in _movable(need) if worker.version < need.min_version]
    moves = [_move(need, worker) for worker in too_old if need.is_home(worker)]
    num_short = need.num_waiting - _num_slots_in_sight(need)
    for worker in too_old:
        if num_short <= 0:
            break
        if not need.is_home(worker) and not worker.is_slow and worker.num_free_slots > 0:
            moves.append(_move(need, worker))
            num_short -= worker.num_free_slots
    return moves


@mechanism("early_loads", without=lambda need: [])
def _early_moves(need: ModelNeed) -> list[Move]:
    """Have idle homes load before they must, while nothing waits for a place."""
    if need.num_waiting > 0:
        return []
    return [
        _move(need, worker)
        for worker in _movable(need)
        if need.is_home(worker) and worker.version >= need.min_version and worker.num_running == 0
    ]


def _num_slots_in_sight(need: ModelNeed) -> int:
    """Free slots of workers that may run what waits, or soon may."""
    return sum(
        worker.num_free_slots
        for worker in need.workers
        if not worker.is_slow
        and (need.is_home(worker) or worker.version >= need.min_version or worker.is_loading_this)
    )


def _movable(need: ModelNeed) -> list[WorkerVersion]:
    """Workers that could take an order for the newest version, the oldest and idlest first."""
    workers = [
        worker for worker in need.workers if not worker.is_loading and worker.version < need.named_version
    ]
    return sorted(workers, key=lambda worker: (worker.version, worker.num_running))


def _move(need: ModelNeed, worker: WorkerVersion) -> Move:
    return Move(worker.worker_id, need.model, need.named_version, need.has_single_version_runs)
