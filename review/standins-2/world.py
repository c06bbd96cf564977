"""Stand-ins for the platform's store, the workers and the clients, and the start of real nodes.

They follow the users' protocol page and need only the standard library. All addresses are on loopback.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
#: Names of the users' protocol, which stand in no source beside the adapter's.
WIRE = json.loads((Path(__file__).parent / "wire.json").read_text(encoding="utf-8"))
HEADERS, PATHS, TOPICS = WIRE["headers"], WIRE["paths"], WIRE["topics"]
STORE_CALLS, FIELDS = WIRE["store_calls"], WIRE["fields"]
HOST = "127.0.0.1"
LOWEST_PORT, HIGHEST_PORT = 10_000, 30_000
PAGE_ITEMS, PAGE_BYTES = 500, 1024 * 1024
HEARTBEAT_S = 1.2
MODEL = "daka510000"
STREAM_TYPE = "text/event-stream"

Headers = dict[str, str]

_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port of the loopback address that nobody listens at.

    It lies below those that the system gives to outgoing connections, which could take it before its server.
    """
    while True:
        port = random.randint(LOWEST_PORT, HIGHEST_PORT)
        if port in _given_ports:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            _given_ports.add(port)
            return port


class Record:
    """What was sent, answered and run, one line each, in `record.txt` of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


# HTTP, as servers.


@dataclass
class Request:
    """One request as a server has read it."""

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query."""
        return {name: values[0] for name, values in parse_qs(self.target.partition("?")[2]).items()}


Handler = Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request with its whole body, or return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def answer(writer: asyncio.StreamWriter, status: int, headers: Headers, body: bytes = b"") -> None:
    """Write a whole answer."""
    fields = {**headers, "Content-Length": str(len(body))}
    head = f"HTTP/1.1 {status} -\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(head.encode() + b"\r\n" + body)


