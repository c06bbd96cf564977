"""Troubles of a simulated deployment of batches, by the sentences that scenarios name them with."""

import functools
import re
from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from worksramp.rollout.batch_owner import BatchOwner
from worksramp_emulator.batch_fleet import FleetWorker
from worksramp_emulator.shared_log import LogFaults
from worksramp_emulator.simulation.batch_world import BatchWorld, NodeSlot

Trouble = Callable[[BatchWorld], Coroutine[Any, Any, None]]
RESTART_SECONDS = 0.6
SLOW_FACTOR = 4


async def later(at: float, trouble: Trouble, world: BatchWorld) -> None:
    """Begin a trouble some seconds from now."""
    await anyio.sleep(at)
    await trouble(world)


async def kill_owner(world: BatchWorld) -> None:
    """Kill the owner, and start another process there a little later."""
    slot = await world.wait_owner()
    world.kill_node(slot)
    await anyio.sleep(RESTART_SECONDS)
    world.start_node(slot)


async def stop_owner(world: BatchWorld) -> None:
    """Stop the owner in order, and start another process there a little later."""
    slot = await world.wait_owner()
    await world.stop_node(slot)
    await anyio.sleep(RESTART_SECONDS)
    world.start_node(slot)


async def cut_owner(world: BatchWorld, seconds: float) -> None:
    """Have the store out of the owner's reach for a while."""
    slot = await world.wait_owner()
    await cut_node(world, slot, seconds)


async def cut_node(world: BatchWorld, slot: NodeSlot, seconds: float) -> None:
    """Have the store out of one node's reach for a while."""
    world.store.faults.partitioned_nodes.add(slot.name)
    await anyio.sleep(seconds)
    world.store.faults.partitioned_nodes.discard(slot.name)


async def kill_all(world: BatchWorld) -> None:
    """Kill all nodes at once, and start them a little later."""
    for slot in world.slots:
        world.kill_node(slot)
    await anyio.sleep(RESTART_SECONDS)
    for slot in world.slots:
        world.start_node(slot)


async def with_faults(world: BatchWorld, seconds: float, **values: float | bool) -> None:
    """Set faults of the store for a while; overlapping ones end together with the first."""
    for name, value in values.items():
        setattr(world.store.faults, name, value)
    await anyio.sleep(seconds)
    for name in values:
        setattr(world.store.faults, name, getattr(LogFaults(), name))


async def forget(world: BatchWorld) -> None:
    """Drop all records that are not the newest of their key."""
    world.store.apply_retention(world.records.batches)
    world.store.apply_retention(world.records.control)
    world.store.apply_retention(world.records.workers)
    world.store.apply_retention(world.records.progress)
    for partition in world.records.values:
        world.store.apply_retention(partition)


async def darken_worker(world: BatchWorld, seconds: float) -> None:
    """Have one worker answer nothing for a while."""
    worker = world.source.choice(sorted(world.fleet.workers.values(), key=lambda w: w.entry.worker_id))
    worker.is_unresponsive = True
    await anyio.sleep(seconds)
    worker.is_unresponsive = False


async def slow_worker(world: BatchWorld, seconds: float) -> None:
    """Have one worker work slowly for a while."""
    worker = world.fleet.workers["worker-1"]
    worker.seconds_per_event *= SLOW_FACTOR
    await anyio.sleep(seconds)
    worker.seconds_per_event /= SLOW_FACTOR


async def crash_worker(world: BatchWorld) -> None:
    """End one worker; its entry goes later, and another one starts."""
    worker_id = max(w.entry.worker_id for w in world.fleet.workers.values() if not w.is_gone)
    world.fleet.workers[worker_id].is_gone = True
    await anyio.sleep(1.5)
    world.remove_worker(worker_id)
    world.add_worker(f"{worker_id}-again")


async def for_workers(world: BatchWorld, seconds: float, name: str, value: float) -> None:
    """Set a share of something for all workers for a while."""
    for worker in world.fleet.workers.values():
        setattr(worker, name, value)
    await anyio.sleep(seconds)
    for worker in world.fleet.workers.values():
        setattr(worker, name, 0.0)


TROUBLES: list[tuple[str, Callable[..., Coroutine[Any, Any, None]]]] = [
    (r"the owner is killed", kill_owner),
    (r"the owner is stopped in order", stop_owner),
    (r"the owner is cut from the store for (\d+) s", cut_owner),
    (r"all nodes are killed", kill_all),
    (r"the store is down for (\d+) s", functools.partial(with_faults, is_down=True)),
    (r"the store is silent for (\d+) s", functools.partial(with_faults, is_down=True, is_silent=True)),
    (r"answers of the store are lost for (\d+) s", functools.partial(with_faults, lost_answers=0.35)),
    (r"appends are late for (\d+) s", functools.partial(with_faults, late_appends=0.35)),
    (r"the store forgets its history", forget),
    (r"a worker is dark for (\d+) s", darken_worker),
    (r"a worker is slow for (\d+) s", slow_worker),
    (r"a worker crashes", crash_worker),
    (
        r"workers break off their answers for (\d+) s",
        functools.partial(for_workers, name="break_share", value=0.03),
    ),
    (r"orders are late for (\d+) s", functools.partial(for_workers, name="late_orders", value=0.5)),
]


