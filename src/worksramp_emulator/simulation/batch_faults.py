"""Defines faults for a simulated deployment of batches, and the sentences by which scenarios name them."""

import functools
import re
from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from worksramp.rollout.batch_owner import BatchOwner
from worksramp_emulator.batch_fleet import FleetWorker
from worksramp_emulator.shared_log import LogFaults
from worksramp_emulator.simulation.batch_world import BatchWorld, NodeSlot

Action = Callable[[BatchWorld], Coroutine[Any, Any, None]]
RESTART_SECONDS = 0.6
SLOW_FACTOR = 4


async def inject_after(delay_s: float, fault: Action, world: BatchWorld) -> None:
    """Inject a fault after a delay."""
    await anyio.sleep(delay_s)
    await fault(world)


async def kill_owner(world: BatchWorld) -> None:
    """Kill the owner and start another process on its machine after ``RESTART_SECONDS``."""
    slot = await world.wait_owner()
    world.kill_node(slot)
    await anyio.sleep(RESTART_SECONDS)
    world.start_node(slot)


async def stop_owner(world: BatchWorld) -> None:
    """Stop the owner gracefully and start another process on its machine after ``RESTART_SECONDS``."""
    slot = await world.wait_owner()
    await world.stop_node(slot)
    await anyio.sleep(RESTART_SECONDS)
    world.start_node(slot)


async def cut_owner(world: BatchWorld, seconds: float) -> None:
    """Partition the owner from the store for some seconds."""
    slot = await world.wait_owner()
    await cut_node(world, slot, seconds)


async def cut_node(world: BatchWorld, slot: NodeSlot, seconds: float) -> None:
    """Partition one node from the store for some seconds."""
    world.store.faults.partitioned_nodes.add(slot.name)
    await anyio.sleep(seconds)
    world.store.faults.partitioned_nodes.discard(slot.name)


async def kill_all(world: BatchWorld) -> None:
    """Kill all nodes at once and start them again after ``RESTART_SECONDS``."""
    for slot in world.slots:
        world.kill_node(slot)
    await anyio.sleep(RESTART_SECONDS)
    for slot in world.slots:
        world.start_node(slot)


async def with_faults(world: BatchWorld, seconds: float, **values: float | bool) -> None:
    """Set faults of the store for some seconds.

    Each value returns to its default at the end, so faults of the same kind that overlap all end with the
    first of them.
    """
    for name, value in values.items():
        setattr(world.store.faults, name, value)
    await anyio.sleep(seconds)
    for name in values:
        setattr(world.store.faults, name, getattr(LogFaults(), name))


async def compact_store(world: BatchWorld) -> None:
    """Discard all records that are not the newest of their key."""
    world.store.apply_retention(world.records.batches)
    world.store.apply_retention(world.records.control)
    world.store.apply_retention(world.records.workers)
    world.store.apply_retention(world.records.progress)
    for partition in world.records.values:
        world.store.apply_retention(partition)


async def hang_worker(world: BatchWorld, seconds: float) -> None:
    """Make a random worker hang for some seconds."""
    worker = world.rng.choice(sorted(world.fleet.workers.values(), key=lambda w: w.entry.worker_id))
    worker.is_unresponsive = True
    await anyio.sleep(seconds)
    worker.is_unresponsive = False


async def slow_worker(world: BatchWorld, seconds: float) -> None:
    """Slow down one worker for some seconds."""
    worker = world.fleet.workers["worker-1"]
    worker.seconds_per_event *= SLOW_FACTOR
    await anyio.sleep(seconds)
    worker.seconds_per_event /= SLOW_FACTOR


async def crash_worker(world: BatchWorld) -> None:
    """Crash one worker, delete its entry later, and then start another worker."""
    worker_id = max(w.entry.worker_id for w in world.fleet.workers.values() if not w.is_gone)
    world.fleet.workers[worker_id].is_gone = True
    await anyio.sleep(1.5)
    world.remove_worker(worker_id)
    world.add_worker(f"{worker_id}-again")


async def set_on_workers(world: BatchWorld, seconds: float, name: str, value: float) -> None:
    """Set an attribute of all workers for some seconds, then set it to 0."""
    for worker in world.fleet.workers.values():
        setattr(worker, name, value)
    await anyio.sleep(seconds)
    for worker in world.fleet.workers.values():
        setattr(worker, name, 0.0)


FAULTS: list[tuple[str, Callable[..., Coroutine[Any, Any, None]]]] = [
    (r"the owner is killed", kill_owner),
    (r"the owner is stopped in order", stop_owner),
    (r"the owner is cut from the store for (\d+) s", cut_owner),
    (r"all nodes are killed", kill_all),
    (r"the store is down for (\d+) s", functools.partial(with_faults, is_down=True)),
    (r"the store is silent for (\d+) s", functools.partial(with_faults, is_down=True, is_silent=True)),
    (r"answers of the store are lost for (\d+) s", functools.partial(with_faults, lost_answers=0.35)),
    (r"appends are late for (\d+) s", functools.partial(with_faults, late_appends=0.35)),
    (r"the store forgets its history", compact_store),
    (r"a worker is dark for (\d+) s", hang_worker),
    (r"a worker is slow for (\d+) s", slow_worker),
    (r"a worker crashes", crash_worker),
    (
        r"workers break off their answers for (\d+) s",
        functools.partial(set_on_workers, name="break_share", value=0.03),
    ),
    (
        r"workers spoil bytes of events for (\d+) s",
        functools.partial(set_on_workers, name="spoilt_share", value=0.03),
    ),
    (r"orders are late for (\d+) s", functools.partial(set_on_workers, name="late_orders", value=0.5)),
]


