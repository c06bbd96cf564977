"""Which entries state the start time of their worker, and whether those of workers do.

Either all workers of a platform state their start times or none does. Other writers may leave entries of
either kind among them, so the entries that are present decide together, in whichever order they came.
"""

#: Entries without a start time are those of workers if there are more than this many for each one with it.
WITHOUT_PER_ENTRY_WITH = 2


class StartTimes:
    """Counts the entries with and without a start time."""

    def __init__(self) -> None:
        self._has_start: dict[str, bool] = {}
        self._num_with = 0

    @property
    def are_stated(self) -> bool:
        """Whether the entries of workers state their start times."""
        num_without = len(self._has_start) - self._num_with
        return num_without <= WITHOUT_PER_ENTRY_WITH * self._num_with

    def put(self, worker_id: str, has_start: bool) -> None:
        """Record what the newest entry of an id states."""
        self.remove(worker_id)
        self._has_start[worker_id] = has_start
        self._num_with += has_start

    def remove(self, worker_id: str) -> None:
        """Record that an entry is gone or unusable."""
        self._num_with -= self._has_start.pop(worker_id, False)
