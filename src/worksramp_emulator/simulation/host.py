"""Simulates the host of one process, which can be killed, frozen and thawed."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.abc

from worksramp.outcomes import InterruptedStepError, NotStartedError

ResultT = TypeVar("ResultT")


class Host:
    """Host of one process.

    While a host is frozen, each of its tasks waits in its next call to the network or the platform. The
    task resumes there when the host is thawed and is not notified of the time that has passed.
    Requests to a frozen host wait as well.

    Args:
        name: name on the network.
        zone: zone of the host.

    Attributes:
        num_serving: number of requests in flight.
        num_aborted: number of requests that were in flight when the process ended.
        group: runs the tasks of the process, None before it has started.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.is_alive = True
        self.num_serving = 0
        self.num_aborted = 0
        self.group: anyio.abc.TaskGroup | None = None
        self._died = anyio.Event()
        self._thawed: anyio.Event | None = None

    @property
    def is_frozen(self) -> bool:
        """Whether the host is frozen."""
        return self._thawed is not None

    def freeze(self) -> None:
        """Freeze the host."""
        self._thawed = self._thawed or anyio.Event()

    def thaw(self) -> None:
        """Resume a frozen host; do nothing if it is not frozen."""
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    def mark_dead(self) -> None:
        """Mark the process as ended and fail the requests in flight."""
        if self.is_alive:
            self.num_aborted = self.num_serving
        self.is_alive = False
        self._died.set()
        self.thaw()

    async def wait_until_thawed(self) -> None:
        """Return as soon as the host is not frozen."""
        while self._thawed is not None:
            await self._thawed.wait()

    async def serve(self, step: str, work: Callable[[], Awaitable[ResultT]]) -> ResultT:
        """Run work in the process of this host for a caller on another host, and return its result.

        Raises:
            NotStartedError: the process is not running.
            InterruptedStepError: the process ended before the work was done.
        """
        if not self.is_alive or self.group is None:
            raise NotStartedError(step, self.name, "connection refused")
        results: list[ResultT] = []
        errors: list[Exception] = []
        done = anyio.Event()

        async def run() -> None:
            try:
                await self.wait_until_thawed()
                results.append(await work())
            except Exception as error:
                # Raised in the caller, so that it does not cancel the tasks of this process.
                errors.append(error)
            done.set()

        self.group.start_soon(run)
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                await self._died.wait()
                done.set()

            group.start_soon(watch)
            self.num_serving += 1
            try:
                await done.wait()
            finally:
                self.num_serving -= 1
            group.cancel_scope.cancel()
        if errors:
            raise errors[0]
        if not results:
            raise InterruptedStepError(step, self.name, "connection reset")
        return results[0]
