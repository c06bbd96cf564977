"""Outcome types and step errors that all layers share.

Each error has the step that failed and the peer at which it failed, so that a log line or an HTTP body can
name both.
"""

from dataclasses import dataclass


class StepError(Exception):
    """A call to a peer failed.

    Attributes:
        step: name of the call, for example ``engine.generate``.
        peer: address or id of the peer.
        reason: one line for people.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class NotStartedError(StepError):
    """The peer certainly did not start the call: no byte reached it, or it refused the call first.

    Attributes:
        retry_after_seconds: time after which the call may be sent again, None if not known.
        is_leaving: whether the peer refused because it is draining.
    """

    def __init__(
        self,
        step: str,
        peer: str,
        reason: str,
        retry_after_seconds: float | None = None,
        is_leaving: bool = False,
    ) -> None:
        super().__init__(step, peer, reason)
        self.retry_after_seconds = retry_after_seconds
        self.is_leaving = is_leaving


class InterruptedStepError(StepError):
    """The peer may have started or even finished the call; its reply was not received."""


@dataclass(frozen=True, slots=True)
class Completed:
    """The request ran once.

    Attributes:
        status: HTTP status of the response.
        body: body of the response.
    """

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run, and may be sent again after ``retry_after_seconds``."""

    step: str
    peer: str
    reason: str
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have run, and will not be run again under the same idempotency key."""

    step: str
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The idempotency key was used, or is in use, for a different request."""

    reason: str


ExecutionOutcome = Completed | NotRun | OutcomeUnknown | KeyReused