class Server:
    """HTTP server whose requests of one connection are handled one after the other."""

    def __init__(self, handler: Handler, port: int | None = None) -> None:
        self.port = port or free_port()
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """Address and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=2**26)

    def crash(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await read_request(reader)) is not None:
                await self._handler(request, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


# The platform's store.


@dataclass
class Part:
    """One partition."""

    first: int = 0
    records: list[tuple[float, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, tuple[int, int, list[tuple[int, bytes]]]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


def split_records(data: bytes) -> list[bytes]:
    """Return the records of an append without their lengths."""
    bodies: list[bytes] = []
    start = 0
    while start < len(data):
        (length,) = struct.unpack_from(">I", data, start)
        bodies.append(data[start + 4 : start + 4 + length])
        start += 4 + length
    return bodies


class Store:
    """The platform's store: a log whose records go after `history_s`; the newest of each key stay.

    Attributes:
        answer_s: seconds of each answer.
        history_s: age at which records go, `keepS` of the settings.
    """

    def __init__(self, answer_s: float = 0.004, history_s: float = 300.0) -> None:
        self.answer_s = answer_s
        self.history_s = history_s
        self.parts: dict[tuple[str, int], Part] = {}
        self.server = Server(self._handle)

    def part(self, topic: str, number: int = 0) -> Part:
        """Return a partition."""
        return self.parts.setdefault((topic, number), Part())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write one record, as the operator and the workers do."""
        raw = key.encode()
        self._append(self.part(topic), [bytes([len(raw)]) + raw + value])

    def forget(self) -> None:
        """Drop the history of all partitions; the newest record of each key stays."""
        for part in self.parts.values():
            part.first = part.end
            part.records.clear()

    async def run(self) -> None:
        """Drop old records until cancelled."""
        while True:
            await asyncio.sleep(0.25)
            oldest = time.monotonic() - self.history_s
            for part in self.parts.values():
                num_old = 0
                while num_old < len(part.records) and part.records[num_old][0] < oldest:
                    num_old += 1
                del part.records[:num_old]
                part.first += num_old

    def _append(self, part: Part, bodies: list[bytes]) -> int:
        offset = part.end
        for number, body in enumerate(bodies):
            part.records.append((time.monotonic(), body))
            key, value = body[1 : 1 + body[0]].decode(), body[1 + body[0] :]
            if value:
                part.newest[key] = (offset + number, value)
            else:
                part.newest.pop(key, None)
        part.changed.set()
        part.changed = asyncio.Event()
        return offset

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        await asyncio.sleep(self.answer_s)
        if request.path == STORE_CALLS["append"]:
            status, body = self._handle_append(part, query, request.body)
        elif request.path == STORE_CALLS["read"]:
            status, body = await self._handle_read(part, query)
        elif request.path == STORE_CALLS["newest"]:
            status, body = self._handle_newest(part, query)
        else:
            status, body = 404, b"{}"
        answer(writer, status, {}, body)

    def _handle_append(self, part: Part, query: dict[str, str], data: bytes) -> tuple[int, bytes]:
        bodies = split_records(data)
        if any(len(body) > 262_144 for body in bodies):
            return 413, b"{}"
        producer = query.get("producer")
        epoch, seq = int(query.get("epoch", "0")), int(query.get("seq", "0"))
        if producer is not None:
            seen_epoch, seen_seq, answers = part.producers.get(producer, (-1, -1, []))
            if epoch < seen_epoch:
                return 409, b'{"why":"fenced"}'
            if epoch == seen_epoch:
                for number, first_answer in answers:
                    if number == seq:
                        return 200, first_answer
                if seq != seen_seq + 1:
                    return 409, json.dumps({"why": "seq", "wanted": seen_seq + 1}).encode()
        if "at" in query and int(query["at"]) != part.end:
            return 412, json.dumps({"end": part.end}).encode()
        offset = self._append(part, bodies)
        body = json.dumps({"offset": offset, "end": part.end}).encode()
        if producer is not None:
            answers = [] if epoch > seen_epoch else answers
            part.producers[producer] = (epoch, seq, [*answers, (seq, body)][-5:])
        return 200, body

    async def _handle_read(self, part: Part, query: dict[str, str]) -> tuple[int, bytes]:
        start = int(query["from"])
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while part.end <= start and (left := ends_at - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(part.changed.wait(), left)
        if start < part.first:
            return 410, json.dumps({"first": part.first}).encode()
        most = int(query.get("max_kb", "1024")) * 1024
        parts = [struct.pack(">QQ", part.end, part.first)]
        size = 0
        for _, body in part.records[start - part.first :]:
            size += len(body) + 4
            if size > most and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(body)) + body)
        return 200, b"".join(parts)

    def _handle_newest(self, part: Part, query: dict[str, str]) -> tuple[int, bytes]:
        """Return a page: 500 records at most, and 1 MB of keys and values at most."""
        keys = sorted(key for key in part.newest if key > query.get(FIELDS["after"], ""))
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            offset, value = part.newest[key]
            size += len(key) + len(value)
            if items and (size > PAGE_BYTES or len(items) == PAGE_ITEMS):
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, json.dumps({"items": items, "more": len(items) < len(keys), "end": part.end}).encode()


# Workers.


@dataclass
class Run:
    """One request as a worker has begun it."""

    at: float
    worker: str
    method: str
    target: str
    attempt_id: str
    after: int


