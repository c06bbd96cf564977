"""Clocks for the age of leases and of copied data, one of which counts the time spent suspended.

The monotonic clock, which timers and deadlines run on, stops while the machine is suspended. By that clock, a
copy that was fresh before a suspension looks equally fresh afterwards, although other nodes may have acted
for seconds.
"""

import time
from collections.abc import Callable

import anyio

#: Returns seconds from an arbitrary origin; never decreases.
ElapsedClock = Callable[[], float]


def monotonic_s() -> float:
    """Return seconds on the event loop's monotonic clock, without the time spent suspended.

    Correct where nothing is suspended, as in a simulation.
    """
    return anyio.current_time()


def elapsed_s() -> float:
    """Return seconds on the event loop's monotonic clock plus the time that this machine was suspended."""
    suspended_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
    return anyio.current_time() + suspended_s
