"""Stand-ins for the platform's store, workers and clients, and a starter of nodes, for the review's cases.

Standard library only. All of them speak HTTP/1.1 on loopback, as PROTOCOL.md describes it.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[1]
#: Names of the platform's protocol.
WIRE = json.loads((Path(__file__).parent / "wire.json").read_text(encoding="utf-8"))
HEADERS: dict[str, str] = WIRE["headers"]
ATTEMPT_ID, DEADLINE_MS = HEADERS["attempt_id"], HEADERS["deadline_ms"]
START = ROOT / "target" / "deps" / "start.py"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
#: The platform starts a process that has ended again after this delay.
RESTART_DELAY_S = 0.3
READY_TIMEOUT_S = 30.0
READY_POLL_S = 1.0
APPEND_S = 0.002
HOST = "ficu95.example"
NEWEST_PAGE = 500
SETTINGS = """
node_id = "{node_id}"
zone = "{zone}"
listen = "{front}"
ready_listen = "{ready}"
metrics_listen = "{metrics}"

[store]
address = "{store}"
max_record_bytes = 262144
max_call_bytes = 2097152
num_partitions = 12

[machine]
cpu_share = 0.717
cpu_speed = 3

[bounds]
configuration_apply = 2000e-3
grace = 8
lease = 3000e-3
settle = 1000e-3
status = 120
acknowledge = 4000e-3
drain = 2000e-3
cancel = 3000e-3
"""


class CannotRunError(Exception):
    """The case could not be run."""


def free_address() -> str:
    """Return a free ``ip:port`` of the loopback interface."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


