"""Keeps the number of workers of each zone, while this node holds the lease."""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import structlog

from worksramp.coordination.shared_log import KeyedRecord
from worksramp.duties.port import DutyDone, DutyOutcome, DutyRefused, WorkerCount
from worksramp.duties.scaling import (
    PoolKey,
    ZoneBaseline,
    ZoneBaselines,
    ZonePool,
    decide_count,
    record_of_baseline,
    targets,
)
from worksramp.rollout.owner_context import TableSource
from worksramp.routing.table import ScalingLimits
from worksramp.routing.workers import WorkerDirectory

TICK_S = 0.5
#: The entries of a new deployment appear within this time; they are counted once they stay the same for it.
SETTLE_S = 3.0
#: Entries that expired in an outage of the store are back within this time.
AFTER_OUTAGE_S = 3.0
MAX_VIEW_AGE_S = 1.5

logger = structlog.get_logger()


@dataclass(slots=True)
class Scaler:
    """Orders workers by the decisions of `worksramp.duties.scaling`.

    Attributes:
        call: makes a call if this node may act, else returns None.
        view_age_s: returns the age of the entries' last confirmation.
        store_recovery_age_s: returns the seconds since the store was available again.
        put: appends records to the shard.
    """

    directory: WorkerDirectory
    table: TableSource
    baselines: ZoneBaselines
    call: Callable[[WorkerCount], Awaitable[DutyOutcome | None]]
    view_age_s: Callable[[], float]
    store_recovery_age_s: Callable[[], float]
    put: Callable[[KeyedRecord], None]
    _pools: dict[PoolKey, ZonePool] = field(default_factory=dict)
    _counted: dict[PoolKey, int] = field(default_factory=dict)
    _counted_at: float = float("inf")

    async def run(self) -> None:
        """Decide and order until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            if self.view_age_s() > MAX_VIEW_AGE_S or self.store_recovery_age_s() < AFTER_OUTAGE_S:
                continue
            for service, limits in self._scaled_services().items():
                await self._scale(service, limits)

    def _scaled_services(self) -> dict[str, ScalingLimits]:
        table = self.table.current
        if table is None:
            return {}
        return {name: spec.scaling for name, spec in table.services.items() if spec.scaling is not None}

    async def _scale(self, service: str, limits: ScalingLimits) -> None:
        pools = self._update_pools(service)
        now = anyio.current_time()
        wanted = targets(pools, limits, now)
        for pool in pools:
            order = decide_count(pool, wanted[pool.zone], limits, now)
            if order is not None:
                await self._order(pool, order)

    def _update_pools(self, service: str) -> list[ZonePool]:
        """Return the zones of a service with their present workers; those without a baseline are left out."""
        usable = self.directory.usable(service)
        live = Counter(state.entry.zone for state in usable if not state.entry.is_spot)
        spot = Counter(state.entry.zone for state in usable if state.entry.is_spot)
        self._keep_baselines(service, live + spot)
        pools: list[ZonePool] = []
        for (name, zone), num_baseline in sorted(self.baselines.by_pool.items()):
            if name != service:
                continue
            pool = self._pools.setdefault((service, zone), ZonePool(service, zone, num_baseline))
            pool.num_live, pool.num_spot = live[zone], spot[zone]
            pools.append(pool)
        return pools

    def _keep_baselines(self, service: str, counts: Counter[str]) -> None:
        """Record how many workers the zones have, once that has not changed for a while."""
        if any(name == service for name, _ in self.baselines.by_pool) or not counts:
            return
        seen = {(service, zone): num for zone, num in counts.items()}
        now = anyio.current_time()
        if any(self._counted.get(pool) != num for pool, num in seen.items()):
            self._counted.update(seen)
            self._counted_at = now
        elif now - self._counted_at >= SETTLE_S:
            for (_, zone), num in seen.items():
                self.put(record_of_baseline(ZoneBaseline(service, zone, num)))
            self._counted_at = float("inf")

    async def _order(self, pool: ZonePool, order: WorkerCount) -> None:
        outcome = await self.call(order)
        if outcome is None:
            return
        now = anyio.current_time()
        pool.ordered, pool.ordered_at = order.num_workers, now
        if isinstance(outcome, DutyRefused):
            pool.refused_at = now
        logger.info(
            "workers_ordered",
            service=order.service,
            zone=order.zone,
            num_workers=order.num_workers,
            num_live=pool.num_live,
            num_spot=pool.num_spot,
            num_baseline=pool.num_baseline,
            view_age_s=round(self.view_age_s(), 3),
            outcome=type(outcome).__name__,
            reason="" if isinstance(outcome, DutyDone) else getattr(outcome, "reason", ""),
        )
