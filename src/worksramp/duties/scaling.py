"""Decides how many workers each zone of a service is to have.

Load pattern: the items of a step arrive at once and the trainer waits for the longest of them. Where a step
needs more slots than there are, or other steps hold them, long items wait or share a crowded worker, and the
step is late by that. A worker second is cheap beside a late step, so the fleet is sized by the largest steps
that come together, not by the mean load.

The state is small: the number that each zone had when the service was first seen, which is a record of the
shard, and what the workers' entries show now.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.duties.port import WorkerCount
from worksramp.mechanisms import mechanism
from worksramp.routing.table import ScalingLimits
from worksramp.wire import decode, encode

BASELINE_PREFIX = "z/"
#: A zone that had no workers to give is asked again after this time.
ASK_AGAIN_S = 3.0
#: Time beyond the boot of a worker after which it is ordered once more.
BOOT_MARGIN_S = 3.0
#: A zone keeps more workers than it needs for this long, since ending and booting them costs more.
SURPLUS_HOLD_S = 30.0

PoolKey = tuple[str, str]


class ZoneBaseline(msgspec.Struct, frozen=True, array_like=True):
    """Number of workers that a zone of a service had when it was first seen."""

    service: str
    zone: str
    num_workers: int


@dataclass(slots=True)
class ZoneBaselines:
    """Baselines of all zones, folded from the shard's partition."""

    by_pool: dict[PoolKey, int] = field(default_factory=dict)

    def apply(self, change: Change) -> bool:
        """Apply one change and return whether it concerned a baseline."""
        if not change.key.startswith(BASELINE_PREFIX):
            return False
        if change.value is not None:
            baseline = decode(change.value, ZoneBaseline)
            self.by_pool[baseline.service, baseline.zone] = baseline.num_workers
        return True


def record_of_baseline(baseline: ZoneBaseline) -> KeyedRecord:
    """Return the record that keeps a baseline."""
    return KeyedRecord(f"{BASELINE_PREFIX}{baseline.service}/{baseline.zone}", encode(baseline))


@dataclass(frozen=True, slots=True)
class StepDemand:
    """What the steps of all models of a service need at once.

    Attributes:
        num_items: items of the largest recent step of each model, together.
        num_slots: slots of a worker; 0 if not known.
    """

    num_items: int = 0
    num_slots: int = 0

    @property
    def num_workers(self) -> int:
        """Workers that run all these items at the same time, 0 if that is not known."""
        return math.ceil(self.num_items / self.num_slots) if self.num_slots > 0 else 0


@mechanism("workers_for_whole_steps", without=lambda demand, num_pools: 0)
def _share_of_steps(demand: StepDemand, num_pools: int) -> int:
    """Return how many workers each zone needs so that the steps of all models run at the same time."""
    return math.ceil(demand.num_workers / max(1, num_pools))


@dataclass(slots=True)
class ZonePool:
    """Workers of one service in one zone, as its entries and the holder's calls show them.

    Attributes:
        num_baseline: number when the zone was first seen.
        num_live: workers that accept work and are paid in full.
        num_spot: workers that accept work and may be taken away.
        ordered: number of the latest order of this tenure, None before the first.
        ordered_at: when it was sent.
        refused_at: when the platform last had no worker to give.
        surplus_since: since when the zone has had more than its target, None if it has not.
    """

    service: str
    zone: str
    num_baseline: int
    num_live: int = 0
    num_spot: int = 0
    ordered: int | None = None
    ordered_at: float = float("-inf")
    refused_at: float = float("-inf")
    surplus_since: float | None = None

    @property
    def num_missing(self) -> int:
        """Workers that the zone has lost since it was first seen."""
        return max(0, self.num_baseline - self.num_live - self.num_spot)

    def is_dry(self, now: float) -> bool:
        """Return whether the zone had no worker to give lately."""
        return now - self.refused_at < ASK_AGAIN_S


def targets(
    pools: Iterable[ZonePool], demand: StepDemand, limits: ScalingLimits, now: float
) -> dict[str, int]:
    """Return how many workers each zone of a service is to have, of both kinds together.

    A zone keeps the number that it was first seen with, or its share of what the steps need, if that is more.
    What a zone has lost and cannot replace now is ordered in the others, the cheapest first.

    Load pattern: all workers of a zone that may be taken away leave at once, and for seconds the zone has no
    others to give.
    """
    ordered = sorted(pools, key=lambda pool: (limits.price(pool.zone), pool.zone))
    num_short = sum(pool.num_missing for pool in ordered if pool.is_dry(now))
    num_for_steps = _share_of_steps(demand, len(ordered))
    wanted: dict[str, int] = {}
    for pool in ordered:
        num_wanted = max(limits.min_workers, pool.num_baseline, num_for_steps)
        wanted[pool.zone] = min(limits.max_workers, num_wanted)
    for pool in ordered:
        if pool.is_dry(now):
            continue
        num_more = min(num_short, limits.max_workers - wanted[pool.zone])
        wanted[pool.zone] += num_more
        num_short -= num_more
    return wanted


def decide_count(pool: ZonePool, target: int, limits: ScalingLimits, now: float) -> WorkerCount | None:
    """Return the order to send for a zone now, None if there is none.

    An order states a number, so it is repeated while the zone lacks workers: it may have been lost, or an
    earlier one may have been carried out after it.
    """
    num_wanted = max(0, target - pool.num_spot)
    if pool.num_live > num_wanted:
        pool.surplus_since = now if pool.surplus_since is None else pool.surplus_since
        if now - pool.surplus_since < SURPLUS_HOLD_S:
            return None
    else:
        pool.surplus_since = None
    if pool.num_live == num_wanted or pool.is_dry(now):
        return None
    is_new = pool.ordered != num_wanted
    if not is_new and now - pool.ordered_at < limits.boot_s + BOOT_MARGIN_S:
        return None
    return WorkerCount(pool.service, pool.zone, num_wanted)
