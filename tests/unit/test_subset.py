"""Every worker is assigned to a node, and nodes get about the same number of workers."""

from worksramp.backends.base import Machine, MachineRole
from worksramp.routing.subset import choose_subset, num_nodes_per_worker

NUM_NODES, NUM_WORKERS, SUBSET_SIZE = 330, 1500, 8


def workers(count: int) -> tuple[Machine, ...]:
    return tuple(Machine(f"worker-{n}", MachineRole.ENGINE, f"a{n}", "z", "g") for n in range(count))


def test_at_the_target_size_every_worker_has_the_intended_number_of_nodes() -> None:
    nodes = frozenset(f"node-{n}" for n in range(NUM_NODES))
    per_worker = num_nodes_per_worker(NUM_NODES, NUM_WORKERS, SUBSET_SIZE)
    counts: dict[str, int] = {}
    sizes = []
    for node in nodes:
        chosen = choose_subset(node, nodes, workers(NUM_WORKERS), per_worker)
        sizes.append(len(chosen))
        for machine in chosen:
            counts[machine.machine_id] = counts.get(machine.machine_id, 0) + 1
    assert set(counts.values()) == {per_worker}
    assert len(counts) == NUM_WORKERS
    assert max(sizes) <= 3 * SUBSET_SIZE


def test_a_small_deployment_uses_every_worker_from_every_node() -> None:
    nodes = frozenset({"a", "b", "c"})
    per_worker = num_nodes_per_worker(3, 5, SUBSET_SIZE)
    assert all(len(choose_subset(node, nodes, workers(5), per_worker)) == 5 for node in nodes)


def test_removing_a_node_reassigns_only_its_own_workers() -> None:
    nodes = frozenset(f"node-{n}" for n in range(40))
    fleet = workers(200)
    before = {machine.machine_id for machine in choose_subset("node-0", nodes, fleet, 2)}
    after = {machine.machine_id for machine in choose_subset("node-0", nodes - {"node-7"}, fleet, 2)}
    assert before <= after
