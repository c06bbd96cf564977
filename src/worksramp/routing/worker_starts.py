"""Which workers have started again under their ids since the last look."""

from worksramp.routing.workers import WorkerDirectory


class RestartDetector:
    """Compares the starts that a directory knows with those of the last look."""

    def __init__(self, directory: WorkerDirectory) -> None:
        self._directory = directory
        self._started_ms: dict[str, int] = {}
        self._revision = -1

    def restarted(self) -> list[str]:
        """Return the workers that stand at another start than at the last look."""
        if self._directory.revision == self._revision:
            return []
        self._revision = self._directory.revision
        now = {state.entry.worker_id: state.entry.started_ms for state in self._directory.all_states()}
        before = self._started_ms
        # Of workers that are away the last start stays known: they may be back under another one.
        self._started_ms = {name: ms for name, ms in before.items() if self._directory.is_known(name)} | now
        return [name for name, ms in now.items() if before.get(name, ms) != ms]
