"""Which connection of a caller gives its place to another, and how many places there are."""

import math
from dataclasses import dataclass

import pytest

from worksramp.serving.connection_limits import MIN_CONNECTIONS, ConnectionLimit, max_connections
from worksramp.serving.progress import Progress


@dataclass(eq=False)
class FakeConnection:
    stalled_since: float
    is_resting: bool = True
    is_displaced: bool = False

    def displace(self) -> None:
        self.is_displaced = True


def limit_with(*connections: FakeConnection) -> ConnectionLimit:
    limit = ConnectionLimit(len(connections))
    for connection in connections:
        limit.add(connection)
    return limit


def test_the_connection_that_rests_for_longest_gives_its_place() -> None:
    older, newer = FakeConnection(1.0), FakeConnection(2.0)
    limit = limit_with(newer, older)
    assert limit.make_place(3.0)
    assert (older.is_displaced, newer.is_displaced) == (True, False)
    assert (limit.num_displaced, limit.num_connections) == (1, 1)
    # The place is free until the next connection is added.
    assert limit.make_place(3.0) and not newer.is_displaced


def test_a_request_that_is_being_answered_keeps_its_place() -> None:
    working = FakeConnection(math.inf, is_resting=False)
    limit = limit_with(working)
    assert not limit.make_place(1000.0)
    assert not working.is_displaced and not limit.may_free_soon


def test_a_body_that_still_comes_keeps_its_place() -> None:
    limit = limit_with(body := FakeConnection(10.0, is_resting=False))
    assert not limit.make_place(10.2) and limit.may_free_soon
    assert limit.make_place(10.4) and body.is_displaced


def test_a_stalled_body_goes_before_a_connection_that_came_later() -> None:
    stalled, resting = FakeConnection(1.0, is_resting=False), FakeConnection(5.0)
    assert limit_with(stalled, resting).make_place(6.0)
    assert (stalled.is_displaced, resting.is_displaced) == (True, False)


@pytest.mark.parametrize(
    ("memory_mb", "max_descriptors", "places"),
    [
        # The least, on the smallest machines; the memory's share; half of few descriptors; no limit of them.
        (64, 8200, MIN_CONNECTIONS),
        (330, 8200, 524),
        (330, 160, 80),
        (330, 1, 1),
        (330, -1, 524),
    ],
)
def test_places_follow_from_memory_and_descriptors(
    memory_mb: float, max_descriptors: int, places: int
) -> None:
    assert max_connections(memory_mb, max_descriptors) == places


def test_only_a_sixteenth_of_a_body_is_progress() -> None:
    progress = Progress(since=0.0)
    for received_b in range(1, 100):
        progress.note(received_b, 1600, float(received_b))
    assert progress.since == 0.0
    progress.note(100, 1600, 100.0)
    assert progress.since == 100.0
    progress.note(199, 1600, 101.0)
    assert progress.since == 100.0


def test_a_body_of_unknown_size_has_to_grow_by_a_sixteenth_of_what_came() -> None:
    progress = Progress(since=0.0)
    progress.note(16_000, 0, 1.0)
    for second in range(2, 100):
        progress.note(16_000 + second, 0, float(second))
    assert progress.since == 1.0
    progress.note(18_000, 0, 100.0)
    assert progress.since == 100.0
