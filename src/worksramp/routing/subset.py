"""Assigns to each node the subset of workers that it requests load reports from and sends work to.

With 330 nodes and 1,500 workers, requesting a report from every worker at every node would be half a million
reports per period. So each worker is assigned to a few nodes by rendezvous hashing over the live nodes. If
instead each node picked some workers, one worker in six would be assigned to no node at that size.
"""

import math

import xxhash

from worksramp.backends.base import Machine

DEFAULT_SUBSET_SIZE = 8
MIN_NODES_PER_WORKER = 2
HASH_MASK = 2**64 - 1
MIX_MULTIPLIER = 0x9E3779B97F4A7C15


def num_nodes_per_worker(num_nodes: int, num_workers: int, subset_size: int) -> int:
    """Return how many nodes each worker is assigned to, so that a node gets ``subset_size`` on average."""
    if num_workers == 0:
        return 1
    wanted = math.ceil(subset_size * num_nodes / num_workers)
    return min(num_nodes, max(MIN_NODES_PER_WORKER, wanted))


def choose_subset(
    node_id: str, node_ids: frozenset[str], machines: tuple[Machine, ...], num_per_worker: int
) -> tuple[Machine, ...]:
    """Return the workers that are assigned to this node.

    Args:
        node_id: this node; it counts as live even if ``node_ids`` does not contain it.
        node_ids: live nodes.
        machines: all workers of the group.
        num_per_worker: number of nodes that each worker is assigned to.
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
    """Return a score of two hashes; because both are hashes, one multiplication mixes them well enough."""
    product = (node ^ worker) * MIX_MULTIPLIER & HASH_MASK
    return product ^ product >> 32


def _hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
