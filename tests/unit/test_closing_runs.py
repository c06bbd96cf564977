"""A text is complete before its run has ended, while the connection is still being closed.

Once in forty simulated runs drawn at random, a node exited with code 1 because of this: the owner checked for
slow runs while the connection of the last item of a batch was being closed. The item was complete, its worker
was slow, and no other item of its batch was open.
"""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from unittest import mock

import anyio
import pytest

from worksramp.logs import configure_logs
from worksramp.rollout.move_gain import MoveEstimator, RunView
from worksramp.rollout.schedule_views import WaitingItem, WorkerView
from worksramp.routing.worker_port import WorkerAnswer, WorkerRequest
from worksramp.routing.workers import WorkerEntry
from worksramp_emulator.batch_fleet import FleetPort
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

CLOSING_S = 1.0
#: Slower than the others, but not so much that its items are moved.
SLOW_FACTOR = 1.4


@pytest.fixture
def slow_closing() -> Iterator[None]:
    """Delay the closing of each connection to a worker."""
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
def test_a_complete_text_at_a_slow_worker_is_listed_while_its_connection_closes(seed: int) -> None:
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


def test_the_gain_of_the_last_open_item_of_a_batch_can_be_estimated() -> None:
    view = WorkerView("fast", "s", 6, 0, 0, {"m": 1}, seconds_per_event=0.04)
    estimator = MoveEstimator([view], [], longest_left={})
    item = WaitingItem(("b", 0), "s", "m", 0.0, 10, 1, 1)
    assert estimator.gain_s(RunView(item, "slow", 0.2, 10.0, 10.0, is_at_slow_worker=True)) > 1.0
