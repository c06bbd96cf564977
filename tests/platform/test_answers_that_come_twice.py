"""A worker that answers some requests twice: each send gets the answer that was made for it, or none.

Guards against a surplus answer that waits on a kept connection being taken for the answer to the next send,
and against requests being lost although their own answer stands right behind a surplus.
"""

import random
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from itertools import product

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from worksramp_platform.workers import PlatformWorkers

from tests.platform.marked_sends import CALLS, DEADLINE_S, HEADERS, REQUESTS, SENDERS, Verdict, World
from tests.platform.stuttering_worker import (
    Framing,
    Reply,
    Run,
    Surplus,
    Turn,
    When,
    stuttering_worker,
)
from tests.unit.test_forward import route
from worksramp.logs import configure_logs
from worksramp.routing.attempts import LiveRequest
from worksramp.routing.forward import Forwarder
from worksramp.routing.live_stream import StreamAnswer
from worksramp.routing.table import RouteKind
from worksramp.routing.worker_port import WorkerAnswerBrokenError
from worksramp.routing.workers import WorkerDirectory

OK = Reply()
FAILED = Reply(500)
FULL = Reply(503, is_not_run=True)
MOVED = Reply(421)
FENCED = Reply(412)
CONFLICT = Reply(409)
TAKEN = Reply(202)
SHORT_DEADLINE_S = 0.5
#: Longest time for sends that only end if the client ends them.
FLOOD_BOUND_S = 5.0
NOT_WRONG = frozenset([Verdict.OWN, Verdict.LOST])
#: Surplus answers, and own answers that differ from them.
DIFFERENT = [(OK, FAILED), (OK, FULL), (FAILED, OK), (FULL, OK), (Reply(422), OK), (OK, OK)]
#: Behind these no answer can be found. The last one has no end, so that what follows belongs to its head.
NOISE: list[Reply | bytes] = [b"\0noise", b"\r\n", b"HTTP/1.1 200 x\r\nX-A: b"]
UNREADABLE: dict[str, Reply | bytes] = {
    "no_length": Reply(framing=Framing.CLOSE),
    "no_id": Reply(has_id=False),
    "failure_without_id": Reply(500, has_id=False),
    "noise": b"\0noise",
    "empty_line": b"\r\n",
    "status_line": b"HTTP/1.1 200 x\r\n",
}
SURPLUS_HEAD = b"HTTP/1.1 200 x\r\nX-Worksramp-Attempt-Id: id-1\r\nX-Worksramp-Server-Stamp: s\r\n"
FLOODS = {
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "header_lines": (SURPLUS_HEAD, b"X-A: " + b"b" * 1000 + b"\r\n"),
    "one_line": (SURPLUS_HEAD + b"X-A: ", b"b" * 1000),
    "noise": (b"", b"b" * 1000),
    "chunks": (SURPLUS_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"3e8\r\n" + b"b" * 1000 + b"\r\n"),
    "no_length": (SURPLUS_HEAD + b"\r\n", b"b" * 1000),
}


@dataclass(frozen=True, slots=True)
class Pair:
    """Two sends to one worker, of which the first is answered twice.

    Attributes:
        first: kind of the first send.
        second: kind of the second send.
        surpluses: further answers to the first send.
        own: answer to the second send.
        is_same_id: whether both sends have one id.
        carries_all_ids: whether answers to orders and reports carry ids back too.
        first_reply: answer to the first send.
        deadline_s: deadline of the sends, short where the second one can only end by it.
    """

    first: str
    second: str
    when: When
    surpluses: tuple[Reply | bytes, ...]
    own: Reply = OK
    is_same_id: bool = False
    carries_all_ids: bool = True
    first_reply: Reply = OK
    deadline_s: float = DEADLINE_S

    def __str__(self) -> str:
        ids = "same id" if self.is_same_id else "other id"
        if not self.carries_all_ids:
            ids += ", calls without ids"
        surpluses = [
            str(surplus) if isinstance(surplus, Reply) else repr(surplus) for surplus in self.surpluses
        ]
        return f"{self.first} {surpluses} {self.when}, {self.second} answered {self.own}, {ids}"


@dataclass(frozen=True, slots=True)
class PairResult:
    """Verdicts on both sends of a pair, and all runs at the worker."""

    first: Verdict
    second: Verdict
    runs: list[Run]

    @property
    def num_connections(self) -> int:
        return len({run.connection for run in self.runs})


