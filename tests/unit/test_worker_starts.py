"""A worker that restarts under the same id is a new worker: no state or observation carries over."""

from unittest import mock

import anyio
import pytest

from worksramp.edge.ports import RecordFault, UnreadableRecord, WorkerGone, WorkerSeen
from worksramp.edge.start_times import MAX_SERVICES, StartTimes
from worksramp.edge.worker_entries import MAX_LOGGED_FAULTS, WorkerEntries
from worksramp.logs import configure_logs
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.worker_starts import RestartDetector
from worksramp.routing.workers import RunningRequest, WorkerDirectory, WorkerEntry
from worksramp_emulator.batch_fleet import FleetPort
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

FIRST_MS, SECOND_MS = 1_765_000_000_000, 1_765_000_009_000
#: Maximum age of a node's copy of the entries; the owner checks it every 0.05 s.
ENTRY_SEEN_S = 0.5


def entry(started_ms: int, version: int = 1, is_leaving: bool = False) -> WorkerEntry:
    return WorkerEntry(
        "w1", "fleet", "w1:1", "z", 6, is_leaving, {"m": version}, order_sequence=3, started_ms=started_ms
    )


def test_a_later_start_has_only_the_state_in_its_entry() -> None:
    directory = WorkerDirectory()
    directory.put(entry(FIRST_MS, version=5))
    before = directory.get("w1")
    assert before is not None
    before.begin(RunningRequest("f"))
    before.latency_seconds, before.avoid_until = 2.0, float("inf")
    directory.put(entry(SECOND_MS, version=2))
    now = directory.get("w1")
    assert now is not None and now is not before
    assert before.is_gone and not now.is_gone
    assert now.versions == {"m": 2}
    assert (now.num_in_flight, now.latency_seconds, now.avoid_until) == (0, None, float("-inf"))


def test_a_drained_worker_is_used_again_after_its_next_start() -> None:
    directory = WorkerDirectory()
    directory.put(entry(FIRST_MS, is_leaving=True))
    assert not directory.is_usable("w1")
    directory.remove("w1")
    directory.put(entry(FIRST_MS))
    assert not directory.is_usable("w1")  # The same start stays draining.
    directory.put(entry(SECOND_MS))
    assert directory.is_usable("w1")
    assert [state.entry.started_ms for state in directory.usable("fleet")] == [SECOND_MS]


def test_marking_one_start_as_draining_does_not_affect_the_next_one() -> None:
    directory = WorkerDirectory()
    directory.put(entry(FIRST_MS))
    directory.mark_draining("w1")
    assert not directory.is_usable("w1")
    directory.put(entry(SECOND_MS))
    assert directory.is_usable("w1")


@pytest.mark.parametrize("is_removed", [False, True])
def test_an_entry_of_an_earlier_start_is_detected(is_removed: bool) -> None:
    directory = WorkerDirectory()
    directory.put(entry(SECOND_MS))
    if is_removed:
        directory.remove("w1")
    assert directory.is_former_start(entry(FIRST_MS))
    assert not directory.is_former_start(entry(SECOND_MS))
    assert not directory.is_former_start(entry(SECOND_MS + 1))


def test_the_number_of_remembered_starts_is_bounded() -> None:
    directory = WorkerDirectory()
    for number in range(5000):
        directory.put(WorkerEntry(f"w{number}", "fleet", "a:1", "z", 6, is_leaving=True, started_ms=FIRST_MS))
        directory.remove(f"w{number}")
    assert directory.num_remembered <= 2048


class UnusedPort(FleetPort):
    """Port for tests that send nothing to workers."""

    def __init__(self) -> None:
        pass


def entries_of(directory: WorkerDirectory, seen: list[RecordFault]) -> WorkerEntries:
    return WorkerEntries(
        directory,
        Quarantine(UnusedPort(), directory),
        store_recovery_age=lambda: float("inf"),
        on_refused=seen.append,
        on_change=lambda: None,
    )


def test_a_worker_with_an_unreadable_entry_is_not_used_until_a_valid_entry_replaces_it() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    entries.apply(WorkerSeen(entry(FIRST_MS)))
    entries.apply(WorkerSeen(WorkerEntry("w2", "fleet", "w2:1", "z", 6, started_ms=FIRST_MS)))
    with mock.patch("worksramp.edge.worker_entries.logger") as logger:
        for _ in range(3):
            entries.apply(UnreadableRecord("w1", "state: 'resting' is not known", RecordFault.UNKNOWN_STATE))
    logger.warning.assert_called_once()
    assert seen == [RecordFault.UNKNOWN_STATE] * 3
    assert [state.entry.worker_id for state in directory.usable("fleet")] == ["w2"]
    entries.apply(WorkerSeen(entry(FIRST_MS)))
    assert directory.is_usable("w1")


