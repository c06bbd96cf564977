"""Detects workers that have restarted under the same id."""

from worksramp.routing.workers import WorkerDirectory


class RestartDetector:
    """Compares the starts in a worker directory with those at the previous call."""

    def __init__(self, directory: WorkerDirectory) -> None:
        self._directory = directory
        self._started_ms: dict[str, int] = {}
        self._revision = -1

    def restarted(self) -> list[str]:
        """Return the ids of workers whose start differs from the one seen at an earlier call."""
        if self._directory.revision == self._revision:
            return []
        self._revision = self._directory.revision
        now = {state.entry.worker_id: state.entry.started_ms for state in self._directory.all_states()}
        before = self._started_ms
        # Workers without an entry keep their last start, because they may reappear with another one.
        self._started_ms = {name: ms for name, ms in before.items() if self._directory.is_known(name)} | now
        return [name for name, ms in now.items() if before.get(name, ms) != ms]
