"""An item waited for good for a worker of the one version that had begun its text.

All workers of that version had crashed and newer ones had come. The text was only discarded when a worker
answered with another version, and no worker was asked. In this simulation, 17 of 20 items were at no worker
for the rest of the step.
"""

import anyio
import pytest

from worksramp.logs import configure_logs
from worksramp.rollout.stale_texts import is_stale
from worksramp.wire import encode
from worksramp_emulator.simulation.batch_checkers import check_all
from worksramp_emulator.simulation.batch_faults import draw_faults
from worksramp_emulator.simulation.batch_world import MODEL, BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

CRASH_AT_S = 0.3
STEP_TIMEOUT_S = 60.0
LEASE_S = 3.0
#: Longest time for which the items may be at no worker, in addition to a calm step. Source: the users' rules.
MAX_STEP_S = 5.0 + 3.0


# Guards against texts that wait for a version which no worker will ever hold again.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("num_left", [0, 1])
def test_a_text_whose_workers_are_gone_is_begun_anew_by_newer_workers(num_left: int, seed: int) -> None:
    configure_logs("error")

    async def replace_workers(world: BatchWorld) -> None:
        await anyio.sleep(CRASH_AT_S)
        world.put(world.records.control, MODEL, encode(2))
        crashed = sorted(world.fleet.workers)[num_left:]
        for worker_id in crashed:
            world.remove_worker(worker_id)
        for worker_id in crashed:
            world.add_worker(f"{worker_id}+")

    async def main() -> BatchWorld:
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(needs_one_version=True, required_group_share=1.0), seed, group)
            await world.start()
            group.start_soon(replace_workers, world)
            await world.run_step(0, [], STEP_TIMEOUT_S)
            group.cancel_scope.cancel()
        return world

    world = run_simulated(main, seed)
    seconds = world.steps[0].seconds
    assert seconds is not None and seconds <= MAX_STEP_S
    assert all(result.is_completed for result in world.steps[0].results.values())
    assert check_all(world, LEASE_S) == []


# Guards against the same wait after other faults: with seed 4, two steps in a row were never whole.
@pytest.mark.parametrize("seed", [4, 5])
def test_steps_of_one_version_are_whole_in_time_under_drawn_faults(seed: int) -> None:
    configure_logs("error")

    async def main() -> BatchWorld:
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(needs_one_version=True, required_group_share=1.0), seed, group)
            await world.start()
            group.start_soon(draw_faults, world, 30.0)
            await world.train(7)
            group.cancel_scope.cancel()
        return world

    world = run_simulated(main, seed)
    assert [step.step for step in world.steps if step.seconds is None] == []
    assert check_all(world, LEASE_S) == []


@pytest.mark.parametrize(
    ("held", "is_discarded"),
    [
        ({5}, False),  # A worker can continue it.
        ({5, 6}, False),
        ({6}, True),  # Versions only grow.
        ({4}, True),  # The holder is gone; 4 may begin the item anew.
        ({3}, False),  # No worker may run the item; a load is due.
        (set(), False),  # No worker is there; one that returns may have the version.
    ],
)
def test_a_text_is_discarded_only_if_another_version_may_begin_it_anew(
    held: set[int], is_discarded: bool
) -> None:
    assert is_stale(5, 4, held) is is_discarded
