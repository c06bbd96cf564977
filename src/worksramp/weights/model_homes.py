"""Which workers of a fleet hold a model's newest weights: its homes.

A fleet that trains several models cannot load every version everywhere: loads block work and are paid for.
Each model gets as many workers as its steps need, and its fair share of the fleet at least, next to each
other on a ring, so that models overlap little and a worker that comes or goes moves few homes.
"""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Slots beyond what a step needs at once: a run that moves must find a place.
SLOT_HEADROOM = 1.15
#: Paces differ between workers, and the longest items need the fast ones: with three homes of five workers a
#: calm day of two trainers lost a step (worth 0.64 instead of 0.86), with all five none.
MIN_HOMES = 6


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """What a model's steps need.

    Attributes:
        num_slots: runs that a step wants to have under way at once; 0 where none is known.
    """

    model: str
    num_slots: int


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """A worker that may be a home.

    Attributes:
        is_slow: far slower than the others now; it is passed over.
    """

    worker_id: str
    num_slots: int
    is_slow: bool = False


def _everywhere(
    demands: Sequence[ModelDemand], candidates: Sequence[HomeCandidate]
) -> dict[str, frozenset[str]]:
    """Make every worker a home of every model."""
    workers = frozenset(worker.worker_id for worker in candidates)
    return {demand.model: workers for demand in demands}


@mechanism("model_homes", without=_everywhere)
def place_models(
    demands: Sequence[ModelDemand], candidates: Sequence[HomeCandidate]
) -> dict[str, frozenset[str]]:
    """Choose the homes of each model.

    The same fleet and demands give the same homes on every machine, whatever the order they are given in.

    Returns:
        The ids of the homes by model.
    """
    ring = sorted(
        (worker for worker in candidates if not worker.is_slow),
        key=lambda worker: (zlib.crc32(worker.worker_id.encode()), worker.worker_id),
    )
    models = sorted(demands, key=lambda demand: demand.model)
    return {
        demand.model: _homes(demand, ring, place * len(ring) // len(models), len(ring) // len(models))
        for place, demand in enumerate(models)
    }


def _homes(demand: ModelDemand, ring: Sequence[HomeCandidate], start: int, fair_share: int) -> frozenset[str]:
    homes: set[str] = set()
    num_missing_slots = SLOT_HEADROOM * demand.num_slots
    for step in range(len(ring)):
        if len(homes) >= max(MIN_HOMES, fair_share) and num_missing_slots <= 0:
            break
        worker = ring[(start + step) % len(ring)]
        homes.add(worker.worker_id)
        num_missing_slots -= worker.num_slots
    return frozenset(homes)