def play(pair: Pair) -> PairResult:
    """Play a pair of sends."""
    configure_logs("error")

    async def main() -> PairResult:
        async with stuttering_worker(pair.carries_all_ids) as worker:
            world = World(worker, deadline_s=pair.deadline_s)
            surpluses = tuple(Surplus(pair.when, surplus) for surplus in pair.surpluses)
            first, _ = await world.send(pair.first, "id-1", Turn(pair.first_reply, surpluses))
            await worker.stutter()
            second_id = "id-1" if pair.is_same_id else "id-2"
            second, _ = await world.send(pair.second, second_id, Turn(pair.own))
            return PairResult(first, second, list(worker.runs))

    return anyio.run(main)


def check(pairs: list[Pair], allowed: frozenset[Verdict] = NOT_WRONG, max_connections: int = 2) -> None:
    """Assert that the second sends of all pairs got a verdict that is allowed, with one run at most each."""
    found = []
    for pair in pairs:
        result = play(pair)
        assert result.first is Verdict.OWN, f"{result.first}: {pair}"
        is_allowed = result.second in allowed and len(result.runs) <= 2
        if not is_allowed or result.num_connections > max_connections:
            found.append(f"{result.second}, {result.num_connections} connections: {pair}")
    assert not found, "\n".join([f"{len(found)} of {len(pairs)} pairs", *found])


def check_own(pairs: list[Pair], max_connections: int = 2) -> None:
    """Assert that the second sends of all pairs got their own answers."""
    check(pairs, frozenset([Verdict.OWN]), max_connections)


def check_lost(pairs: list[Pair]) -> None:
    """Assert that what no answer can be found behind ends the second send, if it came on its connection."""
    found = []
    for pair in pairs:
        result = play(pair)
        assert result.first is Verdict.OWN, f"{result.first}: {pair}"
        expected = Verdict.LOST if result.num_connections == 1 else Verdict.OWN
        if result.second is not expected:
            found.append(f"{result.second}: {pair}")
    assert not found, "\n".join([f"{len(found)} of {len(pairs)} pairs", *found])


@pytest.mark.parametrize("kind", [*REQUESTS, "head"])
@pytest.mark.parametrize("when", When)
def test_a_send_under_an_earlier_id_never_gets_the_earlier_answer(kind: str, when: When) -> None:
    # Callers retry under one id, and items, scoring calls and resumed streams are sent under one id often.
    check([Pair(kind, kind, when, (surplus,), own, is_same_id=True) for surplus, own in DIFFERENT])


@pytest.mark.parametrize("kind", REQUESTS)
@pytest.mark.parametrize("when", When)
def test_an_earlier_chunked_answer_is_never_taken_under_the_same_id(kind: str, when: When) -> None:
    pairs = [
        Pair(kind, kind, when, (Reply(status, framing=Framing.CHUNKS),), own, is_same_id=True)
        for status, own in product([200, 500], [OK, FAILED, Reply(framing=Framing.CHUNKS)])
    ]
    check(pairs)


@pytest.mark.parametrize(
    ("first", "second"), [("item", "scoring"), ("once_only", "item"), ("head", "stream")]
)
def test_an_id_that_served_another_kind_of_send_tells_nothing(first: str, second: str) -> None:
    check(
        [
            Pair(first, second, when, (surplus,), own, is_same_id=True)
            for when, (surplus, own) in product(When, DIFFERENT)
        ]
    )


@pytest.mark.parametrize("kind", REQUESTS)
def test_an_earlier_rejection_never_says_that_the_next_send_has_not_run(kind: str) -> None:
    # An item that was running unwatched was sent on, and ran twice at once.
    check([Pair(kind, kind, when, (FULL,), OK, is_same_id=True, first_reply=FULL) for when in When])


@pytest.mark.parametrize("kind", [*REQUESTS, "head"])
@pytest.mark.parametrize("when", When)
def test_a_surplus_without_an_id_answers_no_request(kind: str, when: When) -> None:
    # Failures and rejections were taken without an id.
    surpluses = [
        Reply(status, has_id=False, is_not_run=status == 503) for status in (200, 421, 422, 500, 503)
    ]
    check([Pair("port", kind, when, (surplus,), OK) for surplus in surpluses])


