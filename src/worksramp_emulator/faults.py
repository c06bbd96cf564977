"""Fault switches that all emulated services share."""

from dataclasses import dataclass

import anyio

from worksramp.outcomes import InterruptedStepError, NotStartedError


@dataclass(slots=True)
class Faults:
    """Fault switches of one emulated service, all off at the start.

    Attributes:
        is_down: whether it refuses every connection.
        is_frozen: whether it accepts requests but suspends them until this is reset.
        extra_seconds: time added to every answer.
        num_lost_replies: number of further requests whose reply is lost after they took effect.
    """

    is_down: bool = False
    is_frozen: bool = False
    extra_seconds: float = 0.0
    num_lost_replies: int = 0

    async def before(self, step: str, peer: str) -> None:
        """Apply the switches that act before a request takes effect.

        Raises:
            NotStartedError: the service is down.
        """
        if self.is_down:
            raise NotStartedError(step, peer, "connection refused")
        while self.is_frozen:
            await anyio.sleep(FREEZE_POLL_SECONDS)
        if self.extra_seconds > 0:
            await anyio.sleep(self.extra_seconds)

    def after(self, step: str, peer: str) -> None:
        """Apply the switches that act after a request took effect.

        Raises:
            InterruptedStepError: the reply is lost, or the service has gone down.
        """
        if self.num_lost_replies > 0:
            self.num_lost_replies -= 1
            raise InterruptedStepError(step, peer, "reply lost")
        if self.is_down:
            raise InterruptedStepError(step, peer, "connection reset")


FREEZE_POLL_SECONDS = 0.05
