"""Node-to-node transport over UDP datagrams and multiplexed TCP connections.

A frame is a length of four bytes, followed by a `Frame` encoded as msgpack. A malformed frame is counted, and
closes only its own connection.
"""

import struct
from dataclasses import dataclass, field

import anyio
import anyio.abc
import msgspec
from anyio.streams.buffered import BufferedByteReceiveStream
from prometheus_client import Counter

from worksramp.outcomes import InterruptedStepError, NotStartedError
from worksramp.transport.base import CallHandler, DatagramHandler, Transport

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_DATAGRAM_BYTES = 1400
LENGTH_FORMAT = struct.Struct("!I")
STEP = "transport.call"

MALFORMED_FRAMES = Counter("worksramp_malformed_frames_total", "Frames that closed their connection")
SENT_BYTES = Counter("worksramp_transport_sent_bytes_total", "Bytes sent to other nodes", ["kind"])


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One request or reply on a connection.

    Attributes:
        call_id: number of the call on its connection; a reply has the number of its request.
    """

    call_id: int
    is_reply: bool
    payload: bytes


@dataclass(slots=True)
class _PendingCall:
    """A call whose reply has not been received yet.

    Attributes:
        done: set when the reply is received or the connection breaks.
        payload: payload of the reply, None if none was received.
    """

    done: anyio.Event = field(default_factory=anyio.Event)
    payload: bytes | None = None


class _Connection:
    """Client side of one connection, shared by all calls to a peer."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self.stream = stream
        self.is_broken = False
        self.pending_calls: dict[int, _PendingCall] = {}
        self._lock = anyio.Lock()
        self._next_id = 0

    def add_call(self) -> tuple[int, _PendingCall]:
        self._next_id += 1
        pending = _PendingCall()
        self.pending_calls[self._next_id] = pending
        return self._next_id, pending

    async def send(self, frame: Frame) -> None:
        await _send_frame(self.stream, self._lock, frame)

    def mark_broken(self) -> None:
        self.is_broken = True
        for pending in self.pending_calls.values():
            pending.done.set()


class TcpTransport(Transport):
    """Production transport; `serve` must be running when calls are made or datagrams are sent."""

    def __init__(self, address: str) -> None:
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._udp: anyio.abc.UDPSocket | None = None
        self._udp_lock = anyio.Lock()
        self._group: anyio.abc.TaskGroup | None = None
        self._connections: dict[str, _Connection] = {}
        self._connect_locks: dict[str, anyio.Lock] = {}

    async def send(self, address: str, payload: bytes) -> None:
        """See `Transport.send`."""
        if self._udp is None or len(payload) > MAX_DATAGRAM_BYTES:
            return
        host, _, port = address.rpartition(":")
        SENT_BYTES.labels("datagram").inc(len(payload))
        try:
            # anyio raises an error if a second task sends while one waits for the socket.
            async with self._udp_lock:
                await self._udp.sendto(payload, host, int(port))
        except OSError:
            # Datagrams are best effort; the membership protocol detects nodes that do not respond.
            return

    async def call(self, address: str, payload: bytes, timeout_seconds: float) -> bytes:
        """See `Transport.call`."""
        connection = await self._connect(address)
        call_id, pending = connection.add_call()
        try:
            with anyio.fail_after(timeout_seconds):
                await connection.send(Frame(call_id, is_reply=False, payload=payload))
                await pending.done.wait()
        except TimeoutError as error:
            raise InterruptedStepError(STEP, address, f"no reply in {timeout_seconds:.1f} s") from error
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            connection.mark_broken()
            raise InterruptedStepError(STEP, address, f"connection broke: {error!r}") from error
        finally:
            connection.pending_calls.pop(call_id, None)
        if pending.payload is None:
            raise InterruptedStepError(STEP, address, "connection broke before the reply")
        return pending.payload

    async def serve(self, on_datagram: DatagramHandler, on_call: CallHandler) -> None:
        """See `Transport.serve`."""
        listener = await anyio.create_tcp_listener(local_host=self._host, local_port=self._port)
        async with (
            await anyio.create_udp_socket(local_host=self._host, local_port=self._port) as udp,
            anyio.create_task_group() as group,
        ):
            self._udp = udp
            self._group = group
            group.start_soon(self._serve_datagrams, udp, on_datagram)

            async def handle(stream: anyio.abc.SocketStream) -> None:
                await self._serve_connection(stream, on_call)

            await listener.serve(handle)

    async def _serve_datagrams(self, udp: anyio.abc.UDPSocket, on_datagram: DatagramHandler) -> None:
        async for payload, _ in udp:
            await on_datagram(payload)

    async def _serve_connection(self, stream: anyio.abc.SocketStream, on_call: CallHandler) -> None:
        lock = anyio.Lock()

        async def respond(frame: Frame) -> None:
            reply = await on_call(frame.payload)
            try:
                await _send_frame(stream, lock, Frame(frame.call_id, is_reply=True, payload=reply))
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                # The caller is gone. It repeats the request, or has already got the outcome 'unknown'.
                return

        async with stream, anyio.create_task_group() as group:
            buffered = BufferedByteReceiveStream(stream)
            while True:
                frame = await _receive_frame(buffered)
                if frame is None or frame.is_reply:
                    group.cancel_scope.cancel()
                    return
                group.start_soon(respond, frame)

    async def _connect(self, address: str) -> _Connection:
        lock = self._connect_locks.setdefault(address, anyio.Lock())
        async with lock:
            connection = self._connections.get(address)
            if connection is not None and not connection.is_broken:
                return connection
            if self._group is None:
                raise NotStartedError(STEP, address, "this node is not serving yet")
            host, _, port = address.rpartition(":")
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    stream = await anyio.connect_tcp(host, int(port))
            except (OSError, TimeoutError) as error:
                raise NotStartedError(STEP, address, f"cannot connect: {error!r}") from error
            connection = _Connection(stream)
            self._connections[address] = connection
            self._group.start_soon(self._read_replies, connection)
            return connection

    async def _read_replies(self, connection: _Connection) -> None:
        buffered = BufferedByteReceiveStream(connection.stream)
        try:
            while True:
                frame = await _receive_frame(buffered)
                if frame is None:
                    return
                pending = connection.pending_calls.get(frame.call_id)
                if pending is not None:
                    pending.payload = frame.payload
                    pending.done.set()
        finally:
            connection.mark_broken()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(connection.stream)


async def _send_frame(stream: anyio.abc.ByteStream, lock: anyio.Lock, frame: Frame) -> None:
    encoded = msgspec.msgpack.encode(frame)
    SENT_BYTES.labels("call").inc(len(encoded) + LENGTH_FORMAT.size)
    async with lock:
        # A frame truncated by a cancellation would corrupt every later frame on the connection.
        with anyio.CancelScope(shield=True):
            await stream.send(LENGTH_FORMAT.pack(len(encoded)) + encoded)


async def _receive_frame(buffered: BufferedByteReceiveStream) -> Frame | None:
    """Return the next frame, or None if the connection ended or the frame is malformed."""
    try:
        (length,) = LENGTH_FORMAT.unpack(await buffered.receive_exactly(LENGTH_FORMAT.size))
        if length > MAX_FRAME_BYTES:
            MALFORMED_FRAMES.inc()
            return None
        encoded = await buffered.receive_exactly(length)
        return msgspec.msgpack.decode(encoded, type=Frame)
    except msgspec.DecodeError:
        MALFORMED_FRAMES.inc()
        return None
    except (OSError, anyio.IncompleteRead, anyio.EndOfStream, anyio.BrokenResourceError):
        return None
    except anyio.ClosedResourceError:
        return None