@pytest.mark.parametrize("status", [200, 421, 422, 429, 500, 503, 504])
def test_an_answer_without_an_id_may_have_run(status: int) -> None:
    # Every answer carries the id, so whose it is cannot be told.
    own = Reply(status, has_id=False, is_not_run=status in (429, 503))

    async def main() -> dict[str, Verdict]:
        async with stuttering_worker() as worker:
            world = World(worker)
            return {
                kind: (await world.send(kind, f"id-{kind}", Turn(own)))[0] for kind in [*REQUESTS, "head"]
            }

    assert set(anyio.run(main).values()) == {Verdict.LOST}


@pytest.mark.parametrize("carries_all_ids", [True, False])
@pytest.mark.parametrize("first", ["port", "item", "order", "report"])
@pytest.mark.parametrize("when", When)
def test_an_order_never_takes_an_answer_to_something_else(
    first: str, when: When, carries_all_ids: bool
) -> None:
    # Any 200 read as "held already" and any 412 as "fenced".
    different = [(OK, TAKEN), (FENCED, TAKEN), (CONFLICT, OK), (TAKEN, FENCED), (FULL, TAKEN), (MOVED, TAKEN)]
    check(
        [
            Pair(first, "order", when, (surplus,), own, carries_all_ids=carries_all_ids)
            for surplus, own in [*different, (Reply(409, has_id=False), OK), (Reply(has_id=False), TAKEN)]
        ]
    )


@pytest.mark.parametrize("carries_all_ids", [True, False])
@pytest.mark.parametrize("first", ["port", "item", "order", "report"])
def test_a_report_is_never_an_earlier_report_nor_another_answer(first: str, carries_all_ids: bool) -> None:
    check(
        [
            Pair(first, "report", when, (surplus,), OK, carries_all_ids=carries_all_ids)
            for when, surplus in product(When, [OK, Reply(has_id=False), Reply(framing=Framing.CHUNKS), FULL])
        ]
    )


@pytest.mark.parametrize("carries_all_ids", [True, False])
@pytest.mark.parametrize("kind", [*REQUESTS, "head"])
def test_an_answer_to_an_order_or_a_report_says_nothing_about_a_request(
    kind: str, carries_all_ids: bool
) -> None:
    # A surplus 421 or 503 read as "has not run".
    check(
        [
            Pair(first, kind, when, (surplus,), OK, carries_all_ids=carries_all_ids)
            for first, when, surplus in product(CALLS, When, [OK, FULL, MOVED, FAILED])
        ]
    )


@pytest.mark.parametrize("kind", [*REQUESTS, "head"])
def test_an_id_is_not_sent_twice_on_one_connection(kind: str) -> None:
    # A surplus answer travels on the connection of its request, where its id then decides whose it is.
    async def main() -> list[Run]:
        async with stuttering_worker() as worker:
            world = World(worker)
            for _ in range(4):
                verdict, _ = await world.send(kind, "id-1", Turn())
                assert verdict is Verdict.OWN
            return worker.runs

    assert len({run.connection for run in anyio.run(main)}) == 4


def test_sends_with_ids_of_their_own_share_a_connection() -> None:
    # New connections are expensive, and a worker takes few.
    async def main() -> list[Run]:
        async with stuttering_worker() as worker:
            world = World(worker)
            for number, kind in enumerate(REQUESTS * 3):
                verdict, _ = await world.send(kind, f"id-{number}", Turn())
                assert verdict is Verdict.OWN
            return worker.runs

    assert len({run.connection for run in anyio.run(main)}) == 1


def test_concurrent_sends_under_one_id_get_their_own_answers() -> None:
    # A second round finds surpluses of the first on every connection.
    async def main() -> list[Verdict]:
        verdicts = []
        async with stuttering_worker() as worker:
            world = World(worker)
            turn = Turn(surpluses=(Surplus(When.BEFORE_NEXT, OK),))

            async def send(kind: str) -> None:
                verdicts.append((await world.send(kind, "id-1", turn))[0])

            for _ in range(3):
                async with anyio.create_task_group() as group:
                    for kind in [*REQUESTS, *REQUESTS]:
                        group.start_soon(send, kind)
        return verdicts

    assert set(anyio.run(main)) == {Verdict.OWN}


def whole_surpluses(kind: str, framing: Framing, when: When) -> list[Pair]:
    surpluses = [Reply(status, framing=framing) for status in (200, 404, 500, 503)]
    own = [OK, Reply(framing=Framing.CHUNKS)]
    return [Pair("port", kind, when, (surplus,), reply) for surplus, reply in product(surpluses, own)]


