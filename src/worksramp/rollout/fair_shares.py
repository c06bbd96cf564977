"""Orders waiting items so that parties share the slots of a fleet fairly while there are too few.

A party is a trainer's model, of one tenant where there are tenants.

Load pattern: one party submits many times what the others do, or several have steps in flight after an
outage, and workers run requests in order of arrival. Ordered by age and length alone, the items of the large
party take all slots that become free, and a small one waits as long as all of them.
"""

import heapq
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from worksramp.mechanisms import mechanism

#: An item that has waited this long goes before those of the highest priority, so that none waits without
#: end.
MAX_PRIORITY_WAIT_S = 2.5
WAITED_PRIORITY = (-1, -1)


@dataclass(frozen=True, slots=True)
class Party:
    """A trainer, of one tenant where there are tenants.

    Attributes:
        priority: priority of its tenant and, among those, of its route; 0 is the highest, which goes first.
    """

    tenant: str = ""
    model: str = ""
    priority: tuple[int, int] = (0, 0)


NO_PARTY = Party()


class HasParty(Protocol):
    """An item that belongs to a party.

    Attributes:
        batch_age_seconds: seconds since its batch was submitted.
    """

    @property
    def party(self) -> Party:
        """Party that the item belongs to."""

    @property
    def batch_age_seconds(self) -> float:
        """Seconds since its batch was submitted."""


ItemT = TypeVar("ItemT", bound=HasParty)


def order_by_shares(
    ranked: Sequence[ItemT], num_running: Mapping[Party, int], num_free_slots: int
) -> list[ItemT]:
    """Return waiting items in the order in which they get slots.

    Each slot goes to the party of the highest priority that has the fewest slots, and there to its first
    item. Shares depend on the slots in use at the moment, so that those of a party without items are free at
    once.

    Args:
        ranked: waiting items, each party's in the order in which it gets slots.
        num_running: slots in use by party.
        num_free_slots: slots that are free now; while they suffice for all, the order stays as it is.
    """
    if len(ranked) <= num_free_slots:
        return list(ranked)
    return _share(ranked, num_running)


def _keep_order(ranked: Sequence[ItemT], num_running: Mapping[Party, int]) -> list[ItemT]:
    return list(ranked)


@mechanism("fair_shares", without=_keep_order)
def _share(ranked: Sequence[ItemT], num_running: Mapping[Party, int]) -> list[ItemT]:
    """Share slots among trainers and tenants while more items wait than there are free slots."""
    waiting: defaultdict[Party, list[ItemT]] = defaultdict(list)
    for item in reversed(ranked):
        waiting[item.party].append(item)
    # Among equals, the party whose item ranks first; the numbers also keep parties from being compared.
    first_at = {party: len(waiting) - idx for idx, party in enumerate(waiting)}
    queue = [_entry(party, items, num_running.get(party, 0), first_at) for party, items in waiting.items()]
    heapq.heapify(queue)
    ordered: list[ItemT] = []
    while queue:
        _, num_slots, _, party = heapq.heappop(queue)
        items = waiting[party]
        ordered.append(items.pop())
        if items:
            heapq.heappush(queue, _entry(party, items, num_slots + 1, first_at))
    return ordered


def _entry(
    party: Party, items: Sequence[HasParty], num_slots: int, first_at: Mapping[Party, int]
) -> tuple[tuple[int, int], int, int, Party]:
    has_waited = items[-1].batch_age_seconds >= MAX_PRIORITY_WAIT_S
    return (WAITED_PRIORITY if has_waited else party.priority, num_slots, first_at[party], party)
