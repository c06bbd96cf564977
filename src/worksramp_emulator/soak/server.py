"""HTTP/1.1 server for stand-ins that write the bytes of their answers themselves, also surplus ones."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl

import anyio
import anyio.abc
import h11
from anyio.streams.memory import MemoryObjectReceiveStream

#: What reading or writing raises once a connection is gone.
CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)
CHUNK_END = b"0\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Request:
    """A request that was read whole; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Fields of the query."""
        return dict(parse_qsl(self.target.partition("?")[2], keep_blank_values=True))


class Link:
    """A connection to a server.

    Attributes:
        turn: held while an answer is written, so that no answer stands inside another.
        tasks: tasks that end with the connection.
    """

    def __init__(self, stream: anyio.abc.ByteStream, tasks: anyio.abc.TaskGroup) -> None:
        self.turn = anyio.Lock()
        self.tasks = tasks
        self._stream = stream

    async def send(self, data: bytes) -> None:
        """Write bytes; the holder of `turn` does so."""
        await self._stream.send(data)


Handler = Callable[[Request, Link], Awaitable[None]]


def format_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the bytes of a status line and headers."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def format_chunk(data: bytes) -> bytes:
    """Return the bytes of a chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def format_answer(status: int, headers: dict[str, str], body: bytes, is_chunked: bool = False) -> bytes:
    """Return the bytes of a whole answer, with a length or in chunks."""
    if not is_chunked:
        return format_head(status, {**headers, "Content-Length": str(len(body))}) + body
    chunks = format_chunk(body) if body else b""
    return format_head(status, {**headers, "Transfer-Encoding": "chunked"}) + chunks + CHUNK_END


class Server:
    """Calls a handler for each request; the handler is cancelled once the connection is closed."""

    def __init__(self, handler: Handler) -> None:
        self.address = ""
        self.num_connections = 0
        self._handler = handler
        self._listener: anyio.abc.Listener[anyio.abc.SocketStream] | None = None

    async def listen(self) -> None:
        """Listen on a free port."""
        self._listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = f"127.0.0.1:{self._listener.extra(anyio.abc.SocketAttribute.local_port)}"

    async def run(self) -> None:
        """Serve until cancelled."""
        assert self._listener is not None
        async with self._listener:
            await self._listener.serve(self._serve)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        self.num_connections += 1
        inbox_in, inbox = anyio.create_memory_object_stream[bytes](math.inf)
        async with stream, inbox_in, inbox, anyio.create_task_group() as group:
            group.start_soon(self._answer_requests, Link(stream, group), inbox)
            try:
                while True:
                    inbox_in.send_nowait(await stream.receive())
            except CONNECTION_ERRORS:
                group.cancel_scope.cancel()

    async def _answer_requests(self, link: Link, inbox: MemoryObjectReceiveStream[bytes]) -> None:
        left = b""
        try:
            while True:
                request, left = await _read_request(inbox, left)
                await self._handler(request, link)
        except (*CONNECTION_ERRORS, h11.RemoteProtocolError):
            link.tasks.cancel_scope.cancel()


async def _read_request(inbox: MemoryObjectReceiveStream[bytes], left: bytes) -> tuple[Request, bytes]:
    """Read a request that begins with the bytes ``left``; return it and the bytes after it."""
    parser = h11.Connection(h11.SERVER)
    if left:
        parser.receive_data(left)
    head: h11.Request | None = None
    body = bytearray()
    while not isinstance(event := parser.next_event(), h11.EndOfMessage):
        if event is h11.NEED_DATA:
            parser.receive_data(await inbox.receive())
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
    assert head is not None
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
    request = Request(head.method.decode("latin-1"), head.target.decode("latin-1"), headers, bytes(body))
    return request, parser.trailing_data[0]