@pytest.mark.parametrize("kind", REQUESTS)
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS])
def test_the_own_answer_behind_a_whole_surplus_is_delivered_on_the_same_connection(
    kind: str, framing: Framing
) -> None:
    # Such requests were lost, although their answer was there, and those that may run once failed.
    check_own(whole_surpluses(kind, framing, When.BEFORE_NEXT), max_connections=1)


@pytest.mark.parametrize("kind", REQUESTS)
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS])
def test_a_whole_surplus_in_one_write_with_the_answer_before_needs_no_new_connection(
    kind: str, framing: Framing
) -> None:
    check_own(whole_surpluses(kind, framing, When.AT_ONCE), max_connections=1)


@pytest.mark.parametrize("kind", REQUESTS)
def test_an_own_failure_behind_a_whole_surplus_is_delivered(kind: str) -> None:
    check_own([Pair("port", kind, When.BEFORE_NEXT, (OK,), own) for own in (FAILED, FULL, Reply(422))], 1)


@pytest.mark.parametrize("kind", REQUESTS)
def test_the_own_answer_behind_several_surpluses_is_delivered(kind: str) -> None:
    surpluses = (FAILED, Reply(framing=Framing.CHUNKS), FULL)
    check_own([Pair("port", kind, When.BEFORE_NEXT, surpluses)], max_connections=1)


@pytest.mark.parametrize("kind", REQUESTS)
def test_the_own_answer_behind_a_surplus_without_a_body_is_delivered(kind: str) -> None:
    check_own([Pair("port", kind, When.BEFORE_NEXT, (Reply(204),))], max_connections=1)


@pytest.mark.parametrize("first", ["once_only", "stream", "item", "scoring"])
def test_a_surplus_of_any_request_costs_the_next_one_nothing(first: str) -> None:
    pairs = [
        Pair(first, second, when, (surplus,))
        for second, when, surplus in product(["once_only", "item"], When, [OK, FAILED])
    ]
    check_own(pairs)


@pytest.mark.parametrize("carries_all_ids", [True, False])
@pytest.mark.parametrize("first", CALLS)
def test_surpluses_of_orders_and_reports_cost_no_request(first: str, carries_all_ids: bool) -> None:
    # With an id they can be told; without one they must not lie on the connections of requests.
    check_own(
        [
            Pair(first, kind, When.BEFORE_NEXT, (surplus,), carries_all_ids=carries_all_ids)
            for kind, surplus in product(REQUESTS, [OK, FULL])
        ]
    )


@pytest.mark.parametrize("kind", [*REQUESTS, "head"])
@pytest.mark.parametrize("name", UNREADABLE)
def test_nothing_is_read_on_behind_what_tells_no_end_or_no_id(kind: str, name: str) -> None:
    check_lost([Pair("port", kind, When.BEFORE_NEXT, (UNREADABLE[name],))])


async def verdict_on_flood(kind: str, flood_start: bytes, flood: bytes) -> Verdict:
    """Return what a send gets in place of whose answer bytes come without an end."""
    async with stuttering_worker() as worker:
        world = World(worker, deadline_s=SHORT_DEADLINE_S, bound_s=FLOOD_BOUND_S)
        await world.send("port", "id-1", Turn())
        return (await world.send(kind, "id-2", Turn(flood_start=flood_start, flood=flood)))[0]


@pytest.mark.parametrize("kind", SENDERS)
@pytest.mark.parametrize("name", FLOODS)
def test_bytes_without_an_end_end_the_send(kind: str, name: str) -> None:
    # Interim answers without an end held a send without an end, as the body of a surplus might.
    assert anyio.run(verdict_on_flood, kind, *FLOODS[name]) is Verdict.LOST


@pytest.mark.parametrize("kind", CALLS)
@pytest.mark.parametrize(
    "framing", [b"", b"Transfer-Encoding: chunked\r\n", b"Content-Length: 9999999999\r\n"]
)
def test_the_answer_to_an_order_or_a_report_has_an_end(kind: str, framing: bytes) -> None:
    # Their time limits held for each read, so that a body without an end was read without an end.
    flood = b"3e8\r\n" + b"b" * 1000 + b"\r\n"
    verdict = anyio.run(verdict_on_flood, kind, b"HTTP/1.1 200 x\r\n" + framing + b"\r\n", flood)
    assert verdict is Verdict.LOST


