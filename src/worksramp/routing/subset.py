"""Which workers one node asks for load reports: a deterministic subset.

With 330 nodes and 1,500 workers, every node asking every worker would be half a million reports a
period. Each node takes ``size`` workers by rendezvous hashing, so that workers are spread evenly and a
change of one worker changes one place.
"""

from worksramp.coordination.placement import rendezvous_order
from worksramp.platform.base import Machine

DEFAULT_SUBSET_SIZE = 8


def choose_subset(node_id: str, machines: tuple[Machine, ...], size: int) -> tuple[Machine, ...]:
    """Return the workers that this node uses, at most ``size``."""
    by_id = {machine.machine_id: machine for machine in machines}
    order = rendezvous_order(node_id, by_id)
    return tuple(by_id[machine_id] for machine_id in order[:size])
