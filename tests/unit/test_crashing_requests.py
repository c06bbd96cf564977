"""One request ended nine workers of a service that has three.

Its body made each worker that began to run it crash. Every try was kept to two workers, as the route allows,
but that count lived in the memory of one node and ended with the try. The caller came back under another id
at another node, which knew nothing of the workers that had ended, and sent the request to two more. So
workers went down as fast as they came back, and the requests that ran beside it broke off with them.

What settled it were the lines of broken attempts, once they carried a fingerprint that all tries of a request
share. Played on six nodes before the mend, one fingerprint stood in 18 of 22 of them, under fourteen ids of
tries, and never more than twice under the same one:

    attempt_failed request_id=try-1 fingerprint=360ff5cfc2a5e3b1 worker=app-1 reason="broken: app-1"
    attempt_failed request_id=try-1 fingerprint=360ff5cfc2a5e3b1 worker=app-0 reason="broken: app-0"
    attempt_failed request_id=try-2 fingerprint=360ff5cfc2a5e3b1 worker=app-2 reason="broken: app-2"
    attempt_failed request_id=try-31 fingerprint=360ff5cfc2a5e3b1 worker=app-1#1 reason="broken: app-1#1"
"""

import math
import random
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AbstractContextManager
from unittest import mock

import anyio
import pytest

from worksramp.coordination.shared_log import KeyedRecord
from worksramp.logs import configure_logs
from worksramp.routing.crash_ledger import CrashLedger, CrashRecord
from worksramp.routing.quarantine import FIRST_TRIAL_S, TRIAL_FACTOR, Quarantine
from worksramp.routing.worker_port import ListenerState
from worksramp_emulator.batch_fleet import FleetPort
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.live_checkers import check_crash_bound, check_innocents
from worksramp_emulator.simulation.live_world import APPLICATION_PREFIX, LiveWorld

KILLING = f"{APPLICATION_PREFIX}kills".encode()
NUM_WORKERS, NUM_NODES = 3, 6
SETTLE_S = 0.5
#: Of the route of those requests.
MAX_ATTEMPTS = 2
TRAFFIC_S = 20.0

Work = Callable[[LiveWorld], Awaitable[None]]


def play(work: Work, seed: int = 1, num_nodes: int = NUM_NODES) -> LiveWorld:
    """Play some work on a deployment with ordinary traffic."""
    configure_logs("error")

    async def main() -> LiveWorld:
        async with anyio.create_task_group() as group:
            world = LiveWorld(NUM_WORKERS, num_nodes, seed, group)
            await world.start()
            await anyio.sleep(SETTLE_S)
            group.start_soon(world.ordinary_traffic, 3.0, TRAFFIC_S)
            await work(world)
            group.cancel_scope.cancel()
        return world

    return run_simulated(main, seed)


async def come_again(world: LiveWorld) -> None:
    await world.come_again(KILLING, num_times=12, pause_s=1.5)


def num_ended(world: LiveWorld) -> int:
    return sum(crash.target == KILLING for crash in world.fleet.application.crashes)


def test_a_request_that_ends_workers_is_stopped_at_every_node() -> None:
    world = play(come_again)
    assert check_crash_bound(world) == []


# What else has to hold.


@pytest.mark.parametrize("seed", [2, 3, 4])
def test_it_ends_three_workers_at_most_and_innocents_are_not_refused(seed: int) -> None:
    world = play(come_again, seed)
    assert num_ended(world) <= 3
    assert check_innocents(world) == []


def test_a_node_that_starts_anew_knows_it_at_once() -> None:
    async def work(world: LiveWorld) -> None:
        await world.come_again(KILLING, num_times=3, pause_s=1.0)
        for slot in world.slots:
            world.kill_node(slot)
        for slot in world.slots:
            world.start_node(slot)
        await anyio.sleep(4.0)
        await world.come_again(KILLING, num_times=4, pause_s=0.5)

    assert num_ended(play(work, num_nodes=4)) <= 3


