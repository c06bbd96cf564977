"""Tells how long a body has made no progress."""

from dataclasses import dataclass

#: A sixteenth of what a body needs. Single bytes, sent to keep a place, are no progress.
STEP_SHARE = 1 / 16
#: What has made no progress for so long gives way to others.
MIN_STALL_S = 0.3


@dataclass(slots=True)
class Progress:
    """Arrival of one body.

    Attributes:
        since: when the last step was complete.
    """

    since: float
    _step_from_b: int = 0

    def note(self, received_b: int, expected_b: int, now: float) -> None:
        """Note how much has arrived.

        Args:
            received_b: bytes that have arrived so far.
            expected_b: bytes of the whole body, 0 if it does not say so.
        """
        step_b = max(1.0, STEP_SHARE * max(received_b, expected_b))
        if received_b - self._step_from_b >= step_b:
            self._step_from_b = received_b
            self.since = now
