"""Workers that send without an end: what a node holds of them, and how long it listens."""

import itertools
import random
import re
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.unit.test_forward import DEADLINE_SECONDS, Script, ScriptedPort, forward_one, route
from worksramp.logs import configure_logs
from worksramp.rollout.batch_run import (
    EVENT_OVERHEAD_B,
    MAX_TEXT_B,
    RunFinished,
    RunOutcome,
    RunOverLimit,
    RunSpec,
    TextBuilder,
    run_item,
)
from worksramp.rollout.batches import BatchItem, GeneratedText, ScoringCall
from worksramp.rollout.scoring_call import Scored, ScoringAnswer, ScoringLost, call_scorer
from worksramp.rollout.text_keeper import RecentTexts
from worksramp.routing import events, held_bytes
from worksramp.routing.attempts import LiveRequest, WholeAnswer
from worksramp.routing.events import MAX_EVENT_ID_B, EventSplitter
from worksramp.routing.forward import Forwarder, ForwardOutcome, MayHaveRun
from worksramp.routing.held_bytes import (
    MAX_ANSWER_B,
    MAX_HELD_B,
    AnswerSource,
    AnswerTooLargeError,
    HeldBytes,
    HeldLimit,
)
from worksramp.routing.live_stream import StreamAnswer
from worksramp.routing.table import RouteKind
from worksramp.routing.worker_port import WorkerAnswerBrokenError
from worksramp.routing.workers import WorkerDirectory, WorkerEntry
from worksramp_emulator.simulation.clock import run_simulated

CHUNK_B = 64 * 1024
CHUNK_S = 0.001


@dataclass
class EndlessPort(ScriptedPort):
    """Sends chunks without an end where a script is ``endless``.

    Attributes:
        num_taken_b: bytes taken from it, by attempt.
    """

    chunk: bytes = b"x" * CHUNK_B
    pause_s: float = CHUNK_S
    num_taken_b: list[int] = field(default_factory=list)

    async def _body(self, script: Script) -> AsyncIterator[bytes]:
        if script.kind != "endless":
            async for part in super()._body(script):
                yield part
            return
        for event in script.events:
            yield event.encode()
        self.num_taken_b.append(0)
        attempt = len(self.num_taken_b) - 1
        while True:
            await anyio.sleep(self.pause_s)
            self.num_taken_b[attempt] += len(self.chunk)
            yield self.chunk


ALL_KINDS = [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING]
NO_LIMIT_B = MAX_ANSWER_B + 2 * CHUNK_B


@pytest.mark.parametrize("kind", ALL_KINDS)
@pytest.mark.parametrize("status", [200, 500])
def test_a_body_without_an_end_is_not_held_past_the_limit(kind: RouteKind, status: int) -> None:
    # A few such answers at once took a node from 40 to 311 MB within two seconds.
    port = EndlessPort([Script("endless", status=status), Script("endless", status=status)])
    outcome, seconds, streamed = forward_one(port, route(kind))
    assert max(port.num_taken_b) <= NO_LIMIT_B
    assert seconds < 0.8
    if isinstance(outcome, StreamAnswer):
        assert streamed == b"(cut)"
    else:
        assert isinstance(outcome, MayHaveRun) and not outcome.is_late
    assert len(port.sent) == (2 if kind is RouteKind.IDEMPOTENT else 1)


@pytest.mark.parametrize("kind", ALL_KINDS)
def test_a_body_that_trickles_without_an_end_ends_at_the_timeout_of_its_route(kind: RouteKind) -> None:
    # Each byte is progress, so only a limit of the whole time ends such an answer.
    port = EndlessPort([Script("endless")] * 2, chunk=b"x", pause_s=0.1)
    outcome, seconds, streamed = forward_one(port, route(kind))
    assert seconds == pytest.approx(0.8)
    assert streamed == b"(overdue)" or (isinstance(outcome, MayHaveRun) and outcome.is_late)


def test_an_answer_follows_from_another_worker_after_a_body_without_an_end() -> None:
    port = EndlessPort([Script("endless"), Script("answer", events=("whole",))])
    outcome, _, _ = forward_one(port, route(RouteKind.IDEMPOTENT))
    assert isinstance(outcome, WholeAnswer) and outcome.body == b"whole"


