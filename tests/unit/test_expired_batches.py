"""The owner's process ended when a batch expired while items of it still ran for the next step.

An item of an ended batch runs on, since trainers submit it again. Its host and its group were looked up in
the ledger, which no longer holds a batch that has expired (KeyError).
"""

import anyio
import pytest

from worksramp.logs import configure_logs
from worksramp.wire import encode
from worksramp_emulator.simulation.batch_checkers import check_all
from worksramp_emulator.simulation.batch_world import MODEL, BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

STATUS_S = 2.0
LEASE_S = 3.0
LOADED_AFTER_S = 3.0
EXPIRED_AFTER_S = 7.0


# Guards against work that outlives the record that it looks its own fields up in.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_items_that_run_on_outlive_the_record_of_their_batch(seed: int) -> None:
    configure_logs("error")

    async def main() -> BatchWorld:
        async with anyio.create_task_group() as group:
            world = BatchWorld(
                BatchWorldSpec(status_seconds=STATUS_S, required_group_share=1.0, num_scorers=2), seed, group
            )
            await world.start()
            world.put(world.records.control, MODEL, encode(2))
            await anyio.sleep(LOADED_AFTER_S)
            for worker in world.fleet.workers.values():
                worker.seconds_per_event = 1.0
            await world.run_step(0, [], 1.0)
            # Its batch has expired by then, and its items have not ended.
            await anyio.sleep(EXPIRED_AFTER_S)
            for worker in world.fleet.workers.values():
                worker.seconds_per_event = 0.01
            await world.run_step(1, [], 10.0)
            group.cancel_scope.cancel()
        return world

    world = run_simulated(main, seed)
    assert world.steps[0].seconds is None and world.steps[1].seconds is not None
    assert check_all(world, LEASE_S) == []
