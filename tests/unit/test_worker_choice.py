"""Which worker a node sends live requests to."""

import random
from collections import Counter
from collections.abc import Callable

import anyio

from worksramp.routing.attempts import AttemptHistory, WorkerChoice
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


def test_a_node_keeps_to_its_usual_worker_and_nodes_have_different_ones() -> None:
    def work() -> None:
        workers = directory()
        usual: list[str] = []
        for node in range(40):
            choice = WorkerChoice(workers, random.Random(1), f"node-{node}")
            names = {chosen(choice) for _ in range(20)}
            assert len(names) == 1
            usual += names
        counts = Counter(usual)
        assert len(counts) == 4 and max(counts.values()) <= 20

    at_time(0.0, work)


def test_a_loaded_usual_worker_shares_its_requests() -> None:
    def work() -> None:
        workers = directory()
        choice = WorkerChoice(workers, random.Random(1), "node")
        usual = workers.get(chosen(choice))
        assert usual is not None
        usual.num_in_flight = 3
        assert usual.entry.worker_id not in {chosen(choice) for _ in range(20)}

    at_time(0.0, work)


def test_a_worker_that_backups_beat_is_left_for_the_next_one_and_tried_again_later() -> None:
    async def main() -> None:
        workers = directory()
        choice = WorkerChoice(workers, random.Random(1), "node")
        usual = workers.get(chosen(choice))
        assert usual is not None
        choice.record_success(usual, 0.04)
        other = choice.choose("app", AttemptHistory(tried=[usual.entry.worker_id]))
        assert other is not None
        choice.record_success(other, 0.04)
        for _ in range(4):
            assert chosen(choice) == usual.entry.worker_id
            choice.record_unfinished(usual, 0.12)
        assert chosen(choice) == other.entry.worker_id
        await anyio.sleep(5.0)
        assert chosen(choice) == usual.entry.worker_id

    run_simulated(main, 1)
