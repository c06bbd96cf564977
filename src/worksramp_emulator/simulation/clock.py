"""Runs simulations on a virtual clock with a seeded scheduler, so that a run depends on its seed only.

No other module uses private names of trio. Because of them, the version of trio is pinned.
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
    """Run ``main`` on a clock that jumps to the next timer whenever all tasks wait, and return its result.

    Args:
        main: the simulation.
        seed: seeds the order in which tasks run that are ready at the same time.
    """
    setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)  # noqa: B010 - declared Final by trio
    trio_run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})
