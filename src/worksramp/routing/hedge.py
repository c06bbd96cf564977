"""Starts a backup attempt when the first one is late (request hedging)."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

ResultT = TypeVar("ResultT")
Attempt = Callable[[], Awaitable[ResultT | None]]


async def first_result(
    primary: Attempt[ResultT], backup: Attempt[ResultT], delay_seconds: float
) -> ResultT | None:
    """Return the first result of two attempts and cancel the other attempt.

    The backup starts if the primary has not ended after ``delay_seconds``. If the primary ends earlier
    without a result, the backup is not started; the caller decides what to do next.

    Returns:
        The first result, or None if no attempt returned one.
    """
    results: list[ResultT] = []
    primary_ended = anyio.Event()
    async with anyio.create_task_group() as group:

        async def run(attempt: Attempt[ResultT]) -> None:
            result = await attempt()
            if result is not None:
                results.append(result)
                group.cancel_scope.cancel()

        async def run_primary() -> None:
            await run(primary)
            primary_ended.set()

        async def run_backup() -> None:
            with anyio.move_on_after(delay_seconds):
                await primary_ended.wait()
                return
            await run(backup)

        group.start_soon(run_primary)
        group.start_soon(run_backup)
    return results[0] if results else None
