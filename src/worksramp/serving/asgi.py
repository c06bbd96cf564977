"""Read the request body and send the response through the ASGI messages of one HTTP request."""

import io
import math
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

CONTENT_TYPE = b"content-type"
JSON_TYPE = b"application/json"


class CallerGoneError(Exception):
    """The caller closed its connection."""


class BodyTooLargeError(Exception):
    """The body is larger than the limit."""


class BodyTooSlowError(Exception):
    """The next part of the body did not arrive in time."""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: Headers
    body: bytes = b""


def json_response(status: int, value: Any, headers: Headers | None = None) -> Response:
    """Return a response with a JSON body.

    Args:
        value: value to encode.
        headers: further headers.
    """
    return Response(status, [(CONTENT_TYPE, JSON_TYPE), *(headers or [])], msgspec.json.encode(value))


async def read_body(
    receive: Receive,
    max_bytes: int,
    part_timeout_seconds: float = math.inf,
    on_size: Callable[[int], Awaitable[None]] | None = None,
) -> bytes:
    """Return the complete body of a request.

    Args:
        max_bytes: largest accepted size.
        part_timeout_seconds: longest wait for each part of the body.
        on_size: awaited with the size so far, before a further part is kept.

    Raises:
        CallerGoneError: the caller disconnected before the end of the body.
        BodyTooLargeError: the body is longer than ``max_bytes``.
        BodyTooSlowError: a part did not arrive in time.
    """
    # A list of chunks takes many times the bytes of small chunks, and a byte array is copied in the end.
    buffer = io.BytesIO()
    async for chunk in _parts(receive, max_bytes, part_timeout_seconds):
        if on_size is not None:
            await on_size(buffer.tell() + len(chunk))
        buffer.write(chunk)
    return buffer.getvalue()


async def _parts(receive: Receive, max_bytes: int, part_timeout_seconds: float) -> AsyncIterator[bytes]:
    num_bytes = 0
    while True:
        try:
            with anyio.fail_after(part_timeout_seconds):
                message = await receive()
        except TimeoutError as error:
            raise BodyTooSlowError from error
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        chunk = message.get("body", b"")
        num_bytes += len(chunk)
        if num_bytes > max_bytes:
            raise BodyTooLargeError
        yield chunk
        if not message.get("more_body", False):
            return


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        await anyio.lowlevel.checkpoint()


async def send_response(send: Send, response: Response) -> None:
    """Send a complete response, with its content length."""
    headers = [pair for pair in response.headers if pair[0] != b"content-length"]
    headers.append((b"content-length", str(len(response.body)).encode()))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body, "more_body": False})


async def send_stream(
    send: Send, status: int, headers: Headers, chunks: AsyncIterator[bytes], ends_at: float = math.inf
) -> None:
    """Send a response chunk by chunk.

    If ``chunks`` raises an error, or the time is up, the final message is not sent, so that the caller can
    see that the response is incomplete.

    Args:
        ends_at: time at which the response is broken off, also while the caller does not read.

    Raises:
        TimeoutError: the response was broken off.
    """
    with anyio.fail_after(max(0.0, ends_at - anyio.current_time())):
        await send({"type": "http.response.start", "status": status, "headers": headers})
        async for chunk in chunks:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})