@pytest.mark.parametrize("kind", ["port", "once_only", "stream", "scoring"])
def test_a_surplus_that_breaks_off_in_its_body_ends_the_send_at_its_deadline(kind: str) -> None:
    # It swallows the own answer, and the rest of its body never comes.
    cut = SURPLUS_HEAD + b"Content-Length: 100000\r\n\r\nx"
    check_lost([Pair("port", kind, When.BEFORE_NEXT, (cut,), deadline_s=SHORT_DEADLINE_S)])


def test_a_surplus_that_breaks_off_in_its_body_does_not_hold_an_item() -> None:
    # Runs of items have no deadline.
    cut = SURPLUS_HEAD + b"Content-Length: 100000\r\n\r\nx"
    check_lost([Pair("port", "item", When.BEFORE_NEXT, (cut,))])


@pytest.mark.parametrize("kind", [*REQUESTS, "head"])
@pytest.mark.parametrize("when", When)
def test_surpluses_around_head_requests_are_never_taken_for_answers(kind: str, when: When) -> None:
    # An answer to HEAD states the length of a body that does not follow.
    check([Pair("head", kind, when, (surplus,), own) for surplus, own in DIFFERENT])
    check([Pair(kind, "head", when, (surplus,), own) for surplus, own in DIFFERENT])


@pytest.mark.parametrize("kind", SENDERS)
@pytest.mark.parametrize("is_same_id", [False, True])
def test_bytes_that_arrive_while_a_connection_is_idle_cost_no_send(kind: str, is_same_id: bool) -> None:
    surpluses = [OK, FULL, *UNREADABLE.values(), *NOISE]
    check_own([Pair(kind, kind, When.IDLE, (surplus,), is_same_id=is_same_id) for surplus in surpluses])


@pytest.mark.parametrize("kind", SENDERS)
@pytest.mark.parametrize("is_same_id", [False, True])
def test_bytes_that_came_with_the_answer_before_cost_no_send(kind: str, is_same_id: bool) -> None:
    # They are no longer in the socket, where a look would find them, but in the parser.
    surpluses = [OK, FULL, *UNREADABLE.values(), *NOISE]
    check_own([Pair(kind, kind, When.AT_ONCE, (surplus,), is_same_id=is_same_id) for surplus in surpluses])


@pytest.mark.parametrize("carries_all_ids", [True, False])
def test_without_a_surplus_each_send_gets_its_own_answer(carries_all_ids: bool) -> None:
    configure_logs("error")
    requests = [OK, FAILED, FULL, MOVED, Reply(422), Reply(framing=Framing.CHUNKS)]
    own = {"order": [OK, TAKEN, FENCED, CONFLICT, FULL], "report": [OK, FAILED]}

    async def main() -> list[str]:
        lost = []
        async with stuttering_worker(carries_all_ids) as worker:
            world = World(worker)
            for kind in SENDERS:
                for reply in own.get(kind, requests):
                    verdict, _ = await world.send(kind, "id", Turn(reply))
                    if verdict is not Verdict.OWN:
                        lost.append(f"{verdict}: {kind} {reply}")
        return lost

    assert not anyio.run(main)


def test_a_connection_that_its_worker_has_closed_costs_no_send() -> None:
    async def main() -> list[Verdict]:
        async with stuttering_worker() as worker:
            world = World(worker)
            verdicts = []
            for kind in SENDERS:
                verdicts.append((await world.send(kind, f"id-{kind}", Turn(is_closing=True)))[0])
                await worker.stutter()
            return verdicts

    assert set(anyio.run(main)) == {Verdict.OWN}


@pytest.mark.parametrize("when", When)
def test_a_stream_resumed_where_its_id_was_answered_before_goes_on_with_its_own_events(when: When) -> None:
    # A caller retries under one id: the worker that takes the stream up has answered that id before.
    configure_logs("error")
    turn = Turn(surpluses=(Surplus(when, OK),))

    async def main() -> bytes:
        async with stuttering_worker() as one, stuttering_worker(worker_id="i-2") as other:
            workers, directory = PlatformWorkers(), WorkerDirectory()
            for worker in (one, other):
                directory.put(worker.entry)
                await World(worker, workers).send("stream", "id-1", turn)
                await worker.stutter()
                worker.turns["new"] = Turn(is_cut=True)
            forwarder = Forwarder(directory, workers, random.Random(1))
            now = anyio.current_time()
            request = LiveRequest("id-1", "POST", b"/x?new", HEADERS, b"p", now, now + DEADLINE_S)
            async with AsyncExitStack() as stack:
                on = replace(route(RouteKind.STREAMING, is_resumable=True), timeout_seconds=None)
                outcome = await forwarder.forward(request, on, stack)
                assert isinstance(outcome, StreamAnswer)
                try:
                    return b"".join([block async for block in outcome.events])
                except WorkerAnswerBrokenError:
                    return b""

    assert anyio.run(main) == b"".join(b"id: %d\ndata: new\n\n" % number for number in (1, 2, 3))


