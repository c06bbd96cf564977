"""One connection to a worker, which carries one call at a time and each id once."""

import math
import re
import select
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import structlog

from worksramp.connections.answers import (
    METHODS_WITHOUT_BODY,
    AnswerEnd,
    AnswerError,
    AnswerHead,
    AnswerPart,
    AnswerReader,
    Call,
    DataNeeded,
    HeaderPairs,
    ReaderEvent,
    SurplusAnswer,
)
from worksramp.connections.errors import CallError, UnsendableCallError

READ_SIZE_B = 256 * 1024
WRITE_SIZE_B = 128 * 1024
#: Ids that a connection remembers. It is replaced after that many calls, which bounds its memory.
MAX_CALLS_PER_CONNECTION = 250
MAX_LOGGED_ID_CHARACTERS = 64
#: Longest pause within an answer to another call. A worker writes it whole, since it is finished.
MAX_SURPLUS_PAUSE_S = 0.5
#: A call of this size is taken by the kernel whole, whatever the worker reads.
MAX_UNREAD_CALL_B = 16 * 1024
KEEP_ALIVE_TIMEOUT = re.compile(rb"\btimeout=(\d{1,6})\b")
#: A call must reach the worker before it closes the connection.
KEEP_ALIVE_MARGIN_S = 0.5

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ConnectionName:
    """Names a connection in the logs.

    Attributes:
        address: ``host:port`` of the worker.
        number: number of the connection in its pool, from 1.
    """

    address: str
    number: int


