"""Decides how many workers each zone of a service is to have.

The state is small: the number that each zone had when the service was first seen, which is a record of the
shard, and what the workers' entries show now.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.counts import Count
from worksramp.duties.port import WorkerCount
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
    num_workers: Count


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


def targets(pools: Iterable[ZonePool], limits: ScalingLimits, now: float) -> dict[str, int]:
    """Return how many workers each zone of a service is to have, of both kinds together.

    A zone keeps the number that it was first seen with. What a zone has lost and cannot replace now is
    ordered in the others, the cheapest first.

    Load pattern: all workers of a zone that may be taken away leave at once, and for seconds the zone has no
    others to give.
    """
    ordered = sorted(pools, key=lambda pool: (limits.price(pool.zone), pool.zone))
    num_short = sum(pool.num_missing for pool in ordered if pool.is_dry(now))
    wanted: dict[str, int] = {}
    for pool in ordered:
        wanted[pool.zone] = min(limits.max_workers, max(limits.min_workers, pool.num_baseline))
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
    earlier one may have been carried out after it. Workers that this holder did not order are never cut.
    """
    num_wanted = max(0, target - pool.num_spot)
    if pool.num_live > max(num_wanted, pool.ordered or 0):
        return None
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
