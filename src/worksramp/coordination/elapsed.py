"""Clock for the ages of beliefs: it counts the time in which the machine was suspended.

The steady clock, which timers and deadlines run on, stands still while a machine is suspended. A belief that
was fresh before looks as fresh afterwards on it, although others may have acted for seconds.
"""

import time
from collections.abc import Callable

import anyio

#: Seconds that only rise, from any origin.
ElapsedClock = Callable[[], float]


def monotonic_s() -> float:
    """Return the steady clock: right where nothing is suspended, as in a simulation."""
    return anyio.current_time()


def elapsed_s() -> float:
    """Return the steady clock with the time added in which this machine was suspended."""
    suspended_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
    return anyio.current_time() + suspended_s
