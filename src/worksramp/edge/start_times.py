"""Whether the entries of workers state their start times.

Either all workers of a platform state their start times or none does. Other writers may leave entries of
either kind among them, so all entries decide together, in whichever order they came.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

#: Entries without a start time are those of workers if there are more than this many for each one with it.
WITHOUT_PER_ENTRY_WITH = 2
#: Services whose entries are counted, beyond those of any platform.
MAX_SERVICES = 4096


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
    """Counts the entries that have a start time and those that have none, by service.

    What counts is how many have been there at the same time: the entries of workers go when they crash or the
    store is down, those of other writers do not, and a writer that uses one id after the other is still one.
    """

    def __init__(self) -> None:
        self._entries: dict[str, tuple[str, bool]] = {}
        self._of_service: dict[str, _Counts] = {}
        self._total = _Counts()

    @property
    def num_services(self) -> int:
        """Number of services whose entries are counted."""
        return len(self._of_service)

    def are_stated(self, services: Iterable[str] | None) -> bool:
        """Return whether the entries of workers state their start times.

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
            self._total.present[has_start] -= 1
            self._of_service[service].present[has_start] -= 1

    def _drop_oldest(self) -> None:
        """Forget the service that has not changed for longest, unless it has entries now."""
        service, counts = next(iter(self._of_service.items()))
        del self._of_service[service]
        if any(counts.present.values()):
            self._of_service[service] = counts
