"""Attempts of live requests: which may be repeated, when a request is not run, and whose answer is used."""

import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from worksramp.logs import configure_logs
from worksramp.routing.attempts import LiveRequest, WholeAnswer
from worksramp.routing.forward import Forwarder, ForwardOutcome, MayHaveRun, NotRun
from worksramp.routing.live_stream import StreamAnswer
from worksramp.routing.table import Route, RouteKind, SplitPart
from worksramp.routing.worker_port import (
    ListenerState,
    OrderOutcome,
    VersionOrder,
    WorkerAnswer,
    WorkerAnswerBrokenError,
    WorkerPort,
    WorkerReport,
    WorkerRequest,
    WorkerUnreachableError,
)
from worksramp.routing.workers import WorkerDirectory, WorkerEntry
from worksramp.serving.asgi import Message, send_stream
from worksramp_emulator.simulation.clock import run_simulated

DEADLINE_SECONDS = 1.0


@dataclass
class Script:
    """Behaviour of the worker at the n-th attempt."""

    kind: str
    seconds: float = 0.01
    events: tuple[str, ...] = ()
    status: int = 200


@dataclass
class ScriptedPort(WorkerPort):
    scripts: list[Script]
    sent: list[tuple[str, WorkerRequest]] = field(default_factory=list)
    num_open: int = 0
    listener: ListenerState = ListenerState.ACCEPTS
    weight_version: int | None = None
    version_field = "version"

    @asynccontextmanager
    async def send(self, worker: WorkerEntry, request: WorkerRequest) -> AsyncIterator[WorkerAnswer]:
        script = self.scripts[len(self.sent)]
        self.sent.append((worker.worker_id, request))
        if script.kind in ("unreachable", "refusing"):
            raise WorkerUnreachableError(worker.worker_id, is_refusal=script.kind == "refusing")
        self.num_open += 1
        try:
            await anyio.sleep(script.seconds)
            if script.kind == "broken":
                raise WorkerAnswerBrokenError(worker.worker_id)
            yield WorkerAnswer(
                status=503 if script.kind == "full" else script.status,
                headers=((b"worker", worker.worker_id.encode()),),
                is_not_run=script.kind in ("full", "other"),
                is_other_worker=script.kind == "other",
                is_leaving=False,
                signature="stamp",
                load=None,
                weight_version=self.weight_version,
                body=self._body(script),
            )
        finally:
            self.num_open -= 1

    async def _body(self, script: Script) -> AsyncIterator[bytes]:
        for event in script.events:
            yield event.encode()
        if script.kind == "cut":
            raise WorkerAnswerBrokenError("cut")
        if script.kind == "silent":
            await anyio.sleep_forever()

    async def listener_state(self, worker: WorkerEntry) -> ListenerState:
        return self.listener

    async def order_version(self, worker: WorkerEntry, order: VersionOrder) -> OrderOutcome:
        raise NotImplementedError

    async def report(self, worker: WorkerEntry) -> WorkerReport | None:
        raise NotImplementedError

    async def is_there(self, worker: WorkerEntry, health_path: str) -> bool:
        raise NotImplementedError


def route(kind: RouteKind, max_attempts: int = 2, is_resumable: bool = False) -> Route:
    return Route(
        "r", "h", "/", kind, (SplitPart("s", 1.0),), timeout_seconds=0.8, objective_seconds=0.2,
        max_attempts=max_attempts, is_resumable=is_resumable,
    )  # fmt: skip


def forward_one(
    port: ScriptedPort,
    on: Route,
    num_workers: int = 3,
    is_read: bool = True,
) -> tuple[ForwardOutcome, float, bytes]:
    """Forward one request; return the outcome, the seconds it took, and the bytes of a stream.

    Args:
        is_read: whether the caller reads the stream.
    """
    configure_logs("error")
    directory = WorkerDirectory()
    for number in range(num_workers):
        directory.put(WorkerEntry(f"w{number}", "s", f"w{number}:1", "z", 4))

    async def main() -> tuple[ForwardOutcome, float, bytes]:
        forwarder = Forwarder(directory, port, random.Random(1))
        now = anyio.current_time()
        request = LiveRequest("id", "POST", b"/x", (), b"", now, now + DEADLINE_SECONDS)
        streamed = b""
        async with AsyncExitStack() as stack:
            outcome = await forwarder.forward(request, on, stack)
            if isinstance(outcome, StreamAnswer):

                async def receive(message: Message) -> None:
                    nonlocal streamed
                    streamed += message.get("body", b"")
                    if not is_read:
                        await anyio.sleep_forever()

                try:
                    await send_stream(receive, outcome.status, [], outcome.events, outcome.ends_at)
                except WorkerAnswerBrokenError:
                    streamed += b"(cut)"
                except TimeoutError:
                    streamed += b"(overdue)"
        return outcome, anyio.current_time() - now, streamed

    result = run_simulated(main, 1)
    assert port.num_open == 0
    assert all(state.num_in_flight == 0 for state in directory.all_states())
    return result


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
@pytest.mark.parametrize("first", ["unreachable", "full", "other"])
def test_a_request_that_has_certainly_not_run_is_sent_to_another_worker(first: str, kind: RouteKind) -> None:
    port = ScriptedPort([Script(first), Script("answer")])
    outcome, _, _ = forward_one(port, route(kind))
    assert isinstance(outcome, WholeAnswer) and outcome.status == 200
    assert len({worker for worker, _ in port.sent}) == 2


