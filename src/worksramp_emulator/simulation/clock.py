"""The virtual clock and the seeded scheduler: the one module that touches private names of trio.

trio is pinned for that reason. With both in place a run is a function of its seed.
"""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import trio
import trio.testing
from trio._core import _run as trio_run

ResultT = TypeVar("ResultT")


def run_simulated(main: Callable[[], Awaitable[ResultT]], seed: int) -> ResultT:
    """Run ``main`` on a clock that jumps to the next timer whenever all tasks wait.

    Args:
        main: the simulation.
        seed: decides the order of tasks that are ready at the same time.
    """
    setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)  # noqa: B010 - final in trio's own types
    trio_run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})
