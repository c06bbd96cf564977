"""Bytes of workers are data: none raises an error past the port, and none is changed when passed on."""

import io
import random
from contextlib import AsyncExitStack

import anyio
import anyio.abc
from hypothesis import given, settings
from hypothesis import strategies as st
from worksramp_platform.workers import PlatformWorkers

from tests.unit.test_forward import Script, ScriptedPort, route
from worksramp.log_writer import LogWriter
from worksramp.logs import configure_logs
from worksramp.rollout.batch_run import RunBroken, RunOutcome, RunSpec, TextBuilder, run_item
from worksramp.rollout.batch_values import records_of_text
from worksramp.rollout.batches import BatchItem, ScoringCall
from worksramp.rollout.scoring_call import ScoringAnswer, call_scorer
from worksramp.routing.attempts import LiveRequest
from worksramp.routing.events import EventSplitter
from worksramp.routing.forward import Forwarder
from worksramp.routing.live_stream import StreamAnswer
from worksramp.routing.table import RouteKind
from worksramp.routing.worker_port import WorkerAnswerBrokenError
from worksramp.routing.workers import WorkerDirectory, WorkerEntry
from worksramp.wire import decode, encode

WORKER = WorkerEntry("i-1", "s", "127.0.0.1:1", "z", 4)
ITEM = BatchItem(item_id="item-1", target="/x", headers=(), body=b"p", num_tokens=10)
SPEC = RunSpec(ITEM, "h", min_version=0, needs_one_version=False)
CALL = ScoringCall("call-1", "h", "/score", b"")

HEAD_LINES = [
    b"X-Worksramp-Attempt-Id: item-1",
    b"X-Worksramp-Attempt-Id: call-1",
    b"X-Worksramp-Server-Stamp: \xff\xfe stamp",
    b"X-Worksramp-Weight-Versions: 3",
    b"X-Worksramp-Weight-Versions: " + b"9" * 5000,
    b"X-Worksramp-Weight-Versions: \xb2",
    b"X-Worksramp-Server-Load: 1,\xb2,3",
    b"X-Worksramp-Not-Executed: 1",
    b"Transfer-Encoding: chunked",
    b"Content-Length: 20",
]
EVENTS = [
    b"id: 1\ndata: one\n\n",
    b"id: 2\ndata: t\xffwo\n\n",
    b"id: \x00\ndata: x\n\n",
    b"id: \xe6\x97\xa5\ndata: x\n\n",
    b"data: no id\n\n",
    b": comment\n\n",
    b"\n\n",
    b"id: 3\r\ndata: three\r\n\r\n",
    b"id: 4\ndata: cut",
]
raw_answers = st.builds(
    lambda status, lines, body: b"\r\n".join([b"HTTP/1.1 " + status, *lines]) + b"\r\n\r\n" + body,
    st.sampled_from([b"200 OK", b"500 x", b"422 x", b"503 x", b"999 x", b"2\xff0 x", b"100 Continue"]),
    st.lists(st.one_of(st.sampled_from(HEAD_LINES), st.binary(max_size=20)), max_size=7),
    st.one_of(
        st.binary(max_size=60),
        st.lists(st.sampled_from(EVENTS), max_size=5).map(
            lambda events: b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events) + b"0\r\n\r\n"
        ),
        st.lists(st.sampled_from(EVENTS), max_size=5).map(b"".join),
    ),
)


class ScriptedStream(anyio.abc.ByteStream):
    """Connection that gives these bytes and ends."""

    def __init__(self, raw: bytes) -> None:
        self._raw = raw

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if not self._raw:
            raise anyio.EndOfStream
        data, self._raw = self._raw[:max_bytes], self._raw[max_bytes:]
        return data

    async def send(self, item: bytes) -> None:
        pass

    async def send_eof(self) -> None:
        pass

    async def aclose(self) -> None:
        pass


def workers_that_answer(raw: bytes) -> PlatformWorkers:
    """Return a port whose connections give these bytes for each request."""

    async def connect(address: str) -> anyio.abc.ByteStream:
        return ScriptedStream(raw)

    return PlatformWorkers(connect)


@settings(max_examples=400, deadline=None)
@given(raw=raw_answers)
def test_no_answer_of_a_worker_raises_past_a_run_of_an_item(raw: bytes) -> None:
    # The owner's process ended, again and again, when an event held a byte that was not UTF-8.
    async def main() -> tuple[RunOutcome, TextBuilder]:
        text = TextBuilder()
        return await run_item(workers_that_answer(raw), WORKER, SPEC, text, lambda: None), text

    outcome, text = anyio.run(main)
    assert isinstance(outcome, RunOutcome)
    frozen = text.freeze("b")
    assert decode(encode(frozen), type(frozen)) == frozen
    assert records_of_text("b", 0, 1, "\n".join(text.pieces), 1000) is not None


