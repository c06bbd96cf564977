"""Bodies of requests to the gateway role, with room that is bounded for all of them together."""

import io
from typing import cast

import anyio
from starlette.requests import Request
from starlette.types import ASGIApp, Receive, Scope, Send

from worksramp.counts import parse_count
from worksramp.serving.request_memory import RequestHolding, RequestMemory

#: Longest pause between two parts of a body.
MAX_PAUSE_S = 15.0
STATE = "body_room"


class BodyTooLargeError(Exception):
    """A body is larger than the limit."""


class BodyRoom:
    """Middleware that holds the room of each request's body until its response has been sent."""

    def __init__(self, app: ASGIApp, memory: RequestMemory) -> None:
        self._app = app
        self._memory = memory

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request."""
        with self._memory.hold() as holding:
            scope.setdefault("state", {})[STATE] = holding
            await self._app(scope, receive, send)


async def read_bounded(request: Request, max_b: int) -> bytes:
    """Return the body of a request.

    Args:
        max_b: largest accepted size.

    Raises:
        BodyTooLargeError: the body is larger; if its head says so, nothing of it is read.
        NoRoomError: there is no room for it beside the bodies of others.
        TimeoutError: the next part did not arrive in time.
    """
    holding = cast(RequestHolding, request.scope["state"][STATE])
    announced_b = parse_count(request.headers.get("content-length", "")) or 0
    if announced_b > max_b:
        raise BodyTooLargeError
    await holding.reserve(announced_b)
    buffer = io.BytesIO()
    parts = request.stream()
    with holding.reading():
        while True:
            with anyio.fail_after(MAX_PAUSE_S):
                part = await anext(parts, None)
            if part is None:
                return buffer.getvalue()
            received_b = buffer.tell() + len(part)
            if received_b > max_b:
                raise BodyTooLargeError
            await holding.grow(received_b, announced_b)
            buffer.write(part)
