"""Bounds the bytes of answers that callers do not read."""

from dataclasses import dataclass, field

import anyio

from worksramp.serving.asgi import Message, Send
from worksramp.serving.request_memory import ByteBudget

#: Smaller bodies are taken by the kernel, whatever their callers read.
COUNTED_B = 16 * 1024
#: The server copies what the caller does not take at once.
PART_B = 64 * 1024
#: A caller that has read nothing for so long makes room for the answers of others.
MIN_STALL_S = 0.5
#: A caller that reads nothing for so long has left, or is never going to read.
MAX_STALL_S = 10.0


class AnswerUnreadError(Exception):
    """An answer was broken off because its caller did not read it."""


@dataclass(eq=False, slots=True)
class _Sending:
    """A body that is being sent.

    Attributes:
        stalled_since: when the caller last took a part of it.
        scope: ends the wait for the caller.
    """

    size_b: int
    stalled_since: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(slots=True)
class UnreadAnswers:
    """Bytes of all answers that are being sent.

    Attributes:
        budget: bytes of these answers. Where they are too many, those are broken off whose callers have read
            nothing for longest; callers that read lose nothing.
        num_cut: answers that were broken off.
    """

    budget: ByteBudget
    num_cut: int = 0
    _sendings: set[_Sending] = field(default_factory=set)

    def limit(self, send: Send) -> Send:
        """Return a function that sends the messages of one response, and counts large bodies.

        It raises `AnswerUnreadError` if the response is broken off. The rest of it must not be sent then, so
        that the caller sees that it is incomplete.
        """

        async def send_counted(message: Message) -> None:
            if len(message.get("body", b"")) <= COUNTED_B:
                await send(message)
            else:
                await self._send_body(send, message)

        return send_counted

    async def _send_body(self, send: Send, message: Message) -> None:
        body: bytes = message["body"]
        self._make_room(len(body))
        sending = _Sending(len(body), anyio.current_time())
        self._sendings.add(sending)
        self.budget.use(sending.size_b)
        try:
            with sending.scope:
                for start in range(0, len(body), PART_B):
                    sending.stalled_since = anyio.current_time()
                    sending.scope.deadline = sending.stalled_since + MAX_STALL_S
                    end = start + PART_B
                    has_more = end < len(body) or message.get("more_body", False)
                    await send({**message, "body": body[start:end], "more_body": has_more})
        finally:
            self._sendings.discard(sending)
            self.budget.give_up(sending.size_b)
        if sending.scope.cancelled_caught:
            self.num_cut += 1
            stalled_s = anyio.current_time() - sending.stalled_since
            raise AnswerUnreadError(f"{sending.size_b} bytes, nothing read for {stalled_s:.1f} s")

    def _make_room(self, size_b: int) -> None:
        """Break off answers that are not being read, as far as another one needs their room."""
        if self.budget.has_room(size_b):
            return
        missing_b = self.budget.used_b + size_b - self.budget.max_b
        latest = anyio.current_time() - MIN_STALL_S
        for sending in sorted(self._sendings, key=lambda each: each.stalled_since):
            if missing_b <= 0 or sending.stalled_since > latest:
                return
            missing_b -= sending.size_b
            sending.scope.cancel()