class Worker:
    """A worker of a service: runs requests, at most `slots` at once, and writes its entry into the store.

    Attributes:
        work_s: seconds of a request, or of each event of a generated text.
        born_ms: start that its entry states, None for none.
        num_events: events of a text.
        run_request: runs a request and writes its answer; a case may put one of its own here.
        runs: requests that it began.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        worker_id: str,
        service: str,
        *,
        slots: int = 6,
        work_s: float = 0.03,
        num_events: int = 16,
        is_engine: bool = False,
        born_ms: int | None = None,
    ) -> None:
        self.born_ms = born_ms
        self.record, self.store, self.worker_id, self.service = record, store, worker_id, service
        self.slots, self.work_s, self.num_events, self.is_engine = slots, work_s, num_events, is_engine
        self.version, self.seq, self.beat = 1, 0, 0
        self.busy_until = 0.0
        self.state = "ready"
        self.num_running = 0
        self.runs: list[Run] = []
        self.run_request = self._run
        self.server = Server(self._handle)

    async def run(self) -> None:
        """Listen, and write the entry until cancelled."""
        await self.server.start()
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self) -> None:
        """Write the entry as it is now."""
        self.beat += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.server.address,
            "zone": "z1",
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.beat,
        }
        if self.born_ms is not None:
            entry["born"] = self.born_ms
        if self.is_engine:
            entry["models"] = [{"name": MODEL, "version": self.version, "adapters": []}]
        self.store.put(TOPICS["workers"], self.worker_id, json.dumps(entry).encode())

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        named = {HEADERS["attempt_id"]: request.headers.get(HEADERS["attempt_id"].lower(), "")}
        if request.headers.get(HEADERS["expect_instance"].lower(), self.worker_id) != self.worker_id:
            answer(writer, 421, named)
        elif request.path == "/healthz":
            answer(writer, 200, {**named, HEADERS["instance_id"]: self.worker_id})
        elif request.path == "/api/report":
            answer(writer, 200, named, json.dumps(self._report()).encode())
        elif request.path == "/api/order":
            answer(writer, self._order(json.loads(request.body)), named)
        elif not named[HEADERS["attempt_id"]]:
            answer(writer, 400, {HEADERS["not_executed"]: "1"})
        elif self.num_running >= self.slots or time.monotonic() < self.busy_until:
            answer(writer, 503, {**named, HEADERS["not_executed"]: "1"})
        else:
            await self._run_watched(request, named, reader, writer)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": time.monotonic() < self.busy_until,
            "seq": self.seq,
            "queuedCount": 0,
            "runningCount": self.num_running,
            FIELDS["kv_used"]: 0,
            "kvTotal": 114_759,
            "handles": 0,
        }

    def _order(self, order: dict[str, Any]) -> int:
        self.record.add(f"order {self.worker_id} {json.dumps(order)}")
        if time.monotonic() < self.busy_until or order.get("expectedRev", self.seq) != self.seq:
            return 409
        if order["version"] == self.version:
            return 200
        self.version = order["version"]
        self.seq += 1
        self.busy_until = time.monotonic() + 0.9
        return 202

    async def _run_watched(
        self, request: Request, named: Headers, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, and drop it once its connection closes."""
        after = int(request.headers.get("last-event-id", "0"))
        attempt_id = named[HEADERS["attempt_id"]]
        run = Run(self.record.now(), self.worker_id, request.method, request.target, attempt_id, after)
        self.runs.append(run)
        self.record.add(
            f"begins {self.worker_id} {request.method} {request.target} {attempt_id} after {after}"
        )
        self.num_running += 1
        stamp = {
            **named,
            HEADERS["stamp"]: f"{self.worker_id}.{len(self.runs)}",
            HEADERS["load"]: f"{self.num_running},0,{self.slots}",
        }
        work = asyncio.ensure_future(self.run_request(request, run, stamp, writer))
        closed = asyncio.ensure_future(self._wait_closed(reader))
        outcome = "dropped"
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                work.result()
                outcome = "done"
        finally:
            self.num_running -= 1
            work.cancel()
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
            self.record.add(f"ends {self.worker_id} {attempt_id} {outcome}")
        if outcome == "dropped":
            raise ConnectionError

    @staticmethod
    async def _wait_closed(reader: asyncio.StreamReader) -> None:
        while not reader.at_eof():
            await asyncio.sleep(0.02)

    async def _run(self, request: Request, run: Run, stamp: Headers, writer: asyncio.StreamWriter) -> None:
        if not self.is_engine:
            await asyncio.sleep(self.work_s)
            answer(writer, 200, stamp, f"answer to {run.attempt_id}".encode())
            return
        fields = {
            **stamp,
            "Content-Type": STREAM_TYPE,
            "Transfer-Encoding": "chunked",
            HEADERS["versions"]: str(self.version),
        }
        head = "HTTP/1.1 200 -\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(head.encode() + b"\r\n")
        for number in range(run.after + 1, self.num_events + 1):
            await asyncio.sleep(self.work_s)
            event = f"id: {number}\ndata: {run.attempt_id} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# Clients.


