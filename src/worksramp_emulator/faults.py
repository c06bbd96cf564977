"""Fault switches that every stand-in has."""

from dataclasses import dataclass

import anyio

from worksramp.outcomes import InterruptedStepError, NotStartedError


@dataclass(slots=True)
class Faults:
    """Switches of one stand-in; all off at first.

    Attributes:
        is_down: refuses every connection.
        is_frozen: takes requests and answers none until thawed.
        extra_seconds: added to every answer.
        num_lost_replies: so many next answers are lost after the effect.
    """

    is_down: bool = False
    is_frozen: bool = False
    extra_seconds: float = 0.0
    num_lost_replies: int = 0

    async def before(self, step: str, peer: str) -> None:
        """Apply the switches that come before the effect.

        Raises:
            NotStartedError: the stand-in is down.
        """
        if self.is_down:
            raise NotStartedError(step, peer, "connection refused")
        while self.is_frozen:
            await anyio.sleep(FREEZE_POLL_SECONDS)
        if self.extra_seconds > 0:
            await anyio.sleep(self.extra_seconds)

    def after(self, step: str, peer: str) -> None:
        """Apply the switches that come after the effect.

        Raises:
            InterruptedStepError: the reply is lost.
        """
        if self.num_lost_replies > 0:
            self.num_lost_replies -= 1
            raise InterruptedStepError(step, peer, "reply lost")
        if self.is_down:
            raise InterruptedStepError(step, peer, "connection reset")


FREEZE_POLL_SECONDS = 0.05
