"""Answers whose status is none of HTTP: no client of the process takes one for an answer.

A status of 600 and more, with the call's own id, reached the client as the answer of its request. An order
answered so counted as refused, although nothing says that it was not carried out.
"""

import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import anyio
import anyio.abc
import httpx
import pytest
from worksramp_platform.duties import PlatformDuties
from worksramp_platform.store import StoreLog
from worksramp_platform.workers import PlatformWorkers

from tests.platform.served_worker import id_in, listening
from worksramp.backends.base import ApplicationRequest, GenerateRequest, LoadOrder
from worksramp.backends.http import (
    HttpApplicationClient,
    HttpEngineClient,
    HttpLogClient,
    HttpMachineListClient,
    HttpScorerClient,
    HttpWeightStoreClient,
)
from worksramp.coordination.shared_log import (
    KeyedRecord,
    LogLimits,
    LogUnavailableError,
    OutcomeOpen,
    Partition,
)
from worksramp.duties.port import DutyHolder, DutyOpen, WorkerCount
from worksramp.outcomes import InterruptedStepError
from worksramp.routing.attempts import LiveRequest
from worksramp.routing.forward import Forwarder, ForwardOutcome, MayHaveRun
from worksramp.routing.live_stream import StreamAnswer
from worksramp.routing.table import Route, RouteKind, SplitPart
from worksramp.routing.worker_port import OrderOpen, OrderRefused, RunsDuringLoad, VersionOrder
from worksramp.routing.workers import WorkerDirectory, WorkerEntry

#: Numbers of three digits outside 200 to 599, other lengths, and what is no number.
ODD_STATUSES = [b"000", b"001", b"099", b"600", b"777", b"999", b"0", b"20", b"2000", b"-01", b"abc", b"+20"]
#: Final answers cannot have these; nothing follows them here.
INTERIM_STATUSES = [b"100", b"101", b"199"]
BODY = b'{"models":[{"name":"m","version":3}],"seq":4,"offset":1,"items":[],"end":1,"reward":1}'
PARTITION = Partition("t", 0)
HOLDER = DutyHolder("n", 1)
ORDER = VersionOrder("m", 2, RunsDuringLoad.CONTINUE, "n", 1, None)

odd_statuses = pytest.mark.parametrize("status", ODD_STATUSES + INTERIM_STATUSES)


def served(status: bytes, ask: Callable[[WorkerEntry], Awaitable[object]]) -> object:
    """Return what a client makes of a whole answer with this status."""

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            async for request in stream:
                head = b"HTTP/1.1 " + status + b" x\r\nX-Worksramp-Attempt-Id: " + id_in(request)
                head += b"\r\nX-Worksramp-Server-Stamp: s\r\ncontent-length: %d\r\n\r\n" % len(BODY)
                await stream.send(head + BODY)

    async def main() -> object:
        async with listening(serve) as entry:
            return await ask(entry)

    return anyio.run(main)


async def forwarded(entry: WorkerEntry, kind: RouteKind, resume_after: str | None = None) -> ForwardOutcome:
    directory = WorkerDirectory()
    directory.put(entry)
    forwarder = Forwarder(directory, PlatformWorkers(), random.Random(1))
    now = anyio.current_time()
    headers = ((b"host", b"h"),)
    request = LiveRequest("r1", "POST", b"/x", headers, b"p", now, now + 30.0, resume_after)
    is_resumable = resume_after is not None
    route = Route("r", "h", "/", kind, (SplitPart("s", 1.0),), max_attempts=1, is_resumable=is_resumable)
    async with AsyncExitStack() as stack:
        outcome = await forwarder.forward(request, route, stack)
        assert not isinstance(outcome, StreamAnswer)
        return outcome


