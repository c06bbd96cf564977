"""Finds the answer to a call among the answers that arrive on a connection, without any I/O.

An answer belongs to the call whose id it names. A whole answer with another id is surplus: it is skipped, and
the call's own answer is read behind it.
"""

from dataclasses import dataclass

import h11

from worksramp.statuses import SWITCHING_PROTOCOLS, is_final

MAX_HEAD_B = 100 * 1024
#: More answers than a caller can have caused; each has to be read before the call's own.
MAX_SURPLUS_ANSWERS = 64
MAX_INTERIM_ANSWERS = 16
#: Largest body of an answer that is skipped, as large as an answer may be.
MAX_SURPLUS_B = 4 * 1024 * 1024
STATUS_LINE_START = b"HTTP/1."
STATUSES_WITHOUT_BODY = frozenset([204, 304])
#: An answer to one of these has no body whatever its head says, so no other answer may be read in its place.
METHODS_WITHOUT_BODY = frozenset(["HEAD", "CONNECT"])

HeaderPairs = list[tuple[bytes, bytes]]


class AnswerError(Exception):
    """What arrived is not an answer to the call, and nothing behind it can be read."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call to a worker.

    Attributes:
        call_id: id that the answer must name.
        target: path and query, sent unchanged.
        headers: all headers, with the id and the length of the body.
        may_be_unnamed: whether an answer without an id is the answer. Only the first call of a connection may
            allow that, because such an answer can belong to any call that the connection has carried.
    """

    call_id: bytes
    method: str
    target: bytes
    headers: HeaderPairs
    body: bytes
    may_be_unnamed: bool = False


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of the answer to the call.

    Attributes:
        headers: headers as the worker wrote them.
        is_named: whether the answer names the id of the call.
    """

    status: int
    headers: HeaderPairs
    is_named: bool


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """Part of the body of the answer to the call."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The answer to the call is whole."""


@dataclass(frozen=True, slots=True)
class SurplusAnswer:
    """A whole answer that belongs to another call and was skipped."""

    call_id: bytes
    status: int


@dataclass(frozen=True, slots=True)
class DataNeeded:
    """More bytes of the connection are needed."""


ReaderEvent = AnswerHead | AnswerPart | AnswerEnd | SurplusAnswer | DataNeeded