@settings(max_examples=200, deadline=None)
@given(raw=raw_answers)
def test_no_answer_of_a_scorer_raises_past_its_call(raw: bytes) -> None:
    async def main() -> ScoringAnswer:
        return await call_scorer(workers_that_answer(raw), WORKER, CALL, 1.0)

    assert isinstance(anyio.run(main), ScoringAnswer)


def run_with_events(*events: bytes) -> tuple[RunOutcome, TextBuilder]:
    head = b"HTTP/1.1 200 OK\r\nX-Worksramp-Attempt-Id: item-1\r\nX-Worksramp-Server-Stamp: s\r\n"
    head += b"X-Worksramp-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events) + b"0\r\n\r\n"

    async def main() -> tuple[RunOutcome, TextBuilder]:
        text = TextBuilder()
        return await run_item(workers_that_answer(head + body), WORKER, SPEC, text, lambda: None), text

    return anyio.run(main)


def test_an_item_keeps_its_text_up_to_an_event_that_is_not_utf8() -> None:
    outcome, text = run_with_events(b"id: 1\ndata: one\n\n", b"id: 2\ndata: \xff\n\n", b"id: 3\ndata: x\n\n")
    assert outcome == RunBroken("event is not UTF-8")
    assert (text.pieces, text.last_event_id) == (["one"], "1")


def test_an_item_does_not_go_on_from_an_event_whose_id_no_request_can_name() -> None:
    # A text that lost its last id was generated again from its first event, after the events it had.
    for event_id in (b"", b"id: \xe6\x97\xa5\n", b"id: \x00\n"):
        outcome, text = run_with_events(b"id: 1\ndata: one\n\n", event_id + b"data: x\n\n")
        assert outcome == RunBroken("event without a usable id")
        assert (text.pieces, text.last_event_id) == (["one"], "1")


@given(chunks=st.lists(st.one_of(st.sampled_from(EVENTS), st.binary(max_size=30)), max_size=12))
def test_the_events_of_a_stream_are_its_bytes(chunks: list[bytes]) -> None:
    splitter = EventSplitter()
    blocks = [event.block for chunk in chunks for event in splitter.feed(chunk)]
    assert b"".join(blocks) + splitter.rest == b"".join(chunks)


class BytesPort(ScriptedPort):
    """Sends these bytes as the body of its only answer."""

    def __init__(self, chunks: list[bytes]) -> None:
        super().__init__([Script("answer")])
        self.chunks = chunks

    async def _body(self, script: Script):  # type: ignore[no-untyped-def]
        for chunk in self.chunks:
            yield chunk


@settings(max_examples=200, deadline=None)
@given(chunks=st.lists(st.one_of(st.sampled_from(EVENTS), st.binary(max_size=30)), max_size=8))
def test_a_live_stream_passes_on_the_bytes_of_its_worker(chunks: list[bytes]) -> None:
    # Empty lines between events, and bytes that are not text, belong to the answer.
    configure_logs("error")
    directory = WorkerDirectory()
    directory.put(WORKER)

    async def main() -> tuple[bytes, bool]:
        forwarder = Forwarder(directory, BytesPort(chunks), random.Random(1))
        now = anyio.current_time()
        request = LiveRequest("id", "POST", b"/x", (), b"", now, now + 1.0)
        streamed = b""
        async with AsyncExitStack() as stack:
            on = route(RouteKind.STREAMING, is_resumable=True)
            outcome = await forwarder.forward(request, on, stack)
            assert isinstance(outcome, StreamAnswer)
            try:
                async for block in outcome.events:
                    streamed += block
            except WorkerAnswerBrokenError:
                return streamed, False
        return streamed, True

    streamed, is_complete = anyio.run(main)
    sent = b"".join(chunks)
    assert streamed == sent if is_complete else sent.startswith(streamed)


def test_a_line_with_an_unencodable_character_does_not_end_the_logs() -> None:
    # The ids of requests stand in the logs as their callers sent them.
    target = io.TextIOWrapper(io.BytesIO(), encoding="utf-8")
    writer = LogWriter(target)
    writer.write("request_id=\udcff\n")
    writer.close(5.0)
    writer = LogWriter(target)
    writer.write("next\n")
    writer.close(5.0)
    target.seek(0)
    assert target.read() == "request_id=\\udcff\nnext\n"