class WorkerConnection:
    """Connection on which the id of an answer tells whose answer it is, since no id is sent on it twice.

    Args:
        stream: the open connection.
        name: names it in the logs.
        id_header: lower-case name of the header that holds the id of an answer's call.
        on_surplus: called for each answer that belonged to another call.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        name: ConnectionName,
        id_header: bytes,
        on_surplus: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._name = name
        self._reader = AnswerReader(id_header)
        self._on_surplus = on_surplus
        self._opened_at = anyio.current_time()
        # Hashes take less memory than ids. Two ids with one hash only make the second use another connection.
        self._carried: set[int] = set()
        self._has_failed = False
        self._is_last_call = False
        self._idle_since = self._opened_at
        self._stated_idle_s = math.inf

    @property
    def label(self) -> str:
        """Number of the connection and of the ids it has carried, for the logs."""
        return f"{self._name.number}/{len(self._carried)}"

    @property
    def may_carry_another(self) -> bool:
        """Whether the connection may be used for another call."""
        return not self._has_failed and not self._is_last_call and self._reader.may_carry_another

    def mark_idle(self) -> None:
        """Record that the connection carries no call from now on."""
        self._idle_since = anyio.current_time()

    def has_expired(self, idle_s: float) -> bool:
        """Return whether the connection has been idle for too long.

        Args:
            idle_s: how long the pool keeps idle connections, if the worker has not stated a shorter time.
        """
        return anyio.current_time() - self._idle_since > min(idle_s, self._stated_idle_s)

    def has_carried(self, call: Call) -> bool:
        """Return whether a call with this id has been sent on the connection."""
        return hash(call.call_id) in self._carried

    def may_carry(self, call: Call) -> bool:
        """Return whether the answer to this call could be told from all other answers on the connection."""
        if not self._carried:
            return True
        if call.may_be_unnamed or call.method in METHODS_WITHOUT_BODY:
            return False
        return not self.has_carried(call)

    async def send(self, call: Call) -> AnswerHead:
        """Send a call and return the head of its answer, skipping the answers to other calls.

        Raises:
            UnsendableCallError: the call cannot be written; nothing was sent.
            CallError: there is no answer; the call may have been executed.
        """
        self._carried.add(hash(call.call_id))
        self._is_last_call = (
            call.method in METHODS_WITHOUT_BODY or len(self._carried) >= MAX_CALLS_PER_CONNECTION
        )
        try:
            parts = self._reader.begin(call)
        except AnswerError as error:
            raise UnsendableCallError(str(error)) from error
        if sum(len(part) for part in parts) <= MAX_UNREAD_CALL_B:
            await self._write([b"".join(parts)])
            return await self._read_head(call)
        return await self._write_and_read_head(call, parts)

    async def _write(self, parts: list[bytes]) -> None:
        try:
            for part in parts:
                # The stream copies what the worker does not take at once.
                for start in range(0, len(part), WRITE_SIZE_B):
                    await self._stream.send(part[start : start + WRITE_SIZE_B])
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # A worker may answer and close before it has read a long call.
            self._has_failed = True

    async def _write_and_read_head(self, call: Call, parts: list[bytes]) -> AnswerHead:
        """Read while the call is being written, since a worker may answer before it has read all.

        The whole call is written all the same: the worker may read on later, and nothing else may follow.
        """
        head: AnswerHead | None = None
        reason = CallError("no answer")
        async with anyio.create_task_group() as group:
            group.start_soon(self._write, parts)
            try:
                head = await self._read_head(call)
            except CallError as error:
                reason = error
                group.cancel_scope.cancel()
        if head is None:
            raise reason
        return head

    async def _read_head(self, call: Call) -> AnswerHead:
        while True:
            event = await self._next_event()
            if isinstance(event, AnswerHead):
                # A second answer without an id could not be told from an answer to a later call.
                self._is_last_call = self._is_last_call or not event.is_named
                self._stated_idle_s = _stated_idle_s(event.headers)
                return event
            if isinstance(event, SurplusAnswer):
                self._record_surplus(event, call)

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body of the answer as it arrives.

        Raises:
            CallError: the connection broke before the end of the answer.
        """
        while not isinstance(event := await self._next_event(), AnswerEnd):
            if isinstance(event, AnswerPart):
                yield event.data

    def mark_failed(self) -> None:
        """Have the connection closed after its call."""
        self._has_failed = True

    def read_received_rest(self) -> None:
        """Read the rest of an answer whose body is not wanted, as far as it has arrived already."""
        if self._has_failed or self._reader.is_answered:
            return
        try:
            while not isinstance(self._reader.next_event(), AnswerEnd | DataNeeded):
                pass
        except AnswerError:
            self._has_failed = True

    async def prepare_reuse(self) -> bool:
        """Read what has arrived since the last call; return whether another call can be sent.

        Whole answers to former calls are skipped. Anything else, or the end of the connection, would be met
        by the next call.
        """
        if not self._reader.has_unread and not self._is_readable():
            return True
        self._reader.begin_idle()
        try:
            while True:
                event = self._reader.next_event()
                if isinstance(event, SurplusAnswer):
                    self._record_surplus(event, None)
                elif not self._is_readable():
                    return self._reader.end_idle()
                else:
                    self._reader.feed(await self._receive())
        except (AnswerError, CallError) as error:
            logger.debug("idle_connection_dropped", worker=self._name.address, reason=str(error))
            return False

    async def aclose(self) -> None:
        """Close the connection."""
        self._has_failed = True
        await self._stream.aclose()

    async def _next_event(self) -> ReaderEvent:
        try:
            while isinstance(event := self._reader.next_event(), DataNeeded):
                self._reader.feed(await self._receive_in_time())
        except AnswerError as error:
            self._has_failed = True
            raise CallError(str(error)) from error
        return event

    async def _receive_in_time(self) -> bytes:
        if not self._reader.is_skipping:
            return await self._receive()
        with anyio.move_on_after(MAX_SURPLUS_PAUSE_S):
            return await self._receive()
        self._has_failed = True
        raise CallError("an answer to another call does not go on")

    async def _receive(self) -> bytes:
        """Return received bytes, or none once the worker has closed the connection."""
        try:
            return await self._stream.receive(READ_SIZE_B)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            self._has_failed = True
            raise CallError(f"connection broke: {error.__cause__ or error!r}") from error

    def _is_readable(self) -> bool:
        """Return whether bytes or the end of the connection can be read without waiting."""
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
        if sock is None:
            return False
        if sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _record_surplus(self, surplus: SurplusAnswer, call: Call | None) -> None:
        self._on_surplus()
        logger.info(
            "surplus_answer",
            request_id="" if call is None else _loggable(call.call_id),
            answer_id=_loggable(surplus.call_id),
            is_former_call=hash(surplus.call_id) in self._carried,
            status=surplus.status,
            worker=self._name.address,
            connection=self.label,
            connection_age_s=round(anyio.current_time() - self._opened_at, 3),
        )


def _stated_idle_s(headers: HeaderPairs) -> float:
    """Return after which time without a call the worker may close the connection."""
    for name, value in headers:
        found = KEEP_ALIVE_TIMEOUT.search(value) if name.lower() == b"keep-alive" else None
        if found is not None:
            return int(found[1]) - KEEP_ALIVE_MARGIN_S
    return math.inf


def _loggable(call_id: bytes) -> str:
    return call_id.decode("latin-1")[:MAX_LOGGED_ID_CHARACTERS]