def test_a_request_with_a_broken_answer_is_repeated_only_where_that_is_allowed() -> None:
    port = ScriptedPort([Script("broken"), Script("answer")])
    assert isinstance(forward_one(port, route(RouteKind.IDEMPOTENT))[0], WholeAnswer)
    port = ScriptedPort([Script("broken"), Script("answer")])
    outcome, _, _ = forward_one(port, route(RouteKind.NON_IDEMPOTENT))
    assert isinstance(outcome, MayHaveRun) and not outcome.is_late
    assert len(port.sent) == 1


def test_a_request_is_sent_to_no_more_workers_than_the_route_allows() -> None:
    port = ScriptedPort([Script("full"), Script("full"), Script("answer")])
    outcome, _, _ = forward_one(port, route(RouteKind.IDEMPOTENT, max_attempts=2))
    assert isinstance(outcome, NotRun) and outcome.retry_after_seconds > 0
    assert len(port.sent) == 2


def test_refused_connections_do_not_count_as_attempts_and_silent_workers_do() -> None:
    port = ScriptedPort([Script("refusing"), Script("refusing"), Script("full"), Script("answer")])
    outcome, _, _ = forward_one(port, route(RouteKind.NON_IDEMPOTENT), num_workers=4)
    assert isinstance(outcome, WholeAnswer) and len(port.sent) == 4
    port = ScriptedPort([Script("unreachable"), Script("unreachable"), Script("answer")])
    assert isinstance(forward_one(port, route(RouteKind.IDEMPOTENT))[0], NotRun)


def test_a_request_fails_at_once_if_all_workers_refuse_connections() -> None:
    port = ScriptedPort([Script("refusing")] * 30)
    outcome, seconds, _ = forward_one(port, route(RouteKind.IDEMPOTENT), num_workers=30)
    assert isinstance(outcome, NotRun) and seconds < 0.05
    assert len(port.sent) == 10


def test_a_request_without_attempts_left_is_answered_at_once() -> None:
    port = ScriptedPort([Script("full"), Script("full")])
    _, seconds, _ = forward_one(port, route(RouteKind.IDEMPOTENT))
    assert seconds < 0.05
    outcome, seconds, _ = forward_one(ScriptedPort([]), route(RouteKind.IDEMPOTENT), num_workers=0)
    assert isinstance(outcome, NotRun) and seconds == 0


def test_a_late_attempt_gets_a_backup_and_the_first_answer_wins() -> None:
    port = ScriptedPort([Script("answer", 5.0), Script("answer", 0.02)])
    outcome, seconds, _ = forward_one(port, route(RouteKind.IDEMPOTENT))
    assert isinstance(outcome, WholeAnswer)
    assert outcome.headers == ((b"worker", port.sent[1][0].encode()),)
    assert 0.1 < seconds < 0.15


def test_a_request_that_may_run_only_once_gets_no_backup() -> None:
    port = ScriptedPort([Script("answer", 0.5)])
    outcome, _, _ = forward_one(port, route(RouteKind.NON_IDEMPOTENT))
    assert isinstance(outcome, WholeAnswer) and len(port.sent) == 1


def test_a_request_that_exceeds_the_timeout_of_the_route_may_have_run() -> None:
    port = ScriptedPort([Script("answer", 5.0), Script("answer", 5.0)])
    outcome, seconds, _ = forward_one(port, route(RouteKind.IDEMPOTENT))
    assert isinstance(outcome, MayHaveRun) and outcome.is_late
    assert seconds == pytest.approx(0.8)
    assert all((request.deadline_seconds or 9) <= 0.8 for _, request in port.sent)


def test_a_workers_server_error_is_returned_if_no_other_attempt_succeeds() -> None:
    port = ScriptedPort([Script("answer", status=500), Script("answer", status=500)])
    outcome, _, _ = forward_one(port, route(RouteKind.IDEMPOTENT))
    assert isinstance(outcome, WholeAnswer) and outcome.status == 500


def event(number: int) -> str:
    return f"id: {number}\ndata: d{number}\n\n"


def test_a_broken_stream_is_resumed_after_its_last_complete_event() -> None:
    port = ScriptedPort(
        [
            Script("cut", events=(event(1), event(2), "id: 3\nda")),
            Script("answer", events=(event(3), event(4))),
        ]
    )
    outcome, _, streamed = forward_one(port, route(RouteKind.STREAMING, is_resumable=True))
    assert isinstance(outcome, StreamAnswer)
    assert streamed.decode() == "".join(event(number) for number in (1, 2, 3, 4))
    assert [request.resume_after for _, request in port.sent] == [None, "2"]


