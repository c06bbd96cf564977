"""Items whose bodies are read from the store for each run, with all faults of the simulation."""

from unittest import mock

import anyio
import pytest

from worksramp.logs import configure_logs
from worksramp.rollout import item_bodies
from worksramp_emulator.simulation.batch_checkers import check_all
from worksramp_emulator.simulation.batch_faults import draw_faults
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

LEASE_S = 3.0


# Guards against items that are run without their body, late, or never, when it cannot be read for a while.
@pytest.mark.parametrize("seed", range(1, 9))
def test_items_without_room_for_their_bodies_run_whole_under_drawn_faults(seed: int) -> None:
    configure_logs("error")

    async def main() -> BatchWorld:
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(), seed, group)
            await world.start()
            group.start_soon(draw_faults, world, 20.0)
            await world.train(5)
            group.cancel_scope.cancel()
        return world

    with (
        mock.patch("worksramp.edge.node.max_item_bytes", lambda memory_mb: -1),
        mock.patch.object(item_bodies, "MIN_STORED_B", 0),
        mock.patch.object(
            item_bodies.ItemBodies, "read", autospec=True, side_effect=item_bodies.ItemBodies.read
        ) as read,
    ):
        world = run_simulated(main, seed)
    assert read.call_count and all(call.args[1].stored_in is not None for call in read.call_args_list)
    assert check_all(world, LEASE_S) == []
    assert all(result.is_completed for step in world.steps for result in step.results.values())
