"""A stop counts from the arrival of its signal, not from the moment at which a busy event loop handles it."""

import os
import signal
import socket
import time
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from worksramp.edge.node import EdgeNode
from worksramp.edge.serve import serve_node
from worksramp.serving.asgi import Application
from worksramp.serving.connection_limits import ConnectionLimit
from worksramp.signals import HANDLED, SignalInbox

BUSY_S = 0.4


@pytest.fixture
def signals() -> Iterator[SignalInbox]:
    before = {number: signal.getsignal(number) for number in HANDLED}
    inbox = SignalInbox()
    inbox.install()
    yield inbox
    for number, handler in before.items():
        signal.signal(number, handler)


class StoppedNode:
    """Node that does nothing but record how old the signal was when its stop began."""

    def __init__(self) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            listen = f"127.0.0.1:{probe.getsockname()[1]}"
        self.settings = SimpleNamespace(
            listen=listen, ready_listen="", metrics_listen="", node_id="n", zone="z"
        )
        self.table = SimpleNamespace(current=None)
        self.connections = ConnectionLimit(8)
        self.signal_age_s = 0.0

    async def run(self) -> None:
        await anyio.sleep_forever()

    async def stop(self, signal_age_s: float) -> None:
        self.signal_age_s = signal_age_s


# A node that was busy for a second after SIGTERM took requests of any length for a second too long.
def test_a_stop_that_a_busy_loop_handles_late_counts_from_its_signal(signals: SignalInbox) -> None:
    node = StoppedNode()

    async def stay_busy() -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        while signals.stop_arrived_at is None or time.monotonic() < signals.stop_arrived_at + BUSY_S:
            pass

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(
                serve_node, cast(EdgeNode, node), cast(Application, None), cast(Any, None), signals
            )
            await anyio.sleep(0.1)
            await stay_busy()

    anyio.run(main)
    assert node.signal_age_s >= BUSY_S


def test_further_signals_do_not_change_when_a_stop_began(signals: SignalInbox) -> None:
    os.kill(os.getpid(), signal.SIGHUP)
    assert signals.stop_arrived_at is None
    os.kill(os.getpid(), signal.SIGTERM)
    first = signals.stop_arrived_at
    assert first is not None
    for number in (signal.SIGINT, signal.SIGHUP, signal.SIGTERM):
        os.kill(os.getpid(), number)
    assert signals.stop_arrived_at == first
