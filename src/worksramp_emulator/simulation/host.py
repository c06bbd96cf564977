"""A simulated machine: it can be killed, frozen and thawed."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.abc

from worksramp.outcomes import InterruptedStepError, NotStartedError

ResultT = TypeVar("ResultT")


class Host:
    """Where one process runs.

    A frozen host's tasks stop at the next seam (network, platform or timer answer) and go on from
    there when it is thawed, unaware of the time that has passed.

    Args:
        name: name on the network.
        zone: the zone it stands in.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.is_alive = True
        self.num_serving = 0
        self.num_cut = 0
        self.group: anyio.abc.TaskGroup | None = None
        self._died = anyio.Event()
        self._thawed: anyio.Event | None = None

    @property
    def is_frozen(self) -> bool:
        """Whether the host stands still."""
        return self._thawed is not None

    def freeze(self) -> None:
        """Stop all progress."""
        self._thawed = self._thawed or anyio.Event()

    def thaw(self) -> None:
        """Go on."""
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    def die(self) -> None:
        """Note that the process is gone; whoever waits for it learns at once."""
        if self.is_alive:
            self.num_cut = self.num_serving
        self.is_alive = False
        self._died.set()
        self.thaw()

    async def gate(self) -> None:
        """Wait while the host is frozen."""
        while self._thawed is not None:
            await self._thawed.wait()

    async def serve(self, step: str, work: Callable[[], Awaitable[ResultT]]) -> ResultT:
        """Run work in this host's process on behalf of a caller elsewhere.

        Raises:
            NotStartedError: the host is down.
            InterruptedStepError: it died before the work was done.
        """
        if not self.is_alive or self.group is None:
            raise NotStartedError(step, self.name, "connection refused")
        results: list[ResultT] = []
        errors: list[Exception] = []
        done = anyio.Event()

        async def run() -> None:
            try:
                await self.gate()
                results.append(await work())
            except Exception as error:
                # It belongs to the caller, not to this host's process.
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