def test_an_answer_as_large_as_the_limit_is_whole() -> None:
    part = "x" * (MAX_ANSWER_B // 4)
    port = ScriptedPort([Script("answer", events=(part,) * 4)])
    outcome, _, _ = forward_one(port, route(RouteKind.NON_IDEMPOTENT))
    assert isinstance(outcome, WholeAnswer) and len(outcome.body) == MAX_ANSWER_B


@dataclass
class RecordingLogger:
    lines: list[dict[str, object]] = field(default_factory=list)

    def warning(self, event: str, **fields: object) -> None:
        self.lines.append({"event": event, **fields})


def test_a_dropped_answer_is_logged_with_its_worker_and_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    recorded, limits = RecordingLogger(), list[HeldLimit]()
    monkeypatch.setattr(held_bytes, "logger", recorded)
    port = EndlessPort([Script("endless")])
    forward_many(port, 1, HeldBytes(on_dropped=limits.append))
    (line,) = recorded.lines
    assert line["event"] == "answer_dropped"
    assert (line["worker"], line["request_id"], line["limit"]) == ("w0", "id-0", "answer")
    assert limits == [HeldLimit.ANSWER]


def forward_many(
    port: ScriptedPort, num_requests: int, held: HeldBytes, kind: RouteKind = RouteKind.NON_IDEMPOTENT
) -> tuple[dict[str, ForwardOutcome], int]:
    """Forward requests at once; return their outcomes by id, and the most bytes held at a time."""
    configure_logs("error")
    directory = WorkerDirectory()
    directory.put(WorkerEntry("w0", "s", "w0:1", "z", 2 * num_requests))
    outcomes: dict[str, ForwardOutcome] = {}
    most_b = 0

    async def main() -> None:
        nonlocal most_b
        forwarder = Forwarder(directory, port, random.Random(1), held=held)

        async def forward(number: int) -> None:
            now = anyio.current_time()
            request = LiveRequest(f"id-{number}", "POST", b"/x", (), b"", now, now + DEADLINE_SECONDS)
            async with AsyncExitStack() as stack:
                outcome = await forwarder.forward(request, route(kind), stack)
                outcomes[request.request_id] = outcome
                if isinstance(outcome, StreamAnswer):
                    with anyio.move_on_after(outcome.ends_at - now):
                        try:
                            async for _ in outcome.events:
                                pass
                        except WorkerAnswerBrokenError:
                            pass

        async def watch() -> None:
            nonlocal most_b
            while True:
                most_b = max(most_b, held.total_b)
                await anyio.sleep(CHUNK_S)

        async with anyio.create_task_group() as watching:
            watching.start_soon(watch)
            async with anyio.create_task_group() as group:
                for number in range(num_requests):
                    group.start_soon(forward, number)
            watching.cancel_scope.cancel()

    run_simulated(main, 1)
    assert held.total_b == 0
    return outcomes, most_b


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING])
def test_many_bodies_without_an_end_are_held_within_one_limit(kind: RouteKind) -> None:
    port = EndlessPort([Script("endless")] * 20)
    _, most_b = forward_many(port, 20, HeldBytes(), kind)
    assert MAX_ANSWER_B < most_b <= MAX_HELD_B


def test_whole_answers_come_through_beside_bodies_without_an_end() -> None:
    # The largest answer is dropped, not the one that arrives when the limit is reached.
    port = EndlessPort([Script("endless")] * 20 + [Script("answer", 0.015, ("whole",))] * 20)
    outcomes, most_b = forward_many(port, 40, HeldBytes(max_total_b=1024 * 1024))
    whole = [outcome for outcome in outcomes.values() if isinstance(outcome, WholeAnswer)]
    assert [answer.body for answer in whole] == [b"whole"] * 20
    assert most_b <= 1024 * 1024


def test_an_answer_that_was_dropped_never_looks_whole() -> None:
    held = HeldBytes(max_answer_b=10, max_total_b=15)
    freed: list[str] = []
    with (
        held.hold(AnswerSource("w0", "a"), lambda: freed.append("a")) as first,
        held.hold(AnswerSource("w0", "b"), lambda: freed.append("b")) as second,
    ):
        first.resize(9)
        second.resize(8)
        assert freed == ["a"] and held.total_b == 8
        with pytest.raises(AnswerTooLargeError):
            first.check()
        second.check()
        with pytest.raises(AnswerTooLargeError):
            second.resize(11)
    assert held.total_b == 0


def test_a_resumable_stream_goes_on_elsewhere_after_an_event_without_an_end() -> None:
    # The events before it were passed on; the partial one is not.
    first, second = "id: 1\ndata: d1\n\n", "id: 2\ndata: d2\n\n"
    port = EndlessPort([Script("endless", events=(first,)), Script("answer", events=(second,))])
    _, _, streamed = forward_one(port, route(RouteKind.STREAMING, is_resumable=True))
    assert streamed.decode() == first + second
    assert [request.resume_after for _, request in port.sent] == [None, "1"]
    assert max(port.num_taken_b) <= NO_LIMIT_B


