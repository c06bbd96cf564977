"""A text is whole a moment before its run has ended: its connection is still being closed.

Seen once in forty drawn days: a node ended with code 1. The last item of a batch was whole, at a slow worker,
and its connection was being closed as the owner looked for slow runs; of its batch no other item was left.
"""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from unittest import mock

import anyio
import pytest

from worksramp.logs import configure_logs
from worksramp.rollout.batch_schedule import WaitingItem, WorkerView
from worksramp.rollout.move_gain import MoveEstimator
from worksramp.routing.worker_port import WorkerAnswer, WorkerRequest
from worksramp.routing.workers import WorkerEntry
from worksramp_emulator.batch_fleet import FleetPort
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

CLOSING_S = 1.0
#: Slower than the others, yet not by so much that its items are moved.
SLOW_FACTOR = 1.4


@pytest.fixture
def slow_closing() -> Iterator[None]:
    """Have each connection to a worker take a while to close."""
    send = FleetPort.send

    @asynccontextmanager
    async def send_and_close_slowly(
        port: FleetPort, worker: WorkerEntry, request: WorkerRequest
    ) -> AsyncIterator[WorkerAnswer]:
        async with send(port, worker, request) as answer:
            try:
                yield answer
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(CLOSING_S)

    with mock.patch.object(FleetPort, "send", send_and_close_slowly):
        yield


@pytest.mark.usefixtures("slow_closing")
@pytest.mark.parametrize("seed", range(1, 7))
def test_a_whole_text_at_a_slow_worker_is_listed_while_its_connection_closes(seed: int) -> None:
    async def main() -> None:
        configure_logs("error")
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(num_workers=3), seed, group)
            await world.start()
            owner = await world.wait_owner()
            next(iter(world.fleet.workers.values())).seconds_per_event *= SLOW_FACTOR
            await world.train(3, step_timeout_seconds=20.0)
            assert owner.node is not None and owner.node.shard.is_owner
            assert all(step.seconds is not None for step in world.steps)
            group.cancel_scope.cancel()

    run_simulated(main, seed)


def test_an_item_whose_batch_has_no_other_one_left_can_be_weighed() -> None:
    place = WorkerView("fast", "s", 6, 0, 0, {"m": 1}, seconds_per_event=0.04)
    estimator = MoveEstimator([place], [], longest_left={})
    assert estimator.gain_s(WaitingItem(("b", 0), "s", "m", 0.0, 10, 1, 1), "slow", 0.2, 10.0) > 1.0