REQUEST_REPLIES = [OK, FAILED, FULL, Reply(422), Reply(framing=Framing.CHUNKS)]
WITHOUT_ID = [Reply(has_id=False), Reply(500, has_id=False), Reply(503, has_id=False, is_not_run=True)]
replies = {
    "order": st.sampled_from([OK, TAKEN, FENCED, CONFLICT, FULL]),
    "report": st.sampled_from([OK, FAILED]),
}
#: Most surpluses are whole, so that sequences get beyond the first of them.
whole_surpluses_drawn = st.builds(
    Surplus,
    st.sampled_from([When.BEFORE_NEXT, When.BEFORE_NEXT, When.AT_ONCE, When.IDLE]),
    st.builds(
        Reply,
        status=st.sampled_from([200, 202, 409, 412, 421, 422, 500, 503]),
        has_id=st.sampled_from([True, True, True, False]),
        framing=st.sampled_from([Framing.LENGTH, Framing.CHUNKS, Framing.LENGTH, Framing.CLOSE]),
        is_not_run=st.booleans(),
    ),
)
noise_drawn = st.one_of(
    st.builds(Surplus, st.sampled_from([When.AT_ONCE, When.IDLE]), st.sampled_from(NOISE)),
    st.builds(Surplus, st.just(When.BEFORE_NEXT), st.sampled_from(NOISE[:2])),
)
surpluses_drawn = st.sampled_from([whole_surpluses_drawn] * 5 + [noise_drawn]).flatmap(lambda drawn: drawn)


@dataclass(frozen=True, slots=True)
class Step:
    """One send, and what the worker does with it."""

    kind: str
    request_id: str
    turn: Turn


def steps_of(kind: str) -> st.SearchStrategy[Step]:
    turn = st.builds(
        Turn,
        reply=replies.get(kind, st.sampled_from([*REQUEST_REPLIES, *REQUEST_REPLIES, *WITHOUT_ID])),
        surpluses=st.sampled_from([0, 1, 1, 2]).flatmap(
            lambda num: st.lists(surpluses_drawn, min_size=num, max_size=num).map(tuple)
        ),
        is_closing=st.sampled_from([False] * 9 + [True]),
    )
    return st.builds(Step, st.just(kind), st.sampled_from(["id-a", "id-b", "id-c"]), turn)


#: One or two kinds of sends, so that a surplus often meets a send that might take it.
sequences = st.lists(st.sampled_from([*SENDERS, *CALLS, *CALLS]), min_size=1, max_size=2).flatmap(
    lambda kinds: st.lists(st.sampled_from(kinds).flatmap(steps_of), min_size=3, max_size=7)
)


async def fault_of_step(world: World, step: Step) -> str:
    """Play a step; return what is wrong about it, empty if nothing is."""
    worker = world.worker
    is_excused = worker.owes_unreadable
    if step.kind == "head" or (step.kind in CALLS and not worker.carries_all_ids):
        is_excused = worker.owes_answers
    verdict, mark = await world.send(step.kind, step.request_id, step.turn)
    await worker.stutter()
    if verdict not in NOT_WRONG or worker.num_runs_of(mark) > 1:
        return f"{verdict}: {step}"
    has_answer = step.kind in CALLS or step.turn.reply.has_id
    if verdict is Verdict.LOST and has_answer and not is_excused:
        return f"lost an answer that could be read: {step}"
    return ""


@settings(max_examples=100, deadline=None)
@given(steps=sequences, carries_all_ids=st.booleans())
def test_whatever_is_answered_twice_each_send_gets_its_own_answer_or_none(
    steps: list[Step], carries_all_ids: bool
) -> None:
    configure_logs("error")

    async def main() -> str:
        async with stuttering_worker(carries_all_ids) as worker:
            world = World(worker)
            for step in steps:
                if found := await fault_of_step(world, step):
                    return found
        return ""

    assert not anyio.run(main)
