"""Pure plan of a weight rollout over one cell of a fleet.

The engines' reported versions are the truth and the plan only a wish: each round looks at the reports
and orders loads anew, so a lost reply, a load that failed half-way and a newer version all look alike.

See Also:
    docs/design/weights.md
"""

from dataclasses import dataclass

import xxhash

from worksramp.backends.base import WorkerReport

LIVE_FLOOR_SHARE = 0.5
ORDER_PATIENCE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as last reported.

    Attributes:
        ordered_version: version of this owner's last order to it, 0 if none.
        ordered_at: when that order was sent.
    """

    machine_id: str
    report: WorkerReport
    ordered_version: int = 0
    ordered_at: float = float("-inf")


def cell_of(machine_id: str, num_cells: int) -> int:
    """Return the cell that an engine belongs to."""
    return xxhash.xxh64_intdigest(machine_id.encode()) % num_cells


def plan_loads(
    engines: tuple[EngineView, ...], target_version: int, now: float, max_orders: int
) -> list[str]:
    """Return the machine ids to order to load the target version now.

    At most half of the engines are out of service at a time, at least one of them may be (a fleet of
    one must still get new weights), and at most ``max_orders`` are ordered, for the store's rate. The
    engines with the oldest weights and the least work go first.
    """
    num_loading = sum(1 for engine in engines if _is_out(engine, target_version, now))
    max_out = max(1, int(len(engines) * (1.0 - LIVE_FLOOR_SHARE)))
    waiting = [
        engine
        for engine in engines
        if engine.report.weight_version < target_version and not _is_out(engine, target_version, now)
    ]
    waiting.sort(
        key=lambda engine: (engine.report.weight_version, engine.report.num_running, engine.machine_id)
    )
    num_orders = max(0, min(max_orders, max_out - num_loading))
    return [engine.machine_id for engine in waiting[:num_orders]]


def _is_out(engine: EngineView, target_version: int, now: float) -> bool:
    """Return whether an engine loads, or was ordered to so recently that its report may lag."""
    if engine.report.is_loading:
        return True
    is_behind = engine.report.weight_version < engine.ordered_version
    return is_behind and now - engine.ordered_at < ORDER_PATIENCE_SECONDS
