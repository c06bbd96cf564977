"""Processes of nodes: their settings, starts, ends and signals."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio
import anyio.abc

from worksramp_emulator.soak.caller import CallerConnection
from worksramp_emulator.soak.plan import NodeSignal
from worksramp_emulator.soak.record import Record
from worksramp_emulator.soak.words import Words

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.1
READY_CALL_S = 1.0
RESTART_DELAY_S = 0.3
#: Longest time from the start of a process to its own handling of signals.
START_S = 2.0
STOP_TIMEOUT_S = 12.0
#: Below the range from which the kernel draws the ports of outgoing connections, which would take those of a
#: node while it is down.
FIRST_PORT, END_PORT = 15_000, 32_000
PORTS_PER_RUN = 16
SETTINGS = """
node_id = "{name}"
zone = "z"
listen = "{front}"
ready_listen = "{ready}"
metrics_listen = "{metrics}"

[store]
address = "{store}"
"""


@dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Addresses at which a node listens."""

    front: str
    ready: str
    metrics: str


def free_addresses(num_nodes: int) -> list[NodeAddresses]:
    """Return addresses of the loopback interface for nodes, which may start at them again and again."""
    ports, sockets = list[int](), list[socket.socket]()
    first = os.getpid() * PORTS_PER_RUN
    candidates = (
        FIRST_PORT + (first + idx) % (END_PORT - FIRST_PORT) for idx in range(END_PORT - FIRST_PORT)
    )
    try:
        while len(ports) < num_nodes * len(NodeAddresses.__slots__):
            port = next(candidates)
            sockets.append(listener := socket.socket())
            with contextlib.suppress(OSError):
                listener.bind(("127.0.0.1", port))
                ports.append(port)
    finally:
        for listener in sockets:
            listener.close()
    addresses = iter([f"127.0.0.1:{port}" for port in ports])
    return [NodeAddresses(next(addresses), next(addresses), next(addresses)) for _ in range(num_nodes)]


class NodeProcess:
    """A node in a process of its own, which is started again each time it ends."""

    def __init__(
        self,
        name: str,
        addresses: NodeAddresses,
        words: Words,
        root: Path,
        folder: Path,
        store_address: str,
        record: Record,
    ) -> None:
        self.name = name
        self.addresses = addresses
        self._words = words
        self._root = root
        self._log_file = folder / f"{self.name}.log"
        self._settings_file = folder / f"{self.name}.toml"
        self._record = record
        self._process: anyio.abc.Process | None = None
        self._started_s = 0.0
        self._signals: set[signal.Signals] = set()
        self._is_over = False
        settings = SETTINGS.format(name=name, store=store_address, **asdict(addresses))
        self._settings_file.write_text(settings)

    async def run(self) -> None:
        """Start the process, and start it again each time it ends, until `stop`."""
        folders = [str(self._root / folder) for folder in self._words.module_folders]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(folders)}
        environment[self._words.settings_variable] = str(self._settings_file)
        while not self._is_over:
            with self._log_file.open("ab") as log:
                self._process = await anyio.open_process(
                    [sys.executable, *self._words.command],
                    stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self._root, env=environment,
                )  # fmt: skip
            self._started_s = self._record.now_s()
            try:
                status = await self._process.wait()
            finally:
                if self._process.returncode is None:
                    self._process.kill()
            self._note_end(status)
            await anyio.sleep(RESTART_DELAY_S)

    def _note_end(self, status: int) -> None:
        sent, self._signals = self._signals, set()
        names = " and ".join(sorted(number.name for number in sent))
        how = f"ended with status {status} after {names or 'no signal'}"
        self._record.note(self.name, how)
        allowed = {0} if signal.SIGTERM in sent else set[int]()
        if signal.SIGKILL in sent:
            allowed.add(-signal.SIGKILL)
        if signal.SIGTERM in sent and self._record.now_s() - self._started_s < START_S:
            # The interpreter has not yet got to the node's own handling of signals.
            allowed.add(-signal.SIGTERM)
        if status not in allowed:
            self._record.faults.append(f"LOST: {self.name} {how}")

    async def wait_ready(self) -> None:
        """Wait until the node is ready for callers.

        Raises:
            TimeoutError: it is not ready in time.
        """
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self._is_ready():
                await anyio.sleep(READY_POLL_S)

    async def _is_ready(self) -> bool:
        connection = CallerConnection(self.addresses.ready)
        headers = {"Host": self.addresses.ready}
        answer = await connection.exchange("GET", self._words.paths.ready, headers, b"", False, READY_CALL_S)
        await connection.close()
        return answer is not None and answer.status == 200

    async def take(self, sent: NodeSignal) -> None:
        """Send a signal of the plan to the process, and SIGCONT after a pause."""
        began_s = self._record.now_s()
        if not self._send(sent.number):
            return
        if sent.number is signal.SIGSTOP:
            await anyio.sleep(sent.pause_s)
            self._send(signal.SIGCONT)
        self._record.pauses.append((began_s, self._record.now_s()))

    def _send(self, number: signal.Signals) -> bool:
        if self._process is None or self._process.returncode is not None:
            return False
        self._signals.add(number)
        self._record.note(self.name, f"gets {number.name}")
        self._process.send_signal(number)
        return True

    async def stop(self) -> None:
        """Stop the process for good, and kill it if it does not end in time."""
        self._is_over = True
        if not self._send(signal.SIGCONT):
            return
        self._send(signal.SIGTERM)
        with anyio.move_on_after(STOP_TIMEOUT_S):
            assert self._process is not None
            await self._process.wait()
