"""Run one node as a process: the node, its HTTP server and its signal handlers."""

import os
import signal
import uuid

import anyio
import anyio.abc
import httpx
import structlog

from worksramp.backends.http import http_platform
from worksramp.gateway.app import make_application
from worksramp.gateway.http import MAX_BODY_BYTES
from worksramp.logs import configure_logs
from worksramp.node.node import Identity, Node
from worksramp.routing.table import CallerLimits
from worksramp.serving.connection_limits import ConnectionLimit, max_connections
from worksramp.serving.server import HttpServer, Listener
from worksramp.settings import NodeSettings
from worksramp.transport.tcp import TcpTransport

MAX_CONNECTIONS = 2000
MAX_KEEPALIVE_CONNECTIONS = 500
KEEPALIVE_SECONDS = 30.0
HTTP_SHUTDOWN_SECONDS = 10.0
INSTANCE_SUFFIX_CHARACTERS = 8
LIMITS = CallerLimits(max_body_bytes=MAX_BODY_BYTES)

logger = structlog.get_logger()


def make_identity(node_id: str) -> Identity:
    """Return a new identity for this process, with a random suffix and a random seed."""
    suffix = uuid.uuid4().hex[:INSTANCE_SUFFIX_CHARACTERS]
    return Identity(f"{node_id}.{suffix}", int.from_bytes(os.urandom(8), "big"))


async def run_node(settings: NodeSettings) -> None:
    """Run a node until it is stopped by SIGTERM, SIGINT or an operator's drain request."""
    configure_logs(settings.log_level, node=settings.node_id, zone=settings.zone)
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_KEEPALIVE_CONNECTIONS,
        keepalive_expiry=KEEPALIVE_SECONDS,
    )
    async with httpx.AsyncClient(limits=limits, trust_env=False) as client:
        platform = http_platform(
            client, settings.platform.log, settings.platform.weight_store, settings.platform.machine_list
        )
        node = Node(settings, make_identity(settings.node_id), platform, TcpTransport(settings.peer_listen))
        await _run_with_http(node)


async def _run_with_http(node: Node) -> None:
    connections = ConnectionLimit(max_connections(node.settings.memory_mb))
    stop_http, http_ended = anyio.Event(), anyio.Event()
    async with anyio.create_task_group() as group:
        application = make_application(node, group)
        server = HttpServer(application, [Listener(node.settings.listen, connections)], lambda: LIMITS)
        group.start_soon(_stop_on_signal, node, group.cancel_scope)

        async def serve_http() -> None:
            await server.serve(stop_http, HTTP_SHUTDOWN_SECONDS)
            http_ended.set()

        group.start_soon(serve_http)
        logger.info("node_started", instance=node.identity.instance_id, listen=node.settings.listen)
        await node.run()
        stop_http.set()
        # A response may still be in transmission after its handler has ended, in particular a large batch.
        await http_ended.wait()
        group.cancel_scope.cancel()


async def _stop_on_signal(node: Node, scope: anyio.CancelScope) -> None:
    """Drain the node at the first SIGTERM or SIGINT.

    At the second one, stop at once and log the number of aborted requests. SIGHUP changes nothing, since this
    role reads its settings at its start alone.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        is_draining = False
        async with anyio.create_task_group() as group:
            async for number in signals:
                if number is signal.SIGHUP:
                    logger.info("signal_ignored", signal=number.name)
                    continue
                if is_draining:
                    logger.warning("node_stopped_at_once", signal=number.name, num_cut=node.num_in_flight)
                    scope.cancel()
                    return
                is_draining = True
                group.start_soon(node.stop)
