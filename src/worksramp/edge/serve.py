"""Run the HTTP server of an edge node, and handle the signals to stop it and to reload its settings."""

import asyncio
import signal
import time
from collections.abc import Callable
from functools import partial

import anyio
import msgspec
import structlog

from worksramp.edge.node import EdgeNode
from worksramp.edge.settings import EdgeSettings
from worksramp.mechanisms import MECHANISMS, UnknownMechanismError
from worksramp.routing.table import CallerLimits
from worksramp.serving.asgi import Application
from worksramp.serving.connection_limits import MAX_SIDE_CONNECTIONS, ConnectionLimit
from worksramp.serving.server import HttpServer, Listener
from worksramp.settings_error import SettingsError
from worksramp.signals import SignalInbox

GRACEFUL_TIMEOUT_SECONDS = 0.5
RELOADABLE = ("bounds", "max_loading")

logger = structlog.get_logger()


def apply_switches(file: str, settings: EdgeSettings) -> None:
    """Switch off the mechanisms that the settings list, and switch on all others.

    Raises:
        SettingsError: a listed mechanism does not exist.
    """
    try:
        MECHANISMS.switch_off(settings.switched_off)
    except UnknownMechanismError as exc:
        raise SettingsError(file, "switched_off", str(exc)) from exc


async def serve_node(
    node: EdgeNode,
    application: Application,
    read_settings: Callable[[], EdgeSettings],
    signals: SignalInbox,
) -> None:
    """Serve until a signal to stop arrives, then stop the node and the HTTP server, in this order.

    Signals that arrive meanwhile are handled too: they may reload the settings, and never cut the stop short.

    Args:
        node: node to run.
        application: ASGI application that serves the node's callers.
        read_settings: reads the settings file again, and raises SettingsError if it cannot be used.
        signals: signals of the process.
    """
    server = HttpServer(application, _listeners(node), lambda: _limits(node))
    http_stop, http_stopped = anyio.Event(), anyio.Event()
    stop_requested = anyio.Event()
    async with anyio.create_task_group() as group:

        async def serve_http() -> None:
            await server.serve(http_stop, GRACEFUL_TIMEOUT_SECONDS)
            http_stopped.set()

        group.start_soon(serve_http)
        group.start_soon(node.run)
        logger.info(
            "started", node=node.settings.node_id, zone=node.settings.zone, listen=node.settings.listen
        )
        group.start_soon(_handle_signals, node, signals, read_settings, stop_requested)
        await stop_requested.wait()
        await node.stop(_stop_age_s(signals))
        http_stop.set()
        with anyio.move_on_after(2 * GRACEFUL_TIMEOUT_SECONDS):
            await http_stopped.wait()
        group.cancel_scope.cancel()


def _listeners(node: EdgeNode) -> list[Listener]:
    """Return the addresses of a node; a crowd at one of them takes no places of another."""
    settings = node.settings
    listeners = [Listener(settings.listen, node.connections)]
    for address in (settings.ready_listen, settings.metrics_listen):
        if address and address != settings.listen:
            listeners.append(Listener(address, ConnectionLimit(MAX_SIDE_CONNECTIONS)))
    return listeners


def _limits(node: EdgeNode) -> CallerLimits:
    """Return the limits of the configuration in force."""
    table = node.table.current
    return CallerLimits() if table is None else table.limits


async def _handle_signals(
    node: EdgeNode,
    signals: SignalInbox,
    read_settings: Callable[[], EdgeSettings],
    stop_requested: anyio.Event,
) -> None:
    """Handle each signal until cancelled, also while the node stops."""
    try:
        while True:
            number = await _next_signal(signals)
            logger.info("signal", name=number.name, is_stopping=stop_requested.is_set())
            if number is signal.SIGHUP:
                reload_settings(node, read_settings)
            else:
                stop_requested.set()
    finally:
        signals.notify(None)


def _stop_age_s(signals: SignalInbox) -> float:
    """Return how many seconds ago the signal to stop arrived."""
    return 0.0 if signals.stop_arrived_at is None else time.monotonic() - signals.stop_arrived_at


async def _next_signal(signals: SignalInbox) -> signal.Signals:
    loop = asyncio.get_running_loop()
    while True:
        arrived = anyio.Event()
        signals.notify(partial(loop.call_soon_threadsafe, arrived.set))
        number = signals.take()
        if number is not None:
            return number
        await arrived.wait()


def reload_settings(node: EdgeNode, read_settings: Callable[[], EdgeSettings]) -> None:
    """Read the settings again and replace the node's values of the fields in ``RELOADABLE``.

    Changes of other fields need a restart, and the log names these fields. If the file cannot be used, all
    settings stay as they are.
    """
    try:
        settings = read_settings()
    except SettingsError as error:
        logger.error("settings_refused", file=error.file, path=error.path, reason=error.reason)
        return
    before = node.settings
    changed = [
        name for name in EdgeSettings.__struct_fields__ if getattr(settings, name) != getattr(before, name)
    ]
    needs_start = [name for name in changed if name not in RELOADABLE]
    node.settings = msgspec.structs.replace(
        before, **{name: getattr(settings, name) for name in changed if name in RELOADABLE}
    )
    logger.info("settings_reloaded", changed=",".join(changed), needs_start=",".join(needs_start))