async def let_workers_fail(world: BatchWorld, count: float, seconds: float) -> None:
    """Have some workers end most of their runs with an error."""
    grey = sorted(world.fleet.workers.values(), key=lambda worker: worker.entry.worker_id)[: int(count)]
    for worker in grey:
        worker.fail_share = 0.9
    await anyio.sleep(seconds)
    for worker in grey:
        worker.fail_share = 0.0


def scorers(world: BatchWorld) -> list[FleetWorker]:
    """Return the scorers that live."""
    return [worker for worker in world.fleet.workers.values() if worker.is_scorer and not worker.is_gone]


async def darken_scorers(world: BatchWorld, seconds: float, count: int | None = None) -> None:
    """Have scorers answer nothing for a while."""
    for scorer in scorers(world)[:count]:
        scorer.is_unresponsive = True
    await anyio.sleep(seconds)
    for scorer in scorers(world)[:count]:
        scorer.is_unresponsive = False


async def for_scorers(world: BatchWorld, seconds: float, name: str, value: float) -> None:
    """Set a share of something for all scorers for a while."""
    for scorer in scorers(world):
        setattr(scorer, name, value)
    await anyio.sleep(seconds)
    for scorer in scorers(world):
        setattr(scorer, name, 0.0)


async def drain_scorer(world: BatchWorld) -> None:
    """Have a scorer leave in order, and start another one."""
    scorer = scorers(world)[0]
    world.set_scorer_leaving(scorer.entry.worker_id)
    world.add_scorer(f"{scorer.entry.worker_id}-again")
    await anyio.sleep(3.0)
    world.remove_worker(scorer.entry.worker_id)


async def kill_owner_when(world: BatchWorld, is_time: Callable[[BatchOwner], bool]) -> None:
    """Kill the owner at the first moment at which something holds of it."""
    while True:
        slot = await world.wait_owner()
        owner = slot.node.shard.owner if slot.node is not None else None
        if owner is not None and is_time(owner):
            break
        await anyio.sleep(0.001)
    world.kill_node(slot)
    await anyio.sleep(RESTART_SECONDS)
    world.start_node(slot)


async def kill_owner_before_score(world: BatchWorld) -> None:
    """Kill the owner while a whole text waits for its score."""
    await kill_owner_when(world, lambda owner: bool(owner.items.unscored()))


async def kill_owner_before_listing(world: BatchWorld) -> None:
    """Kill the owner while a listed item is not written yet."""
    await kill_owner_when(world, lambda owner: owner.num_unwritten_results > 0)


async def take_store_while_scoring(world: BatchWorld, seconds: float) -> None:
    """Have the store away from the first whole text on."""
    while True:
        slot = await world.wait_owner()
        owner = slot.node.shard.owner if slot.node is not None else None
        if owner is not None and owner.items.unscored():
            break
        await anyio.sleep(0.001)
    await with_faults(world, seconds, is_down=True)


#: Not drawn, so that the seeds of drawn troubles keep meaning what they did.
NAMED_TROUBLES: list[tuple[str, Callable[..., Coroutine[Any, Any, None]]]] = [
    (r"(\d+) workers fail most of their runs for (\d+) s", let_workers_fail),
    (r"all scorers are dark for (\d+) s", darken_scorers),
    (r"one scorer is dark for (\d+) s", functools.partial(darken_scorers, count=1)),
    (
        r"scorers fail half of their calls for (\d+) s",
        functools.partial(for_scorers, name="fail_share", value=0.5),
    ),
    (
        r"answers of scorers are lost for (\d+) s",
        functools.partial(for_scorers, name="break_share", value=0.5),
    ),
    (r"a scorer drains", drain_scorer),
    (r"the owner is killed between text and score", kill_owner_before_score),
    (r"the owner is killed between score and listing", kill_owner_before_listing),
    (r"the store is away for (\d+) s from the first whole text", take_store_while_scoring),
]


def trouble_called(text: str) -> Trouble:
    """Return the trouble that a sentence of a scenario names."""
    for pattern, trouble in [*TROUBLES, *NAMED_TROUBLES]:
        found = re.fullmatch(pattern, text)
        if found is not None:
            seconds = [float(value) for value in found.groups()]
            return lambda world: trouble(world, *seconds)
    raise AssertionError(f"no such trouble: {text}")


async def draw_troubles(world: BatchWorld, seconds: float) -> None:
    """Begin troubles at random moments for a while; the seed decides."""
    ends_at = anyio.current_time() + seconds
    while anyio.current_time() < ends_at:
        await anyio.sleep(world.source.uniform(0.2, 3.0))
        pattern, trouble = world.source.choice(TROUBLES)
        has_seconds = "(" in pattern
        arguments = [world.source.uniform(0.5, 6.0)] if has_seconds else []
        world.group.start_soon(functools.partial(trouble, world, *arguments))
