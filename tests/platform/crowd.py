"""Clients that keep to no limits: each sends what it is given, reads nothing and stays.

A client is settled once all its bytes have been taken or its connection has ended, so that a test needs no
clock to know when the node holds what it is going to hold.
"""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

#: A client's own buffer would otherwise take megabytes that never reach the node.
SEND_BUFFER_B = 16 * 1024
RECEIVE_BUFFER_B = 4 * 1024
#: State of a listener in the kernel's table of connections.
LISTEN = "0A"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Pieces = Callable[[int], Iterable[bytes]]


@dataclass(eq=False)
class CrowdClient:
    """One connection of a crowd.

    Attributes:
        is_ended: whether the node has ended the connection.
    """

    sock: socket.socket
    is_ended: bool = False

    async def send_all(self, pieces: Iterable[bytes]) -> None:
        """Send until all is taken or the connection has ended; the answer is not read."""
        loop = asyncio.get_running_loop()
        try:
            for piece in pieces:
                await loop.sock_sendall(self.sock, piece)
        except OSError:
            self.is_ended = True

    async def wait_ended(self) -> None:
        """Read until the node has ended the connection."""
        loop = asyncio.get_running_loop()
        try:
            while await loop.sock_recv(self.sock, 65_536):
                pass
        except OSError:
            pass
        self.is_ended = True

    def leave(self) -> None:
        """Reset the connection."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()


@dataclass
class Crowd:
    """Clients of one kind at one address.

    Args:
        address: ``ip:port`` of the node.
        pieces: what the client with a number sends, piece by piece.
    """

    address: str
    pieces: Pieces
    clients: list[CrowdClient] = field(default_factory=list)

    async def come(self, num_clients: int, is_in_turn: bool = False) -> None:
        """Connect so many clients more, and return when each of them is settled.

        Args:
            is_in_turn: whether each client waits until the one before is settled.
        """
        first = len(self.clients)
        if is_in_turn:
            for number in range(first, first + num_clients):
                await self._add(number)
        else:
            await asyncio.gather(*(self._add(number) for number in range(first, first + num_clients)))

    async def _add(self, number: int) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_B)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_B)
        sock.setblocking(False)
        client = CrowdClient(sock)
        self.clients.append(client)
        host, _, port = self.address.rpartition(":")
        try:
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        except OSError:
            client.is_ended = True
            return
        await client.send_all(self.pieces(number))

    def leave(self) -> None:
        """Reset all connections."""
        for client in self.clients:
            client.leave()
        self.clients.clear()


def head(host: str, number: int, fields: bytes, method: bytes = b"POST", path: bytes = b"/checks/") -> bytes:
    """Return the head of a request, with an id of its own."""
    request_id = f"crowd-{number}".encode()
    return (
        method + b" " + path + request_id + b" HTTP/1.1\r\nHost: " + host.encode()
        + b"\r\nX-Worksramp-Attempt-Id: " + request_id + b"\r\n" + fields + b"\r\n"
    )  # fmt: skip


def announced(host: str, body_b: int, sent_b: int, path: bytes = b"/checks/") -> Pieces:
    """Return clients that announce a body and send so many bytes of it."""

    def pieces(number: int) -> Iterator[bytes]:
        yield head(host, number, b"Content-Length: " + str(body_b).encode() + b"\r\n", path=path)
        yield from _parts(sent_b)

    return pieces


def chunked(host: str, sent_b: int, chunk_b: int = 8192) -> Pieces:
    """Return clients whose body comes in chunks and has no end."""

    def pieces(number: int) -> Iterator[bytes]:
        yield head(host, number, b"Transfer-Encoding: chunked\r\n")
        chunk = f"{chunk_b:x}\r\n".encode() + bytes(chunk_b) + b"\r\n"
        per_piece = max(1, 8192 // len(chunk))
        for _ in range(sent_b // (chunk_b * per_piece)):
            yield chunk * per_piece

    return pieces


def sent_ahead(host: str, body_b: int, num_requests: int, path: bytes = b"/checks/") -> Pieces:
    """Return clients that send whole requests one after the other."""

    def requests(number: int) -> Iterator[bytes]:
        for turn in range(num_requests):
            length = b"Content-Length: " + str(body_b).encode() + b"\r\n"
            yield head(host, number * num_requests + turn, length, path=path) + bytes(body_b)

    return lambda number: _joined(requests(number))


def questions(path: bytes, num_requests: int) -> Pieces:
    """Return clients that ask the same many times."""

    question = b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n\r\n"
    return lambda _: _joined(question for _ in range(num_requests))


def endless_heads(host: str, head_b: int) -> Pieces:
    """Return clients whose head does not end."""

    def pieces(number: int) -> Iterator[bytes]:
        yield head(host, number, b"X-Long: ")[:-2]
        for _ in range(head_b // 4096):
            yield b"a" * 4096

    return pieces


def silent(_: int) -> Iterable[bytes]:
    """Send nothing."""
    return ()


def _joined(pieces: Iterable[bytes]) -> Iterator[bytes]:
    """Join small pieces to such as are sent at once."""
    joined = b""
    for piece in pieces:
        joined += piece
        if len(joined) >= 8192:
            yield joined
            joined = b""
    yield joined


def _parts(size_b: int) -> Iterator[bytes]:
    while size_b > 0:
        part_b = min(size_b, 8192)
        yield bytes(part_b)
        size_b -= part_b


def peak_b(pid: int) -> int:
    """Return the most bytes of memory that a process has had."""
    return _status_value(pid, "VmHWM:") * 1024


def num_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def queued_b(*addresses: str) -> int:
    """Return the bytes in the kernel's buffers of all connections to listeners at these addresses."""
    return sum(entry.queued_b for entry in _connections_to(addresses))


def num_held(*addresses: str) -> int:
    """Return how many connections to listeners at these addresses a process holds."""
    return sum(entry.is_held for entry in _connections_to(addresses))


@dataclass(frozen=True)
class _Entry:
    """A connection in the kernel's table."""

    queued_b: int
    is_held: bool


def _connections_to(addresses: Iterable[str]) -> Iterator[_Entry]:
    ports = {int(address.rpartition(":")[2]) for address in addresses}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, _, _, _, _, inode, *_ = line.split()
        if int(local.rpartition(":")[2], 16) in ports and state != LISTEN:
            unsent, unread = queues.split(":")
            yield _Entry(int(unsent, 16) + int(unread, 16), inode != "0")


def _status_value(pid: int, name: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    # A process that has ended has no such line.
    return next((int(line.split()[1]) for line in lines if line.startswith(name)), 0)
