"""Bounds the bytes that a node holds of workers' answers until they are whole.

A faulty worker may send without an end. Each answer has a limit, and all answers of the node together have
one. Where the second is reached, the largest answer is dropped: the answers of other requests stay small, so
they are not the ones that are lost.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum

import anyio
import structlog

from worksramp.routing.worker_port import WorkerAnswer, WorkerAnswerBrokenError

MAX_ANSWER_B = 4 * 1024 * 1024
#: A node takes 40 MB without load and is to take 64 MB at most. The other two thirds of the difference are
#: for the buffers of connections, and for the copy that is made of an answer when it is whole.
MAX_HELD_B = 8 * 1024 * 1024
#: Chunks of an answer between two turns of other tasks. Those of one read from a connection are all there at
#: once, and may have two bytes each.
CHUNKS_PER_TURN = 32

logger = structlog.get_logger()


class HeldLimit(StrEnum):
    """Limit that an answer has exceeded."""

    ANSWER = "answer"
    TEXT = "text"
    NODE = "node"


class AnswerTooLargeError(WorkerAnswerBrokenError):
    """An answer was dropped because it exceeded a limit; its request may have run."""


def _ignore(_: HeldLimit) -> None:
    """Do nothing."""


@dataclass(frozen=True, slots=True)
class AnswerSource:
    """Where an answer comes from, for the logs."""

    worker_id: str
    request_id: str
    connection: str = ""


@dataclass(eq=False, slots=True)
class Holding:
    """Bytes held of one answer.

    Attributes:
        max_b: most bytes that may be held of it.
        discard: frees the bytes; called when the answer is dropped in favour of others.
        size_b: bytes held now.
        exceeded: limit for which the answer was dropped, None while it is kept.
        num_chunks: chunks received.
    """

    source: AnswerSource
    max_b: int
    discard: Callable[[], None]
    owner: "HeldBytes"
    size_b: int = 0
    exceeded: HeldLimit | None = None
    num_chunks: int = 0

    async def begin_chunk(self) -> None:
        """Check that the answer has not been dropped, and let other tasks run now and then.

        Raises:
            AnswerTooLargeError: it has.
        """
        self.num_chunks += 1
        if self.num_chunks % CHUNKS_PER_TURN == 0:
            await anyio.lowlevel.checkpoint()
        self.check()

    def check(self) -> None:
        """Check that the answer has not been dropped.

        Raises:
            AnswerTooLargeError: it has.
        """
        if self.exceeded is not None:
            raise AnswerTooLargeError(f"{self.source.worker_id}: answer over the limit ({self.exceeded})")

    def resize(self, size_b: int) -> None:
        """Set how many bytes are held.

        Raises:
            AnswerTooLargeError: the answer has been dropped.
        """
        self.check()
        self.owner.resize(self, size_b)
        self.check()

    def drop(self, limit: HeldLimit) -> None:
        """Drop the answer.

        Raises:
            AnswerTooLargeError: always.
        """
        self.owner.drop(self, limit)
        self.check()


@dataclass(slots=True)
class HeldBytes:
    """All bytes of answers that a node holds.

    Attributes:
        max_answer_b: most bytes held of one answer, unless another limit is stated for it.
        max_total_b: most bytes held of all answers.
        on_dropped: called with the limit for which an answer was dropped.
        total_b: bytes held now.
    """

    max_answer_b: int = MAX_ANSWER_B
    max_total_b: int = MAX_HELD_B
    on_dropped: Callable[[HeldLimit], None] = _ignore
    total_b: int = field(init=False, default=0)
    _holdings: set[Holding] = field(init=False, default_factory=set)

    @contextmanager
    def hold(
        self, source: AnswerSource, discard: Callable[[], None], max_b: int | None = None
    ) -> Iterator[Holding]:
        """Count the bytes of an answer until the context is left.

        Args:
            discard: frees the bytes.
            max_b: most bytes that may be held of the answer, None for ``max_answer_b``.
        """
        holding = Holding(source, self.max_answer_b if max_b is None else max_b, discard, self)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            self._holdings.remove(holding)
            self.total_b -= holding.size_b

    async def read_whole(self, answer: WorkerAnswer, source: AnswerSource) -> bytes:
        """Return the whole body of an answer.

        Raises:
            AnswerTooLargeError: it is over a limit.
            WorkerAnswerBrokenError: it ended early.
        """
        # One buffer, since a list of chunks takes many times the bytes of small chunks.
        buffer = bytearray()
        with self.hold(source, buffer.clear) as holding:
            async for chunk in answer.body:
                await holding.begin_chunk()
                holding.resize(len(buffer) + len(chunk))
                buffer += chunk
            holding.check()
            return bytes(buffer)

    async def skip_body(self, answer: WorkerAnswer, source: AnswerSource) -> None:
        """Read the body of an answer to its end without keeping it.

        Raises:
            AnswerTooLargeError: it is over the limit of an answer.
            WorkerAnswerBrokenError: it ended early.
        """
        num_read_b = 0
        with self.hold(source, lambda: None) as holding:
            async for chunk in answer.body:
                await holding.begin_chunk()
                num_read_b += len(chunk)
                if num_read_b > self.max_answer_b:
                    holding.drop(HeldLimit.ANSWER)

    def resize(self, holding: Holding, size_b: int) -> None:
        """Set how many bytes a holding has, and drop answers until all limits are met."""
        self.total_b += size_b - holding.size_b
        holding.size_b = size_b
        if size_b > holding.max_b:
            self.drop(holding, HeldLimit.ANSWER)
        while self.total_b > self.max_total_b:
            self.drop(max(self._holdings, key=lambda other: other.size_b), HeldLimit.NODE)

    def drop(self, holding: Holding, limit: HeldLimit) -> None:
        """Free the bytes of an answer, for a limit that was exceeded."""
        size_b, holding.size_b = holding.size_b, 0
        self.total_b -= size_b
        holding.exceeded = limit
        holding.discard()
        self.on_dropped(limit)
        logger.warning(
            "answer_dropped",
            limit=limit.value,
            size_b=size_b,
            worker=holding.source.worker_id,
            request_id=holding.source.request_id,
            connection=holding.source.connection,
        )
