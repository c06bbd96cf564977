"""The production transport, over the loopback interface."""

import socket
from collections.abc import Awaitable, Callable

import anyio
import pytest

from worksramp.outcomes import InterruptedStepError, NotStartedError
from worksramp.transport.tcp import MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, TcpTransport

HOST = "127.0.0.1"


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


class Peer:
    """A transport that records datagrams and replies to calls with the payload reversed.

    While `is_hanging` is set, calls get no reply.
    """

    def __init__(self) -> None:
        self.transport = TcpTransport(free_address())
        self.datagrams: list[bytes] = []
        self.is_hanging = False

    async def record_datagram(self, payload: bytes) -> None:
        self.datagrams.append(payload)

    async def reverse(self, payload: bytes) -> bytes:
        if self.is_hanging:
            await anyio.sleep_forever()
        return payload[::-1]


def run_pair(check: Callable[[Peer, Peer], Awaitable[None]]) -> None:
    async def main() -> None:
        one, two = Peer(), Peer()
        async with anyio.create_task_group() as group:
            for peer in (one, two):
                group.start_soon(peer.transport.serve, peer.record_datagram, peer.reverse)
            with anyio.fail_after(20):
                while True:
                    try:
                        await one.transport.call(two.transport.address, b"x", 1.0)
                        await two.transport.call(one.transport.address, b"x", 1.0)
                        break
                    except NotStartedError:
                        await anyio.sleep(0.01)
                await check(one, two)
            group.cancel_scope.cancel()

    anyio.run(main)


def test_tasks_can_send_datagrams_concurrently() -> None:
    async def check(one: Peer, two: Peer) -> None:
        async with anyio.create_task_group() as group:
            for number in range(200):
                payload = number.to_bytes(2, "big") * (MAX_DATAGRAM_BYTES // 2)
                group.start_soon(one.transport.send, two.transport.address, payload)
        while not two.datagrams:
            await anyio.sleep(0.01)

    run_pair(check)


def test_concurrent_calls_get_their_own_replies() -> None:
    async def check(one: Peer, two: Peer) -> None:
        async def call(number: int) -> None:
            payload = b"%d" % number
            assert await one.transport.call(two.transport.address, payload, 5.0) == payload[::-1]

        async with anyio.create_task_group() as group:
            for number in range(100):
                group.start_soon(call, number)

    run_pair(check)


def test_malformed_frame_closes_only_its_connection() -> None:
    async def check(one: Peer, two: Peer) -> None:
        host, _, port = two.transport.address.rpartition(":")
        for garbage in (b"\x00\x00\x00\x02\xc1\xc1", (MAX_FRAME_BYTES + 1).to_bytes(4, "big")):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(garbage)
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
        assert await one.transport.call(two.transport.address, b"ab", 5.0) == b"ba"

    run_pair(check)


def test_call_to_absent_peer_is_not_started() -> None:
    async def check(one: Peer, two: Peer) -> None:
        with pytest.raises(NotStartedError):
            await one.transport.call(free_address(), b"ab", 5.0)

    run_pair(check)


def test_call_without_reply_may_have_started() -> None:
    async def check(one: Peer, two: Peer) -> None:
        two.is_hanging = True
        with pytest.raises(InterruptedStepError):
            await one.transport.call(two.transport.address, b"ab", 0.05)

    run_pair(check)