def test_a_stream_that_may_not_be_resumed_ends_with_an_error() -> None:
    port = ScriptedPort([Script("cut", events=(event(1), "id: 2\nda"))])
    _, _, streamed = forward_one(port, route(RouteKind.STREAMING))
    assert streamed.decode() == event(1) + "(cut)"


def test_a_stream_that_ends_inside_an_event_is_not_complete() -> None:
    port = ScriptedPort([Script("answer", events=(event(1), "id: 2\nda"))])
    _, _, streamed = forward_one(port, route(RouteKind.STREAMING))
    assert streamed.decode() == event(1) + "(cut)"


def test_a_refused_stream_is_opened_at_another_worker() -> None:
    port = ScriptedPort([Script("full"), Script("answer", events=(event(1),))])
    outcome, _, streamed = forward_one(port, route(RouteKind.STREAMING))
    assert isinstance(outcome, StreamAnswer) and streamed.decode() == event(1)


ONCE_ONLY = [route(RouteKind.NON_IDEMPOTENT, 3), route(RouteKind.STREAMING, 3), route(RouteKind.STREAMING, 1)]
#: Behaviours that prove that the worker has not run the request.
NOT_RUN_KINDS = ("unreachable", "refusing", "full", "other")


@pytest.mark.parametrize("on", ONCE_ONLY, ids=["non_idempotent", "stream", "stream-one-attempt"])
@pytest.mark.parametrize("status", [500, 504])
@pytest.mark.parametrize(
    "broken",
    [Script("broken"), Script("cut"), Script("cut", events=("part of the bo",))],
    ids=["no-head", "head-alone", "inside-the-body"],
)
def test_a_failure_that_breaks_off_has_run(broken: Script, status: int, on: Route) -> None:
    # A stream that must not be repeated ran again, or got "has not run", when a worker's 500 broke off.
    port = ScriptedPort([replace(broken, status=status), Script("answer"), Script("answer")])
    outcome, _, _ = forward_one(port, on)
    assert isinstance(outcome, MayHaveRun) and not outcome.is_late
    assert len(port.sent) == 1


@pytest.mark.parametrize("on", ONCE_ONLY, ids=["non_idempotent", "stream", "stream-one-attempt"])
def test_a_failure_whose_body_never_ends_is_no_answer(on: Route) -> None:
    # At the deadline, a stream's failure was passed on as a whole answer with an empty body.
    port = ScriptedPort([Script("silent", events=("part",), status=500), Script("answer")])
    outcome, seconds, _ = forward_one(port, on)
    assert isinstance(outcome, MayHaveRun) and outcome.is_late
    assert seconds == pytest.approx(0.8)
    assert len(port.sent) == 1


@pytest.mark.parametrize("is_resumable", [False, True])
def test_a_stream_whose_worker_falls_silent_ends_at_the_timeout_of_its_route(is_resumable: bool) -> None:
    # Streams whose worker was silent after the head were held for as long as the client stayed.
    port = ScriptedPort([Script("silent", events=(event(1),))])
    _, seconds, streamed = forward_one(port, route(RouteKind.STREAMING, is_resumable=is_resumable))
    assert streamed.decode() == event(1) + "(overdue)"
    assert seconds == pytest.approx(0.8)


@pytest.mark.parametrize("second", [Script("answer", seconds=5.0), Script("silent")])
def test_a_resumed_stream_ends_at_the_timeout_of_its_route(second: Script) -> None:
    # The worker that took a stream up was waited for without an end.
    port = ScriptedPort([Script("cut", events=(event(1),)), second])
    _, seconds, streamed = forward_one(port, route(RouteKind.STREAMING, is_resumable=True))
    assert streamed.decode() == event(1) + "(overdue)"
    assert seconds == pytest.approx(0.8)


def test_a_stream_whose_client_does_not_read_ends_at_the_timeout_of_its_route() -> None:
    # A client that does not read must not hold its worker's connection.
    port = ScriptedPort([Script("answer", events=(event(1), event(2)))])
    _, seconds, _ = forward_one(port, route(RouteKind.STREAMING), is_read=False)
    assert seconds == pytest.approx(0.8)


@settings(max_examples=300, deadline=None)
@given(
    scripts=st.lists(
        st.builds(
            Script,
            kind=st.sampled_from([*NOT_RUN_KINDS, "broken", "cut", "silent", "answer"]),
            seconds=st.sampled_from([0.01, 0.3, 5.0]),
            events=st.sampled_from([(), (event(1),), (event(1), "id: 2\nda")]),
            status=st.sampled_from([200, 500, 504]),
        ),
        min_size=3,
        max_size=3,
    ),
    on=st.sampled_from(ONCE_ONLY),
)
def test_whatever_workers_do_a_request_that_may_run_once_runs_once(scripts: list[Script], on: Route) -> None:
    # Each way in which an attempt can end decides whether another may follow, and what the caller is told.
    port = ScriptedPort(scripts)
    outcome, _, _ = forward_one(port, on)
    ran = [script for script in scripts[: len(port.sent)] if script.kind not in NOT_RUN_KINDS]
    assert len(ran) <= 1
    assert not (ran and isinstance(outcome, NotRun))