def test_what_was_seen_while_the_store_was_away_is_known_soon_after() -> None:
    async def work(world: LiveWorld) -> None:
        world.group.start_soon(world.lose_store, 5.0)
        await world.come_again(KILLING, num_times=5, pause_s=0.8)
        await anyio.sleep(4.5)
        before = num_ended(world)
        await world.come_again(KILLING, num_times=8, pause_s=0.8)
        assert num_ended(world) == before

    assert check_crash_bound(play(work, num_nodes=4)) == []


@pytest.mark.parametrize("seed", range(5, 11))
def test_the_bound_holds_through_drawn_troubles(seed: int) -> None:
    async def work(world: LiveWorld) -> None:
        source = random.Random(seed)

        async def draw_trouble() -> None:
            slot = source.choice(world.slots)
            troubles: list[Callable[[], Awaitable[None]]] = [
                lambda: world.lose_node(slot, 0.6),
                lambda: world.cut_node(slot, 2.0),
                lambda: world.lose_store(1.5),
                lambda: world.lose_workers(1),
                world.reset_connections,
            ]
            await source.choice(troubles)()

        async def draw_troubles() -> None:
            while True:
                await anyio.sleep(source.uniform(0.5, 3.0))
                await draw_trouble()

        world.group.start_soon(draw_troubles)
        await come_again(world)
        await world.come_again(KILLING, num_times=6, pause_s=1.5)

    world = play(work, seed, num_nodes=4)
    assert check_crash_bound(world) == []


@pytest.mark.parametrize("num_workers", [1, NUM_WORKERS])
def test_workers_that_crash_on_their_own_put_nobody_behind(num_workers: int) -> None:
    async def work(world: LiveWorld) -> None:
        world.group.start_soon(world.ordinary_traffic, 60.0, TRAFFIC_S, "often", True)
        for _ in range(4):
            await anyio.sleep(3.5)
            await world.lose_workers(num_workers)

    world = play(work, num_nodes=4)
    assert len(world.fleet.application.crashes) == 4 * num_workers
    assert check_innocents(world) == []


def test_connections_that_break_while_workers_live_put_nobody_behind() -> None:
    world = play(reset_often, num_nodes=4)
    assert not world.fleet.application.crashes
    assert check_innocents(world) == []


async def reset_often(world: LiveWorld) -> None:
    """Break connections so often that most calls lose both their attempts."""
    world.group.start_soon(world.ordinary_traffic, 20.0, TRAFFIC_S)
    for _ in range(150):
        await anyio.sleep(0.03)
        await world.reset_connections()


def test_a_worker_whose_machine_is_gone_too_counts_once_its_entry_goes() -> None:
    async def work(world: LiveWorld) -> None:
        world.fleet.hides_ends = True
        await come_again(world)

    world = play(work)
    assert check_crash_bound(world) == []
    assert num_ended(world) <= 6


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("num_deaths", [1, 2])
def test_a_node_that_dies_between_a_crash_and_its_record_hides_one_try_at_the_most(
    num_deaths: int, seed: int
) -> None:
    died: list[str] = []

    async def work(world: LiveWorld) -> None:
        def die_first(quarantine: Quarantine, records: Iterable[KeyedRecord]) -> None:
            of_crash = list(records)
            holders = [slot for slot in world.slots if slot.node and slot.node.quarantine is quarantine]
            if len(died) >= num_deaths or not holders:
                write(quarantine, of_crash)
                return
            died.append(holders[0].name)
            world.kill_node(holders[0])
            world.group.start_soon(world.lose_node, holders[0], 0.6)

        write = Quarantine._write
        with mock.patch.object(Quarantine, "_write", die_first):
            await come_again(world)

    world = play(work, seed)
    assert len(died) == num_deaths
    assert check_crash_bound(world) == []
    # What a death hides is one try, which may go to as many workers as its route allows.
    assert num_ended(world) <= 3 + num_deaths * MAX_ATTEMPTS


