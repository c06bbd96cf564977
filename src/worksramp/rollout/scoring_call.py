"""Sends one scoring call to a worker and classifies the outcome."""

from dataclasses import dataclass

import anyio

from worksramp.rollout.batches import Score, ScoringCall
from worksramp.routing.fingerprint import fingerprint_of
from worksramp.routing.held_bytes import AnswerSource, AnswerTooLargeError, HeldBytes
from worksramp.routing.worker_load import ReportedLoad
from worksramp.routing.worker_port import (
    WorkerAnswer,
    WorkerAnswerBrokenError,
    WorkerPort,
    WorkerRequest,
    WorkerRequestInvalidError,
    WorkerUnreachableError,
)
from worksramp.routing.workers import WorkerEntry

METHOD = "POST"
STATUS_FAILED = 500
STATUS_IMPOSSIBLE = 422


@dataclass(frozen=True, slots=True)
class Scored:
    """The worker returned a successful answer with a complete body."""

    score: Score


@dataclass(frozen=True, slots=True)
class ScoringNotRun:
    """The worker did not run the call.

    Attributes:
        is_gone: whether the worker accepts no more requests, or another worker has its address now.
        is_unreachable: whether no connection could be established.
    """

    reason: str
    is_gone: bool = False
    is_unreachable: bool = False


@dataclass(frozen=True, slots=True)
class ScoringLost:
    """The call may have run, but no complete and valid answer was received.

    Attributes:
        is_connection_lost: whether the connection was lost, as happens when the worker crashes.
    """

    reason: str
    is_connection_lost: bool = False


@dataclass(frozen=True, slots=True)
class ScoringError:
    """An error of this process ended the call, which may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class ScoringFailed:
    """The worker ran the call and returned its own error; after several such errors the item is given up."""


@dataclass(frozen=True, slots=True)
class ScoringImpossible:
    """The call can never succeed.

    Attributes:
        status: what the worker answered, 0 if the call cannot be sent to any worker.
    """

    status: int


ScoringOutcome = Scored | ScoringNotRun | ScoringLost | ScoringError | ScoringFailed | ScoringImpossible


@dataclass(frozen=True, slots=True)
class ScoringAnswer:
    """Outcome of one call.

    Attributes:
        load: load reported with the answer, None if there was none.
    """

    outcome: ScoringOutcome
    load: ReportedLoad | None = None


async def call_scorer(
    port: WorkerPort,
    worker: WorkerEntry,
    call: ScoringCall,
    deadline_s: float,
    tenant: str = "",
    held: HeldBytes | None = None,
) -> ScoringAnswer:
    """Send a scoring call to a worker and read the complete answer.

    Cancellation closes the connection, and the worker then aborts the call. Connection errors are returned as
    outcomes, not raised.

    Args:
        deadline_s: seconds after which the call ends; sent to the worker as its deadline.
        tenant: tenant whose batch holds the item, empty for none.
        held: has the limit of an answer; None for the usual one.
    """
    held = held or HeldBytes()
    try:
        with anyio.move_on_after(deadline_s):
            async with port.send(worker, _request(call, deadline_s, tenant)) as answer:
                if answer.status // 100 == 2:
                    # The signature counts only once the body is complete.
                    source = AnswerSource(worker.worker_id, call.call_id, answer.connection)
                    await held.skip_body(answer, source)
                return ScoringAnswer(_outcome(answer, call), answer.load)
        return ScoringAnswer(ScoringLost("deadline"))
    except AnswerTooLargeError as exc:
        return ScoringAnswer(ScoringLost(str(exc)))
    except WorkerRequestInvalidError:
        return ScoringAnswer(ScoringImpossible(status=0))
    except WorkerUnreachableError as exc:
        return ScoringAnswer(ScoringNotRun(f"unreachable: {exc}", is_unreachable=True))
    except WorkerAnswerBrokenError as exc:
        return ScoringAnswer(ScoringLost(str(exc), is_connection_lost=True))


def fingerprint_of_call(call: ScoringCall) -> str:
    """Return the fingerprint of a scoring call, which is the same each time the call is sent."""
    return fingerprint_of(METHOD, call.host.encode("latin-1"), call.target.encode("latin-1"), call.body)


def _request(call: ScoringCall, deadline_s: float, tenant: str) -> WorkerRequest:
    return WorkerRequest(
        request_id=call.call_id,
        method=METHOD,
        target=call.target.encode("latin-1"),
        headers=((b"host", call.host.encode("latin-1")),),
        body=call.body,
        deadline_seconds=deadline_s,
        tenant=tenant,
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
    if answer.status == STATUS_IMPOSSIBLE:
        return ScoringImpossible(answer.status)
    return ScoringLost(f"status_{answer.status}")
