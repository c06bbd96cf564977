"""Choose the homes of each model: the workers of a fleet that load its new versions.

A fleet that trains several models cannot load every version on every worker, because a load blocks work and
has a cost. Each model gets as many workers as its steps need, and its fair share of the fleet where that is
not far more. The homes of a model are adjacent on a hash ring of the workers, so that the homes of different
models overlap little and few homes change when a worker joins or leaves.

Load pattern: a step's items come at once, but most of them are short, so that slots are taken several times
while the longest runs. A fleet may be many times as large as its steps, and part of it may be of a faster
kind, whose slots the longest items of every model need.
"""

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Slots of the homes as a share of a step's items. The items beyond them are short and wait less than one of
#: the longest runs.
SLOT_SHARE = 0.6
#: The same where a home that loads takes no item until its runs have ended.
ONE_VERSION_SLOT_SHARE = 1.15
#: A model's homes have at most this many slots for each item of its steps, however large the fleet is.
MAX_SLOTS_PER_ITEM = 3.0
#: Items of a step that are assumed before the first one.
ASSUMED_STEP_ITEMS = 64
#: Number of models that each worker of a faster kind is a home of, if there are as many.
MODELS_PER_FAST_WORKER = 2
#: Workers differ in seconds per event, and the longest items need the fast ones. In simulated runs of two
#: trainers on five workers without faults, three homes for each model lost a step (value of the run 0.64
#: instead of 0.86), and five homes lost none.
MIN_HOMES = 6


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Slots that the steps of a model need.

    Attributes:
        num_items: items of a step, 0 before the first step.
        needs_one_version: whether a load waits for the runs of the model, so that a home is away for longer.
    """

    model: str
    num_items: int
    needs_one_version: bool = False

    @property
    def num_items_assumed(self) -> int:
        """Items of a step, also before the first one."""
        return self.num_items or ASSUMED_STEP_ITEMS

    @property
    def num_slots(self) -> float:
        """Slots that its homes should have."""
        return (ONE_VERSION_SLOT_SHARE if self.needs_one_version else SLOT_SHARE) * self.num_items


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """A worker that may be a home.

    Attributes:
        num_slots: requests that the worker runs at once.
        is_slow: whether it is far slower than the others now, or fails part of its work; such a worker is
            not chosen.
        is_fast: whether it is of a faster kind than the median worker.
    """

    worker_id: str
    num_slots: int
    is_slow: bool = False
    is_fast: bool = False


def _all_workers(
    demands: Sequence[ModelDemand], candidates: Sequence[HomeCandidate]
) -> dict[str, frozenset[str]]:
    """Make every worker a home of every model."""
    workers = frozenset(worker.worker_id for worker in candidates)
    return {demand.model: workers for demand in demands}


@mechanism("model_homes", without=_all_workers)
def place_models(
    demands: Sequence[ModelDemand], candidates: Sequence[HomeCandidate]
) -> dict[str, frozenset[str]]:
    """Choose the homes of each model.

    The result depends only on the fleet and the demands, not on their order or on the node that computes it.

    Returns:
        The worker ids of the homes, by model.
    """
    ring = sorted(
        (worker for worker in candidates if not worker.is_slow),
        key=lambda worker: (zlib.crc32(worker.worker_id.encode()), worker.worker_id),
    )
    fast, others = _split_by_kind(ring)
    models = sorted(demands, key=lambda demand: demand.model)
    homes: dict[str, frozenset[str]] = {}
    for index, demand in enumerate(models):
        own_fast = _slice(fast, index, len(models), MODELS_PER_FAST_WORKER)
        num_missing = demand.num_slots - sum(worker.num_slots for worker in own_fast)
        own_others = _homes(demand, others, index * len(others) // len(models), len(models), num_missing)
        homes[demand.model] = frozenset(worker.worker_id for worker in own_fast + own_others)
    return homes


@mechanism("fast_homes", without=lambda ring: ([], ring))
def _split_by_kind(ring: list[HomeCandidate]) -> tuple[list[HomeCandidate], list[HomeCandidate]]:
    """Deal the workers of a faster kind to all models, because the longest items of each need them."""
    return [worker for worker in ring if worker.is_fast], [worker for worker in ring if not worker.is_fast]


def _slice(
    ring: list[HomeCandidate], index: int, num_models: int, num_models_per_worker: int
) -> list[HomeCandidate]:
    """Return the part of a ring that the model ``index`` of ``num_models`` gets."""
    size = min(len(ring), math.ceil(num_models_per_worker * len(ring) / num_models))
    start = index * len(ring) // num_models
    return [ring[(start + offset) % len(ring)] for offset in range(size)]


def _homes(
    demand: ModelDemand, ring: list[HomeCandidate], start: int, num_models: int, num_missing: float
) -> list[HomeCandidate]:
    """Return homes from ``start`` on, until none of the slots that the model needs is missing."""
    homes: list[HomeCandidate] = []
    num_slots = 0
    for offset in range(len(ring)):
        worker = ring[(start + offset) % len(ring)]
        if len(homes) >= MIN_HOMES and num_slots >= num_missing:
            is_enough = len(homes) >= len(ring) // num_models
            if is_enough or num_slots + worker.num_slots > MAX_SLOTS_PER_ITEM * demand.num_items_assumed:
                break
        homes.append(worker)
        num_slots += worker.num_slots
    return homes
