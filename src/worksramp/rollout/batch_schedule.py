"""Which waiting item of a batch goes to which worker: a pure decision from one view."""

import math
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Workers whose paces differ by less than this ratio count as equally fast.
PACE_TIER_RATIO = 1.15
#: A batch that has waited this long goes before longer items of younger ones.
OLD_BATCH_SECONDS = 2.5


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


def assign(waiting: list[WaitingItem], places: list[Place]) -> list[Assignment]:
    """Give waiting items to free slots, the longest first, each to the fastest worker that may run it.

    The longest first, since a step ends with its last item; old batches before young ones. Among workers
    about as fast, the least loaded.
    """
    fastest = min((place.seconds_per_event for place in places if place.seconds_per_event), default=None)
    rooms = [_Room(place, place.num_running, place.num_expected_tokens) for place in places]
    assignments: list[Assignment] = []
    for item in sorted(waiting, key=_rank):
        room = _choose_room(item, rooms, fastest)
        if room is None:
            continue
        room.num_running += 1
        room.num_expected_tokens += item.num_expected_tokens
        assignments.append(Assignment(item.key, room.place.worker_id))
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


def _rank(item: WaitingItem) -> tuple[bool, int, tuple[str, int]]:
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
