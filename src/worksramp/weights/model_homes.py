"""Choose the homes of each model: the workers of a fleet that load its new versions.

A fleet that trains several models cannot load every version on every worker, because a load blocks work and
has a cost. Each model gets as many workers as its steps need, and at least its fair share of the fleet.
The homes of a model are adjacent on a hash ring of the workers, so that the homes of different models overlap
little and few homes change when a worker joins or leaves.
"""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Factor on the slots that a step needs at once, so that a run that moves to another worker finds a slot.
SLOT_HEADROOM = 1.15
#: Workers differ in seconds per event, and the longest items need the fast ones. In simulated runs of two
#: trainers on five workers without faults, three homes for each model lost a step (value of the run 0.64
#: instead of 0.86), and five homes lost none.
MIN_HOMES = 6


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Slots that the steps of a model need.

    Attributes:
        num_slots: runs of a step that should be in progress at once, 0 before the first step.
    """

    model: str
    num_slots: int


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """A worker that may be a home.

    Attributes:
        num_slots: requests that the worker runs at once.
        is_slow: whether it is far slower than the others now, or fails part of its work; such a worker is
            not chosen.
    """

    worker_id: str
    num_slots: int
    is_slow: bool = False


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
    models = sorted(demands, key=lambda demand: demand.model)
    return {
        demand.model: _homes(demand, ring, index * len(ring) // len(models), len(ring) // len(models))
        for index, demand in enumerate(models)
    }


def _homes(demand: ModelDemand, ring: Sequence[HomeCandidate], start: int, fair_share: int) -> frozenset[str]:
    homes: set[str] = set()
    missing_slots = SLOT_HEADROOM * demand.num_slots
    for ring_offset in range(len(ring)):
        if len(homes) >= max(MIN_HOMES, fair_share) and missing_slots <= 0:
            break
        worker = ring[(start + ring_offset) % len(ring)]
        homes.add(worker.worker_id)
        missing_slots -= worker.num_slots
    return frozenset(homes)