class AnswerReader:
    """Reads the answers of one connection, one call after the other.

    Each parser reads one answer. What it has received beyond the answer's end, and whether the worker has
    closed the connection, is passed on to the next parser, within a call or at the next one.

    Args:
        id_header: lower-case name of the header that holds the id of an answer's call.
    """

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self._call: Call | None = None
        self._parser = _idle_parser()
        self._rest = b""
        self._is_closed = False
        self._surplus: SurplusAnswer | None = None
        self._surplus_size_b = 0
        self._num_surplus = 0
        self._num_interim = 0
        self._may_continue = True

    @property
    def is_answered(self) -> bool:
        """Whether no call is open."""
        return self._call is None

    @property
    def may_carry_another(self) -> bool:
        """Whether no call is open and the worker has not announced the end of the connection."""
        return self.is_answered and self._may_continue and not self._is_closed

    @property
    def is_skipping(self) -> bool:
        """Whether an answer to another call is being read."""
        return self._surplus is not None

    @property
    def has_unread(self) -> bool:
        """Whether bytes have been received that no answer has used."""
        return bool(self._rest)

    def begin(self, call: Call) -> list[bytes]:
        """Begin a call and return the bytes to send, in parts, of which the body is no copy.

        Raises:
            AnswerError: the call cannot be written as HTTP.
        """
        self._parser = _new_parser()
        try:
            request = h11.Request(method=call.method, target=call.target, headers=call.headers)
            parts = [self._parser.send(request) or b""]
            if call.body:
                parts += self._parser.send_with_data_passthrough(h11.Data(data=call.body)) or []
            parts.append(self._parser.send(h11.EndOfMessage()) or b"")
        except h11.LocalProtocolError as error:
            raise AnswerError(f"call cannot be sent: {error}") from error
        self._call = call
        self._num_surplus = self._num_interim = 0
        self._continue_with_rest()
        return parts

    def begin_idle(self) -> None:
        """Prepare to read what arrives while no call is open; all of it is surplus."""
        self._parser = _idle_parser()
        self._num_surplus = self._num_interim = 0
        self._continue_with_rest()

    def end_idle(self) -> bool:
        """Stop reading while no call is open; return whether another call can follow what was read."""
        rest, self._is_closed = self._parser.trailing_data
        return not rest and self._surplus is None and self.may_carry_another

    def feed(self, data: bytes) -> None:
        """Add received bytes; none means that the worker has closed the connection."""
        self._parser.receive_data(data)

    def next_event(self) -> ReaderEvent:
        """Return what comes next.

        Raises:
            AnswerError: the answer is broken, or belongs to nobody.
        """
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise AnswerError(str(error)) from error
            if event is h11.NEED_DATA:
                return DataNeeded()
            found = self._handle(event)
            if found is not None:
                return found

    def _handle(self, event: object) -> ReaderEvent | None:
        match event:
            case h11.InformationalResponse():
                self._handle_interim(event)
                return None
            case h11.Response():
                return self._handle_head(event)
            case h11.Data():
                return self._handle_data(bytes(event.data))
            case h11.EndOfMessage():
                return self._handle_end()
            case _:
                raise AnswerError("connection closed without an answer")

    def _handle_interim(self, head: h11.InformationalResponse) -> None:
        """Skip an interim answer; one that cannot be one will have no answer behind it."""
        if head.status_code == SWITCHING_PROTOCOLS:
            raise AnswerError("protocol switched without a request for it")
        if _has_length(head):
            raise AnswerError(f"interim answer with a body, status {head.status_code}")
        self._num_interim += 1
        if self._num_interim > MAX_INTERIM_ANSWERS:
            raise AnswerError("interim answers without an end")

    def _handle_head(self, head: h11.Response) -> AnswerHead | None:
        if STATUS_LINE_START in head.reason or any(STATUS_LINE_START in value for _, value in head.headers):
            raise AnswerError("a head that broke off runs into the next one")
        ids = {value for name, value in head.headers if name == self._id_header}
        if len(ids) > 1:
            raise AnswerError(f"answer names several calls: {sorted(ids)[:2]!r}")
        call_id = next(iter(ids), None)
        if self._call is not None:
            is_named = call_id == self._call.call_id
            if is_named or (call_id is None and self._call.may_be_unnamed):
                return _own_head(head, is_named)
        if call_id is None:
            raise AnswerError(f"answer without an id, status {head.status_code}")
        is_bodiless_call = self._call is not None and self._call.method in METHODS_WITHOUT_BODY
        if is_bodiless_call or not _has_length(head):
            raise AnswerError(f"answer to another call {call_id!r} without a length")
        self._surplus = SurplusAnswer(call_id, head.status_code)
        self._surplus_size_b = 0
        return None

    def _handle_data(self, data: bytes) -> AnswerPart | None:
        if self._surplus is None:
            return AnswerPart(data)
        self._surplus_size_b += len(data)
        if self._surplus_size_b > MAX_SURPLUS_B:
            raise AnswerError(
                f"answer to another call {self._surplus.call_id!r} is over {MAX_SURPLUS_B} bytes"
            )
        return None

    def _handle_end(self) -> AnswerEnd | SurplusAnswer:
        self._may_continue = self._may_continue and self._parser.their_state is h11.DONE
        self._rest, self._is_closed = self._parser.trailing_data
        surplus, self._surplus = self._surplus, None
        if surplus is None:
            self._call = None
            return AnswerEnd()
        self._num_surplus += 1
        if self._num_surplus > MAX_SURPLUS_ANSWERS:
            raise AnswerError("answers to other calls without an end")
        # A parser reads one answer. Nothing of a call that has been sent is sent again.
        self._parser = _idle_parser()
        self._continue_with_rest()
        return surplus

    def _continue_with_rest(self) -> None:
        rest, self._rest = self._rest, b""
        if rest:
            self._parser.receive_data(rest)
        if self._is_closed:
            self._parser.receive_data(b"")


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_B)


def _idle_parser() -> h11.Connection:
    """Return a parser that expects the answer to a request that has been sent before."""
    parser = _new_parser()
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
    parser.send(h11.EndOfMessage())
    return parser


def _own_head(head: h11.Response, is_named: bool) -> AnswerHead:
    if not is_final(head.status_code):
        raise AnswerError(f"status {head.status_code} is none of HTTP")
    return AnswerHead(head.status_code, head.headers.raw_items(), is_named)


def _has_length(head: h11.Response | h11.InformationalResponse) -> bool:
    """Return whether an answer has an end of its own; any other lasts until its connection is closed."""
    names = {name for name, _ in head.headers}
    return head.status_code in STATUSES_WITHOUT_BODY or bool(
        names & {b"content-length", b"transfer-encoding"}
    )
