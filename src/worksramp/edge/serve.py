"""HTTP server of an edge node and its signals."""

import signal
from collections.abc import Awaitable, Callable

import anyio
import structlog
from hypercorn.asyncio import serve
from hypercorn.config import Config

from worksramp.edge.asgi import Receive, Scope, Send
from worksramp.edge.node import EdgeNode

Application = Callable[[Scope, Receive, Send], Awaitable[None]]

MAX_INCOMPLETE_BYTES = 65_536
BACKLOG = 1024
DEFAULT_IDLE_SECONDS = 15.0
GRACEFUL_SECONDS = 0.5
IDLE_TICK_SECONDS = 0.5

logger = structlog.get_logger()


async def serve_node(node: EdgeNode, application: Application) -> None:
    """Serve until a signal says to stop, then stop in order."""
    config = _config(node)
    http_stop, http_ended = anyio.Event(), anyio.Event()
    async with anyio.create_task_group() as group:

        async def serve_http() -> None:
            await serve(application, config, shutdown_trigger=http_stop.wait)  # type: ignore[arg-type]
            http_ended.set()

        group.start_soon(serve_http)
        group.start_soon(node.run)
        group.start_soon(_follow_idle_limit, node, config)
        logger.info(
            "started", node=node.settings.node_id, zone=node.settings.zone, listen=node.settings.listen
        )
        await _wait_for_stop_signal()
        await node.stop()
        http_stop.set()
        with anyio.move_on_after(2 * GRACEFUL_SECONDS):
            await http_ended.wait()
        group.cancel_scope.cancel()


def _config(node: EdgeNode) -> Config:
    config = Config()
    config.bind = [node.settings.listen]
    if node.settings.ready_listen and node.settings.ready_listen != node.settings.listen:
        config.bind.append(node.settings.ready_listen)
    if node.settings.metrics_listen:
        config.bind.append(node.settings.metrics_listen)
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.h11_max_incomplete_size = MAX_INCOMPLETE_BYTES
    config.backlog = BACKLOG
    config.keep_alive_timeout = DEFAULT_IDLE_SECONDS
    config.graceful_timeout = GRACEFUL_SECONDS
    return config


async def _follow_idle_limit(node: EdgeNode, config: Config) -> None:
    """Keep connections open for as long as the configuration in force says."""
    while True:
        table = node.table.current
        if table is not None:
            config.keep_alive_timeout = table.limits.idle_timeout_seconds
        await anyio.sleep(IDLE_TICK_SECONDS)


async def _wait_for_stop_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            logger.info("signal", name=number.name)
            if number is not signal.SIGHUP:
                return