# Each write of one of many odd entries had a log line of its own.
def test_the_log_lines_about_very_many_odd_entries_are_bounded() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    with mock.patch("worksramp.edge.worker_entries.logger") as logger:
        for _ in range(2):
            for number in range(5000):
                entries.apply(UnreadableRecord(f"odd-{number}", "nested too deeply"))
    assert len(seen) == 10_000
    assert logger.warning.call_count <= MAX_LOGGED_FAULTS + 1
    entries.apply(WorkerSeen(WorkerEntry("odd-1", "fleet", "w1:1", "z", 6)))
    with mock.patch("worksramp.edge.worker_entries.logger") as logger:
        entries.apply(UnreadableRecord("odd-1", "nested too deeply"))
    logger.warning.assert_called_once()


def seen_without_start(name: str) -> WorkerSeen:
    return WorkerSeen(WorkerEntry(name, "fleet", f"{name}:1", "z", 6))


def test_all_workers_are_used_where_no_entry_has_a_start_time() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    for name in ("w1", "w2"):
        entries.apply(seen_without_start(name))
    assert (seen, len(directory.usable("fleet"))) == ([], 2)


def test_an_entry_without_start_time_is_refused_once_another_entry_has_one() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    entries.apply(seen_without_start("other-1"))
    entries.apply(WorkerSeen(entry(FIRST_MS)))
    entries.apply(seen_without_start("other-2"))
    assert seen == [RecordFault.BAD_VALUE] * 2
    assert [state.entry.worker_id for state in directory.usable("fleet")] == ["w1"]


# One entry with a start time, left by another writer, removed every worker of a platform without start times.
@pytest.mark.parametrize("place", [0, 1, 2, 5])
def test_one_entry_with_a_start_time_removes_no_worker_of_a_fleet_without_them(place: int) -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    events = [seen_without_start(f"w{number}") for number in range(1, 6)]
    odd = WorkerSeen(WorkerEntry("odd", "fleet", "odd:1", "z", 6, started_ms=FIRST_MS))
    for event in [*events[:place], odd, *events[place:], *events]:
        entries.apply(event)
    assert [state.entry.worker_id for state in directory.usable("fleet")] == [f"w{n}" for n in range(1, 6)]
    entries.apply(WorkerGone("odd"))
    entries.apply(seen_without_start("odd"))
    assert len(directory.usable("fleet")) == 6


def test_a_fleet_with_start_times_is_used_whole_after_the_entries_without_them_came_first() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    for name in ("odd-1", "odd-2", "odd-3"):
        entries.apply(seen_without_start(name))
    for number in range(1, 6):
        entries.apply(WorkerSeen(WorkerEntry(f"w{number}", "fleet", "w:1", "z", 6, started_ms=FIRST_MS)))
    assert [state.entry.worker_id for state in directory.usable("fleet")] == [f"w{n}" for n in range(1, 6)]
    assert directory.get("odd-1") is None


# The entries of workers expire while the store is down, those of other writers do not.
def test_workers_kept_through_an_outage_of_the_store_count_as_entries() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    for number in range(1, 6):
        entries.apply(seen_without_start(f"w{number}"))
    entries.apply(WorkerSeen(WorkerEntry("odd", "fleet", "odd:1", "z", 6, started_ms=FIRST_MS)))
    entries.store_recovery_age = lambda: 0.0

    async def main() -> None:
        for number in range(1, 6):
            entries.apply(WorkerGone(f"w{number}"))

    anyio.run(main)
    assert len(directory.usable("fleet")) == 5


# Entries of crashed workers go, those of another writer stay: a returning worker was taken for the odd one.
def test_workers_with_start_times_are_used_again_after_all_of_them_crashed() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    workers = [WorkerEntry(f"w{n}", "fleet", "w:1", "z", 6, started_ms=FIRST_MS) for n in range(1, 4)]
    for worker in workers:
        entries.apply(WorkerSeen(worker))
    for number in range(1, 6):
        entries.apply(seen_without_start(f"odd-{number}"))
    for worker in workers:
        entries.apply(WorkerGone(worker.worker_id))
    assert not directory.usable("fleet")
    entries.apply(WorkerSeen(workers[0]))
    assert [state.entry.worker_id for state in directory.usable("fleet")] == ["w1"]


