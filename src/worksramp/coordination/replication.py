"""Rules for when a configuration record may come into force: only after enough nodes hold it.

A node that serves a revision and then restarts without its state must not serve an older one while the log is
unavailable. So a record is applied once `NUM_COPIES` live nodes hold it (all of them, if fewer are live). A
starting node that cannot read the log waits for replies from all live nodes but ``NUM_COPIES - 1``, so that
at least one holder of every applied record is among them.

See Also:
    docs/design/configuration.md, "Starting while the log is down"
"""

import random
from collections.abc import Sequence

from worksramp.coordination.membership_messages import Member

NUM_COPIES = 3


def num_copies_needed(num_live: int) -> int:
    """Return how many nodes, this one included, must hold a record before it comes into force."""
    return max(1, min(NUM_COPIES, num_live))


def num_replies_needed(num_live_others: int) -> int:
    """Return how many other ready nodes must reply to a starting node while the log is unavailable."""
    return max(1, num_live_others - (NUM_COPIES - 1))


class StagedRecords:
    """Configuration records that this node holds, in force or not, and which nodes are known to hold them.

    Args:
        next_offset: first offset that is not held.
        max_kept: number of records to keep for peers that lag behind; beyond it, the oldest records in force
            are discarded.
    """

    def __init__(self, next_offset: int, max_kept: int) -> None:
        self._max_kept = max_kept
        self._start = next_offset
        self._records: list[bytes] = []
        self._held_by: dict[str, int] = {}

    @property
    def start(self) -> int:
        """Offset of the oldest record kept."""
        return self._start

    @property
    def next_offset(self) -> int:
        """First offset that is not held."""
        return self._start + len(self._records)

    def reset(self, next_offset: int) -> None:
        """Discard all records and continue from ``next_offset``, after a snapshot was restored."""
        self._start = next_offset
        self._records = []

    def add(self, start: int, records: tuple[bytes, ...]) -> bool:
        """Add those of the consecutive records that are not held yet.

        Returns:
            Whether any record was added; False also if records before ``start`` are missing.
        """
        if start > self.next_offset:
            return False
        fresh = records[self.next_offset - start :]
        self._records.extend(fresh)
        return bool(fresh)

    def since(self, offset: int) -> tuple[bytes, ...]:
        """Return the records from ``offset`` on; it must not lie before `start`."""
        return tuple(self._records[max(0, offset - self._start) :])

    def note_held(self, instance_id: str, next_offset: int) -> None:
        """Record that another node holds everything below ``next_offset``."""
        if next_offset > self._held_by.get(instance_id, -1):
            self._held_by[instance_id] = next_offset

    def num_holders(self, offset: int, live: frozenset[str]) -> int:
        """Return how many live nodes are known to hold the record, this one included."""
        return 1 + sum(1 for key, held in self._held_by.items() if held > offset and key in live)

    def held_below(self, instance_id: str) -> int:
        """Return the offset below which a node is known to hold everything, -1 if nothing is known."""
        return self._held_by.get(instance_id, -1)

    def discard_dead(self, live: frozenset[str]) -> None:
        """Discard what is recorded of nodes that are no longer live."""
        self._held_by = {key: held for key, held in self._held_by.items() if key in live}

    def trim(self, applied_offset: int) -> None:
        """Discard the oldest records in force while more than ``max_kept`` records are kept."""
        num_discarded = min(applied_offset - self._start, len(self._records) - self._max_kept)
        if num_discarded > 0:
            del self._records[:num_discarded]
            self._start += num_discarded


def peers_to_push_to(
    peers: Sequence[Member], staged: StagedRecords, num_peers: int, rng: random.Random
) -> list[Member]:
    """Return the peers to push records to: those that are known to hold the least, in random order.

    Load pattern: many nodes, of which a few already hold the newest record. Pushing to those again would put
    the record in force no sooner.
    """
    shuffled = rng.sample(list(peers), len(peers))
    return sorted(shuffled, key=lambda peer: staged.held_below(peer.instance_id))[:num_peers]