@dataclass
class Reply:
    """Answer to a client; status 0 if the connection failed, broke or said nothing."""

    status: int
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    reason: str = ""


class Connection:
    """A client's connection to a node, kept for several requests."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(self._host, self._port, limit=2**26)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def call(
        self, method: str, target: str, headers: Headers, body: bytes = b"", timeout_s: float = 5.0
    ) -> Reply:
        """Send one request and read its whole answer."""
        try:
            return await asyncio.wait_for(self._call(method, target, headers, body), timeout_s)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.close()
            return Reply(0, reason=f"{type(error).__name__}: {error}")

    async def _call(self, method: str, target: str, headers: Headers, body: bytes) -> Reply:
        if self._writer is None:
            await self.open()
        reader, writer = self._reader, self._writer
        assert reader is not None and writer is not None
        fields = {**headers, **({"Content-Length": str(len(body))} if body or method == "POST" else {})}
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{key}: {fields[key]}\r\n" for key in fields)
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        got = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        return Reply(int(lines[0].split(" ")[1]), got, await self._read_body(reader, got))

    @staticmethod
    async def _read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        parts: list[bytes] = []
        while size := int(await reader.readuntil(b"\r\n"), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        return b"".join(parts)


async def call(
    address: str, method: str, target: str, headers: Headers, body: bytes = b"", timeout_s: float = 5.0
) -> Reply:
    """Send one request on a connection of its own."""
    connection = Connection(address)
    try:
        return await connection.call(method, target, headers, body, timeout_s)
    finally:
        connection.close()


# Nodes.


class Node:
    """A real node, started with the command of the deploy file."""

    def __init__(self, folder: Path, name: str, store: Store, more: str = "") -> None:
        self.name = name
        self.folder = folder
        self.address, self.ready = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
        self.metrics = f"{HOST}:{free_port()}"
        self.process: asyncio.subprocess.Process | None = None
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            f"""node_id = "{name}"
zone = "z1"
listen = "{self.address}"
ready_listen = "{self.ready}"
metrics_listen = "{self.metrics}"
[store]
address = "{store.server.address}"
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
{more}""",
            encoding="utf-8",
        )

    async def start(self) -> None:
        """Start the process; what it logs goes into a file of the temporary folder."""
        log = (self.folder / f"{self.name}.log").open("ab")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-S",
            "target/deps/start.py",
            cwd=ROOT,
            env={**kept, WIRE["settings_variable"]: str(self.settings)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask whether the node is ready, as the platform does."""
        return (await call(self.ready, "GET", PATHS["ready"], {"Host": "x"}, timeout_s=0.5)).status == 200

    async def figures(self) -> dict[str, float]:
        """Return the node's own figures."""
        reply = await call(self.metrics, "GET", "/metrics", {"Host": "x"}, timeout_s=1.0)
        found = {}
        for line in reply.body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            with contextlib.suppress(ValueError):
                found[name] = float(value)
        return found

    def log_lines(self, word: str) -> list[str]:
        """Return the lines of the log that hold a word."""
        text = (self.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if word in line]


