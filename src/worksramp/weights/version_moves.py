"""Decide which workers load the next version of a model now.

The decision is a pure function of one view of the fleet. A home of a model (`worksramp.weights.model_homes`)
whose version is too old for the open items loads at once. A home whose version is still recent enough loads
while none of the model's items wait, so that the load takes no slot from an item; its runs go on meanwhile
unless their texts need one version. Other workers load only when the homes have too few free slots for the
waiting items.

Load pattern: steps follow one another so closely, and their longest texts take so long, that a home is never
without runs. If it loaded only while idle, each step would begin with homes whose versions are too old, and
its first items would wait for loads.
"""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Share of a model's homes that may load early beside their runs at the same time. The others take the items
#: that come back from other workers meanwhile.
MAX_EARLY_SHARE = 0.5
#: Homes that are left to these items at the least: some may fail or be slow without its being known yet.
MIN_READY_HOMES = 3
#: Concurrent loads as a share of the fleet. With more loads than that (2 on 5 and 6 workers, 10 on 24), each
#: load takes longer.
MAX_LOADING_SHARE = 0.4
MIN_MAX_LOADING = 2


def max_concurrent_loads(num_workers: int) -> int:
    """Return the number of workers of a fleet that may load at the same time."""
    return max(MIN_MAX_LOADING, round(MAX_LOADING_SHARE * num_workers))


@dataclass(frozen=True, slots=True)
class WorkerVersion:
    """State of one model on one worker.

    Attributes:
        version: version that the worker holds.
        num_running: runs of this model on the worker.
        is_loading: whether the worker can take no order now, because one for any model is in progress or one
            has just failed.
        num_free_slots: slots that no run of any model uses.
        is_slow: whether the worker is far slower than the others now, or fails part of its work.
        is_loading_this: whether the order in progress is for this model.
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
    """What the open work of one model needs from a fleet.

    Attributes:
        named_version: newest version.
        min_version: version that a worker needs to run every open item, the highest of their minimums.
        num_waiting: items that wait for a slot.
        has_single_version_runs: whether any item needs one version for all its text.
        workers: state of the model on each worker of the fleet.
        homes: ids of the workers that load each new version of the model, None for all workers.
    """

    model: str
    named_version: int
    min_version: int
    num_waiting: int
    has_single_version_runs: bool
    workers: tuple[WorkerVersion, ...]
    homes: frozenset[str] | None = None

    def is_home(self, worker: WorkerVersion) -> bool:
        """Return whether a worker is a home of the model."""
        return self.homes is None or worker.worker_id in self.homes


@dataclass(frozen=True, slots=True)
class Move:
    """Order for a worker to load a version of a model.

    Attributes:
        finishes_runs_first: whether the worker finishes its runs before it loads.
    """

    worker_id: str
    model: str
    version: int
    finishes_runs_first: bool


def decide_moves(needs: list[ModelNeed], num_loading: int, max_loading: int) -> list[Move]:
    """Return the orders to give now, the required ones first, models in round-robin order.

    Args:
        num_loading: workers that load already.
        max_loading: workers that may load at the same time.
    """
    candidates = itertools.chain(
        _round_robin(_required_moves(need) for need in needs),
        _round_robin(_early_moves(need) for need in needs),
    )
    chosen: dict[str, Move] = {}
    for move in candidates:
        if len(chosen) + num_loading >= max_loading:
            break
        # Each worker takes one order at a time.
        chosen.setdefault(move.worker_id, move)
    return list(chosen.values())


def _round_robin(moves_by_model: Iterable[list[Move]]) -> Iterable[Move]:
    for next_moves in itertools.zip_longest(*moves_by_model):
        yield from (move for move in next_moves if move is not None)


def _required_moves(need: ModelNeed) -> list[Move]:
    """Return orders for workers whose version is too old for the open items.

    These are the homes, and as many other workers as are needed where usable slots are too few.
    """
    outdated = [worker for worker in _update_candidates(need) if worker.version < need.min_version]
    moves = [_move(need, worker) for worker in outdated if need.is_home(worker)]
    num_missing_slots = need.num_waiting - _num_usable_slots(need)
    for worker in outdated:
        if num_missing_slots <= 0:
            break
        if not need.is_home(worker) and not worker.is_slow and worker.num_free_slots > 0:
            moves.append(_move(need, worker))
            num_missing_slots -= worker.num_free_slots
    return moves


@mechanism("early_loads", without=lambda need: [])
def _early_moves(need: ModelNeed) -> list[Move]:
    """Let homes load before their version is too old, while no item waits for a slot."""
    if need.num_waiting > 0:
        return []
    recent = [
        worker
        for worker in _update_candidates(need)
        if need.is_home(worker) and worker.version >= need.min_version
    ]
    idle = [worker for worker in recent if worker.num_running == 0]
    busy = [worker for worker in recent if worker.num_running > 0]
    return [_move(need, worker) for worker in idle + _loadable_beside_runs(need, busy)]


@mechanism("loads_beside_runs", without=lambda need, busy: [])
def _loadable_beside_runs(need: ModelNeed, busy: list[WorkerVersion]) -> list[WorkerVersion]:
    """Let a part of the homes load early although they run items of the model, which go on meanwhile.

    The other homes must have free slots for the runs at slow or failing workers, which may come back.
    """
    if need.has_single_version_runs:
        return []
    homes = [worker for worker in need.workers if need.is_home(worker)]
    num_loading = sum(1 for worker in homes if worker.is_loading_this)
    num_left = min(int(MAX_EARLY_SHARE * len(homes)), len(homes) - MIN_READY_HOMES) - num_loading
    num_at_risk = sum(worker.num_running for worker in need.workers if worker.is_slow)
    num_free = sum(worker.num_free_slots for worker in homes if not worker.is_loading_this)
    loadable: list[WorkerVersion] = []
    for worker in busy:
        num_free -= worker.num_free_slots
        if len(loadable) >= num_left or num_free < num_at_risk:
            break
        loadable.append(worker)
    return loadable


def _num_usable_slots(need: ModelNeed) -> int:
    """Return the number of free slots of workers that can run the waiting items now or after a load."""
    return sum(
        worker.num_free_slots
        for worker in need.workers
        if not worker.is_slow
        and (need.is_home(worker) or worker.version >= need.min_version or worker.is_loading_this)
    )


def _update_candidates(need: ModelNeed) -> list[WorkerVersion]:
    """Return the workers that can be ordered to load the newest version, oldest and least busy first."""
    workers = [
        worker for worker in need.workers if not worker.is_loading and worker.version < need.named_version
    ]
    return sorted(workers, key=lambda worker: (worker.version, worker.num_running))


def _move(need: ModelNeed, worker: WorkerVersion) -> Move:
    return Move(worker.worker_id, need.model, need.named_version, need.has_single_version_runs)
