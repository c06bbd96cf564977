"""Which entries are those of workers: entries that state a start time, entries that state none, or both.

Other writers may leave any number of entries of either kind. An entry proves nothing, but only a worker can
answer under its id, so the workers that have answered decide. Before the first answer the numbers of
entries decide.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

#: Entries without a start time are those of workers if there are more than this many for each one with it.
WITHOUT_PER_ENTRY_WITH = 2
#: Services whose entries are counted, beyond those of any platform.
MAX_SERVICES = 4096
#: Answered ids that are remembered, beyond those of the workers of any platform.
MAX_ANSWERED = 16_384


@dataclass(slots=True)
class _Counts:
    """Entries of both kinds, by whether they state a start time.

    Attributes:
        present: entries that are there now.
        most: largest number that was there at the same time.
    """

    present: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})
    most: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})

    def add(self, has_start: bool) -> None:
        self.present[has_start] += 1
        self.most[has_start] = max(self.most[has_start], self.present[has_start])


class StartTimes:
    """Knows for each id whether its entry states a start time, and whether a worker has answered under it.

    Where numbers of entries decide, what counts is how many have been there at the same time: the entries of
    workers go when they crash or the store is down, those of other writers do not, and a writer that uses one
    id after the other is still one.
    """

    def __init__(self) -> None:
        #: Ids under which a worker has answered, with whether its entry stated a start time then.
        self._answered: dict[tuple[str, bool], None] = {}
        #: Number of present entries whose workers have answered, by whether they state a start time.
        self._num_proven = {True: 0, False: 0}
        #: Kinds of the proven entries that are present, or were last present.
        self._proven_kinds: frozenset[bool] = frozenset()
        self._entries: dict[str, tuple[str, bool]] = {}
        self._of_service: dict[str, _Counts] = {}
        self._total = _Counts()

    @property
    def num_services(self) -> int:
        """Number of services whose entries are counted."""
        return len(self._of_service)

    @property
    def num_answered(self) -> int:
        """Number of ids that are remembered to have answered."""
        return len(self._answered)

    def kinds_of_workers(self, services: Iterable[str] | None) -> frozenset[bool]:
        """Return which kinds of entries are used before their workers have answered.

        The kinds are those with a start time (True) and those without (False).

        Args:
            services: services that have workers, None if they are not known yet.
        """
        return self._proven_kinds or frozenset([self.are_stated(services)])

    def has_answered(self, worker_id: str, has_start: bool) -> bool:
        """Return whether a worker has answered under an id while its entry was of this kind."""
        return (worker_id, has_start) in self._answered

    def record_answer(self, worker_id: str, has_start: bool) -> bool:
        """Record that a worker has answered under its id; return whether that was unknown before."""
        if self.has_answered(worker_id, has_start):
            return False
        self._answered[worker_id, has_start] = None
        entry = self._entries.get(worker_id)
        if entry is not None and entry[1] == has_start:
            self._count_proven(has_start, 1)
        if len(self._answered) > MAX_ANSWERED:
            self._forget_absent()
        return True

    def are_stated(self, services: Iterable[str] | None) -> bool:
        """Return whether the entries of workers state their start times, by the numbers of entries alone.

        Args:
            services: services that have workers, None if they are not known yet.
        """
        if services is None:
            counted = [self._total]
        else:
            counted = [self._of_service[name] for name in services if name in self._of_service]
        num_with = sum(counts.most[True] for counts in counted)
        num_without = sum(counts.most[False] for counts in counted)
        return num_without <= WITHOUT_PER_ENTRY_WITH * num_with

    def put(self, worker_id: str, service: str, has_start: bool) -> None:
        """Record what the newest entry of an id states."""
        if self._entries.get(worker_id) == (service, has_start):
            return
        self.remove(worker_id)
        self._entries[worker_id] = (service, has_start)
        if self.has_answered(worker_id, has_start):
            self._count_proven(has_start, 1)
        self._total.add(has_start)
        counts = self._of_service.pop(service, None) or _Counts()
        counts.add(has_start)
        # The services that have changed last are kept.
        self._of_service[service] = counts
        for _ in range(len(self._of_service) - MAX_SERVICES):
            self._drop_oldest()

    def remove(self, worker_id: str) -> None:
        """Record that an id has no entry any more, or one that cannot be used."""
        entry = self._entries.pop(worker_id, None)
        if entry is not None:
            service, has_start = entry
            if self.has_answered(worker_id, has_start):
                self._count_proven(has_start, -1)
            self._total.present[has_start] -= 1
            self._of_service[service].present[has_start] -= 1

    def _count_proven(self, has_start: bool, change: int) -> None:
        self._num_proven[has_start] += change
        proven = frozenset(kind for kind, num in self._num_proven.items() if num)
        # When the last of them goes, its kind stays: the next workers are most likely of the same one.
        self._proven_kinds = proven or self._proven_kinds

    def _forget_absent(self) -> None:
        """Forget the older half of the answered ids that have no entry."""
        absent = [key for key in self._answered if key[0] not in self._entries]
        for key in absent[: (len(absent) + 1) // 2]:
            del self._answered[key]

    def _drop_oldest(self) -> None:
        """Forget the service that has not changed for longest, unless it has entries now."""
        service, counts = next(iter(self._of_service.items()))
        del self._of_service[service]
        if any(counts.present.values()):
            self._of_service[service] = counts
