"""Workers crashed in a burst while they ran one sound item or its scoring call: it was never sent again.

A submitted item is owed to its submitter: it may wait for a moment after a crash, but never for good. With
each item's call under a fingerprint of its own, two crashes were enough for a call to stay away.
"""

import functools
import itertools
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
import pytest

from worksramp.logs import configure_logs
from worksramp.rollout.owner_context import CrashWatch
from worksramp.routing.crash_ledger import CrashRecord
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.workers import WorkerDirectory
from worksramp_emulator.batch_fleet import FleetPort, FleetWorker
from worksramp_emulator.simulation.batch_checkers import check_all
from worksramp_emulator.simulation.batch_faults import kill_owner
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec, scoring_call_id
from worksramp_emulator.simulation.clock import run_simulated

UNLUCKY = "s0g1i1"
#: Time until another worker takes the place of one that has crashed.
REPLACED_AFTER_S = 0.4
#: Longest time for which an open item may be at no worker while workers have room. Source: the users' rules.
MAX_WAIT_S = 5.0
STEP_TIMEOUT_S = 60.0
LEASE_S = 3.0
NUM_CRASHES = [3, 6, 9]
NUM_WORKERS = 3

Sends = Callable[[BatchWorld], list[tuple[float, str]]]


def calls(world: BatchWorld) -> list[tuple[float, str]]:
    """Return when and to which scorers the call of the unlucky item was sent."""
    call_id = scoring_call_id(UNLUCKY)
    return [(call.at, call.worker_id) for call in world.fleet.calls if call.call_id == call_id]


def runs(world: BatchWorld) -> list[tuple[float, str]]:
    """Return when and to which workers the unlucky item was sent."""
    return [(at, worker_id) for at, _, worker_id, item_id in world.fleet.runs if item_id == UNLUCKY]


BOTH_KINDS = pytest.mark.parametrize("sends", [calls, runs], ids=["call", "item"])


def simulate(work: Callable[[BatchWorld], Awaitable[None]], num_scorers: int) -> BatchWorld:
    configure_logs("error")
    spec = BatchWorldSpec(num_workers=NUM_WORKERS, num_scorers=num_scorers, required_group_share=1.0)

    async def main() -> BatchWorld:
        async with anyio.create_task_group() as group:
            world = BatchWorld(spec, 1, group)
            await world.start()
            await world.wait_owner()
            await work(world)
            group.cancel_scope.cancel()
        return world

    return run_simulated(main, 1)


async def crash_under(world: BatchWorld, num_crashes: int, sends: Sends) -> None:
    """Crash the next workers that get the unlucky request, each as soon as it has it."""
    num_seen = 0
    for _ in range(num_crashes):
        while len(sends(world)) <= num_seen:
            await anyio.sleep(0.005)
        num_seen = len(sends(world))
        world.group.start_soon(crash_and_replace, world, world.fleet.workers[sends(world)[-1][1]])


async def crash_and_replace(world: BatchWorld, worker: FleetWorker) -> None:
    worker.is_gone = True
    await anyio.sleep(REPLACED_AFTER_S)
    world.remove_worker(worker.entry.worker_id)
    add = world.add_scorer if worker.is_scorer else world.add_worker
    add(f"{worker.entry.worker_id}+")


def crash_in_step(sends: Sends, num_crashes: int) -> BatchWorld:
    async def work(world: BatchWorld) -> None:
        world.group.start_soon(crash_under, world, num_crashes, sends)
        await world.run_step(0, [], STEP_TIMEOUT_S)

    return simulate(work, num_scorers=NUM_WORKERS if sends is calls else 0)


def check_sent_until_listed(world: BatchWorld, sends: Sends, num_crashes: int) -> None:
    times = [at for at, _ in sends(world)]
    assert len(times) > num_crashes
    assert max(later - at for at, later in itertools.pairwise(times)) <= MAX_WAIT_S
    assert world.steps[0].seconds is not None
    assert all(result.is_completed for result in world.steps[0].results.values())
    assert check_all(world, LEASE_S) == []


# Guards against a call that the quarantine keeps from all scorers although its item is owed.
@BOTH_KINDS
@pytest.mark.parametrize("num_crashes", NUM_CRASHES)
def test_what_several_workers_crashed_under_is_sent_again_soon_and_listed(
    sends: Sends, num_crashes: int
) -> None:
    check_sent_until_listed(crash_in_step(sends, num_crashes), sends, num_crashes)


# Guards against owed work that depends on trials, which one node at a time may grant.
@BOTH_KINDS
def test_it_is_sent_again_by_an_owner_that_may_not_grant_trials(sends: Sends) -> None:
    with mock.patch.object(Quarantine, "_is_trial_due", return_value=False):
        world = crash_in_step(sends, 6)
    check_sent_until_listed(world, sends, 6)


# Guards against an owner that goes by the crashes under a former owner, which it has read from the log.
@BOTH_KINDS
def test_it_is_sent_again_by_the_next_owner(sends: Sends) -> None:
    async def work(world: BatchWorld) -> None:
        world.group.start_soon(functools.partial(world.run_step, 0, [], STEP_TIMEOUT_S))
        with anyio.fail_after(STEP_TIMEOUT_S):
            await crash_under(world, 6, sends)
        await anyio.sleep(0.5)
        num_sent = len(sends(world))
        await kill_owner(world)
        slot = await world.wait_owner()
        assert slot.node is not None and slot.node.quarantine.ledger.num_quarantined > 0
        with anyio.fail_after(MAX_WAIT_S):
            while len(sends(world)) == num_sent:
                await anyio.sleep(0.05)
        with anyio.fail_after(MAX_WAIT_S):
            while world.steps[0].seconds is None:
                await anyio.sleep(0.05)

    world = simulate(work, num_scorers=NUM_WORKERS if sends is calls else 0)
    assert check_all(world, LEASE_S) == []


# Guards against pauses that grow with the number of crashes until they amount to a refusal.
@pytest.mark.parametrize("num_crashes", range(2, 13))
def test_the_pause_of_owed_work_is_bounded_however_many_workers_crashed(num_crashes: int) -> None:
    directory = WorkerDirectory()
    quarantine = Quarantine(mock.create_autospec(FleetPort), directory, may_grant_trial=lambda: False)
    for number in range(num_crashes):
        quarantine.ledger.add(CrashRecord("f", f"crash-{number}", "node", is_again=number > 0), 0.0)
    assert quarantine.is_quarantined("f")
    assert 0.0 < quarantine.pause_s("f") < MAX_WAIT_S


# Guards against owners that can refuse owed work: their view of the quarantine offers no such decision.
def test_an_owner_has_no_way_to_refuse_owed_work() -> None:
    names = {name for name in vars(CrashWatch) if not name.startswith("_")}
    assert names == {"running", "pause_s", "handle_broken_connection", "record_complete_answer"}
