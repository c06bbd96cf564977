"""Write log lines from a thread, so that a blocked output never blocks the process.

Lines go to the thread through a bounded queue. If the output is not read and the queue is full, the oldest
lines are dropped. The number of dropped lines is written as soon as the output accepts lines again.
"""

import threading
from collections import deque
from typing import TextIO

DEFAULT_MAX_LINES = 4000
MAX_LINES_PER_WRITE = 200
FLUSH_SECONDS = 0.5


class LogWriter:
    """File-like object that writes to another one from a thread, for a logger that prints complete lines.

    Args:
        target: file that the lines are written to.
        max_lines: most lines in the queue.
    """

    def __init__(self, target: TextIO, max_lines: int = DEFAULT_MAX_LINES) -> None:
        self._target = target
        self._lines: deque[str] = deque()
        self._max_lines = max_lines
        self._num_dropped = 0
        self._is_closed = False
        self._condition = threading.Condition()
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    @property
    def num_waiting(self) -> int:
        """Number of lines in the queue."""
        return len(self._lines)

    def write(self, text: str) -> int:
        """Queue a line without blocking, and drop the oldest one if the queue is full.

        Returns:
            The number of characters, as files do.
        """
        with self._condition:
            if len(self._lines) >= self._max_lines:
                self._lines.popleft()
                self._num_dropped += 1
            self._lines.append(text)
            self._condition.notify()
        return len(text)

    def flush(self) -> None:
        """Do nothing, because a logger flushes after each line and must not block."""

    def close(self, timeout_seconds: float = FLUSH_SECONDS) -> None:
        """Stop the thread after it has written the queued lines.

        Args:
            timeout_seconds: longest wait for the thread.
        """
        with self._condition:
            self._is_closed = True
            self._condition.notify()
        self._thread.join(timeout_seconds)

    def _next_lines(self) -> str:
        """Wait for lines and return up to `MAX_LINES_PER_WRITE` of them as one text, empty once closed."""
        with self._condition:
            while not self._lines and not self._is_closed:
                self._condition.wait()
            lines: list[str] = []
            if self._num_dropped:
                lines.append(f"level=warning event=log_lines_dropped num_dropped={self._num_dropped}\n")
                self._num_dropped = 0
            while self._lines and len(lines) < MAX_LINES_PER_WRITE:
                lines.append(self._lines.popleft())
        return "".join(lines)

    def _run(self) -> None:
        while text := self._next_lines():
            # Lines may quote bytes of other programs; what cannot be encoded must not end the logs.
            writable = text.encode(errors="backslashreplace").decode()
            try:
                self._target.write(writable)
                self._target.flush()
            except (OSError, ValueError):
                # The output cannot be written any more. The process continues without logs.
                return
