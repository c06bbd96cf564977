"""A worker that starts again under its id holds nothing of before, and nothing learnt of it counts."""

from unittest import mock

import anyio
import pytest

from worksramp.edge.ports import RecordFault, Unreadable, WorkerSeen
from worksramp.edge.worker_entries import WorkerEntries
from worksramp.logs import configure_logs
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.worker_starts import RestartDetector
from worksramp.routing.workers import RunningRequest, WorkerDirectory, WorkerEntry
from worksramp_emulator.batch_fleet import FleetPort
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

FIRST_MS, SECOND_MS = 1_765_000_000_000, 1_765_000_009_000
#: A node's copy of the entries is that old at the most, and the owner looks each 0.05 s.
ENTRY_SEEN_S = 0.5


def entry(started_ms: int, version: int = 1, is_leaving: bool = False) -> WorkerEntry:
    return WorkerEntry(
        "w1", "fleet", "w1:1", "z", 6, is_leaving, {"m": version}, order_sequence=3, started_ms=started_ms
    )


def test_a_later_start_holds_what_its_entry_says_and_no_more() -> None:
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


def test_a_worker_that_left_is_used_again_after_its_next_start() -> None:
    directory = WorkerDirectory()
    directory.put(entry(FIRST_MS, is_leaving=True))
    assert not directory.is_usable("w1")
    directory.remove("w1")
    directory.put(entry(FIRST_MS))
    assert not directory.is_usable("w1")  # The same start: leaving is for good.
    directory.put(entry(SECOND_MS))
    assert directory.is_usable("w1")
    assert [state.entry.started_ms for state in directory.usable("fleet")] == [SECOND_MS]


def test_a_start_that_was_found_to_be_leaving_says_nothing_of_the_next_one() -> None:
    directory = WorkerDirectory()
    directory.put(entry(FIRST_MS))
    directory.mark_leaving("w1")
    assert not directory.is_usable("w1")
    directory.put(entry(SECOND_MS))
    assert directory.is_usable("w1")


@pytest.mark.parametrize("is_removed", [False, True])
def test_an_entry_of_a_start_before_the_known_one_names_no_worker(is_removed: bool) -> None:
    directory = WorkerDirectory()
    directory.put(entry(SECOND_MS))
    if is_removed:
        directory.remove("w1")
    assert directory.is_former_start(entry(FIRST_MS))
    assert not directory.is_former_start(entry(SECOND_MS))
    assert not directory.is_former_start(entry(SECOND_MS + 1))


def test_what_is_remembered_of_workers_that_went_is_bounded() -> None:
    directory = WorkerDirectory()
    for number in range(5000):
        directory.put(WorkerEntry(f"w{number}", "fleet", "a:1", "z", 6, is_leaving=True, started_ms=FIRST_MS))
        directory.remove(f"w{number}")
    assert directory.num_remembered <= 2048


class UnusedPort(FleetPort):
    """Nothing is sent to workers here."""

    def __init__(self) -> None:
        pass


def entries_of(directory: WorkerDirectory, seen: list[RecordFault]) -> WorkerEntries:
    return WorkerEntries(
        directory,
        Quarantine(UnusedPort(), directory),
        regained_age=lambda: float("inf"),
        on_refused=seen.append,
        on_change=lambda: None,
    )


def test_an_entry_that_cannot_be_read_names_no_worker_until_a_proper_one_stands_there() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    entries.take(WorkerSeen(entry(FIRST_MS)))
    entries.take(WorkerSeen(WorkerEntry("w2", "fleet", "w2:1", "z", 6, started_ms=FIRST_MS)))
    with mock.patch("worksramp.edge.worker_entries.logger") as logger:
        for _ in range(3):
            entries.take(Unreadable("w1", "state: 'resting' is not known", RecordFault.UNKNOWN_STATE))
    logger.warning.assert_called_once()
    assert seen == [RecordFault.UNKNOWN_STATE] * 3
    assert [state.entry.worker_id for state in directory.usable("fleet")] == ["w2"]
    entries.take(WorkerSeen(entry(FIRST_MS)))
    assert directory.is_usable("w1")


def untold(name: str) -> WorkerSeen:
    return WorkerSeen(WorkerEntry(name, "fleet", f"{name}:1", "z", 6))


def test_where_no_worker_tells_its_start_all_are_used() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    for name in ("w1", "w2"):
        entries.take(untold(name))
    assert (seen, len(directory.usable("fleet"))) == ([], 2)


def test_an_entry_that_tells_no_start_beside_others_that_do_names_no_worker() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    entries.take(untold("other-1"))
    entries.take(WorkerSeen(entry(FIRST_MS)))
    entries.take(untold("other-2"))
    assert seen == [RecordFault.BAD_VALUE] * 2
    assert [state.entry.worker_id for state in directory.usable("fleet")] == ["w1"]


def test_an_entry_of_a_former_start_leaves_no_worker_there() -> None:
    directory, seen = WorkerDirectory(), list[RecordFault]()
    entries = entries_of(directory, seen)
    entries.take(WorkerSeen(entry(SECOND_MS)))
    entries.take(WorkerSeen(entry(FIRST_MS)))
    assert (seen, directory.is_usable("w1")) == ([RecordFault.FORMER_START], False)


def test_a_look_tells_of_each_restart_once() -> None:
    directory = WorkerDirectory()
    starts = RestartDetector(directory)
    directory.put(entry(FIRST_MS))
    assert starts.restarted() == []
    directory.remove("w1")
    assert starts.restarted() == []
    directory.put(entry(SECOND_MS))
    assert starts.restarted() == ["w1"]
    assert starts.restarted() == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_items_at_a_worker_that_starts_again_under_its_id_go_on_at_once(seed: int) -> None:
    """The connections to the former start are silent, as after a loss of power."""

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
            cut_off = {work.key for work in works.values() if work.run and work.run.worker_id == name}
            assert cut_off
            restarted_at = anyio.current_time()
            world.restart_worker(name)
            await anyio.sleep(ENTRY_SEEN_S)
            held = [work.run for key, work in works.items() if key in cut_off and work.run is not None]
            assert all(run.worker_id != name or run.started_at > restarted_at for run in held)
            assert any(at > restarted_at and worker == name for at, _, worker, _ in world.fleet.runs)
            group.cancel_scope.cancel()

    run_simulated(main, seed)
