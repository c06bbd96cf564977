"""Odd answers and cancelled calls on connections to workers: nothing of them reaches another call."""

from contextlib import AsyncExitStack
from dataclasses import replace

import anyio
import anyio.abc
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.test_answer_reader import answer, chunked, read
from tests.unit.test_answer_reader import call as reader_call
from tests.unit.test_connection_pool import LIMITS, FakeStream, FakeWorker, ask, call, pool_of
from worksramp.connections.answers import AnswerError, AnswerReader, SurplusAnswer
from worksramp.connections.pool import ConnectionPool, PoolCounters

ODD_SURPLUSES = {
    "no_content": answer(b"a", status=204),
    "not_modified": b"HTTP/1.1 304 X\r\nx-id: a\r\n\r\n",
    "not_modified_with_length": b"HTTP/1.1 304 X\r\nx-id: a\r\ncontent-length: 9\r\n\r\n",
    "equal_lengths": answer(b"a", b"xyz", more=b"content-length: 3\r\n"),
    "length_and_chunks": chunked(b"a", b"xyz").replace(b"x-id", b"content-length: 70\r\nx-id"),
    "equal_ids": answer(b"a", b"xyz", more=b"X-ID: a\r\n"),
    "spaces": answer(b"  a \t", b"xyz"),
    "interim": b"HTTP/1.1 103 X\r\nx-id: own\r\n\r\n" + answer(b"a", b"xyz"),
    "trailers": chunked(b"a", b"x")[:-2] + b"x-id: own\r\n\r\n",
    "chunk_extension": chunked(b"a", b"x").replace(b"1\r\n", b"1;x-id=own\r\n", 1),
}
ODD_ENDS = {
    "unequal_lengths": answer(b"a", b"xyz", more=b"content-length: 4\r\n"),
    "other_coding": answer(b"a", b"xyz", more=b"transfer-encoding: gzip, chunked\r\n"),
    "signed_length": answer(b"a").replace(b"length: 0", b"length: +0"),
    "no_content_with_body": answer(b"a", status=204).replace(b"length: 0", b"length: 3") + b"xyz",
    "switch": b"HTTP/1.1 101 X\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    "old_without_length": b"HTTP/1.0 200 X\r\nx-id: a\r\n\r\n",
    "folded_id": b"HTTP/1.1 200 X\r\nx-id: a\r\n b\r\n\r\n",
    "two_ids": answer(b"a", more=b"x-id: own\r\n"),
    "next_line": b"\r\n",
}


@pytest.mark.parametrize("name", ODD_SURPLUSES)
def test_an_odd_surplus_is_skipped_whole(name: str) -> None:
    # A surplus that is cut at another place than its worker meant lets its body be read as an answer.
    reader = AnswerReader(b"x-id")
    reader.begin(reader_call(b"own"))
    status, body, surplus = read(reader, [ODD_SURPLUSES[name] + answer(b"own", b"mine")])
    assert (status, body) == (200, b"mine")
    assert [each.call_id for each in surplus] == [b"a"]
    assert isinstance(surplus[0], SurplusAnswer)


@pytest.mark.parametrize("name", ODD_ENDS)
def test_nothing_is_read_behind_an_answer_whose_end_is_not_certain(name: str) -> None:
    # Two lengths, other codings or a switch leave open where the next answer begins.
    reader = AnswerReader(b"x-id")
    reader.begin(reader_call(b"own"))
    with pytest.raises(AnswerError):
        read(reader, [ODD_ENDS[name] + answer(b"own", b"mine")])


def test_an_answer_of_an_old_protocol_is_the_last_of_its_connection() -> None:
    # Its worker closes the connection behind it, so a call sent there would be lost.
    reader = AnswerReader(b"x-id")
    reader.begin(reader_call(b"own"))
    assert read(reader, [answer(b"own", b"mine").replace(b"HTTP/1.1", b"HTTP/1.0")])[:2] == (200, b"mine")
    assert not reader.may_carry_another


def test_the_rest_of_an_answer_that_is_not_wanted_reaches_no_other_call() -> None:
    # A call that leaves its answer unread must not leave a part of it for the next call.
    worker = LateBodyWorker()

    async def main() -> list[str]:
        pool = pool_of(worker)
        labels = []
        for name in (b"a", b"b"):
            async with pool.call(call(name)) as answered:
                labels.append(answered.connection)
        return labels

    assert anyio.run(main) == ["1/1", "2/1"]
    assert worker.num_open == 0


class LateBodyWorker(FakeWorker):
    """Sends the body of each answer in a second piece, which looks like an answer."""

    async def connect(self, address: str) -> anyio.abc.ByteStream:
        await super().connect(address)
        return LateBodyStream(self)


class LateBodyStream(FakeStream):
    async def send(self, item: bytes) -> None:
        name = item.partition(b"x-id: ")[2].partition(b"\r\n")[0]
        body = answer(b"b", status=503)
        head = b"HTTP/1.1 200 OK\r\nx-id: " + name + b"\r\ncontent-length: %d\r\n\r\n" % len(body)
        self._answers += [head, body]


class RestlessWorker(FakeWorker):
    """Answers each call after one turn of the event loop; tells which ids each connection has carried."""

    def __init__(self) -> None:
        super().__init__()
        self.ids: list[list[bytes]] = []

    async def connect(self, address: str) -> anyio.abc.ByteStream:
        await anyio.sleep(0)
        await super().connect(address)
        self.ids.append([])
        return RestlessStream(self, self.ids[-1])


class RestlessStream(FakeStream):
    def __init__(self, worker: FakeWorker, ids: list[bytes]) -> None:
        super().__init__(worker)
        self._ids = ids

    async def send(self, item: bytes) -> None:
        self._ids.append(item.partition(b"x-id: ")[2].partition(b"\r\n")[0])
        await super().send(item)
        await anyio.sleep(0)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        await anyio.sleep(0)
        return await super().receive(max_bytes)


@settings(max_examples=60, deadline=None)
@given(calls=st.lists(st.tuples(st.sampled_from(b"abcd"), st.integers(0, 9)), min_size=1, max_size=30))
def test_cancelled_calls_leave_all_slots_and_no_id_goes_twice_over_a_connection(
    calls: list[tuple[int, int]],
) -> None:
    # A call may be cancelled while it waits, connects, sends or reads.
    worker = RestlessWorker()

    async def ask_for(pool: ConnectionPool, name: bytes, num_turns: int) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(ask, pool, name)
            for _ in range(num_turns):
                await anyio.sleep(0)
            group.cancel_scope.cancel()

    async def main() -> None:
        limits = replace(LIMITS, connect_timeout_s=5.0)
        pool = ConnectionPool("127.0.0.1:1", b"x-id", limits, PoolCounters(), worker.connect)
        async with anyio.create_task_group() as group:
            for number, num_turns in calls:
                group.start_soon(ask_for, pool, bytes([number]), num_turns)
        async with AsyncExitStack() as stack:
            for number in range(LIMITS.max_connections):
                await stack.enter_async_context(pool.call(call(b"last-%d" % number)))
        await pool.aclose()

    anyio.run(main)
    assert worker.num_open == 0
    assert worker.max_open <= LIMITS.max_connections
    assert all(len(set(ids)) == len(ids) for ids in worker.ids)
