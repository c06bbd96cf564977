"""The store's client at a store that sends more after a whole answer, which counts for no other call."""

import struct
from collections.abc import Awaitable, Callable, Sequence

import anyio
import anyio.abc
from worksramp_platform.store import StoreLog, encode_records

from worksramp.coordination.shared_log import (
    AppendOutcome,
    ConditionFailed,
    KeyedRecord,
    LogLimits,
    LogUnavailableError,
    OutcomeOpen,
    Partition,
    RecordsRead,
    StoredRecord,
)

PARTITION = Partition("keyed.things", 0)
Calls = Callable[[StoreLog], Awaitable[Sequence[object]]]
RECORDS = (KeyedRecord("a", b"1"),)


def encode(status: int, body: bytes) -> bytes:
    return b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)


class StutteringStore:
    """Gives the answers of a list, each twice in one write."""

    def __init__(self, answers: list[bytes]) -> None:
        self._answers = list(answers)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection to its end."""
        async with stream:
            try:
                while True:
                    await stream.receive()
                    await stream.send(self._answers.pop(0) * 2)
            except (anyio.EndOfStream, anyio.BrokenResourceError, IndexError):
                pass


async def two_appends(log: StoreLog) -> list[AppendOutcome]:
    return [await log.append(PARTITION, RECORDS, expected_end=end) for end in (4, 5)]


async def two_reads(log: StoreLog) -> list[object]:
    answers: list[object] = [await log.read(PARTITION, 4, 0.0)]
    try:
        answers.append(await log.read(PARTITION, 5, 0.0))
    except LogUnavailableError:
        # The reader reads again, on another connection.
        answers.append(None)
    return answers


def play(answers: list[bytes], calls: Calls) -> list[object]:
    async def main() -> list[object]:
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, StutteringStore(answers).serve)
                result = await calls(StoreLog(f"127.0.0.1:{port}", LogLimits()))
                group.cancel_scope.cancel()
        return list(result)

    return anyio.run(main)


def test_an_append_is_not_told_by_the_answer_to_another() -> None:
    # Bytes behind a whole answer stay in the parser and were read as the answer to the next append.
    answers = [encode(200, b'{"offset":4,"end":5}'), encode(412, b'{"end":9}')]
    outcome = play(answers, two_appends)[1]
    assert outcome == ConditionFailed(9) or isinstance(outcome, OutcomeOpen), outcome


def test_a_read_is_not_given_the_records_of_another() -> None:
    # The records of another read would be taken for those at this read's offsets.
    head = struct.pack(">QQ", 6, 0)
    answers = [encode(200, head + encode_records([KeyedRecord("a", value)])) for value in (b"4", b"5")]
    assert play(answers, two_reads)[1] in (None, RecordsRead((StoredRecord(5, "a", b"5"),), 6))
