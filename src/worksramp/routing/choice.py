"""Chooses a worker: by prompt prefix affinity with bounded load, otherwise the less loaded of two at random.

Source: Mirrokni, Thorup, Zadimoghaddam, "Consistent hashing with bounded loads", 2018; Mitzenmacher,
"The power of two choices in randomized load balancing", 2001.

See Also:
    docs/design/routing.md
"""

import math
import random
from dataclasses import dataclass

from worksramp.coordination.placement import rendezvous_order
from worksramp.routing.leases import Worker

PREFIX_CHARACTERS = 64
LOAD_BOUND_FACTOR = 1.25
NUM_AFFINITY_WORKERS = 2
LIVE_HEADROOM_DEVIATIONS = 2.0


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request that the choice of a worker depends on.

    Attributes:
        prefix: beginning of the prompt; requests with the same prefix share a worker's prefix cache.
        zone: zone of the node, preferred at equal load.
        excluded: ids of machines that have already failed this request.
        min_weight_version: workers that report an older weight version are not used.
        reserved_share: share of each worker's slots that rollout must not use; 0 for live requests, which may
            use all slots.
        prefers_newest: whether newer weights take precedence over less load. A sample that starts on weights
            which are about to be replaced loses one version of its staleness bound.
    """

    prefix: str = ""
    zone: str = ""
    excluded: frozenset[str] = frozenset()
    min_weight_version: int = 0
    reserved_share: float = 0.0
    prefers_newest: bool = False


def choose_worker(workers: tuple[Worker, ...], request: RouteRequest, rng: random.Random) -> Worker | None:
    """Return the worker to use, or None if none may be used now.

    A worker that the prefix hashes to is used while its load is within a bound relative to the mean load.
    Otherwise the less loaded of two random workers is used.
    """
    allowed = tuple(worker for worker in workers if _is_allowed(worker, request))
    if not allowed:
        return None
    if request.prefers_newest:
        newest = max(worker.report.weight_version for worker in allowed)
        allowed = tuple(worker for worker in allowed if worker.report.weight_version == newest)
    preferred = _by_affinity(allowed, request)
    if preferred is not None:
        return preferred
    pair = rng.sample(allowed, min(2, len(allowed)))
    return min(pair, key=lambda worker: _cost(worker, request.zone))


def _is_allowed(worker: Worker, request: RouteRequest) -> bool:
    if worker.machine.machine_id in request.excluded:
        return False
    if worker.report.is_loading or worker.report.weight_version < request.min_weight_version:
        return False
    if request.reserved_share == 0.0:
        return True
    num_slots = worker.report.max_num_seqs
    # Reports are delayed, and other nodes use the same worker in the meantime, so each node keeps to its
    # share.
    own_limit = worker.own_share(math.floor(num_slots * (1.0 - request.reserved_share)))
    # Running rollout requests are not preempted, so a live request without a free slot waits until one ends.
    # Rollout therefore leaves slots free for likely peaks of live requests above the mean.
    headroom = 1.0 + LIVE_HEADROOM_DEVIATIONS * math.sqrt(worker.mean_live)
    return worker.estimated_load + headroom < num_slots and worker.num_rollout_in_flight < own_limit


def _by_affinity(allowed: tuple[Worker, ...], request: RouteRequest) -> Worker | None:
    if not request.prefix:
        return None
    by_id = {worker.machine.machine_id: worker for worker in allowed}
    mean_load = sum(worker.estimated_load for worker in allowed) / len(allowed)
    bound = math.ceil((mean_load + 1.0) * LOAD_BOUND_FACTOR)
    for machine_id in rendezvous_order(request.prefix, by_id)[:NUM_AFFINITY_WORKERS]:
        worker = by_id[machine_id]
        if worker.estimated_load < bound and worker.has_free_slot:
            return worker
    return None


def _cost(worker: Worker, zone: str) -> tuple[float, bool]:
    load = worker.estimated_load / max(1, worker.report.max_num_seqs)
    return (load, worker.machine.zone != zone)
