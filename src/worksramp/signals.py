"""Signals of the process, kept from its first moment on until they are handled.

A start program installs the handlers before it loads any library, so this module imports next to nothing.
"""

import signal
import time

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

HANDLED = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


class SignalInbox:
    """Signals that have arrived and are not handled yet, each kind once, in order of arrival.

    Attributes:
        stop_arrived_at: when the first signal to stop arrived, in seconds of the monotonic clock, or None.
            A busy event loop handles it later.
    """

    def __init__(self) -> None:
        self.stop_arrived_at: float | None = None
        self._pending: dict[int, None] = {}
        self._on_arrival: Callable[[], object] | None = None

    def install(self) -> None:
        """Handle signals from now on; none has its default action any more."""
        for number in HANDLED:
            signal.signal(number, self._keep)

    def close(self) -> None:
        """Ignore signals from now on, to the end of the process."""
        self.notify(None)
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)

    def notify(self, on_arrival: "Callable[[], object] | None") -> None:
        """Set the function to call after each arrival, None for none.

        It runs inside the handler, so it may do no more than wake an event loop.
        """
        self._on_arrival = on_arrival

    def take(self) -> signal.Signals | None:
        """Return the signal that has waited longest and forget it, None if there is none."""
        for number in self._pending:
            del self._pending[number]
            return signal.Signals(number)
        return None

    def _keep(self, number: int, frame: "FrameType | None") -> None:
        self._pending[number] = None
        if number != signal.SIGHUP and self.stop_arrived_at is None:
            self.stop_arrived_at = time.monotonic()
        if self._on_arrival is not None:
            self._on_arrival()
