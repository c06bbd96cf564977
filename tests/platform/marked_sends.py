"""Sends of every kind to a stand-in worker, each with a mark by which its own answer is recognised.

A send goes through the module that makes it in production: the worker port, the forwarder, a run of an item
or a scoring call. Its verdict says whether what it got was made for it.
"""

import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace
from enum import StrEnum

import anyio
from worksramp_platform import names
from worksramp_platform.workers import PlatformWorkers

from tests.platform.stuttering_worker import NUM_EVENTS, REPORT_MARK, Reply, Run, StutteringWorker, Turn
from tests.unit.test_forward import route
from worksramp.rollout.batch_run import (
    RunBroken,
    RunFailed,
    RunFinished,
    RunNeverPossible,
    RunNotBegun,
    RunOutcome,
    RunSpec,
    TextBuilder,
    run_item,
)
from worksramp.rollout.batches import BatchItem, Score, ScoringCall
from worksramp.rollout.scoring_call import (
    Scored,
    ScoringFailed,
    ScoringImpossible,
    ScoringLost,
    ScoringNotRun,
    ScoringOutcome,
    call_scorer,
)
from worksramp.routing.attempts import LiveRequest, WholeAnswer
from worksramp.routing.forward import Forwarder, MayHaveRun, NotRun
from worksramp.routing.live_stream import StreamAnswer
from worksramp.routing.table import RouteKind
from worksramp.routing.worker_port import (
    OrderHeldAlready,
    OrderOpen,
    OrderOutcome,
    OrderRefused,
    OrderTaken,
    RunsDuringLoad,
    VersionOrder,
    WorkerAnswerBrokenError,
    WorkerRequest,
)
from worksramp.routing.workers import WorkerDirectory

#: Far more than a send takes on a busy machine: no verdict depends on the time that passes.
DEADLINE_S = 20.0
HEADERS = ((b"host", b"h"),)


class Verdict(StrEnum):
    """What a send got, compared with the run that it caused.

    Attributes:
        OWN: the answer that was made for this run, whole and unchanged.
        LOST: no answer; it may have run.
        WRONG: something else.
        ENDLESS: nothing within the longest time.
    """

    OWN = "own"
    LOST = "lost"
    WRONG = "wrong"
    ENDLESS = "endless"


@dataclass
class World:
    """A node's port to one worker; each send puts a mark of its own into its request.

    Attributes:
        deadline_s: deadline of requests; items, orders and reports have none.
        bound_s: longest time that a send may take. Only sends without an end come near it.
    """

    worker: StutteringWorker
    workers: PlatformWorkers = field(default_factory=PlatformWorkers)
    num_sends: int = 0
    deadline_s: float = DEADLINE_S
    bound_s: float = 2 * DEADLINE_S

    async def send(self, kind: str, request_id: str, turn: Turn) -> tuple[Verdict, str]:
        """Send one request; return the verdict and the mark of the send.

        Args:
            turn: what the worker does with the request.
        """
        self.num_sends += 1
        mark = str(1000 + self.num_sends)
        self.worker.turns[REPORT_MARK if kind == "report" else mark] = turn
        verdict = Verdict.ENDLESS
        with anyio.move_on_after(self.bound_s):
            verdict = await SENDERS[kind](self, request_id, mark)
        return verdict, mark

    def verdict_on_answer(self, mark: str, status: int, stamp: str | None, body: bytes) -> Verdict:
        """Compare a delivered answer with the run of its send."""
        run = self.worker.run_of(mark)
        is_own = run is not None and (status, stamp, body) == (run.reply.status, mark, run.body)
        return Verdict.OWN if run is not None and is_own and run.reply.has_id else Verdict.WRONG

    def verdict_on_outcome(
        self, mark: str, outcome: object, expected: Callable[[Run], object | None]
    ) -> Verdict:
        """Compare an outcome with the one that follows from the answer to the run of its send."""
        run = self.worker.run_of(mark)
        if run is None or not run.reply.has_id:
            return Verdict.WRONG
        return Verdict.OWN if outcome == expected(run) else Verdict.WRONG


def states_not_run(reply: Reply) -> bool:
    return reply.is_not_run or reply.status == 421


async def send_by_port(world: World, request_id: str, mark: str) -> Verdict:
    target = f"/x?{mark}".encode()
    request = WorkerRequest(request_id, "POST", target, HEADERS, b"p", deadline_seconds=world.deadline_s)
    try:
        async with world.workers.send(world.worker.entry, request) as answer:
            body = b"".join([chunk async for chunk in answer.body])
            run = world.worker.run_of(mark)
            if run is None or answer.is_not_run != states_not_run(run.reply):
                return Verdict.WRONG
            return world.verdict_on_answer(mark, answer.status, answer.signature, body)
    except WorkerAnswerBrokenError:
        return Verdict.LOST


