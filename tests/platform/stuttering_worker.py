"""Stand-in for a worker that answers some requests twice, over TCP on kept connections.

Each request it receives is a run and follows the `Turn` of its mark, which the sender put into the request.
Everything in an answer names its run: the stamp and the events hold the mark, a report holds the number of
the run.
"""

import fcntl
import json
import socket
import struct
import termios
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from enum import StrEnum

import anyio
import anyio.abc
import h11
from worksramp_platform import names

from worksramp.routing.workers import WorkerEntry

#: Mark of all reports, whose requests have no place for one.
REPORT_MARK = "report"
#: Turns of the event loop after which all that has arrived is taken up.
NUM_QUIET_TURNS = 5
NUM_EVENTS = 2
#: Length that answers to HEAD requests state.
HEAD_LENGTH_B = 50
#: Far more than a head or a number of interim answers that a client may accept.
FLOOD_B = 64_000_000


class Framing(StrEnum):
    """How an answer tells where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class When(StrEnum):
    """When a surplus answer is written.

    Attributes:
        AT_ONCE: together with the answer, in one write.
        IDLE: at `StutteringWorker.stutter`, while the connection is idle.
        BEFORE_NEXT: after the next request on the connection has been read, in front of its answer.
    """

    AT_ONCE = "at_once"
    IDLE = "idle"
    BEFORE_NEXT = "before_next"


@dataclass(frozen=True, slots=True)
class Reply:
    """One answer to a run.

    Attributes:
        has_id: whether it carries the id of the request.
        is_not_run: whether it states that the request has not run.
    """

    status: int = 200
    has_id: bool = True
    framing: Framing = Framing.LENGTH
    is_not_run: bool = False

    def __str__(self) -> str:
        marks = [] if self.has_id else ["no id"]
        marks += ["not run"] if self.is_not_run else []
        return " ".join([str(self.status), *marks, self.framing])


@dataclass(frozen=True, slots=True)
class Surplus:
    """What follows the answer of a run.

    Attributes:
        reply: one more answer to the same run, or bytes that are no answer.
    """

    when: When
    reply: Reply | bytes


@dataclass(frozen=True, slots=True)
class Turn:
    """What the worker does with one request.

    Attributes:
        flood: bytes that are written over and over in place of an answer, after ``flood_start``.
        is_closing: whether `StutteringWorker.stutter` closes the connection.
        is_cut: whether the answer breaks off after its first event, unless the request resumes a stream.
    """

    reply: Reply = Reply()
    surpluses: tuple[Surplus, ...] = ()
    flood: bytes = b""
    flood_start: bytes = b""
    is_closing: bool = False
    is_cut: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """One request that the worker received.

    Attributes:
        worker_id: id of the worker that ran it.
        number: position among all runs of the worker, from 1.
        mark: what the sender put into the request to recognise its answer, `REPORT_MARK` for reports.
        connection: number of the connection, from 1.
        nth: position among the runs of the connection, from 1.
        reply: answer that was made for this run.
    """

    worker_id: str
    number: int
    method: str
    path: str
    request_id: str | None
    mark: str
    connection: int
    nth: int
    reply: Reply
    resume_after: str = "0"

    @property
    def body(self) -> bytes:
        """Body of each answer to this run."""
        if self.method == "HEAD":
            return b""
        if self.path == names.REPORT_PATH:
            return json.dumps({"models": [], "busy": False, "seq": self.number}).encode()
        first = int(self.resume_after) + 1
        events = [f"id: {first + idx}\ndata: {self.mark}\n\n" for idx in range(NUM_EVENTS)]
        return "".join(events).encode()

    def encode(self, reply: Reply) -> bytes:
        """Return the bytes of an answer to this run."""
        lines = [b"HTTP/1.1 %d x" % reply.status, names.STAMP + b": " + self.mark.encode()]
        lines.append(names.WEIGHT_VERSIONS + b": 1")
        lines.append(names.INSTANCE_ID + b": " + self.worker_id.encode())
        if reply.has_id and self.request_id is not None:
            lines.append(names.ATTEMPT_ID + b": " + self.request_id.encode())
        if reply.is_not_run:
            lines.append(names.NOT_EXECUTED + b": 1")
        body = self.body or b"x" * HEAD_LENGTH_B
        has_body = self.method != "HEAD" and reply.status != 204
        if reply.status == 204:
            pass
        elif reply.framing is Framing.LENGTH:
            lines.append(b"content-length: %d" % len(body))
        elif reply.framing is Framing.CHUNKS:
            lines.append(b"transfer-encoding: chunked")
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return b"\r\n".join(lines) + b"\r\n\r\n" + (body if has_body else b"")


@dataclass(slots=True)
class _Connection:
    """One connection.

    Attributes:
        owed: what is written before its next answer.
        is_owed_readable: whether ``owed`` is whole answers with lengths or chunks, and with ids.
        idle: what is written while it is idle.
        is_waiting: whether the worker waits for a request.
    """

    number: int
    stream: anyio.abc.SocketStream
    num_runs: int = 0
    owed: bytes = b""
    is_owed_readable: bool = True
    idle: bytes = b""
    is_closing: bool = False
    is_waiting: bool = False


@dataclass(frozen=True, slots=True)
class _Received:
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass
class StutteringWorker:
    """Worker that follows a script.

    Attributes:
        entry: under which the worker is known.
        turns: what to do with the requests of each mark; without a turn the worker gives one good answer.
        carries_all_ids: whether answers to orders and reports carry ids back too.
        runs: all requests that were received, in order.
    """

    entry: WorkerEntry
    carries_all_ids: bool = True
    turns: dict[str, Turn] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    _connections: list[_Connection] = field(default_factory=list)

    def run_of(self, mark: str) -> Run | None:
        """Return the first run of a mark, None if there is none."""
        return next((run for run in self.runs if run.mark == mark), None)

    def num_runs_of(self, mark: str) -> int:
        """Return how many requests with a mark have been received."""
        return len([run for run in self.runs if run.mark == mark])

    @property
    def owes_answers(self) -> bool:
        """Whether a surplus will be written before the next answer on some connection."""
        return any(connection.owed for connection in self._connections)

    @property
    def owes_unreadable(self) -> bool:
        """Whether bytes behind which no answer can be found will be written before the next answer."""
        return not all(connection.is_owed_readable for connection in self._connections)

    async def stutter(self) -> None:
        """Write the surpluses that come while a connection is idle, and close those that are to be closed.

        Returns once the other end has received all of it.
        """
        await self._settle()
        for connection in self._connections:
            data, connection.idle = connection.idle, b""
            raw = connection.stream.extra(anyio.abc.SocketAttribute.raw_socket)
            if raw.fileno() < 0 or not (data or connection.is_closing):
                continue
            try:
                if data:
                    await connection.stream.send(data)
                if connection.is_closing:
                    await connection.stream.send_eof()
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                continue
            while _unreceived_b(raw):
                await anyio.sleep(0.001)

    async def _settle(self) -> None:
        """Wait until every request that has been sent is answered."""
        num_quiet = 0
        while num_quiet < NUM_QUIET_TURNS:
            await anyio.sleep(0)
            is_quiet = all(connection.is_waiting for connection in self._connections)
            num_quiet = num_quiet + 1 if is_quiet else 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection to its end."""
        connection = _Connection(len(self._connections) + 1, stream)
        self._connections.append(connection)
        try:
            async with stream:
                await self._serve(connection)
        finally:
            # A connection that has ended owes nothing.
            connection.owed, connection.is_owed_readable, connection.is_waiting = b"", True, True

    async def _serve(self, connection: _Connection) -> None:
        stream, rest = connection.stream, b""
        while True:
            connection.is_waiting = True
            try:
                received, rest = await _receive_request(stream, rest)
                if received is None:
                    return
                connection.is_waiting = False
                await self._answer(connection, received)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            finally:
                connection.is_waiting = True

    async def _answer(self, connection: _Connection, received: _Received) -> None:
        run, turn = self._begin_run(connection, received)
        if turn.flood:
            await connection.stream.send(connection.owed + turn.flood_start)
            for _ in range(FLOOD_B // len(turn.flood)):
                await connection.stream.send(turn.flood)
            return
        answer = run.encode(run.reply)
        if turn.is_cut and run.resume_after == "0":
            await connection.stream.send(connection.owed + answer[: answer.index(b"id: 2")])
            await connection.stream.aclose()
            return
        data = connection.owed + answer
        pending = dict.fromkeys(When, b"")
        connection.is_owed_readable = True
        for surplus in turn.surpluses:
            reply = (
                surplus.reply if isinstance(surplus.reply, bytes) else self._adapted(run.path, surplus.reply)
            )
            pending[surplus.when] += reply if isinstance(reply, bytes) else run.encode(reply)
            if surplus.when is When.BEFORE_NEXT and not _is_readable(run, reply):
                connection.is_owed_readable = False
        connection.owed, connection.is_closing = pending[When.BEFORE_NEXT], turn.is_closing
        connection.idle += pending[When.IDLE]
        await connection.stream.send(data + pending[When.AT_ONCE])
        if turn.reply.framing is Framing.CLOSE:
            await connection.stream.send_eof()

    def _adapted(self, path: str, reply: Reply) -> Reply:
        is_call = path in (names.ORDER_PATH, names.REPORT_PATH)
        return reply if self.carries_all_ids or not is_call else replace(reply, has_id=False)

    def _begin_run(self, connection: _Connection, received: _Received) -> tuple[Run, Turn]:
        connection.num_runs += 1
        number = len(self.runs) + 1
        path, _, mark = received.target.partition("?")
        if path == names.ORDER_PATH:
            mark = str(json.loads(received.body)["version"])
        elif path == names.REPORT_PATH:
            mark = REPORT_MARK
        turn = self.turns.get(mark, Turn())
        request_id = names.header(received.headers, names.ATTEMPT_ID)
        run = Run(
            worker_id=self.entry.worker_id,
            number=number,
            method=received.method,
            path=path,
            request_id=None if request_id is None else request_id.decode(),
            mark=mark,
            connection=connection.number,
            nth=connection.num_runs,
            reply=self._adapted(path, turn.reply),
            resume_after=(names.header(received.headers, names.LAST_EVENT_ID) or b"0").decode(),
        )
        self.runs.append(run)
        return run, turn


@asynccontextmanager
async def stuttering_worker(
    carries_all_ids: bool = True, worker_id: str = "i-1"
) -> AsyncIterator[StutteringWorker]:
    """Run a worker on a free port."""
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        entry = WorkerEntry(worker_id, "s", f"127.0.0.1:{port}", "z", 4)
        worker = StutteringWorker(entry, carries_all_ids)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, worker.serve)
            yield worker
            group.cancel_scope.cancel()


async def _receive_request(stream: anyio.abc.SocketStream, rest: bytes) -> tuple[_Received | None, bytes]:
    """Return the next request and the bytes behind it; None at the end of the connection."""
    parser = h11.Connection(h11.SERVER)
    if rest:
        parser.receive_data(rest)
    head: h11.Request | None = None
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive())
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            received = _Received(head.method.decode(), head.target.decode(), list(head.headers), body)
            return received, parser.trailing_data[0]
        else:
            return None, b""


def _is_readable(run: Run, reply: Reply | bytes) -> bool:
    """Return whether the answer that follows this one on a connection can be found."""
    if isinstance(reply, bytes) or run.request_id is None:
        return False
    return reply.has_id and reply.framing is not Framing.CLOSE and run.method != "HEAD"


def _unreceived_b(raw: socket.socket) -> int:
    """Return how many bytes of a connection the other end has not received yet."""
    if raw.fileno() < 0:
        return 0
    return int(struct.unpack("i", fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0])
