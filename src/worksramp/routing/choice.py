"""Choice of a worker: prompt prefix affinity with bounded load, then the lesser of two.

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
    """What the choice depends on.

    Attributes:
        prefix: beginning of the prompt; requests that share it share a worker's prefix cache.
        zone: the node's zone, preferred at equal load.
        excluded: machine ids that failed this request already.
        min_weight_version: workers that report older weights are not used.
        reserved_share: share of each worker's slots that rollout must not fill; 0 for live requests,
            which may use all.
        prefers_newest: whether a worker with newer weights goes before one with less load; a sample
            begun on weights that are about to change has lost a version of its staleness bound.
    """

    prefix: str = ""
    zone: str = ""
    excluded: frozenset[str] = frozenset()
    min_weight_version: int = 0
    reserved_share: float = 0.0
    prefers_newest: bool = False


def choose_worker(workers: tuple[Worker, ...], request: RouteRequest, rng: random.Random) -> Worker | None:
    """Return the worker to use, or None if none may be used now.

    The workers that the prefix hashes to are taken while their load is within a bound of the mean;
    otherwise two at random, and the one with less load.
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
    # Reports lag, and other nodes fill the same worker in the meantime: each keeps to its own part.
    own_limit = worker.own_share(math.floor(num_slots * (1.0 - request.reserved_share)))
    # Running rollout is not preempted: a live request that finds no slot waits for the next to end. So
    # rollout leaves room for the live requests that may well come on top of the mean.
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
