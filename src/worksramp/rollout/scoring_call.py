"""One scoring call at one worker, and what came of it."""

from dataclasses import dataclass

from worksramp.rollout.batches import Score, ScoringCall
from worksramp.routing.fingerprint import fingerprint_of
from worksramp.routing.worker_port import (
    ReportedLoad,
    WorkerAnswer,
    WorkerAnswerBrokenError,
    WorkerPort,
    WorkerRequest,
    WorkerUnreachableError,
)
from worksramp.routing.workers import WorkerEntry

METHOD = "POST"
STATUS_FAILED = 500
STATUS_NEVER = 422


@dataclass(frozen=True, slots=True)
class Scored:
    """A good answer, with its whole body."""

    score: Score


@dataclass(frozen=True, slots=True)
class ScoringNotRun:
    """The worker has not run the call.

    Attributes:
        is_gone: the worker takes no more work, or is another one by now.
        is_unreachable: no connection came up.
    """

    reason: str
    is_gone: bool = False
    is_unreachable: bool = False


@dataclass(frozen=True, slots=True)
class ScoringLost:
    """The call may have run; its answer did not come whole.

    Attributes:
        is_connection_lost: the connection broke, as it does when the worker crashes.
    """

    reason: str
    is_connection_lost: bool = False


@dataclass(frozen=True, slots=True)
class ScoringFailed:
    """The worker ran the call and ended it with an error of its own; counts towards giving the item up."""


@dataclass(frozen=True, slots=True)
class ScoringImpossible:
    """The worker says that the call can never be answered well."""

    status: int


ScoringOutcome = Scored | ScoringNotRun | ScoringLost | ScoringFailed | ScoringImpossible


@dataclass(frozen=True, slots=True)
class ScoringAnswer:
    """Outcome of one call, and the load that the answer told."""

    outcome: ScoringOutcome
    load: ReportedLoad | None = None


async def call_scorer(
    port: WorkerPort, worker: WorkerEntry, call: ScoringCall, deadline_s: float
) -> ScoringAnswer:
    """Send a scoring call to a worker and read the whole answer.

    Cancelling closes the connection, upon which the worker drops the call.

    Args:
        deadline_s: what the worker is told to keep to.
    """
    try:
        async with port.send(worker, _request(call, deadline_s)) as answer:
            if answer.status // 100 == 2:
                # Half an answer is none: its signature counts once its end has come.
                async for _ in answer.body:
                    pass
            return ScoringAnswer(_outcome(answer, call), answer.load)
    except WorkerUnreachableError as exc:
        return ScoringAnswer(ScoringNotRun(f"unreachable: {exc}", is_unreachable=True))
    except WorkerAnswerBrokenError as exc:
        return ScoringAnswer(ScoringLost(str(exc), is_connection_lost=True))


def fingerprint_of_call(call: ScoringCall) -> str:
    """Return what is the same for all sends of a scoring call."""
    return fingerprint_of(METHOD, call.host.encode("latin-1"), call.target.encode("latin-1"), call.body)


def _request(call: ScoringCall, deadline_s: float) -> WorkerRequest:
    return WorkerRequest(
        request_id=call.call_id,
        method=METHOD,
        target=call.target.encode("latin-1"),
        headers=((b"host", call.host.encode("latin-1")),),
        body=call.body,
        deadline_seconds=deadline_s,
    )


def _outcome(answer: WorkerAnswer, call: ScoringCall) -> ScoringOutcome:
    if answer.is_other_worker:
        return ScoringNotRun("other_worker", is_gone=True)
    if answer.is_not_run:
        return ScoringNotRun(f"status_{answer.status}", is_gone=answer.is_leaving)
    if answer.signature is None:
        return ScoringLost(f"status_{answer.status} without a signature")
    if answer.status // 100 == 2:
        return Scored(Score(call.call_id, answer.signature))
    if answer.status == STATUS_FAILED:
        return ScoringFailed()
    if answer.status == STATUS_NEVER:
        return ScoringImpossible(answer.status)
    return ScoringLost(f"status_{answer.status}")
