"""Whether the entries of workers state their start times.

Either all workers of a platform state their start times or none does. Other writers may leave entries of
either kind among them, so all ids that have been seen decide together, in whichever order they came.
"""

#: Entries without a start time are those of workers if there are more than this many for each one with it.
WITHOUT_PER_ENTRY_WITH = 2
#: Ids that are remembered, beyond the workers of any platform.
MAX_IDS = 16_384


class StartTimes:
    """Counts the ids whose newest entry has a start time, and those whose has none.

    An id counts on after its entry has gone: the entries of workers go when they crash or the store is down,
    those of other writers do not.
    """

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
        self._num_with += has_start - self._has_start.pop(worker_id, False)
        self._has_start[worker_id] = has_start
        if len(self._has_start) > MAX_IDS:
            self._num_with -= self._has_start.pop(next(iter(self._has_start)))