def test_a_stream_of_whole_events_is_passed_on_beyond_the_limit_of_an_answer() -> None:
    # The limit is that of an event; a stream as a whole has none but its time.
    port = EndlessPort([Script("endless")], chunk=b"data: " + b"x" * 500 + b"\n\n")
    limits: list[HeldLimit] = []
    forward_many(port, 1, HeldBytes(1000, 1000, limits.append), RouteKind.STREAMING)
    assert port.num_taken_b[0] > 100_000 and not limits


@given(
    data=st.lists(st.sampled_from([b"\n", b"\r\n", b"\r", b"id: 1", b"data: x"]), max_size=30), cut=st.data()
)
def test_events_do_not_depend_on_how_their_bytes_arrive(data: list[bytes], cut: st.DataObject) -> None:
    # An end that is searched for only in new bytes may lie across two chunks.
    whole = b"".join(data)
    expected = EventSplitter()
    blocks = [event.block for event in expected.feed(whole)]
    cuts = sorted(cut.draw(st.sets(st.integers(0, len(whole)))) | {0, len(whole)})
    splitter = EventSplitter()
    parts = [whole[start:end] for start, end in itertools.pairwise(cuts)]
    assert [event.block for part in parts for event in splitter.feed(part)] == blocks
    assert splitter.rest == expected.rest and splitter.size_b == len(splitter.rest)


