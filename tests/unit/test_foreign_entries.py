"""Entries of other writers take no worker away, however many there are and whatever they state.

Numbers of entries decided which of them were those of workers, so that seven foreign entries beside three
workers made every node refuse the workers, for as long as the entries stood.
"""

from dataclasses import replace

import anyio
import anyio.abc
import pytest

from worksramp.edge import held_entries, start_times
from worksramp.edge.ports import RecordFault, WorkerGone, WorkerSeen
from worksramp.edge.start_times import StartTimes
from worksramp.edge.worker_entries import WorkerEntries
from worksramp.logs import configure_logs
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.workers import START_UNKNOWN, WorkerDirectory, WorkerEntry
from worksramp.wire import encode
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

from .test_worker_starts import FIRST_MS, UnusedPort

WORKERS = ["w1", "w2", "w3"]


def entry(name: str, started_ms: int, service: str = "fleet") -> WorkerEntry:
    return WorkerEntry(name, service, f"{name}:1", "zone", 8, model_versions={"m": 1}, started_ms=started_ms)


class Entries:
    """Entries of three workers and of another writer, whose kind is the other one.

    Args:
        started_ms: start time that the workers state, START_UNKNOWN for none.
    """

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.foreign_ms = FIRST_MS if started_ms == START_UNKNOWN else START_UNKNOWN
        self.directory = WorkerDirectory()
        self.faults: list[RecordFault] = []
        self.checked: list[str] = []
        self.there = set(WORKERS)
        self.recovery_age_s = float("inf")
        self.entries = WorkerEntries(
            self.directory,
            Quarantine(UnusedPort(), self.directory),
            store_recovery_age=lambda: self.recovery_age_s,
            on_refused=self.faults.append,
            on_change=lambda: None,
            is_answered=self.check,
        )

    async def check(self, worker: WorkerEntry) -> bool:
        self.checked.append(worker.worker_id)
        return worker.worker_id in self.there

    def put_workers(self) -> None:
        for name in WORKERS:
            self.entries.apply(WorkerSeen(entry(name, self.started_ms)))

    def put_foreign(self, num: int) -> None:
        for number in range(num):
            self.entries.apply(WorkerSeen(entry(f"odd-{number}", self.foreign_ms)))

    @property
    def usable(self) -> list[str]:
        return [state.entry.worker_id for state in self.directory.usable("fleet")]


both_kinds = pytest.mark.parametrize("started_ms", [FIRST_MS, START_UNKNOWN])


@both_kinds
@pytest.mark.parametrize("num_foreign", [7, 20, 300])
def test_foreign_entries_there_together_take_no_worker_away_that_has_answered(
    started_ms: int, num_foreign: int
) -> None:
    fleet = Entries(started_ms)
    fleet.put_workers()
    fleet.entries.handle_answer(entry("w2", started_ms))
    fleet.put_foreign(num_foreign)
    assert fleet.usable == WORKERS
    fleet.put_workers()
    assert fleet.usable == WORKERS


@both_kinds
def test_one_answer_shows_which_entries_are_those_of_workers(started_ms: int) -> None:
    fleet = Entries(started_ms)
    fleet.put_foreign(20)
    fleet.put_workers()
    assert not set(fleet.usable) & set(WORKERS)  # Nothing but numbers is known yet.
    fleet.entries.handle_answer(entry("w2", started_ms))
    assert fleet.usable == WORKERS


@both_kinds
def test_refused_entries_are_checked_and_their_workers_are_used_within_a_tick(started_ms: int) -> None:
    async def main() -> None:
        fleet = Entries(started_ms)
        fleet.put_foreign(20)
        fleet.put_workers()
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.entries.watch)
            await anyio.sleep(0.1)
            assert fleet.usable == WORKERS
            # The refused entries are asked too, and more and more rarely.
            await anyio.sleep(20 * held_entries.FIRST_CHECK_PAUSE_S)
            assert fleet.usable == WORKERS
            assert all(2 <= fleet.checked.count(f"odd-{number}") <= 3 for number in range(20))
            group.cancel_scope.cancel()

    run_simulated(main, 1)