def test_an_innocent_that_was_blamed_is_tried_again_and_cleared() -> None:
    async def work(world: LiveWorld) -> None:
        slot = await world.wait_owner()
        assert slot.node is not None
        quarantine = slot.node.quarantine
        for number in range(3):
            quarantine.ledger.add(CrashRecord("f", f"crash-{number}", "node", True), anyio.current_time())
        assert not quarantine.admit("try-1", "f")
        await anyio.sleep(FIRST_TRIAL_S * TRIAL_FACTOR - 1.0)
        assert not quarantine.admit("try-2", "f")
        await anyio.sleep(2.0)
        assert quarantine.admit("try-3", "f")
        assert not quarantine.admit("try-4", "f"), "one trial at a time"
        quarantine.record_complete_answer("f")
        assert quarantine.admit("try-5", "f")

    play(work, num_nodes=1)


# Mistakes that one might make, each of which a checker catches.


async def lose_often(world: LiveWorld) -> None:
    world.group.start_soon(world.ordinary_traffic, 60.0, TRAFFIC_S, "often", True)
    for _ in range(4):
        await anyio.sleep(3.5)
        await world.lose_workers(1)


async def _believe_it(self: FleetPort, worker: object) -> ListenerState:
    return ListenerState.REFUSES


MISTAKES: dict[str, tuple[AbstractContextManager[object], Work, Callable[[LiveWorld], list[str]]]] = {
    "crashes are kept to the node": (
        mock.patch.object(Quarantine, "_write", lambda self, records: None),
        come_again,
        check_crash_bound,
    ),
    "nobody is ever to blame": (
        mock.patch.object(CrashLedger, "is_quarantined", lambda self, fingerprint: False),
        come_again,
        check_crash_bound,
    ),
    "each broken connection is a crash": (
        mock.patch.object(FleetPort, "listener_state", _believe_it),
        reset_often,
        check_innocents,
    ),
    "a whole answer clears nobody": (
        mock.patch.object(Quarantine, "record_complete_answer", lambda self, fingerprint: None),
        lose_often,
        check_innocents,
    ),
}


@pytest.mark.parametrize("name", MISTAKES)
def test_a_mistake_is_caught(name: str) -> None:
    mistake, work, check = MISTAKES[name]
    with mistake:
        world = play(work, num_nodes=4)
    assert check(world)


# The ledger.


def ledger_of(*records: tuple[str, str, bool]) -> CrashLedger:
    ledger = CrashLedger()
    for fingerprint, crash_id, is_again in records:
        ledger.add(CrashRecord(fingerprint, crash_id, "node", is_again), 0.0)
    return ledger


def test_workers_lost_together_count_once() -> None:
    ledger = ledger_of(("f", "a", False), ("f", "b", False), ("f", "c", False))
    assert not ledger.is_quarantined("f") and ledger.num_crashes("f") == 3


def test_alone_at_two_workers_is_to_blame_and_in_company_is_not() -> None:
    ledger = ledger_of(("f", "a", False), ("f", "b", True))
    assert ledger.is_quarantined("f")
    for crash_id in ("a", "b"):
        ledger.add(CrashRecord("other", crash_id, "other-node", crash_id == "b"), 0.0)
    assert not ledger.is_quarantined("f") and not ledger.is_quarantined("other")
    ledger.add(CrashRecord("f", "c", "node", True), 0.0)
    assert ledger.is_quarantined("f") and not ledger.is_quarantined("other")


def test_records_that_go_leave_nothing_behind() -> None:
    ledger = ledger_of(("f", "a", False), ("f", "b", True), ("g", "a", False))
    assert len(ledger.drop("f")) == 2
    assert not ledger.is_suspect("f") and ledger.is_suspect("g")
    ledger.drop("g")
    assert ledger.num_suspects == 0 and ledger.stale(math.inf, 0) == []


def test_those_of_fewest_crashes_are_forgotten_first() -> None:
    ledger = ledger_of(("f", "a", False), ("f", "b", True), ("g", "a", False), ("h", "b", False))
    assert ledger.stale(-math.inf, 1) == ["g", "h"]
