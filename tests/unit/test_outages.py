"""An outage of the store must not be mistaken for a failure of the owner or of workers."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from worksramp.logs import configure_logs
from worksramp_emulator.simulation.batch_world import SERVICE, BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.live_world import LiveWorld


def simulate(seed: int, work: Callable[[BatchWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        configure_logs("error")
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(num_nodes=8), seed, group)
            await world.start()
            await world.wait_owner()
            await work(world)
            group.cancel_scope.cancel()

    run_simulated(main, seed)


async def outage(world: BatchWorld, seconds: float) -> None:
    world.store.faults.is_down = True
    await anyio.sleep(seconds)
    world.store.faults.is_down = False


@pytest.mark.parametrize("seed", range(6))
def test_a_live_owner_keeps_its_lease_over_an_outage(seed: int) -> None:
    async def work(world: BatchWorld) -> None:
        owner = await world.wait_owner()
        assert owner.node is not None
        epoch = owner.node.shard.epoch
        await outage(world, 5.0)
        # A caller's append shows the other nodes at once that the store is available again.
        world.put(world.records.batches, "e/other", b"1")
        await anyio.sleep(3.0)
        assert owner.node.shard.epoch == epoch

    simulate(seed, work)


def test_an_owner_that_died_during_an_outage_is_replaced_soon_after_it() -> None:
    async def work(world: BatchWorld) -> None:
        owner = await world.wait_owner()
        world.store.faults.is_down = True
        await anyio.sleep(3.0)
        world.kill_node(owner)
        await anyio.sleep(2.0)
        world.store.faults.is_down = False
        with anyio.fail_after(2.0):
            assert await world.wait_owner() is not owner

    simulate(1, work)


def usable(world: BatchWorld) -> list[int]:
    return [len(slot.node.directory.usable(SERVICE)) for slot in world.slots if slot.node is not None]


def drop_entries(world: BatchWorld) -> dict[str, bytes]:
    entries = {}
    for worker_id in world.fleet.workers:
        value = world.store.newest_value(world.records.workers, worker_id)
        assert value is not None
        entries[worker_id] = value
        world.put(world.records.workers, worker_id, b"")
    return entries


def test_workers_whose_entries_were_lost_with_the_store_stay_usable_until_they_are_back() -> None:
    async def work(world: BatchWorld) -> None:
        world.store.faults.is_down = True
        await anyio.sleep(4.0)
        entries = drop_entries(world)
        world.store.faults.is_down = False
        for _ in range(14):
            await anyio.sleep(0.1)
            assert usable(world) == [3] * 8
        for worker_id, value in entries.items():
            world.put(world.records.workers, worker_id, value)
        for _ in range(40):
            await anyio.sleep(0.1)
            assert usable(world) == [3] * 8

    simulate(1, work)


@pytest.mark.parametrize("seed", [1, 128, 140, 160])
def test_workers_that_do_not_come_back_are_removed_within_the_bound_of_draining_ones(seed: int) -> None:
    # A node that learned late of the store's return kept workers that were gone for up to 2.5 s.
    async def work(world: BatchWorld) -> None:
        world.store.faults.is_down = True
        await anyio.sleep(4.0)
        drop_entries(world)
        world.store.faults.is_down = False
        await anyio.sleep(2.4)
        assert usable(world) == [0] * 8

    simulate(seed, work)


def test_an_entry_removed_without_an_outage_removes_the_worker() -> None:
    async def work(world: BatchWorld) -> None:
        drop_entries(world)
        await anyio.sleep(0.3)
        assert usable(world) == [0] * 8

    simulate(1, work)


def test_a_node_that_alone_is_partitioned_is_not_ready_once_it_refuses_batches() -> None:
    """A node that refuses batches must not stay ready.

    Otherwise its callers are refused until its configuration is too old and the platform has asked twice
    more.
    """

    async def main() -> None:
        configure_logs("error")
        async with anyio.create_task_group() as group:
            world = LiveWorld(num_application_workers=2, num_nodes=4, seed=1, group=group)
            await world.start()
            await anyio.sleep(1.0)
            slot = world.slots[0]
            group.start_soon(world.cut_node, slot, 6.0)
            assert slot.node is not None
            refused_at = ready_until = anyio.current_time()
            while not slot.node.batches.is_partitioned():
                await anyio.sleep(0.02)
                refused_at = anyio.current_time()
            while slot.node.is_ready:
                await anyio.sleep(0.02)
                ready_until = anyio.current_time()
            assert ready_until <= refused_at
            assert all(other.node is not None and other.node.is_ready for other in world.slots[1:])
            await anyio.sleep(8.0)
            assert slot.node.is_ready
            group.cancel_scope.cancel()

    run_simulated(main, 1)