async def fail_worker_runs(world: BatchWorld, count: float, seconds: float) -> None:
    """Make some workers end most of their runs with an error for some seconds."""
    failing = sorted(world.fleet.workers.values(), key=lambda worker: worker.entry.worker_id)[: int(count)]
    for worker in failing:
        worker.fail_share = 0.9
    await anyio.sleep(seconds)
    for worker in failing:
        worker.fail_share = 0.0


def scorers(world: BatchWorld) -> list[FleetWorker]:
    """Return the scorers that have not crashed."""
    return [worker for worker in world.fleet.workers.values() if worker.is_scorer and not worker.is_gone]


async def hang_scorers(world: BatchWorld, seconds: float, count: int | None = None) -> None:
    """Make scorers hang for some seconds.

    Args:
        count: how many of them, None for all.
    """
    for scorer in scorers(world)[:count]:
        scorer.is_unresponsive = True
    await anyio.sleep(seconds)
    for scorer in scorers(world)[:count]:
        scorer.is_unresponsive = False


async def set_on_scorers(world: BatchWorld, seconds: float, name: str, value: float) -> None:
    """Set an attribute of all scorers for some seconds, then set it to 0."""
    for scorer in scorers(world):
        setattr(scorer, name, value)
    await anyio.sleep(seconds)
    for scorer in scorers(world):
        setattr(scorer, name, 0.0)


async def drain_scorer(world: BatchWorld) -> None:
    """Drain a scorer, start another one, and then remove the first."""
    scorer = scorers(world)[0]
    world.set_scorer_draining(scorer.entry.worker_id)
    world.add_scorer(f"{scorer.entry.worker_id}-again")
    await anyio.sleep(3.0)
    world.remove_worker(scorer.entry.worker_id)


async def kill_owner_when(world: BatchWorld, condition: Callable[[BatchOwner], bool]) -> None:
    """Kill the owner as soon as a condition holds for it, and start another process there."""
    while True:
        slot = await world.wait_owner()
        owner = slot.node.shard.owner if slot.node is not None else None
        if owner is not None and condition(owner):
            break
        await anyio.sleep(0.001)
    world.kill_node(slot)
    await anyio.sleep(RESTART_SECONDS)
    world.start_node(slot)


async def kill_owner_before_score(world: BatchWorld) -> None:
    """Kill the owner while a complete text has no score yet."""
    await kill_owner_when(world, lambda owner: bool(owner.items.unscored()))


async def kill_owner_before_listing(world: BatchWorld) -> None:
    """Kill the owner while the result of a listed item is not written yet."""
    await kill_owner_when(world, lambda owner: owner.num_unwritten_results > 0)


async def fail_store_while_scoring(world: BatchWorld, seconds: float) -> None:
    """Make the store unavailable for some seconds once the first complete text waits for its score."""
    while True:
        slot = await world.wait_owner()
        owner = slot.node.shard.owner if slot.node is not None else None
        if owner is not None and owner.items.unscored():
            break
        await anyio.sleep(0.001)
    await with_faults(world, seconds, is_down=True)


#: Not drawn at random: drawing from a longer list would change the faults that each seed produces.
NAMED_FAULTS: list[tuple[str, Callable[..., Coroutine[Any, Any, None]]]] = [
    (r"(\d+) workers fail most of their runs for (\d+) s", fail_worker_runs),
    (r"all scorers are dark for (\d+) s", hang_scorers),
    (r"one scorer is dark for (\d+) s", functools.partial(hang_scorers, count=1)),
    (
        r"scorers fail half of their calls for (\d+) s",
        functools.partial(set_on_scorers, name="fail_share", value=0.5),
    ),
    (
        r"answers of scorers are lost for (\d+) s",
        functools.partial(set_on_scorers, name="break_share", value=0.5),
    ),
    (r"a scorer drains", drain_scorer),
    (r"the owner is killed between text and score", kill_owner_before_score),
    (r"the owner is killed between score and listing", kill_owner_before_listing),
    (r"the store is away for (\d+) s from the first whole text", fail_store_while_scoring),
]


def parse_fault(text: str) -> Action:
    """Return the fault that a sentence of a scenario names.

    Raises:
        AssertionError: no fault matches the sentence.
    """
    for pattern, fault in [*FAULTS, *NAMED_FAULTS]:
        found = re.fullmatch(pattern, text)
        if found is not None:
            seconds = [float(value) for value in found.groups()]
            return lambda world: fault(world, *seconds)
    raise AssertionError(f"no such fault: {text}")


async def draw_faults(world: BatchWorld, seconds: float) -> None:
    """Inject random faults at random times for some seconds; the seed determines them."""
    ends_at = anyio.current_time() + seconds
    while anyio.current_time() < ends_at:
        await anyio.sleep(world.rng.uniform(0.2, 3.0))
        pattern, fault = world.rng.choice(FAULTS)
        has_seconds = "(" in pattern
        arguments = [world.rng.uniform(0.5, 6.0)] if has_seconds else []
        world.group.start_soon(functools.partial(fault, world, *arguments))
