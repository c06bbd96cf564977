"""HTTP/1.1 server of an edge node: listens, accepts connections up to a limit, and stops in order."""

import asyncio
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
import anyio.abc
import structlog

from worksramp.routing.table import CallerLimits
from worksramp.serving.asgi import Application
from worksramp.serving.caller_connection import CallerConnection
from worksramp.serving.connection_limits import READ_B, RECEIVE_BUFFER_B, SEND_BUFFER_B, ConnectionLimit

BACKLOG = 1024
#: Pause after an error of accepting, such as a lack of descriptors.
ACCEPT_PAUSE_S = 0.1
#: Longest wait for a place; no other connection of the address is accepted meanwhile.
MAX_WAIT_S = 0.5
#: Pause between two looks for a place.
RECHECK_S = 0.05
#: Shortest time between two log lines that say that all places are taken.
FULL_LOG_PERIOD_S = 1.0

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Listener:
    """An address to listen on.

    Attributes:
        address: ``ip:port``.
        limit: bounds its connections.
    """

    address: str
    limit: ConnectionLimit


class HttpServer:
    """Serves an ASGI application to callers.

    Args:
        application: gets one call for each request; there are no lifespan events.
        listeners: addresses to listen on.
        limits: returns the limits of requests and connections in force.
    """

    def __init__(
        self, application: Application, listeners: Sequence[Listener], limits: Callable[[], CallerLimits]
    ) -> None:
        self._application = application
        self._listeners = listeners
        self._limits = limits
        self._connections: set[CallerConnection] = set()
        self._is_idle = anyio.Event()
        self._full_logged_at = float("-inf")

    async def serve(self, stop: anyio.Event, grace_s: float) -> None:
        """Serve until ``stop`` is set, then until requests in progress are answered.

        Args:
            grace_s: time after which connections that are left are ended.
        """
        sockets = [_listen(listener.address) for listener in self._listeners]
        async with anyio.create_task_group() as connections:
            async with anyio.create_task_group() as accepting:
                for sock, listener in zip(sockets, self._listeners, strict=True):
                    accepting.start_soon(self._accept, sock, listener.limit, connections)
                await stop.wait()
                accepting.cancel_scope.cancel()
            for sock in sockets:
                sock.close()
            await self._stop_connections(grace_s)
            connections.cancel_scope.cancel()

    async def _stop_connections(self, grace_s: float) -> None:
        for connection in tuple(self._connections):
            connection.stop()
        if self._connections:
            with anyio.move_on_after(grace_s):
                await self._is_idle.wait()
        for connection in tuple(self._connections):
            connection.abort()

    async def _accept(
        self, listener: socket.socket, limit: ConnectionLimit, group: anyio.abc.TaskGroup
    ) -> None:
        """Accept connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:
                logger.warning("accept_failed", reason=str(error))
                await anyio.sleep(ACCEPT_PAUSE_S)
                continue
            try:
                await self._admit(sock, limit, group)
            except OSError as error:
                logger.debug("connection_lost", reason=str(error))
                sock.close()

    async def _admit(self, sock: socket.socket, limit: ConnectionLimit, group: anyio.abc.TaskGroup) -> None:
        """Begin to serve a connection, or close it if there is no place for it.

        Raises:
            OSError: the connection is lost already.
        """
        if limit.is_full:
            self._log_full(limit)
        if not await _wait_for_place(limit):
            limit.num_refused += 1
            sock.close()
            await anyio.lowlevel.checkpoint()
            return
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=READ_B // 2, loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        transport, _ = await loop.connect_accepted_socket(lambda: protocol, sock)
        transport.set_write_buffer_limits(high=0)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        connection = CallerConnection(reader, writer, sock, self._application, self._limits)
        self._connections.add(connection)
        limit.add(connection)
        group.start_soon(self._serve_connection, connection, limit)

    def _log_full(self, limit: ConnectionLimit) -> None:
        """Log that all places are taken, unless that has just been logged."""
        now = anyio.current_time()
        if now - self._full_logged_at < FULL_LOG_PERIOD_S:
            return
        self._full_logged_at = now
        logger.warning(
            "connections_full",
            num_connections=limit.num_connections,
            num_displaced=limit.num_displaced,
            num_refused=limit.num_refused,
        )

    async def _serve_connection(self, connection: CallerConnection, limit: ConnectionLimit) -> None:
        try:
            await connection.serve()
        except Exception:
            # An error of one connection ends no other.
            logger.exception("connection_failed")
            connection.abort()
        finally:
            limit.remove(connection)
            self._connections.discard(connection)
            if not self._connections:
                self._is_idle.set()
                self._is_idle = anyio.Event()


async def _wait_for_place(limit: ConnectionLimit) -> bool:
    """Return whether there is a place, which may take a short time if callers are about to stall."""
    with anyio.move_on_after(MAX_WAIT_S):
        while not limit.make_place(anyio.current_time()):
            if not limit.may_free_soon:
                return False
            await anyio.sleep(RECHECK_S)
        return True
    return False


def _listen(address: str) -> socket.socket:
    """Return a socket that listens at an address; connections take over the sizes of its buffers."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_B)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_B)
    sock.setblocking(False)
    sock.bind((host, int(port)))
    sock.listen(BACKLOG)
    return sock
