"""A loop whose passes take long leaves the event loop to other tasks."""

import time

import anyio
import anyio.lowlevel

from worksramp.rollout.loop_rest import LONG_PASS_S, rest_after
from worksramp_emulator.simulation.clock import run_simulated

NUM_PASSES = 5
#: Steps of a call to the store, beside which an owner plans.
NUM_STEPS = 10


async def steps_beside(pass_s: float) -> int:
    """Return how many steps another task makes beside the passes of a loop."""
    num_steps = 0

    async def other() -> None:
        nonlocal num_steps
        while True:
            await anyio.lowlevel.checkpoint()
            num_steps += 1

    async with anyio.create_task_group() as group:
        group.start_soon(other)
        await anyio.lowlevel.checkpoint()
        num_steps = 0
        for _ in range(NUM_PASSES):
            started_at = anyio.current_time()
            while anyio.current_time() < started_at + pass_s:
                time.monotonic()
            await rest_after(started_at)
        group.cancel_scope.cancel()
    return num_steps


# With a batch of 7,000 items, a renewal of the lease took ten passes of planning, and the lease was lost.
def test_another_task_makes_many_steps_beside_each_long_pass() -> None:
    assert anyio.run(steps_beside, 2 * LONG_PASS_S) >= NUM_PASSES * NUM_STEPS


def test_short_passes_are_followed_by_no_rest() -> None:
    async def main() -> float:
        before = anyio.current_time()
        for _ in range(100):
            await rest_after(anyio.current_time())
            await rest_after(anyio.current_time() - 0.9 * LONG_PASS_S)
        return anyio.current_time() - before

    assert run_simulated(main, 1) == 0.0
