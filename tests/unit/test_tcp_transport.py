"""The production transport over loopback."""

import socket
from collections.abc import Awaitable, Callable

import anyio
import pytest

from worksramp.outcomes import InterruptedStepError, NotStartedError
from worksramp.transport.tcp import MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, TcpTransport

HOST = "127.0.0.1"


def free_address() -> str:
    with socket.socket() as item:
        item.bind((HOST, 0))
        return f"{HOST}:{item.getsockname()[1]}"


class Peer:
    """A transport that records datagrams and answers calls with their payload reversed."""

    def __init__(self) -> None:
        self.transport = TcpTransport(free_address())
        self.datagrams: list[bytes] = []
        self.is_silent = False

    async def take(self, payload: bytes) -> None:
        self.datagrams.append(payload)

    async def answer(self, payload: bytes) -> bytes:
        if self.is_silent:
            await anyio.sleep_forever()
        return payload[::-1]


def run_pair(check: Callable[[Peer, Peer], Awaitable[None]]) -> None:
    async def main() -> None:
        one, two = Peer(), Peer()
        async with anyio.create_task_group() as group:
            for peer in (one, two):
                group.start_soon(peer.transport.serve, peer.take, peer.answer)
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


def test_many_tasks_send_datagrams_at_once() -> None:
    async def check(one: Peer, two: Peer) -> None:
        async with anyio.create_task_group() as group:
            for number in range(200):
                payload = number.to_bytes(2, "big") * (MAX_DATAGRAM_BYTES // 2)
                group.start_soon(one.transport.send, two.transport.address, payload)
        while not two.datagrams:
            await anyio.sleep(0.01)

    run_pair(check)


def test_answers_find_their_calls() -> None:
    async def check(one: Peer, two: Peer) -> None:
        async def call(number: int) -> None:
            payload = b"%d" % number
            assert await one.transport.call(two.transport.address, payload, 5.0) == payload[::-1]

        async with anyio.create_task_group() as group:
            for number in range(100):
                group.start_soon(call, number)

    run_pair(check)


def test_a_malformed_frame_closes_its_own_connection_alone() -> None:
    async def check(one: Peer, two: Peer) -> None:
        host, _, port = two.transport.address.rpartition(":")
        for garbage in (b"\x00\x00\x00\x02\xc1\xc1", (MAX_FRAME_BYTES + 1).to_bytes(4, "big")):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(garbage)
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
        assert await one.transport.call(two.transport.address, b"ab", 5.0) == b"ba"

    run_pair(check)


def test_a_peer_that_is_not_there_has_not_started() -> None:
    async def check(one: Peer, two: Peer) -> None:
        with pytest.raises(NotStartedError):
            await one.transport.call(free_address(), b"ab", 5.0)

    run_pair(check)


def test_a_silent_peer_may_have_started() -> None:
    async def check(one: Peer, two: Peer) -> None:
        two.is_silent = True
        with pytest.raises(InterruptedStepError):
            await one.transport.call(two.transport.address, b"ab", 0.05)

    run_pair(check)