async def forward(
    world: World,
    request_id: str,
    mark: str,
    kind: RouteKind,
    method: str = "POST",
    resume_after: str | None = None,
) -> Verdict:
    directory = WorkerDirectory()
    directory.put(world.worker.entry)
    forwarder = Forwarder(directory, world.workers, random.Random(1))
    now = anyio.current_time()
    target = f"/x?{mark}".encode()
    body = b"" if method == "HEAD" else b"p"
    request = LiveRequest(
        request_id, method, target, HEADERS, body, now, now + world.deadline_s, resume_after
    )
    async with AsyncExitStack() as stack:
        outcome = await forwarder.forward(request, replace(route(kind), timeout_seconds=None), stack)
        if isinstance(outcome, StreamAnswer):
            try:
                body = b"".join([block async for block in outcome.events])
            except WorkerAnswerBrokenError:
                return Verdict.LOST
        elif isinstance(outcome, WholeAnswer):
            body = outcome.body
        elif isinstance(outcome, NotRun):
            run = world.worker.run_of(mark)
            is_own = run is not None and run.reply.has_id and states_not_run(run.reply)
            return Verdict.OWN if is_own else Verdict.WRONG
        else:
            assert isinstance(outcome, MayHaveRun)
            return Verdict.LOST
    stamp = names.header(list(outcome.headers), names.STAMP)
    return world.verdict_on_answer(mark, outcome.status, None if stamp is None else stamp.decode(), body)


async def send_once_only(world: World, request_id: str, mark: str) -> Verdict:
    return await forward(world, request_id, mark, RouteKind.NON_IDEMPOTENT)


async def send_repeatable(world: World, request_id: str, mark: str) -> Verdict:
    return await forward(world, request_id, mark, RouteKind.IDEMPOTENT)


async def send_stream(world: World, request_id: str, mark: str) -> Verdict:
    return await forward(world, request_id, mark, RouteKind.STREAMING)


async def send_resumed_stream(world: World, request_id: str, mark: str) -> Verdict:
    return await forward(world, request_id, mark, RouteKind.STREAMING, resume_after="2")


async def send_head(world: World, request_id: str, mark: str) -> Verdict:
    return await forward(world, request_id, mark, RouteKind.IDEMPOTENT, method="HEAD")


def outcome_of_run(run: Run) -> RunOutcome:
    if states_not_run(run.reply):
        return RunNotBegun(f"status_{run.reply.status}")
    outcomes: dict[int, RunOutcome] = {200: RunFinished(), 422: RunNeverPossible(), 500: RunFailed(500)}
    return outcomes.get(run.reply.status, RunBroken(""))


async def send_item(world: World, request_id: str, mark: str) -> Verdict:
    item = BatchItem(item_id=request_id, target=f"/x?{mark}", headers=(), body=b"p", num_tokens=10)
    spec = RunSpec(item, "h", min_version=0, needs_one_version=False)
    text = TextBuilder(["before"], "1", [1])
    outcome = await run_item(world.workers, world.worker.entry, spec, text, lambda: None)
    run = world.worker.run_of(mark)
    if text.pieces[1:] != [mark] * (len(text.pieces) - 1):
        return Verdict.WRONG
    if isinstance(outcome, RunBroken):
        return Verdict.LOST
    if isinstance(outcome, RunFinished) and (run is None or text.last_event_id != str(1 + NUM_EVENTS)):
        return Verdict.WRONG
    return world.verdict_on_outcome(mark, outcome, outcome_of_run)


async def send_scoring_call(world: World, request_id: str, mark: str) -> Verdict:
    call = ScoringCall(request_id, "h", f"/score?{mark}", b"")
    answer = await call_scorer(world.workers, world.worker.entry, call, world.deadline_s)
    if isinstance(answer.outcome, ScoringLost):
        return Verdict.LOST

    def expected(run: Run) -> ScoringOutcome | None:
        if states_not_run(run.reply):
            return ScoringNotRun(f"status_{run.reply.status}")
        outcomes: dict[int, ScoringOutcome] = {
            200: Scored(Score(request_id, mark)),
            422: ScoringImpossible(422),
            500: ScoringFailed(),
        }
        return outcomes.get(run.reply.status)

    return world.verdict_on_outcome(mark, answer.outcome, expected)


def outcome_of_order(status: int) -> OrderOutcome:
    outcomes: dict[int, OrderOutcome] = {200: OrderHeldAlready(), 202: OrderTaken()}
    refused = OrderRefused(f"status_{status}", is_fenced=status == 412, is_conflict=status == 409)
    return outcomes.get(status, refused)


async def send_order(world: World, request_id: str, mark: str) -> Verdict:
    order = VersionOrder("m", int(mark), RunsDuringLoad.CONTINUE, "n", 1, None)
    outcome = await world.workers.order_version(world.worker.entry, order)
    if isinstance(outcome, OrderOpen):
        return Verdict.LOST
    run = world.worker.run_of(mark)
    is_own = run is not None and outcome == outcome_of_order(run.reply.status)
    return Verdict.OWN if is_own else Verdict.WRONG


async def send_report(world: World, request_id: str, mark: str) -> Verdict:
    num_runs = len(world.worker.runs)
    report = await world.workers.report(world.worker.entry)
    runs = [run for run in world.worker.runs[num_runs:] if run.path == names.REPORT_PATH]
    if report is None:
        return Verdict.OWN if runs and runs[0].reply.status != 200 else Verdict.LOST
    # A report tells the number of its run.
    numbers = [run.number for run in runs if run.reply.status == 200]
    return Verdict.OWN if report.order_sequence in numbers else Verdict.WRONG


SENDERS: dict[str, Callable[[World, str, str], Awaitable[Verdict]]] = {
    "port": send_by_port,
    "once_only": send_once_only,
    "repeatable": send_repeatable,
    "stream": send_stream,
    "resumed": send_resumed_stream,
    "head": send_head,
    "item": send_item,
    "scoring": send_scoring_call,
    "order": send_order,
    "report": send_report,
}
#: Requests whose answers have bodies.
REQUESTS = ["port", "once_only", "repeatable", "stream", "resumed", "item", "scoring"]
CALLS = ["order", "report"]
