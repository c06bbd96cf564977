"""One HTTP/1.1 connection of a caller, which reads no more than its application asks for."""

import asyncio
import math
import socket
from collections.abc import Callable
from enum import Enum, auto
from urllib.parse import unquote

import anyio
import h11
import structlog

from worksramp.routing.table import CallerLimits
from worksramp.serving.asgi import Application, Headers, Message, Scope
from worksramp.serving.connection_limits import (
    BODY_RECEIVE_BUFFER_B,
    READ_B,
    RECEIVE_BUFFER_B,
    REQUEST_LINE_B,
)
from worksramp.serving.progress import Progress

Address = tuple[str, int]

#: A caller that takes nothing of an answer for so long, or for the time that connections may be idle, is not
#: going to read.
MAX_UNREAD_S = 10.0
REQUEST_TIMEOUT = 408
SERVER_ERROR = 500
HTTP_VERSION_NOT_SUPPORTED = 505
STATUSES_WITHOUT_BODY = (204, 304)
CLOSE: tuple[bytes, bytes] = (b"connection", b"close")

logger = structlog.get_logger()


class Stage(Enum):
    """What a connection waits for."""

    HEAD = auto()
    BODY = auto()
    ANSWER = auto()
    REST = auto()


class CallerConnection:
    """Reads requests from a connection, one after the other, and sends the answers of an application.

    Nothing is read ahead of the application but what one read brings. Other protocols than HTTP/1 are
    refused, and requests to change to them are ignored.

    Args:
        sock: the accepted connection, for the size of its kernel buffer.
        application: ASGI application that serves the requests.
        limits: returns the limits in force.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sock: socket.socket,
        application: Application,
        limits: Callable[[], CallerLimits],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._sock = sock
        self._application = application
        self._limits = limits
        self._client: Address = sock.getpeername()[:2]
        self._server: Address = sock.getsockname()[:2]
        max_head_b = limits().max_header_bytes + REQUEST_LINE_B
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_b)
        self._stage = Stage.HEAD
        self._progress = Progress(anyio.current_time())
        self._unread_since = math.inf
        self._received_b = 0
        self._expected_b = 0
        self._is_stopping = False
        self._is_empty_body_due = False
        self._is_bodiless = False
        self._method = b""

    # What the limit of connections asks.

    @property
    def stalled_since(self) -> float:
        """When the caller last made progress; infinite while the node is working on its request."""
        if self._stage is Stage.ANSWER:
            return self._unread_since
        return self._progress.since

    @property
    def is_resting(self) -> bool:
        """Whether no request is being read or answered; the rest of a refused one may be being dropped."""
        return self._stage in (Stage.HEAD, Stage.REST)

    def displace(self) -> None:
        """End the connection in favour of others."""
        logger.info("connection_displaced", client=self._client, stage=self._stage.name.lower())
        self.abort()

    def abort(self) -> None:
        """End the connection at once."""
        self._writer.transport.abort()

    def stop(self) -> None:
        """End the connection once its request has been answered."""
        self._is_stopping = True
        if self.is_resting:
            self._writer.transport.close()

    # Requests.

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while not self._is_stopping and await self._serve_request():
                pass
        except OSError as error:
            logger.debug("connection_lost", client=self._client, reason=str(error))
        finally:
            self._close()

    def _close(self) -> None:
        """Close the connection, without waiting for a caller that does not read."""
        transport = self._writer.transport
        if transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()

    async def _serve_request(self) -> bool:
        """Serve one request; return whether another may follow."""
        request = await self._read_head()
        if request is None:
            return False
        await self._run_application(request)
        if self._is_lost():
            return False
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            # Requests that were sent ahead are all there; other connections have their turns between them.
            await anyio.lowlevel.checkpoint()
            return True
        if self._http.our_state in (h11.DONE, h11.MUST_CLOSE) and self._http.their_state is h11.SEND_BODY:
            await self._drop_rest()
        return False

    async def _read_head(self) -> h11.Request | None:
        """Return the head of the next request, None if the connection ends without one."""
        self._stage = Stage.HEAD
        self._progress = Progress(anyio.current_time())
        limits = self._limits()
        timeout_s, has_begun = limits.idle_timeout_seconds, False
        if self._http.trailing_data[0]:
            timeout_s, has_begun = limits.header_timeout_seconds, True
        deadline = anyio.current_time() + timeout_s
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                await self._send_refusal(error.error_status_hint)
                return None
            if isinstance(event, h11.Request):
                return await self._checked(event)
            if event is not h11.NEED_DATA:
                return None
            with anyio.move_on_at(deadline) as scope:
                data = await self._reader.read(READ_B)
            if scope.cancelled_caught:
                if has_begun:
                    await self._send_refusal(REQUEST_TIMEOUT)
                return None
            if data and not has_begun:
                has_begun = True
                deadline = anyio.current_time() + limits.header_timeout_seconds
            self._http.receive_data(data)

    async def _checked(self, request: h11.Request) -> h11.Request | None:
        """Return the request, or None after its refusal if it is not of HTTP/1."""
        if request.http_version.startswith(b"1."):
            return request
        await self._send_refusal(HTTP_VERSION_NOT_SUPPORTED)
        return None

    async def _run_application(self, request: h11.Request) -> None:
        """Let the application answer a request."""
        self._method = request.method
        self._begin_body(request)
        try:
            await self._application(self._scope(request), self._receive, self._send)
        except Exception:
            # An error of one request ends its connection alone.
            logger.exception("request_failed", client=self._client)
            await self._send_refusal(SERVER_ERROR)

    def _scope(self, request: h11.Request) -> Scope:
        path, _, query = request.target.partition(b"?")
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": request.http_version.decode("ascii"),
            "method": request.method.decode("ascii").upper(),
            "scheme": "http",
            "path": unquote(path.decode("ascii")),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": list(request.headers),
            "client": self._client,
            "server": self._server,
        }

    # Bodies.

    def _begin_body(self, request: h11.Request) -> None:
        lengths = [value for name, value in request.headers if name == b"content-length"]
        is_chunked = any(name == b"transfer-encoding" for name, _ in request.headers)
        self._expected_b = int(lengths[0]) if lengths else 0
        self._received_b = 0
        self._progress = Progress(anyio.current_time())
        self._stage = Stage.BODY
        if not is_chunked and not self._expected_b:
            self._http.next_event()
            self._stage = Stage.ANSWER
        self._is_empty_body_due = self._stage is Stage.ANSWER

    async def _receive(self) -> Message:
        """Return the next part of the body; after its end, wait until the caller has gone."""
        if self._is_empty_body_due:
            self._is_empty_body_due = False
            return {"type": "http.request", "body": b"", "more_body": False}
        if self._stage is not Stage.BODY:
            await self._wait_gone()
            return {"type": "http.disconnect"}
        if self._http.they_are_waiting_for_100_continue:
            await self._write(self._http.send(h11.InformationalResponse(status_code=100, headers=[])))
        if not self._received_b and self._expected_b > READ_B:
            self._resize_receive_buffer(BODY_RECEIVE_BUFFER_B)
        try:
            return await self._read_part()
        except h11.RemoteProtocolError as error:
            await self._send_refusal(error.error_status_hint)
            return {"type": "http.disconnect"}

    async def _read_part(self) -> Message:
        """Return what has arrived of the body, at least one byte or its end.

        Raises:
            h11.RemoteProtocolError: it is not a body.
        """
        parts: list[bytes] = []
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Data):
                parts.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._end_body()
                return {"type": "http.request", "body": b"".join(parts), "more_body": False}
            elif event is not h11.NEED_DATA:
                return {"type": "http.disconnect"}
            elif parts:
                body = b"".join(parts)
                self._received_b += len(body)
                self._progress.note(self._received_b, self._expected_b, anyio.current_time())
                return {"type": "http.request", "body": body, "more_body": True}
            else:
                self._http.receive_data(await self._reader.read(READ_B))

    def _end_body(self) -> None:
        self._stage = Stage.ANSWER
        if self._expected_b > READ_B:
            self._resize_receive_buffer(RECEIVE_BUFFER_B)

    def _resize_receive_buffer(self, size_b: int) -> None:
        if not self._is_lost():
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_b)

    async def _wait_gone(self) -> None:
        """Return once the caller has closed the connection.

        What it sends ahead is kept up to a limit, beyond which it has to wait for its answer.
        """
        while not self._is_lost():
            if len(self._http.trailing_data[0]) >= READ_B:
                await anyio.sleep_forever()
            data = await self._reader.read(READ_B)
            self._http.receive_data(data)
            if not data:
                return

    async def _drop_rest(self) -> None:
        """Read the rest of a refused body for a limited time; its sender might lose the answer otherwise."""
        self._stage = Stage.REST
        limits = self._limits()
        rest_b = limits.max_body_bytes
        with anyio.move_on_after(limits.idle_timeout_seconds):
            while rest_b > 0:
                try:
                    event = self._http.next_event()
                except h11.RemoteProtocolError:
                    return
                if isinstance(event, h11.Data):
                    rest_b -= len(event.data)
                elif event is h11.NEED_DATA:
                    self._http.receive_data(await self._reader.read(READ_B))
                else:
                    return

    # Answers.

    async def _send(self, message: Message) -> None:
        """Send a part of the answer; nothing is sent on a connection that is lost."""
        if self._is_lost():
            return
        if message["type"] == "http.response.start":
            self._stage = Stage.ANSWER
            self._is_bodiless = self._method == b"HEAD" or message["status"] in STATUSES_WITHOUT_BODY
            await self._write(self._http.send(self._response(message)))
            return
        body, data = message.get("body", b""), b""
        if body and not self._is_bodiless:
            data = self._http.send(h11.Data(data=body)) or b""
        if not message.get("more_body", False):
            data += self._http.send(h11.EndOfMessage()) or b""
        await self._write(data)

    def _response(self, message: Message) -> h11.Response:
        headers: Headers = [(bytes(name).strip(), bytes(value).strip()) for name, value in message["headers"]]
        if self._http.their_state is not h11.DONE or self._is_stopping:
            headers.append(CLOSE)
        return h11.Response(status_code=int(message["status"]), headers=headers)

    async def _send_refusal(self, status: int) -> None:
        """Send an answer without a body that ends the connection, unless another one has begun."""
        if self._is_lost() or self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._stage = Stage.ANSWER
        headers = [(b"content-length", b"0"), CLOSE]
        data = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        await self._write(data + (self._http.send(h11.EndOfMessage()) or b""))

    async def _write(self, data: bytes | None) -> None:
        """Write, and wait until the caller has taken what the kernel does not hold."""
        transport = self._writer.transport
        if not data or self._is_lost():
            return
        self._writer.write(data)
        if not transport.get_write_buffer_size():
            return
        self._unread_since = anyio.current_time()
        try:
            with anyio.move_on_after(min(MAX_UNREAD_S, self._limits().idle_timeout_seconds)) as scope:
                await self._writer.drain()
        except ConnectionError as error:
            logger.debug("connection_lost", client=self._client, reason=str(error))
        finally:
            self._unread_since = math.inf
        if scope.cancelled_caught:
            logger.info("answer_unread", client=self._client, unread_b=transport.get_write_buffer_size())
            self.abort()

    def _is_lost(self) -> bool:
        return self._writer.transport.is_closing()
