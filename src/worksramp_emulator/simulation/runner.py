"""Runs one simulation: builds the deployment, applies faults under traffic and checks the record."""

import random
from collections.abc import Callable

import anyio
import msgspec

from worksramp.logs import configure_logs
from worksramp_emulator.simulation.checkers import Violation, check_all
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.fault_runner import run_schedule
from worksramp_emulator.simulation.faults import ScheduledFault, draw_schedule
from worksramp_emulator.simulation.world import World
from worksramp_emulator.simulation.world_spec import WorldSpec

FAULT_SECONDS = 25.0
SETTLE_SECONDS = 150.0
LIVE_PERIOD_SECONDS = 0.4
KEYED_PERIOD_SECONDS = 1.0
NUM_LIVE = 60
NUM_KEYED = 25
MAX_KEYED_SUBMISSIONS = 4
KEYED_RETRY_SECONDS = 2.0


DrawSchedule = Callable[[World], list[ScheduledFault]]


class RunResult(msgspec.Struct):
    """Result of one run.

    Attributes:
        digest: digest of the history, equal for equal seeds.
        history: events as lines of JSON.
        virtual_seconds: duration of the run on the virtual clock.
    """

    seed: int
    violations: list[Violation]
    digest: str
    history: list[str]
    virtual_seconds: float


def run_seed(seed: int, num_faults: int = 6, spec: WorldSpec | None = None) -> RunResult:
    """Run one seed with random faults."""

    def draw(world: World) -> list[ScheduledFault]:
        return draw_schedule(random.Random(seed), num_faults, FAULT_SECONDS, world.spec)

    return _run(seed, spec or WorldSpec(), draw)


def run_faults(seed: int, schedule: list[ScheduledFault], spec: WorldSpec | None = None) -> RunResult:
    """Run one seed with the given faults."""
    return _run(seed, spec or WorldSpec(), lambda world: schedule)


def _run(seed: int, spec: WorldSpec, draw: DrawSchedule) -> RunResult:
    configure_logs("error")

    async def main() -> RunResult:
        async with anyio.create_task_group() as group:
            world = World(spec, seed, group)
            await world.start()
            await _drive(world, draw(world))
            result = RunResult(
                seed=seed,
                violations=check_all(world),
                digest=world.history.digest(),
                history=world.history.lines(),
                virtual_seconds=anyio.current_time(),
            )
            group.cancel_scope.cancel()
        return result

    return run_simulated(main, seed)


async def _drive(world: World, schedule: list[ScheduledFault]) -> None:
    """Run callers, the trainer and the faults until all of them are done.

    The trainer is stopped ``SETTLE_SECONDS`` after the time for faults at the latest.
    """
    async with anyio.create_task_group() as group:
        group.start_soon(_ask_live, world)
        group.start_soon(_ask_keyed, world)
        group.start_soon(run_schedule, world, schedule)
        with anyio.move_on_after(FAULT_SECONDS + SETTLE_SECONDS):
            await world.run_trainer()


async def _ask_live(world: World) -> None:
    async with anyio.create_task_group() as group:
        for number in range(NUM_LIVE):
            group.start_soon(world.ask_live, number)
            await anyio.sleep(LIVE_PERIOD_SECONDS * (0.5 + world.rng.random()))


async def _ask_keyed(world: World) -> None:
    async with anyio.create_task_group() as group:
        for number in range(NUM_KEYED):
            group.start_soon(_one_keyed, world, number)
            await anyio.sleep(KEYED_PERIOD_SECONDS * (0.5 + world.rng.random()))


async def _one_keyed(world: World, number: int) -> None:
    """Submit a keyed request and retry it while its outcome is ``not_run``.

    Of every three requests, one is sent concurrently a second time, and one is sent again after its last
    outcome.
    """
    key = world.new_key()
    body = b"%d" % number
    if number % 3 == 1:
        world.group.start_soon(world.ask_keyed, key, body)
    for _ in range(MAX_KEYED_SUBMISSIONS):
        outcome = await world.ask_keyed(key, body)
        if outcome != "not_run":
            break
        await anyio.sleep(KEYED_RETRY_SECONDS)
    if number % 3 == 0:
        await world.ask_keyed(key, body)
