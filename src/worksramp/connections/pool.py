"""Connections to one worker, kept between calls."""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import anyio.abc

from worksramp.connections.answers import AnswerHead, Call, HeaderPairs
from worksramp.connections.connection import ConnectionName, WorkerConnection
from worksramp.connections.errors import NoConnectionError, was_refused

Connect = Callable[[str], Awaitable[anyio.abc.ByteStream]]


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of a pool.

    Attributes:
        max_connections: open connections; further calls wait for one.
        connect_timeout_s: for opening a connection, and for waiting for one.
        idle_s: how long a connection without a call is kept.
        send_timeout_ms: time after which unacknowledged bytes break a connection; only this detects a peer
            that has lost power.
    """

    max_connections: int
    connect_timeout_s: float
    idle_s: float
    send_timeout_ms: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a call; iterating over ``body`` raises `CallError` if the connection breaks.

    Attributes:
        is_named: whether the answer names the id of the call.
        connection: number of the connection and of its calls, for the logs.
    """

    status: int
    headers: HeaderPairs
    is_named: bool
    body: AsyncIterator[bytes]
    connection: str


@dataclass(slots=True)
class PoolCounters:
    """What the pools of a process have counted.

    Attributes:
        num_opened: connections opened.
        num_surplus: answers that belonged to another call and were skipped.
    """

    num_opened: int = 0
    num_surplus: int = 0

    def add_surplus(self) -> None:
        """Count an answer that belonged to another call."""
        self.num_surplus += 1


class ConnectionPool:
    """Connections to one address.

    Args:
        address: ``host:port``.
        id_header: lower-case name of the header that holds the id of an answer's call.
        counters: counts for all pools of the process.
        connect: opens a connection to an address, None for TCP.
    """

    def __init__(
        self,
        address: str,
        id_header: bytes,
        limits: PoolLimits,
        counters: PoolCounters,
        connect: Connect | None = None,
    ) -> None:
        self._address = address
        self._id_header = id_header
        self._limits = limits
        self._counters = counters
        self._connect = connect or self._connect_tcp
        self._idle: list[WorkerConnection] = []
        self._slots = anyio.Semaphore(limits.max_connections, fast_acquire=True)
        self._num_opened = 0
        self._num_open = 0
        self._is_closed = False

    @asynccontextmanager
    async def call(self, call: Call) -> AsyncIterator[Answer]:
        """Send a call and yield its answer; leaving the context early closes the connection.

        Raises:
            NoConnectionError: nothing was sent.
            CallError: there is no answer; the call may have been executed.
        """
        await self._wait_for_slot()
        try:
            connection = await self._connection_for(call)
            try:
                head = await connection.send(call)
                yield _answer(head, connection)
            except BaseException:
                connection.mark_failed()
                raise
            finally:
                await self._release(connection)
        finally:
            self._slots.release()

    async def aclose(self) -> None:
        """Close the connections that carry no call, and each other one after its call."""
        self._is_closed = True
        await self.close_idle()

    async def close_idle(self) -> bool:
        """Close the connections that carry no call; return whether there were any."""
        idle, self._idle = self._idle, []
        await self._close(idle)
        return bool(idle)

    async def _wait_for_slot(self) -> None:
        with anyio.move_on_after(self._limits.connect_timeout_s) as waiting:
            await self._slots.acquire()
        if waiting.cancelled_caught:
            raise NoConnectionError("no free connection", is_refusal=False)

    async def _connection_for(self, call: Call) -> WorkerConnection:
        """Return an idle connection that may carry the call, or a new one."""
        await self._close_expired()
        while (connection := self._take_idle(call)) is not None:
            is_usable = False
            try:
                is_usable = await connection.prepare_reuse()
            finally:
                if not is_usable:
                    await self._close([connection])
            if is_usable:
                return connection
        await self._make_room(call)
        return await self._open()

    async def _make_room(self, call: Call) -> None:
        """Close an idle connection where one more would be too many; a worker takes few."""
        # A call that is sent again and again must not collect connections. Other calls that need a connection
        # of their own close it themselves.
        is_sent_again = any(idle.has_carried(call) for idle in self._idle)
        is_at_limit = self._num_open >= self._limits.max_connections
        if self._idle and (is_sent_again or is_at_limit):
            await self._close([self._idle.pop(0)])

    def _take_idle(self, call: Call) -> WorkerConnection | None:
        # The connection used last is the least likely to be closed by the worker meanwhile.
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].may_carry(call):
                return self._idle.pop(index)
        return None

    async def _open(self) -> WorkerConnection:
        try:
            with anyio.fail_after(self._limits.connect_timeout_s):
                stream = await self._connect(self._address)
        except (OSError, TimeoutError) as error:
            raise NoConnectionError(f"{type(error).__name__}: {error}", was_refused(error)) from error
        self._num_opened += 1
        self._num_open += 1
        self._counters.num_opened += 1
        name = ConnectionName(self._address, self._num_opened)
        return WorkerConnection(stream, name, self._id_header, self._counters.add_surplus)

    async def _connect_tcp(self, address: str) -> anyio.abc.ByteStream:
        host, _, port = address.rpartition(":")
        stream = await anyio.connect_tcp(host.strip("[]"), int(port))
        sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._limits.send_timeout_ms)
        return stream

    async def _release(self, connection: WorkerConnection) -> None:
        """Keep a connection for another call if it may carry one."""
        connection.read_received_rest()
        if connection.may_carry_another and not self._is_closed:
            connection.mark_idle()
            self._idle.append(connection)
        else:
            await self._close([connection])

    async def _close_expired(self) -> None:
        expired = [idle for idle in self._idle if idle.has_expired(self._limits.idle_s)]
        if expired:
            self._idle = [idle for idle in self._idle if idle not in expired]
            await self._close(expired)

    async def _close(self, connections: list[WorkerConnection]) -> None:
        """Close connections, also when the caller has been cancelled."""
        self._num_open -= len(connections)
        with anyio.CancelScope(shield=True):
            for connection in connections:
                await connection.aclose()


def _answer(head: AnswerHead, connection: WorkerConnection) -> Answer:
    return Answer(head.status, head.headers, head.is_named, connection.body(), connection.label)