def workers_with_starts(num: int) -> list[WorkerSeen]:
    return [
        WorkerSeen(WorkerEntry(f"w{n}", "fleet", f"w{n}:1", "z", 6, started_ms=FIRST_MS))
        for n in range(1, num + 1)
    ]


# Ids counted on after their entries had gone, so that one entry at a time outnumbered all workers in the end.
@pytest.mark.parametrize("service", ["fleet", "thumbnailer"])
def test_entries_of_another_writer_one_at_a_time_remove_no_worker(service: str) -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    for worker in workers_with_starts(3):
        entries.apply(worker)
    for number in range(100):
        entries.apply(WorkerSeen(WorkerEntry(f"odd-{number}", service, "odd:1", "z", 4)))
        assert len(directory.usable("fleet")) == 3
        entries.apply(WorkerGone(f"odd-{number}"))
    assert [state.entry.worker_id for state in directory.usable("fleet")] == ["w1", "w2", "w3"]


@pytest.mark.parametrize("num_odd", [1, 40])
def test_entries_with_a_start_time_one_at_a_time_remove_no_worker_without(num_odd: int) -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    for number in range(1, 6):
        entries.apply(seen_without_start(f"w{number}"))
    for number in range(num_odd):
        odd = WorkerEntry(f"odd-{number}", "fleet", "odd:1", "z", 4, started_ms=FIRST_MS)
        entries.apply(WorkerSeen(odd))
        entries.apply(WorkerGone(odd.worker_id))
    assert [state.entry.worker_id for state in directory.usable("fleet")] == [f"w{n}" for n in range(1, 6)]


# Entries of services that no configuration names decided about the workers of those that it names.
@pytest.mark.parametrize("is_named_first", [True, False])
def test_entries_of_services_that_are_not_named_remove_no_worker(is_named_first: bool) -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    named: set[str] | None = {"fleet"} if is_named_first else None
    entries.service_names = lambda: named
    for worker in workers_with_starts(3):
        entries.apply(worker)
    for number in range(30):
        entries.apply(WorkerSeen(WorkerEntry(f"odd-{number}", f"other-{number % 3}", "odd:1", "z", 4)))
    named = {"fleet"}
    entries.handle_configuration()
    assert [state.entry.worker_id for state in directory.usable("fleet")] == ["w1", "w2", "w3"]
    assert not any(directory.usable(f"other-{number}") for number in range(3))


def test_start_times_remember_few_services_that_have_no_entries() -> None:
    starts = StartTimes()
    starts.put("w1", "fleet", True)
    for number in range(3 * MAX_SERVICES):
        starts.put(f"odd-{number}", f"other-{number}", False)
        starts.remove(f"odd-{number}")
    assert starts.are_stated({"fleet"}) and starts.num_services <= MAX_SERVICES + 1


def test_an_entry_of_an_earlier_start_removes_the_worker() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    entries.apply(WorkerSeen(entry(SECOND_MS)))
    entries.apply(WorkerSeen(entry(FIRST_MS)))
    assert (seen, directory.is_usable("w1")) == ([RecordFault.FORMER_START], False)


def test_each_restart_is_returned_once() -> None:
    directory = WorkerDirectory()
    detector = RestartDetector(directory)
    directory.put(entry(FIRST_MS))
    assert detector.restarted() == []
    directory.remove("w1")
    assert detector.restarted() == []
    directory.put(entry(SECOND_MS))
    assert detector.restarted() == ["w1"]
    assert detector.restarted() == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_items_of_a_restarted_worker_resume_at_once(seed: int) -> None:
    """The connections to the earlier start stay open but silent, as after a power failure."""

    async def main() -> None:
        configure_logs("error")
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(num_workers=2), seed, group)
            await world.start()
            owner = await world.wait_owner()
            group.start_soon(world.train, 1)
            await anyio.sleep(0.4)
            assert owner.node is not None and owner.node.shard.owner is not None
            works = owner.node.shard.owner.items.works
            name = next(iter(world.fleet.workers))
            affected = {work.key for work in works.values() if work.run and work.run.worker_id == name}
            assert affected
            restarted_at = anyio.current_time()
            world.restart_worker(name)
            await anyio.sleep(ENTRY_SEEN_S)
            held = [work.run for key, work in works.items() if key in affected and work.run is not None]
            assert all(run.worker_id != name or run.started_at > restarted_at for run in held)
            assert any(at > restarted_at and worker == name for at, _, worker, _ in world.fleet.runs)
            group.cancel_scope.cancel()

    run_simulated(main, seed)
