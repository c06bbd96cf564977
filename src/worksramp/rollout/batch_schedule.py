"""Which waiting item of a batch goes to which worker: a pure decision from one view.

Load pattern: a step's items come all at once, many short ones and few that are ten times as long; the step
ends with the last of those. A part of the workers is slow, or was when last used and may have recovered.
"""

import math
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Workers whose paces differ by less than this ratio count as equally fast.
PACE_TIER_RATIO = 1.15
#: A batch that has waited this long goes before longer items of younger ones.
OLD_BATCH_SECONDS = 2.5
#: Longest time that an item may take at a worker which is to show whether it has recovered.
MAX_PROBE_S = 1.0


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that no worker runs.

    Attributes:
        key: batch and index, handed back in the assignment.
        num_expected_tokens: tokens still to be generated, as estimated.
        num_memory_tokens: tokens of memory it takes at the most.
        min_version: oldest weights it may go on under.
        only_version: the one version it may go on under, None for any.
        avoided: workers it must not go to now.
        tokens_per_event: tokens that one event holds.
    """

    key: tuple[str, int]
    service: str
    model: str
    batch_age_seconds: float
    num_expected_tokens: int
    num_memory_tokens: int
    min_version: int
    only_version: int | None = None
    avoided: frozenset[str] = frozenset()
    tokens_per_event: int = 1

    @property
    def num_expected_events(self) -> float:
        """Events still to be made, as estimated."""
        return self.num_expected_tokens / self.tokens_per_event

    @property
    def needs(self) -> tuple[str, str, int, int | None]:
        """What a worker must have to run it; items with the same needs compete for the same slots."""
        return (self.service, self.model, self.min_version, self.only_version)


@dataclass(frozen=True, slots=True)
class Place:
    """A worker as the scheduler sees it.

    Attributes:
        num_running: runs there, in the owner's own count.
        num_expected_tokens: tokens that those runs are still expected to make.
        versions: weights of each model, as believed.
        loading: models whose weights are on their way; they take no new run.
        seconds_per_event: measured, None before the first.
        is_slow: far slower than the others; used last.
        is_suspect: fails part of what it is given; used after all others.
        may_have_recovered: it was slow when last measured, which is a while ago.
        num_expected_events: events that its runs are still expected to make.
    """

    worker_id: str
    service: str
    num_slots: int
    num_running: int
    num_expected_tokens: int
    versions: dict[str, int]
    loading: frozenset[str] = frozenset()
    seconds_per_event: float | None = None
    is_slow: bool = False
    is_suspect: bool = False
    may_have_recovered: bool = False
    num_expected_events: float = 0.0


@dataclass(frozen=True, slots=True)
class Assignment:
    """Run this item there."""

    key: tuple[str, int]
    worker_id: str


@dataclass(slots=True)
class _Room:
    place: Place
    num_running: int
    num_expected_tokens: int

    def take(self, item: WaitingItem) -> Assignment:
        """Give a slot to an item."""
        self.num_running += 1
        self.num_expected_tokens += item.num_expected_tokens
        return Assignment(item.key, self.place.worker_id)


def assign(waiting: list[WaitingItem], places: list[Place]) -> list[Assignment]:
    """Give waiting items to free slots, the longest first, each to the fastest worker that may run it.

    The longest first, since a step ends with its last item; old batches before young ones. Among workers
    about as fast, the least loaded.
    """
    fastest = min((place.seconds_per_event for place in places if place.seconds_per_event), default=None)
    rooms = [_Room(place, place.num_running, place.num_expected_tokens) for place in places]
    ranked = sorted(waiting, key=rank)
    assignments = _probes(ranked, rooms)
    probing = {assignment.key for assignment in assignments}
    for item in ranked:
        room = None if item.key in probing else _choose_room(item, rooms, fastest)
        if room is not None:
            assignments.append(room.take(item))
    return assignments


def may_run(item: WaitingItem, place: Place) -> bool:
    """Return whether a worker may run an item, apart from free slots."""
    version = place.versions.get(item.model, 0)
    return (
        place.service == item.service
        and place.worker_id not in item.avoided
        and item.model not in place.loading
        and version >= item.min_version
        and (item.only_version is None or version == item.only_version)
    )


def rank(item: WaitingItem) -> tuple[bool, int, tuple[str, int]]:
    """Return what waiting items are sorted by."""
    return (_is_young(item), _length_rank(item), item.key)


@mechanism("old_batches_first", without=lambda item: False)
def _is_young(item: WaitingItem) -> bool:
    """Put items of old batches before all others."""
    return item.batch_age_seconds < OLD_BATCH_SECONDS


@mechanism("longest_first", without=lambda item: 0)
def _length_rank(item: WaitingItem) -> int:
    """Put items with much text still to be made before others."""
    return -item.num_expected_tokens


@mechanism("failing_workers_last", without=lambda place: False)
def _is_suspect(place: Place) -> bool:
    """Use workers that fail part of what they are given after all others."""
    return place.is_suspect


@mechanism("probes", without=lambda ranked, rooms: [])
def _probes(ranked: list[WaitingItem], rooms: list[_Room]) -> list[Assignment]:
    """Give the shortest items to idle workers that may have recovered, one to each.

    Left alone such a worker would count as slow for long; the longest item, which goes to the emptiest worker
    first, would show at the cost of a step that it has not recovered.
    """
    doubtful = [room for room in rooms if room.place.may_have_recovered and room.num_running == 0]
    assignments: list[Assignment] = []
    for item in reversed(ranked):
        if not doubtful:
            break
        room = next((room for room in doubtful if may_run(item, room.place)), None)
        if room is None:
            continue
        if item.num_expected_events * (room.place.seconds_per_event or 0.0) > MAX_PROBE_S:
            break
        doubtful.remove(room)
        assignments.append(room.take(item))
    return assignments


def _choose_room(item: WaitingItem, rooms: list[_Room], fastest: float | None) -> _Room | None:
    candidates = [
        room for room in rooms if room.num_running < room.place.num_slots and may_run(item, room.place)
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda room: (
            _is_suspect(room.place),
            room.place.is_slow,
            pace_tier(room.place.seconds_per_event, fastest),
            room.num_running / room.place.num_slots,
            room.num_expected_tokens,
            room.place.worker_id,
        ),
    )


@mechanism("fast_workers_first", without=lambda seconds_per_event, fastest: 0)
def pace_tier(seconds_per_event: float | None, fastest: float | None) -> int:
    """Return 0 for a worker about as fast as the fastest, and more the slower it is.

    A pace that is not known yet is taken for a fast one, so that it becomes known.
    """
    if not seconds_per_event or not fastest:
        return 0
    return int(math.log(max(1.0, seconds_per_event / fastest), PACE_TIER_RATIO))
