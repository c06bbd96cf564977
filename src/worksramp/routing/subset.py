"""Which workers one node asks for load reports and gives work: a part of them, and every worker has a node.

With 330 nodes and 1,500 workers, every node asking every worker would be half a million reports a period. So
each worker is given to a few nodes by rendezvous hashing over the live nodes. Choosing the other way round,
each node picking some workers, would leave one worker in six to nobody at that size.
"""

import math

import xxhash

from worksramp.backends.base import Machine

DEFAULT_SUBSET_SIZE = 8
MIN_NODES_PER_WORKER = 2
HASH_MASK = 2**64 - 1
MIX_MULTIPLIER = 0x9E3779B97F4A7C15


def num_nodes_per_worker(num_nodes: int, num_workers: int, subset_size: int) -> int:
    """Return how many nodes each worker is given to, so that a node has ``subset_size`` on average."""
    if num_workers == 0:
        return 1
    wanted = math.ceil(subset_size * num_nodes / num_workers)
    return min(num_nodes, max(MIN_NODES_PER_WORKER, wanted))


def choose_subset(
    node_id: str, node_ids: frozenset[str], machines: tuple[Machine, ...], num_per_worker: int
) -> tuple[Machine, ...]:
    """Return the workers that are given to this node.

    Args:
        node_id: this node; it counts as live whether or not it stands in ``node_ids``.
        node_ids: live nodes.
        num_per_worker: nodes that each worker is given to.
    """
    others = [_hash(other) for other in node_ids if other != node_id]
    own = _hash(node_id)
    return tuple(
        machine
        for machine in machines
        if _num_better(own, others, _hash(machine.machine_id)) < num_per_worker
    )


def _num_better(own: int, others: list[int], worker: int) -> int:
    """Return how many nodes score higher than this one for a worker."""
    own_score = _mix(own, worker)
    return sum(1 for other in others if _mix(other, worker) > own_score)


def _mix(node: int, worker: int) -> int:
    """Return a score; both parts are hashes already, so one multiplication mixes them well enough."""
    product = (node ^ worker) * MIX_MULTIPLIER & HASH_MASK
    return product ^ product >> 32


def _hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
