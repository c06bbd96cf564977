"""Rests of a loop whose passes hold the event loop, so that other tasks run for as long as its passes last.

Load pattern: an owner plans over thousands of waiting items after each change. Without rests, each task
beside it gets one step a pass. A call to the store takes some ten steps, so the lease ends before its renewal
is answered.
"""

import anyio

#: Passes shorter than this are followed by no rest; those of usual batches take a few milliseconds.
LONG_PASS_S = 0.02
#: Rest after a long pass, as a share of its duration.
REST_SHARE = 1.0


async def rest_after(started_at: float) -> None:
    """Leave the event loop to other tasks for a while if a pass has held it for long.

    Args:
        started_at: when the pass started, on the clock of the event loop.
    """
    pass_s = anyio.current_time() - started_at
    if pass_s >= LONG_PASS_S:
        await anyio.sleep(REST_SHARE * pass_s)