@odd_statuses
@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING])
def test_a_live_request_gets_no_such_status_and_may_have_run(status: bytes, kind: RouteKind) -> None:
    async def ask(entry: WorkerEntry) -> ForwardOutcome:
        # The end of the request is far away: what cannot be an answer is known at once.
        with anyio.fail_after(10.0):
            return await forwarded(entry, kind)

    assert isinstance(served(status, ask), MayHaveRun)


@odd_statuses
def test_a_resumed_stream_gets_no_such_status(status: bytes) -> None:
    async def ask(entry: WorkerEntry) -> ForwardOutcome:
        return await forwarded(entry, RouteKind.STREAMING, "3")

    assert isinstance(served(status, ask), MayHaveRun)


@odd_statuses
def test_an_order_answered_so_may_have_been_carried_out(status: bytes) -> None:
    async def ask(entry: WorkerEntry) -> object:
        return await PlatformWorkers().order_version(entry, ORDER)

    assert isinstance(served(status, ask), OrderOpen)


@pytest.mark.parametrize(
    ("status", "is_refused"),
    [
        *((status, True) for status in (b"400", b"404", b"409", b"412", b"421", b"503")),
        *((status, False) for status in (b"204", b"302", b"500", b"502", b"504")),
    ],
)
def test_only_a_refusal_states_that_an_order_was_not_carried_out(status: bytes, is_refused: bool) -> None:
    async def ask(entry: WorkerEntry) -> object:
        return await PlatformWorkers().order_version(entry, ORDER)

    assert isinstance(served(status, ask), OrderRefused if is_refused else OrderOpen)


@odd_statuses
def test_a_report_and_a_check_answered_so_count_as_none(status: bytes) -> None:
    async def ask(entry: WorkerEntry) -> object:
        workers = PlatformWorkers()
        return await workers.report(entry), await workers.is_there(entry, "/healthz")

    assert served(status, ask) == (None, False)


@odd_statuses
def test_calls_to_the_store_answered_so_have_no_outcome(status: bytes) -> None:
    async def ask(entry: WorkerEntry) -> object:
        log = StoreLog(entry.address, LogLimits())
        for call in (log.read(PARTITION, 0, 0.0), log.newest(PARTITION, None)):
            with pytest.raises(LogUnavailableError):
                await call
        return await log.append(PARTITION, (KeyedRecord("k", b"v"),))

    assert isinstance(served(status, ask), OutcomeOpen)


@odd_statuses
def test_duties_answered_so_may_have_been_done(status: bytes) -> None:
    async def ask(entry: WorkerEntry) -> object:
        duties = PlatformDuties(entry.address)
        return (
            await duties.report_usage(HOLDER, 1, {"t": 1}),
            await duties.set_worker_count(HOLDER, WorkerCount("s", "z", 1)),
        )

    outcomes = served(status, ask)
    assert isinstance(outcomes, tuple) and all(isinstance(outcome, DutyOpen) for outcome in outcomes)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_back_ends_of_the_gateway_role_that_answer_so_are_interrupted(status: bytes) -> None:
    async def ask(entry: WorkerEntry) -> object:
        address = entry.address
        async with httpx.AsyncClient(trust_env=False) as client:
            engines = HttpEngineClient(client)
            generated = engines.generate(address, GenerateRequest("r", "m", "p", 1))
            calls: list[Awaitable[object]] = [
                HttpApplicationClient(client).call(address, ApplicationRequest("r", "POST", "/x", b"x")),
                HttpApplicationClient(client).report(address),
                engines.report(address),
                engines.order_load(address, LoadOrder("m", 1, 1)),
                anext(generated),
                HttpScorerClient(client).score(address, "p", "c"),
                HttpLogClient(client, address).append("s", b"r"),
                HttpLogClient(client, address).read("s", 0, 1, 0.0),
                HttpWeightStoreClient(client, address).newest_version("m"),
                HttpMachineListClient(client, address).machines(),
            ]
            for call in calls:
                with pytest.raises(InterruptedStepError):
                    await call
        return len(calls)

    assert served(status, ask) == 10