class World:
    """The store, workers and nodes of one case."""

    def __init__(self, folder: Path, **store: float) -> None:
        self.record = Record(folder)
        self.store = Store(**store)
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._tasks: list[asyncio.Task[None]] = []

    def add_worker(self, worker_id: str, service: str, **fields: Any) -> Worker:
        """Add a worker that is started with the world."""
        worker = Worker(self.record, self.store, worker_id, service, **fields)
        self.workers.append(worker)
        return worker

    async def start(self, num_nodes: int, config: dict[str, Any], more: str = "") -> None:
        """Start everything, and wait until all nodes are ready."""
        await self.store.server.start()
        self._tasks.append(asyncio.ensure_future(self.store.run()))
        self.store.put(TOPICS["operator"], "config", json.dumps(config).encode())
        for worker in self.workers:
            self._tasks.append(asyncio.ensure_future(worker.run()))
        for number in range(num_nodes):
            node = Node(self.folder, f"node-{number + 1}", self.store, more)
            self.nodes.append(node)
            await node.start()
        for _ in range(150):
            if all([await node.is_ready() for node in self.nodes]):
                self.record.add("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        lines = [node.log_lines("")[-1:] for node in self.nodes]
        raise RuntimeError(f"nodes did not get ready: {lines}")

    async def owner(self) -> Node:
        """Return the node that holds the lease."""
        for _ in range(100):
            for node in self.nodes:
                if (await node.figures()).get("worksramp_lease_epoch", 0) > 0:
                    return node
            await asyncio.sleep(0.1)
        raise RuntimeError("no node holds the lease")

    async def end(self) -> None:
        """End all processes and tasks."""
        if keep := os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                text = (self.folder / f"{node.name}.log").read_bytes()
                (Path(keep) / f"{node.name}.log").write_bytes(text)
        for node in self.nodes:
            await node.kill()
        for task in self._tasks:
            task.cancel()
        self._temporary.cleanup()


class Platform:
    """Kills a process that goes over its memory, and starts it again after a short delay.

    Attributes:
        ends: how often each node was killed for its memory.
        most_mb: most memory of each node that was seen.
    """

    def __init__(self, world: World, memory_mb: int) -> None:
        self.ends: dict[str, int] = {node.name: 0 for node in world.nodes}
        self.most_mb: dict[str, int] = dict(self.ends)
        self._world = world
        self._memory_mb = memory_mb
        self._is_stopping = False
        self._tasks = [asyncio.ensure_future(self._watch(node)) for node in world.nodes]

    async def stop(self) -> None:
        """Watch no longer; return when no process is being started."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _watch(self, node: Node) -> None:
        while not self._is_stopping:
            await asyncio.sleep(0.02)
            size_mb = resident_mb(node)
            self.most_mb[node.name] = max(self.most_mb[node.name], size_mb)
            if size_mb > self._memory_mb:
                await node.kill()
                self.ends[node.name] += 1
                self._world.record.add(f"{node.name} is killed: {size_mb} MB of {self._memory_mb} MB")
                await asyncio.sleep(0.3)
                await node.start()


def resident_mb(node: Node) -> int:
    """Return the memory that a node's process takes, 0 if it has ended."""
    assert node.process is not None
    try:
        text = Path(f"/proc/{node.process.pid}/status").read_text(encoding="utf-8")
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) // 1024
    return 0


def config(routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int = 5) -> dict[str, Any]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 33_554_432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
    }


def engine_service(name: str, slots: int) -> dict[str, Any]:
    """Return a service of model workers."""
    return {
        "name": name,
        "maxConns": 150,
        "engine": {"slots": slots, FIELDS["kv_capacity"]: 114_759, "stride": 1, "models": [{"name": MODEL}]},
    }


def batch_route(service: str, host: str = "batch.example") -> dict[str, Any]:
    """Return a route of batch jobs."""
    return {
        "name": "drafts",
        "host": host,
        FIELDS["prefix"]: "/draft/",
        "type": "generation",
        "service": service,
        "sloMs": 400,
        FIELDS["target_ms"]: 7500,
        FIELDS["attempts"]: 3,
        "keepS": 40,
        "priority": 1,
    }


async def _run_to_end(case: Callable[[bool], Awaitable[bool]]) -> bool:
    """Run a case; SIGTERM cancels it, so that it ends what it has started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await case(os.environ.get("TROUBLE", "1") != "0")


def run_case(folder: Path, case: Callable[[bool], Awaitable[bool]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    try:
        is_broken = asyncio.run(_run_to_end(case))
    except (Exception, asyncio.CancelledError) as error:
        print(f"{folder.name}: could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print(f"{folder.name}: the rule {'was broken' if is_broken else 'held'}")
    sys.exit(int(is_broken))
