"""Answers that callers do not read, which stayed in a node's memory for as long as the callers stayed."""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import pytest

from worksramp.serving.asgi import Message, Response, Send, send_response, send_stream
from worksramp.serving.request_memory import ByteBudget
from worksramp.serving.unread_answers import PART_B, AnswerUnreadError, UnreadAnswers
from worksramp_emulator.simulation.clock import run_simulated

BODY_B = 1_000_000


class Reader:
    """A caller that takes parts of an answer until it stalls.

    Attributes:
        received: bytes that it has taken.
        is_complete: whether the answer ended with its last message.
        is_cut: whether the answer was broken off.
    """

    def __init__(self, pause_s: float, stalls_after: int = 10**9) -> None:
        self.pause_s = pause_s
        self.stalls_after = stalls_after
        self.received = b""
        self.is_complete = self.is_cut = False

    async def send(self, message: Message) -> None:
        if message["type"] != "http.response.body":
            return
        if len(self.received) >= self.stalls_after:
            await anyio.sleep_forever()
        await anyio.sleep(self.pause_s)
        self.received += message["body"]
        self.is_complete = not message["more_body"]


async def respond(send: Send, body: bytes) -> None:
    await send_response(send, Response(200, [], body))


async def stream(send: Send, body: bytes) -> None:
    async def chunks() -> AsyncIterator[bytes]:
        yield body

    await send_stream(send, 200, [], chunks())


async def answer(
    unread: UnreadAnswers, reader: Reader, work: Callable[[Send, bytes], Awaitable[None]]
) -> None:
    try:
        await work(unread.limit(reader.send), bytes(BODY_B))
    except AnswerUnreadError:
        reader.is_cut = True


@pytest.mark.parametrize("work", [respond, stream])
def test_unread_answers_are_cut_for_those_of_callers_that_read(
    work: Callable[[Send, bytes], Awaitable[None]],
) -> None:
    async def main() -> None:
        unread = UnreadAnswers(ByteBudget(5 * BODY_B))
        stalled = [Reader(0.01, stalls_after=2 * PART_B) for _ in range(40)]
        reading = [Reader(0.4) for _ in range(4)]
        async with anyio.create_task_group() as group:
            for reader in reading:
                group.start_soon(answer, unread, reader, work)
            for number, reader in enumerate(stalled):
                group.start_soon(answer, unread, reader, work)
                await anyio.sleep(0.15)
                # Up to three answers a node takes up in the time for which none may be cut.
                assert number < 10 or unread.budget.used_b <= unread.budget.max_b + 4 * BODY_B
            await anyio.sleep(0.45 * BODY_B / PART_B)
            assert all(reader.is_complete and len(reader.received) == BODY_B for reader in reading)
            assert not any(reader.is_complete for reader in stalled)
            # Those that stalled first were cut first.
            cut = [reader.is_cut for reader in stalled]
            assert sum(cut) >= 30 and cut == sorted(cut, reverse=True)
            group.cancel_scope.cancel()
        assert unread.budget.used_b == 0

    run_simulated(main, 1)


def test_an_answer_that_is_never_read_ends() -> None:
    async def main() -> None:
        unread = UnreadAnswers(ByteBudget(10 * BODY_B))
        reader, slow = Reader(0.0, stalls_after=0), Reader(5.0)
        began = anyio.current_time()
        with anyio.fail_after(30):
            await answer(unread, reader, respond)
        assert reader.is_cut and not reader.is_complete
        assert 5 < anyio.current_time() - began < 15
        await answer(unread, slow, respond)
        assert slow.is_complete and unread.num_cut == 1 and unread.budget.used_b == 0

    run_simulated(main, 1)


def test_small_answers_are_sent_as_they_are() -> None:
    async def main() -> None:
        unread = UnreadAnswers(ByteBudget(1))
        messages: list[Message] = []

        async def send(message: Message) -> None:
            messages.append(message)

        await send_response(unread.limit(send), Response(200, [], b"abc"))
        assert [message.get("body") for message in messages] == [None, b"abc"]

    run_simulated(main, 1)