class CountingPattern:
    """Pattern that counts the bytes it is given to search."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self.pattern = pattern
        self.num_searched_b = 0

    def search(self, data: bytearray, start: int) -> re.Match[bytes] | None:
        self.num_searched_b += len(data) - start
        return self.pattern.search(data, start)


def test_bytes_of_an_event_are_searched_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # All held bytes were searched and copied at each chunk: seconds of one core for an event of a few MB.
    counting = CountingPattern(events.EVENT_END)
    monkeypatch.setattr(events, "EVENT_END", counting)
    splitter = EventSplitter()
    for _ in range(50_000):
        assert splitter.feed(b"data") == []
    assert counting.num_searched_b < 8 * splitter.size_b


WORKER = WorkerEntry("w0", "s", "w0:1", "z", 4)
SPEC = RunSpec(
    BatchItem("item-1", "/x", (), b"p", num_tokens=10), "h", min_version=0, needs_one_version=False
)
ENDLESS_TEXTS = {
    "partial event": b"x" * CHUNK_B,
    "large events": b"id: 1\ndata: " + b"x" * CHUNK_B + b"\n\n",
    "small events": b"id: 1\ndata: x\n\n" * 5000,
    "events without data": b"id: 1\n\n" * 5000,
    "versions": b"".join(b"version: %d\nid: 1\n\n" % number for number in range(5000)),
}


@pytest.mark.parametrize("kind", list(ENDLESS_TEXTS))
def test_a_text_without_an_end_is_dropped_and_its_item_begins_again(kind: str) -> None:
    # Its events were kept for as long as they came, and each later run went on from the last of them.
    port = EndlessPort([Script("endless")], weight_version=1, chunk=ENDLESS_TEXTS[kind])
    text, held, most_b = TextBuilder(), HeldBytes(), 0

    async def main() -> RunOutcome:
        def watch() -> None:
            nonlocal most_b
            most_b = max(most_b, text.size_b)

        with anyio.fail_after(1.0):
            return await run_item(port, WORKER, SPEC, text, watch, held)

    outcome = run_simulated(main, 1)
    assert isinstance(outcome, RunOverLimit)
    assert (text.pieces, text.last_event_id, text.versions, text.size_b) == ([], None, [], 0)
    assert most_b <= MAX_TEXT_B + len(port.chunk) and held.total_b == 0


def test_texts_without_an_end_are_held_within_the_limit_of_the_node() -> None:
    port = EndlessPort([Script("endless")] * 20, weight_version=1, chunk=ENDLESS_TEXTS["large events"])
    texts = [TextBuilder() for _ in range(20)]
    held, most_b = HeldBytes(max_total_b=4 * MAX_TEXT_B), 0

    async def main() -> None:
        def watch() -> None:
            nonlocal most_b
            most_b = max(most_b, sum(text.size_b for text in texts))

        async with anyio.create_task_group() as group:
            for text in texts:
                group.start_soon(run_item, port, WORKER, SPEC, text, watch, held)

    run_simulated(main, 1)
    assert most_b <= held.max_total_b + 20 * len(port.chunk)
    assert not any(text.pieces for text in texts)


def test_an_id_that_no_header_holds_is_not_usable() -> None:
    # The id of the last event is sent in a header when a stream goes on; workers refuse large ones.
    splitter = EventSplitter()
    usable, unusable = splitter.feed(b"id: %s\n\nid: %s\n\n" % (b"i" * MAX_EVENT_ID_B, b"i" * 5000))
    assert usable.event_id == "i" * MAX_EVENT_ID_B and unusable.event_id is None


CALL = ScoringCall("call-1", "h", "/score", b"")


@pytest.mark.parametrize(
    "chunk, pause_s, seconds", [(b"x", 0.1, 1.0), (b"x" * CHUNK_B, CHUNK_S, 0.1)], ids=["trickle", "flood"]
)
def test_a_scoring_call_ends_whatever_its_scorer_sends(chunk: bytes, pause_s: float, seconds: float) -> None:
    # Only the owner's watch ended such a call, and it passes over items whose route is gone.
    port = EndlessPort([Script("endless")], chunk=chunk, pause_s=pause_s)
    limits: list[HeldLimit] = []

    async def main() -> tuple[ScoringAnswer, float]:
        with anyio.fail_after(2.0):
            answer = await call_scorer(port, WORKER, CALL, 1.0, held=HeldBytes(on_dropped=limits.append))
        return answer, anyio.current_time()

    answer, ended_at = run_simulated(main, 1)
    assert isinstance(answer.outcome, ScoringLost) and not answer.outcome.is_connection_lost
    assert ended_at <= seconds + 1e-6 and port.num_open == 0
    assert max(port.num_taken_b) <= NO_LIMIT_B
    assert limits == ([] if seconds == 1.0 else [HeldLimit.ANSWER])


def test_texts_kept_of_ended_batches_are_bounded_by_their_size() -> None:
    # Their number was bounded alone, so a few hundred texts near the limit of a text filled a machine.
    texts = RecentTexts(max_texts=10, max_size_b=10 * (1000 + EVENT_OVERHEAD_B))
    for number in range(40):
        texts.put(f"i{number}", GeneratedText(("x" * 999,) * 2))
    assert [f"i{number}" for number in range(40) if texts.get(f"i{number}") is not None] == [
        "i35", "i36", "i37", "i38", "i39",
    ]  # fmt: skip
    texts.put("i39", GeneratedText(("x",)))
    texts.pop("i35")
    for number in range(20):
        texts.put(f"small{number}", GeneratedText(("x",)))
    assert texts.get("i39") is None and texts.get("small10") is not None and texts.get("small9") is None
    for number in range(10, 20):
        texts.pop(f"small{number}")
    texts.pop("unknown")
    assert texts.size_b == 0


NUM_SMALL_CHUNKS = 3200


@dataclass
class CrumblingPort(ScriptedPort):
    """Sends a body in chunks that are all there at once, as those of one read from a connection are."""

    is_sending: bool = False

    async def _body(self, script: Script) -> AsyncIterator[bytes]:
        self.is_sending = True
        for number in range(NUM_SMALL_CHUNKS // 2):
            yield b"id: %d\n" % number
            yield b"data: x\n\n"
        self.is_sending = False


@pytest.mark.parametrize("consumer", ["answer", "failure", "stream", "item", "score"])
def test_other_tasks_run_while_a_body_arrives_in_small_chunks(consumer: str) -> None:
    # Chunks of two bytes kept a node busy without a pause: 40 such answers ended 6 s after their deadline.
    status = 500 if consumer == "failure" else 200
    port = CrumblingPort([Script("answer", status=status)], weight_version=1)
    kinds = {
        "answer": RouteKind.NON_IDEMPOTENT,
        "failure": RouteKind.STREAMING,
        "stream": RouteKind.STREAMING,
    }
    configure_logs("error")
    directory = WorkerDirectory()
    directory.put(WORKER)
    num_turns = 0

    async def read() -> None:
        if consumer == "item":
            assert isinstance(await run_item(port, WORKER, SPEC, TextBuilder(), lambda: None), RunFinished)
        elif consumer == "score":
            assert isinstance((await call_scorer(port, WORKER, CALL, 1.0)).outcome, Scored)
        else:
            now = anyio.current_time()
            request = LiveRequest("id", "POST", b"/x", (), b"", now, now + 10.0)
            async with AsyncExitStack() as stack:
                forwarder = Forwarder(directory, port, random.Random(1))
                on = replace(route(kinds[consumer]), timeout_seconds=None)
                outcome = await forwarder.forward(request, on, stack)
                if isinstance(outcome, StreamAnswer):
                    assert len([block async for block in outcome.events]) == NUM_SMALL_CHUNKS // 2
                else:
                    assert isinstance(outcome, WholeAnswer)

    async def main() -> None:
        async def take_turns() -> None:
            nonlocal num_turns
            while True:
                await anyio.lowlevel.checkpoint()
                num_turns += port.is_sending

        async with anyio.create_task_group() as group:
            group.start_soon(take_turns)
            await read()
            group.cancel_scope.cancel()

    anyio.run(main)
    assert num_turns >= NUM_SMALL_CHUNKS // 32 - 1
