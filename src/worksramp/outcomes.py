"""Tagged outcomes and step errors shared by every layer.

Every error carries the step that failed and the peer at which it failed, so that a log line or an
HTTP body can name both.
"""

from dataclasses import dataclass


class StepError(Exception):
    """A step towards a peer failed.

    Attributes:
        step: what was being done, for example ``engine.generate``.
        peer: address or id of the other side.
        reason: one line for people.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class NotStartedError(StepError):
    """The peer certainly did not begin: no byte reached it, or it refused before it began."""

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
    """The peer may have begun, and may have finished; its answer is not known."""


@dataclass(frozen=True, slots=True)
class Completed:
    """The request ran once and this is its answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run; it may be sent again after ``retry_after_seconds``."""

    step: str
    peer: str
    reason: str
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have run; it will not be run again under the same key."""

    step: str
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The idempotency key was used before with a different request body."""

    reason: str


ExecutionOutcome = Completed | NotRun | OutcomeUnknown | KeyReused
