"""Workers given as functions that serve one connection, and requests to them."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.abc
from worksramp_platform import names
from worksramp_platform.workers import PlatformWorkers

from worksramp.routing.worker_port import WorkerAnswerBrokenError, WorkerRequest
from worksramp.routing.workers import WorkerEntry

Serve = Callable[[anyio.abc.SocketStream], Awaitable[None]]


def id_in(request: bytes) -> bytes:
    """Return the id that a request names."""
    return request.lower().partition(names.ATTEMPT_ID + b": ")[2].partition(b"\r\n")[0]


@asynccontextmanager
async def listening(serve: Serve) -> AsyncIterator[WorkerEntry]:
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            yield WorkerEntry("i-1", "s", f"127.0.0.1:{port}", "z", 4)
            group.cancel_scope.cancel()


async def status_of(workers: PlatformWorkers, entry: WorkerEntry, request_id: str, body: bytes = b"p") -> int:
    """Send a request; return the status of its answer, 0 if there is none."""
    request = WorkerRequest(request_id, "POST", b"/x", ((b"host", b"h"),), body, deadline_seconds=1.0)
    try:
        with anyio.fail_after(2.0):
            async with workers.send(entry, request) as answer:
                async for _ in answer.body:
                    pass
                return answer.status
    except WorkerAnswerBrokenError:
        return 0
