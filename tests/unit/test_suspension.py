"""After a suspension, what a machine read before is as old as the time that has passed on other machines."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from worksramp.coordination.elapsed import elapsed_s
from worksramp.logs import configure_logs
from worksramp_emulator.simulation.batch_world import MODEL, BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

SUSPENDED_S = 5.0
#: A poll and the time of its answer.
POLL_S = 0.6
#: Well over the time between two renewals, which is 0.1 of the lease.
RENEWAL_S = 0.6


def simulate(work: Callable[[BatchWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        configure_logs("error")
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(), 1, group)
            await world.start()
            # At first an owner sends no orders, since a previous owner might still send some.
            await anyio.sleep(6.0)
            await work(world)
            group.cancel_scope.cancel()

    run_simulated(main, 1)


@pytest.mark.parametrize(("suspended_s", "may_order"), [(0.0, True), (SUSPENDED_S, False)])
def test_an_owner_that_resumes_sends_no_orders_before_it_has_renewed(
    suspended_s: float, may_order: bool
) -> None:
    async def work(world: BatchWorld) -> None:
        slot = await world.wait_owner()
        assert slot.node is not None
        assert slot.node.shard.may_order()
        slot.suspended_s += suspended_s
        assert slot.node.shard.may_order() is may_order
        await anyio.sleep(RENEWAL_S)
        assert slot.node.shard.may_order()

    simulate(work)


def test_a_node_that_resumes_is_not_ready_before_it_has_read() -> None:
    async def work(world: BatchWorld) -> None:
        slot = world.slots[0]
        assert slot.node is not None and slot.node.is_ready
        slot.suspended_s += SUSPENDED_S
        assert not slot.node.is_ready
        world.put(world.records.control, MODEL, b"\x02")
        await anyio.sleep(POLL_S)
        assert slot.node.is_ready

    simulate(work)


def test_the_elapsed_clock_advances_with_the_monotonic_one() -> None:
    async def main() -> None:
        first, monotonic_s = elapsed_s(), anyio.current_time()
        await anyio.sleep(0.02)
        assert elapsed_s() - first >= (anyio.current_time() - monotonic_s) * 0.5

    anyio.run(main)
