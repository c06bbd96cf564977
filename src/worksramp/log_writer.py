"""Standard output for logs that never makes the process wait.

Lines go through a bounded queue to a thread. When nobody reads the output, the oldest lines that do not fit
are dropped and counted, and the count is said as soon as lines get through again.
"""

import threading
from collections import deque
from typing import TextIO

DEFAULT_MAX_LINES = 4000
MAX_LINES_A_WRITE = 200
FLUSH_SECONDS = 0.5


class LogWriter:
    """File-like object over another one, for a logger that prints whole lines."""

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
        """Number of lines not yet handed on."""
        return len(self._lines)

    def write(self, text: str) -> int:
        """Take a line; return at once."""
        with self._condition:
            if len(self._lines) >= self._max_lines:
                self._lines.popleft()
                self._num_dropped += 1
            self._lines.append(text)
            self._condition.notify()
        return len(text)

    def flush(self) -> None:
        """Do nothing: a logger flushes after each line, which must not wait."""

    def close(self, timeout_seconds: float = FLUSH_SECONDS) -> None:
        """Hand on what waits, for at most so long."""
        with self._condition:
            self._is_closed = True
            self._condition.notify()
        self._thread.join(timeout_seconds)

    def _take(self) -> str:
        """Wait for lines; return them joined, empty when closed."""
        with self._condition:
            while not self._lines and not self._is_closed:
                self._condition.wait()
            lines: list[str] = []
            if self._num_dropped:
                lines.append(f"level=warning event=log_lines_dropped num_dropped={self._num_dropped}\n")
                self._num_dropped = 0
            while self._lines and len(lines) < MAX_LINES_A_WRITE:
                lines.append(self._lines.popleft())
        return "".join(lines)

    def _run(self) -> None:
        while text := self._take():
            try:
                self._target.write(text)
                self._target.flush()
            except (OSError, ValueError):
                # Nobody will ever read the output: the process goes on without it.
                return
