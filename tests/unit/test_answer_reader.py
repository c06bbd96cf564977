"""Which answer on a connection belongs to a call, however its bytes are cut."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksramp.connections.answers import (
    MAX_INTERIM_ANSWERS,
    MAX_SURPLUS_ANSWERS,
    AnswerEnd,
    AnswerError,
    AnswerHead,
    AnswerPart,
    AnswerReader,
    Call,
    DataNeeded,
    SurplusAnswer,
)

ID_HEADER = b"x-id"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def call(call_id: bytes, method: str = "GET", may_be_unnamed: bool = False) -> Call:
    headers = [(b"host", b"h"), (ID_HEADER, call_id)]
    return Call(call_id, method, b"/", headers, b"", may_be_unnamed)


def answer(call_id: bytes | None, body: bytes = b"", status: int = 200, more: bytes = b"") -> bytes:
    name = b"" if call_id is None else b"X-Id: " + call_id + b"\r\n"
    return b"HTTP/1.1 %d X\r\n%s%scontent-length: %d\r\n\r\n%s" % (status, name, more, len(body), body)


def chunked(call_id: bytes, *parts: bytes) -> bytes:
    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (*parts, b"") if part) + b"0\r\n\r\n"
    return b"HTTP/1.1 200 X\r\nx-id: " + call_id + b"\r\ntransfer-encoding: chunked\r\n\r\n" + body


def read(reader: AnswerReader, pieces: list[bytes]) -> tuple[int, bytes, list[SurplusAnswer]]:
    """Return status and body of the own answer, and what was skipped before it."""
    status, body, surplus = 0, b"", []
    waiting = list(pieces)
    while True:
        event = reader.next_event()
        match event:
            case DataNeeded():
                reader.feed(waiting.pop(0) if waiting else b"")
            case AnswerHead():
                status = event.status
            case AnswerPart():
                body += event.data
            case SurplusAnswer():
                surplus.append(event)
            case AnswerEnd():
                return status, body, surplus


def read_once(data: bytes, call_id: bytes = b"own") -> tuple[int, bytes, list[SurplusAnswer]]:
    reader = AnswerReader(ID_HEADER)
    reader.begin(call(call_id))
    return read(reader, [data])


@given(cuts=st.lists(st.integers(0, 400), max_size=8), is_chunked=st.booleans())
def test_an_answer_behind_surplus_ones_is_found_however_the_bytes_are_cut(
    cuts: list[int], is_chunked: bool
) -> None:
    own = chunked(b"own", b"mi", b"ne") if is_chunked else answer(b"own", b"mine")
    data = answer(b"a", b"HTTP/1.1 200 X\r\nx-id: own\r\n\r\n") + chunked(b"b", b"x" * 60) + CONTINUE + own
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    pieces = [data[start:end] for start, end in pairwise(edges) if start < end]
    reader = AnswerReader(ID_HEADER)
    reader.begin(call(b"own"))
    assert read(reader, pieces) == (200, b"mine", [SurplusAnswer(b"a", 200), SurplusAnswer(b"b", 200)])
    assert reader.may_carry_another and not reader.has_unread


def test_a_second_answer_is_skipped_by_the_next_call_and_between_calls() -> None:
    reader = AnswerReader(ID_HEADER)
    reader.begin(call(b"one"))
    assert read(reader, [answer(b"one", b"1") + answer(b"one", b"1", 500)])[:2] == (200, b"1")
    assert reader.has_unread
    reader.begin(call(b"two"))
    read_two = read(reader, [answer(b"two", b"2") + answer(b"two", b"2", 500)])
    assert read_two == (200, b"2", [SurplusAnswer(b"one", 500)])
    reader.begin_idle()
    assert reader.next_event() == SurplusAnswer(b"two", 500)
    assert reader.next_event() == DataNeeded()
    assert reader.end_idle()


@pytest.mark.parametrize(
    "data",
    [
        answer(None, b"x"),
        answer(None, b"x", 503),
        b"HTTP/1.1 200 X\r\nx-id: other\r\n\r\nno length" + answer(b"own"),
        answer(b"other", more=b"x-id: own\r\n"),
        b"noise\r\n\r\n" + answer(b"own"),
        CONTINUE * (MAX_INTERIM_ANSWERS + 1) + answer(b"own"),
        answer(b"other") * (MAX_SURPLUS_ANSWERS + 1) + answer(b"own"),
        answer(b"other", b"cut")[:-1],
        b"HTTP/1.1 200 X\r\nx-a: cut" + answer(b"own"),
        b"HTTP/1.1 200 cut" + answer(b"own"),
        answer(b"own", b"cut")[:-1],
        b"",
    ],
)
def test_what_cannot_be_told_from_the_answer_ends_the_call(data: bytes) -> None:
    with pytest.raises(AnswerError):
        read_once(data)


def test_no_other_answer_is_skipped_in_the_place_of_one_without_a_body() -> None:
    # The body that its head announces would be waited for until the deadline.
    reader = AnswerReader(ID_HEADER)
    reader.begin(call(b"own", method="HEAD"))
    with pytest.raises(AnswerError):
        read(reader, [answer(b"other", b"xy")[:-2] + answer(b"own")])


def test_an_answer_without_an_id_is_taken_only_where_the_call_allows_it() -> None:
    reader = AnswerReader(ID_HEADER)
    reader.begin(call(b"own", may_be_unnamed=True))
    assert read(reader, [answer(None, b"state")])[:2] == (200, b"state")


def may_follow(left: bytes, is_closed: bool = False) -> bool:
    """Return whether another call may follow an answer, these bytes and perhaps the end of the connection."""
    reader = AnswerReader(ID_HEADER)
    reader.begin(call(b"own"))
    read(reader, [answer(b"own") + left])
    reader.begin_idle()
    if is_closed:
        reader.feed(b"")
    try:
        while not isinstance(reader.next_event(), DataNeeded):
            pass
    except AnswerError:
        return False
    return reader.end_idle()


def test_a_connection_is_used_again_only_if_all_that_came_were_whole_surplus_answers() -> None:
    assert may_follow(b"")
    assert may_follow(answer(b"own") + chunked(b"a", b"x"))
    assert not may_follow(b"", is_closed=True)
    for left in (answer(None), answer(b"a", b"xy")[:-1], b"noise\r\n\r\n", b"HTTP/1.1"):
        assert not may_follow(left)


@pytest.mark.parametrize("who", [b"own", b"other"])
def test_an_announced_end_of_the_connection_is_kept(who: bytes) -> None:
    reader = AnswerReader(ID_HEADER)
    reader.begin(call(b"own"))
    close = b"connection: close\r\n"
    data = answer(b"own", more=close) if who == b"own" else answer(b"other", more=close) + answer(b"own")
    assert read(reader, [data])[0] == 200
    assert not reader.may_carry_another


def test_an_answer_may_last_until_its_connection_is_closed() -> None:
    reader = AnswerReader(ID_HEADER)
    reader.begin(call(b"own"))
    assert read(reader, [b"HTTP/1.1 200 X\r\nx-id: own\r\n\r\nall", b""])[:2] == (200, b"all")
    assert not reader.may_carry_another
