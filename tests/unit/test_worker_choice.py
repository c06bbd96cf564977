"""Choice of the worker that a node sends a live request to."""

import random
from collections import Counter
from collections.abc import Callable

import anyio

from worksramp.routing.attempts import Attempt, AttemptHistory, WorkerChoice
from worksramp.routing.workers import WorkerDirectory, WorkerEntry
from worksramp_emulator.simulation.clock import run_simulated


def directory(num_workers: int = 4, num_slots: int = 6) -> WorkerDirectory:
    workers = WorkerDirectory()
    for number in range(num_workers):
        workers.put(WorkerEntry(f"w{number}", "app", f"w{number}:1", "z", num_slots))
    return workers


def at_time(now: float, work: Callable[[], None]) -> None:
    async def main() -> None:
        await anyio.sleep(now)
        work()

    run_simulated(main, 1)


def chosen(choice: WorkerChoice) -> str:
    worker = choice.choose("app", AttemptHistory())
    assert worker is not None
    return worker.entry.worker_id


def test_a_node_keeps_to_its_preferred_worker_and_nodes_prefer_different_ones() -> None:
    def work() -> None:
        workers = directory()
        preferred: list[str] = []
        for node in range(40):
            choice = WorkerChoice(workers, random.Random(1), f"node-{node}")
            names = {chosen(choice) for _ in range(20)}
            assert len(names) == 1
            preferred += names
        counts = Counter(preferred)
        assert len(counts) == 4 and max(counts.values()) <= 20

    at_time(0.0, work)


def test_requests_spill_over_from_a_loaded_preferred_worker() -> None:
    def work() -> None:
        workers = directory()
        choice = WorkerChoice(workers, random.Random(1), "node")
        preferred = workers.get(chosen(choice))
        assert preferred is not None
        preferred.num_in_flight = 3
        assert preferred.entry.worker_id not in {chosen(choice) for _ in range(20)}

    at_time(0.0, work)


def test_a_worker_slower_than_its_backups_is_replaced_by_the_next_one_and_used_again_later() -> None:
    async def main() -> None:
        workers = directory()
        choice = WorkerChoice(workers, random.Random(1), "node")
        preferred = workers.get(chosen(choice))
        assert preferred is not None
        choice.record_success(preferred, 0.04)
        other = choice.choose("app", AttemptHistory([Attempt(preferred.entry.worker_id)]))
        assert other is not None
        choice.record_success(other, 0.04)
        for _ in range(4):
            assert chosen(choice) == preferred.entry.worker_id
            choice.record_unfinished(preferred, 0.12)
        assert chosen(choice) == other.entry.worker_id
        await anyio.sleep(5.0)
        assert chosen(choice) == preferred.entry.worker_id

    run_simulated(main, 1)