def has_trouble() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lists what was sent, answered and run; written to ``record.txt`` beside the case."""

    def __init__(self, folder: Path) -> None:
        self._file = folder / "record.txt"
        self._started = time.monotonic()
        self._lines: list[str] = []

    def add(self, who: str, what: str) -> None:
        """Add one line with the seconds since the start."""
        self._lines.append(f"{time.monotonic() - self._started:8.3f} {who:<12} {what}")

    def write(self) -> str:
        """Write the file and return its last line."""
        self._file.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
        return self._lines[-1]


# HTTP


@dataclass
class Request:
    """A request that a stand-in has read whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header of the platform by its name in ``HEADERS``, empty if it is absent."""
        return self.headers.get(HEADERS[name].lower(), "")

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        return dict(parse_qsl(self.target.partition("?")[2], keep_blank_values=True))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers; names are returned in lower case.

    Raises:
        EOFError: the connection ended before.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body to its end."""
    parts: list[bytes] = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        parts.append((await reader.readexactly(size + 2))[:size])
        if size == 0:
            return b"".join(parts)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body that the headers announce."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the bytes of a status line and headers."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def whole(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of an answer with a length."""
    return head(status, {**(headers or {}), "Content-Length": str(len(body))}) + body


def chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """HTTP server; its handler writes the answer and returns whether the connection stays open."""

    def __init__(self, handler: Handler) -> None:
        self.address = free_address()
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                request = Request(method, target, headers, await read_body(reader, headers))
                if not await self._answer(request, reader, writer):
                    break
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request, and drop it once the connection closes, as most workers do."""
        answering = asyncio.ensure_future(self._handler(request, writer))
        while not answering.done():
            await asyncio.wait([answering], timeout=0.02)
            if reader.at_eof() or writer.is_closing():
                answering.cancel()
        return False if answering.cancelled() else answering.result()


# The platform's store


@dataclass
class Partition:
    """Records of one partition, and the fences of its producers."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    answers: dict[str, dict[int, dict[str, int]]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Losses(Protocol):
    """Which writes the store does late and does not answer."""

    def delay_s(self, query: dict[str, str]) -> float | None:
        """Return after how many seconds a write is done unanswered, None to do and answer it now."""

    def note_taken(self, query: dict[str, str]) -> None:
        """Note a write that was done and answered."""


class Store:
    """The platform's store: appends to keyed topics, reads of their records and of the newest of each key."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.lost: Losses | None = None
        self._late: set[asyncio.Task[Any]] = set()
        self._partitions: dict[tuple[str, str], Partition] = {}

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record as the operator or a worker does."""
        name = key.encode()
        data = json.dumps(value).encode()
        self._append(self._partition(topic, "0"), [bytes([len(name)]) + name + data])

    def _partition(self, topic: str, part: str) -> Partition:
        return self._partitions.setdefault((topic, part), Partition())

    def _append(self, partition: Partition, records: list[bytes]) -> dict[str, int]:
        offset = len(partition.records)
        for body in records:
            key = body[1 : 1 + body[0]].decode()
            value = body[1 + body[0] :]
            if value:
                partition.newest[key] = (len(partition.records), value)
            else:
                partition.newest.pop(key, None)
            partition.records.append(body)
        partition.changed.set()
        partition.changed = asyncio.Event()
        return {"offset": offset, "end": len(partition.records)}

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        query = request.query
        partition = self._partition(query["topic"], query["part"])
        call = request.target.partition("?")[0].rpartition("/")[2]
        if call == WIRE["store_calls"]["append"]:
            delay_s = None if self.lost is None else self.lost.delay_s(query)
            if delay_s is not None:
                self._late.add(
                    asyncio.ensure_future(self._append_late(delay_s, partition, query, request.body))
                )
                # The connection says nothing more; the caller closes it.
                await asyncio.Event().wait()
            await asyncio.sleep(APPEND_S)
            status, answer = self._do_append(partition, query, request.body)
            if self.lost is not None and status == 200:
                self.lost.note_taken(query)
            writer.write(whole(status, json.dumps(answer).encode()))
        elif call == WIRE["store_calls"]["read"]:
            writer.write(whole(200, await self._do_read(partition, query)))
        elif call == WIRE["store_calls"]["newest"]:
            writer.write(whole(200, json.dumps(self._do_newest(partition, query)).encode()))
        else:
            writer.write(whole(404))
        await writer.drain()
        return True

    async def _append_late(
        self, delay_s: float, partition: Partition, query: dict[str, str], data: bytes
    ) -> None:
        await asyncio.sleep(delay_s)
        self._do_append(partition, query, data)

    def _do_append(
        self, partition: Partition, query: dict[str, str], data: bytes
    ) -> tuple[int, dict[str, Any]]:
        if "at" in query and int(query["at"]) != len(partition.records):
            return 412, {"end": len(partition.records)}
        records: list[bytes] = []
        while data:
            (length,) = struct.unpack(">I", data[:4])
            records.append(data[4 : 4 + length])
            data = data[4 + length :]
        if "producer" not in query:
            return 200, self._append(partition, records)
        producer, epoch, seq = query["producer"], int(query["epoch"]), int(query["seq"])
        known = partition.epochs.get(producer, -1)
        if epoch < known:
            return 409, {"why": "fenced"}
        answers = partition.answers.get(producer, {}) if epoch == known else {}
        if seq in answers:
            return 200, answers[seq]
        if answers and seq != max(answers) + 1:
            return 409, {"why": "seq", "wanted": max(answers) + 1}
        partition.epochs[producer] = epoch
        answers[seq] = self._append(partition, records)
        partition.answers[producer] = {number: answers[number] for number in sorted(answers)[-5:]}
        return 200, answers[seq]

    async def _do_read(self, partition: Partition, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(partition.records) <= start and time.monotonic() < ends_at:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), ends_at - time.monotonic())
        left = 1024 * int(query.get("max_kb", "1024"))
        parts = [struct.pack(">QQ", len(partition.records), 0)]
        for body in partition.records[start:]:
            left -= 4 + len(body)
            if left < 0 and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(body)) + body)
        return b"".join(parts)

    def _do_newest(self, partition: Partition, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(key for key in partition.newest if key > query.get(WIRE["newest_after"], ""))
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key in keys[:NEWEST_PAGE]
            for offset, value in [partition.newest[key]]
        ]
        return {"items": items, "more": len(keys) > NEWEST_PAGE, "end": len(partition.records)}


# Nodes


class Node:
    """A node in a process of its own, started by the command of the deploy file."""

    def __init__(self, number: int, store: Store, folder: Path, record: Record) -> None:
        self.name = f"edge-{number}"
        self.front, self.ready, self.metrics = free_address(), free_address(), free_address()
        self.process: asyncio.subprocess.Process | None = None
        #: Statuses with which the process ended, and how often it did so without a SIGTERM.
        self.ends: list[int] = []
        self.num_own_ends = 0
        self._record = record
        self._is_stopping = False
        self._is_killed = False
        self._settings = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        self._settings.write_text(
            SETTINGS.format(
                node_id=self.name,
                zone=f"zone-{number}",
                front=self.front,
                ready=self.ready,
                metrics=self.metrics,
                store=store.server.address,
            ),
            encoding="utf-8",
        )

    async def run(self) -> None:
        """Start the process, and start it again each time it ends, until it is killed."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment[WIRE["settings_variable"]] = str(self._settings)
        while not self._is_killed:
            with self._log.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *("python3", "-S", str(START.relative_to(ROOT))),
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
            self._record.add(self.name, f"started as process {self.process.pid}")
            status = await self.process.wait()
            if self._is_killed:
                return
            self.ends.append(status)
            self.num_own_ends += not self._is_stopping
            how = "after SIGTERM" if self._is_stopping else "without SIGTERM"
            self._is_stopping = False
            self._record.add(self.name, f"process ended {how}: status {status}")
            await asyncio.sleep(RESTART_DELAY_S)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.add(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    def change_settings(self) -> None:
        """Write the settings file again, as the platform does each time the settings change."""
        self._settings.write_text(self._settings.read_text() + "\n# changed\n", encoding="utf-8")

    def stop(self) -> None:
        """Stop the process with SIGTERM; it is started again."""
        self._is_stopping = True
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process for good."""
        self._is_killed = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def is_ready(self) -> bool:
        """Ask the node whether new clients may come, as the platform does."""
        try:
            async with asyncio.timeout(READY_POLL_S):
                answer = await Connection(self.ready).exchange("GET", WIRE["paths"]["ready"], {})
        except TimeoutError:
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until the node is ready.

        Raises:
            CannotRunError: it is not ready in time.
        """
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise CannotRunError(f"{self.name} is not ready: {self.last_log()}")
            await asyncio.sleep(0.1)

    def last_log(self, num_lines: int = 3) -> str:
        """Return the end of what the node has written."""
        return " | ".join(self._log.read_text(errors="replace").splitlines()[-num_lines:])

    def log_lines(self, *words: str) -> list[str]:
        """Return the lines of the node's log that hold one of the words."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if any(word in line for word in words)]


# Clients


@dataclass
class Answer:
    """An answer as a client has read it; `is_whole` tells whether its end came."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


class Connection:
    """A client's connection, which is kept for several requests unless the node closes it."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, as far as the client has seen."""
        return self._writer is not None and self._reader is not None and not self._reader.at_eof()

    async def open(self) -> None:
        """Open the connection."""
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def exchange(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer | None:
        """Send a request and read its answer; None if there was none."""
        try:
            if not self.is_open:
                await self.open()
            assert self._reader is not None and self._writer is not None
            fields = {"Host": HOST, **headers, "Content-Length": str(len(body))}
            lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
            self._writer.write("\r\n".join(lines).encode("latin-1") + body)
            await self._writer.drain()
            first, received = await read_head(self._reader)
        except (EOFError, OSError):
            self.close()
            return None
        answer = await self._read_answer(int(first.split(" ")[1]), received)
        if not answer.is_whole or received.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _read_answer(self, status: int, headers: dict[str, str]) -> Answer:
        assert self._reader is not None
        parts: list[bytes] = []
        try:
            if "chunked" not in headers.get("transfer-encoding", ""):
                return Answer(status, headers, await read_body(self._reader, headers), True)
            while True:
                size = int((await self._reader.readuntil(b"\r\n")).split(b";")[0], 16)
                parts.append((await self._reader.readexactly(size + 2))[:size])
                if size == 0:
                    return Answer(status, headers, b"".join(parts), True)
        except (EOFError, OSError):
            return Answer(status, headers, b"".join(parts), False)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


# Workers


class Worker:
    """A worker of one service; `run` answers the requests that it runs."""

    def __init__(self, worker_id: str, service: str, slots: int, record: Record) -> None:
        self.worker_id = worker_id
        self.service = service
        self.slots = slots
        self.record = record
        self.server = Server(self._handle)
        self.num_running = 0
        #: How often this worker has begun to run each request.
        self.begun: Counter[str] = Counter()
        #: Writes the worker's entry again; set by the deployment.
        self.publish: Callable[[], None] = lambda: None

    def is_busy(self) -> bool:
        """Return whether a request is rejected now."""
        return self.num_running >= self.slots

    def entry(self, zone: str) -> dict[str, Any]:
        """Return what the worker says of itself in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": zone,
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
        }

    def own_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of each answer to a request that was run."""
        return {
            ATTEMPT_ID: request_id,
            HEADERS["stamp"]: f"{self.worker_id}.{request_id}",
            HEADERS["load"]: f"{self.num_running},0,{self.slots}",
        }

    def report(self) -> dict[str, Any]:
        """Return the worker's report."""
        return {"stage": "both", "models": [], "busy": False, "seq": 0, "runningCount": self.num_running}

    def answer_call(self, request: Request) -> bytes | None:
        """Return the answer to a call that takes no slot, None for a request."""
        return whole(200, json.dumps(self.report()).encode()) if request.target == "/api/report" else None

    async def run(self, request: Request, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Answer a request that is run; return whether the connection stays open."""
        raise NotImplementedError

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        is_open = True
        if request.header("expect_instance") != self.worker_id:
            writer.write(whole(421, headers={HEADERS["instance_id"]: self.worker_id}))
        elif (answer := self.answer_call(request)) is not None:
            writer.write(answer)
        elif self.is_busy():
            fields = {HEADERS["not_executed"]: "1"}
            fields[ATTEMPT_ID] = request.header("attempt_id")
            writer.write(whole(503, headers=fields))
        else:
            request_id = request.header("attempt_id")
            self.begun[request_id] += 1
            self.num_running += 1
            try:
                is_open = await self.run(request, request_id, writer)
            finally:
                self.num_running -= 1
        if is_open:
            await writer.drain()
        return is_open


def camel(**fields: Any) -> dict[str, Any]:
    """Return fields under the names that bodies give them: words joined, each but the first capitalised."""
    return {re.sub("_([a-z])", lambda match: match[1].upper(), name): value for name, value in fields.items()}


def route(name: str, path_prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    common = {"name": name, "host": HOST, "path_prefix": path_prefix, "type": kind, "service": service}
    return camel(**{**common, "timeout_ms": 10000, "slo_ms": 400, "max_attempts": 3, "priority": 1, **fields})


def configuration(routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": 1, "routes": routes, "services": services, "limits": limits}


class Deployment:
    """A store, workers and nodes."""

    def __init__(self, folder: Path, record: Record, workers: list[Worker], num_nodes: int) -> None:
        self.record = record
        self.store = Store()
        self.workers = workers
        self.nodes = [Node(number, self.store, folder, record) for number in range(1, num_nodes + 1)]
        self._running: list[asyncio.Future[None]] = []

    async def start(self, config: dict[str, Any]) -> None:
        """Start all and wait until the nodes are ready."""
        await self.store.server.start()
        for number, worker in enumerate(self.workers):
            await worker.server.start()
            worker.publish = partial(self._publish, worker, f"zone-{1 + number % 3}")
            worker.publish()
        self.store.put(WIRE["topics"]["operator"], "config", config)
        self._running = [asyncio.ensure_future(node.run()) for node in self.nodes]
        for node in self.nodes:
            await node.wait_ready()

    def _publish(self, worker: Worker, zone: str) -> None:
        self.store.put(WIRE["topics"]["workers"], worker.worker_id, worker.entry(zone))

    async def stop_all(self) -> None:
        """End all processes."""
        for node in self.nodes:
            node.kill()
        await asyncio.gather(*self._running, return_exceptions=True)

    def num_begun(self, request_id: str) -> int:
        """Return how often workers have begun to run a request."""
        return sum(worker.begun[request_id] for worker in self.workers)


# A case


def run_case(folder: Path, case: Callable[[Path, Record], Awaitable[bool]], limit_s: float) -> int:
    """Run a case in a temporary folder and return the exit status.

    Args:
        folder: folder of the case, in which the record is written.
        case: returns whether the rule held.
        limit_s: longest duration.
    """
    record = Record(folder)
    work = Path(tempfile.mkdtemp(prefix="review-"))

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(work, record)

    # A SIGTERM ends the case, and with it all that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        if not START.exists():
            raise CannotRunError("target/deps is missing: run deploy/build.sh")
        has_held = asyncio.run(limited())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add("case", f"could not run: {type(error).__name__} {error}")
        status = CANNOT_RUN
    else:
        status = HELD if has_held else BROKEN
    record.add("case", {HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "no result"))
    shutil.rmtree(work, ignore_errors=True)
    print(record.write())
    return status
