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


# Entries of another writer that look like those of workers got requests twice a second each, for ever.
def test_an_entry_whose_worker_never_answers_is_tried_more_and_more_rarely() -> None:
    def tries(has_answered: bool) -> int:
        num_tries = 0

        async def main() -> None:
            nonlocal num_tries
            worker = directory(1).get("w0")
            assert worker is not None
            worker.has_answered = has_answered
            while anyio.current_time() < 30.0:
                if worker.avoid_until <= anyio.current_time():
                    num_tries += 1
                    worker.avoid_after_failure(anyio.current_time(), 0.5)
                await anyio.sleep(0.05)

        run_simulated(main, 1)
        return num_tries

    assert tries(has_answered=True) >= 50
    assert 9 <= tries(has_answered=False) <= 11


# With ten such entries beside one worker, the second attempt of a request met another of them.
def test_a_second_attempt_goes_to_a_worker_that_has_answered() -> None:
    def work() -> None:
        for seed in range(50):
            workers = directory(11)
            choice = WorkerChoice(workers, random.Random(seed), f"node-{seed}")
            first = choice.choose("app", AttemptHistory())
            assert first is not None
            proven = workers.get("w3" if first.entry.worker_id != "w3" else "w4")
            assert proven is not None
            proven.has_answered = True
            history = AttemptHistory()
            history.begin_attempt(first)
            assert choice.choose("app", history) is proven
            history.begin_attempt(proven)
            assert choice.choose("app", history) is not None

    at_time(0.0, work)