@both_kinds
def test_workers_are_used_at_once_when_they_return_beside_foreign_entries(started_ms: int) -> None:
    fleet = Entries(started_ms)
    fleet.put_workers()
    fleet.entries.handle_answer(entry("w1", started_ms))
    fleet.put_foreign(20)
    for name in WORKERS:
        fleet.entries.apply(WorkerGone(name))
    assert fleet.usable == []
    for name in ("w4", "w5"):
        fleet.entries.apply(WorkerSeen(entry(name, started_ms)))
    assert fleet.usable == ["w4", "w5"]


@both_kinds
def test_workers_kept_through_an_outage_of_the_store_stay_beside_foreign_entries(started_ms: int) -> None:
    async def main() -> None:
        fleet = Entries(started_ms)
        fleet.put_workers()
        fleet.entries.handle_answer(entry("w1", started_ms))
        fleet.recovery_age_s = 0.0
        for name in WORKERS:
            fleet.entries.apply(WorkerGone(name))
        fleet.put_foreign(20)
        assert fleet.usable == WORKERS

    anyio.run(main)


def test_a_worker_of_the_other_kind_is_used_once_it_has_answered() -> None:
    async def main() -> None:
        fleet = Entries(START_UNKNOWN)
        fleet.put_workers()
        fleet.entries.handle_answer(entry("w1", START_UNKNOWN))
        fleet.there.add("new")
        fleet.entries.apply(WorkerSeen(entry("new", FIRST_MS)))
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.entries.watch)
            await anyio.sleep(0.1)
            group.cancel_scope.cancel()
        assert fleet.usable == ["new", *WORKERS]

    run_simulated(main, 1)


def test_the_kind_of_a_worker_that_restarts_under_its_id_stays_known() -> None:
    fleet = Entries(FIRST_MS)
    fleet.put_workers()
    for name in WORKERS:
        fleet.entries.handle_answer(entry(name, FIRST_MS))
    fleet.put_foreign(20)
    for name in WORKERS:
        fleet.entries.apply(WorkerSeen(entry(name, FIRST_MS + 5000)))
    assert fleet.usable == WORKERS
    assert fleet.checked == []


def test_the_number_of_remembered_answers_is_bounded() -> None:
    starts = StartTimes()
    starts.put("w1", "fleet", True)
    starts.record_answer("w1", True)
    for number in range(3 * start_times.MAX_ANSWERED):
        starts.put(f"gone-{number}", "fleet", True)
        starts.record_answer(f"gone-{number}", True)
        starts.remove(f"gone-{number}")
    assert starts.num_answered <= start_times.MAX_ANSWERED + 1
    assert starts.has_answered("w1", True)


# No item was run, and each live request got 503, for as long as the foreign entries stood.
@both_kinds
@pytest.mark.parametrize("is_foreign_first", [True, False])
def test_items_are_run_beside_more_foreign_entries_than_workers(
    started_ms: int, is_foreign_first: bool
) -> None:
    async def main() -> None:
        configure_logs("error")
        foreign_ms = FIRST_MS if started_ms == START_UNKNOWN else START_UNKNOWN
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(num_workers=0), 3, group)
            for name in WORKERS:
                worker = replace(world.add_worker(name).entry, started_ms=started_ms)
                world.put(world.records.workers, name, encode(worker))

            def put_foreign() -> None:
                for number in range(20):
                    odd = replace(worker, worker_id=f"odd-{number}", address="odd:1", started_ms=foreign_ms)
                    world.put(world.records.workers, odd.worker_id, encode(odd))

            if is_foreign_first:
                put_foreign()
            await world.start()
            await world.wait_owner()
            put_foreign()
            await world.train(2)
            assert [step.seconds is not None for step in world.steps] == [True, True]
            group.cancel_scope.cancel()

    run_simulated(main, 3)
