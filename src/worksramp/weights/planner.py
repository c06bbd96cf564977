"""Plan the rollout of a weight version over one cell of a fleet.

The plan is a pure function of the versions that the engines report. It is computed anew from the reports in
each round, so a lost reply, a load that failed half-way and a newer version need no handling of their own.

See Also:
    docs/design/weights.md
"""

from dataclasses import dataclass

import xxhash

from worksramp.backends.base import WorkerReport

MIN_IN_SERVICE_SHARE = 0.5
ORDER_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class EngineView:
    """Last report of one engine, and the last order to it.

    Attributes:
        ordered_version: version in this owner's last order to the engine, 0 if there was none.
        ordered_at: time of that order in seconds, minus infinity if there was none.
    """

    machine_id: str
    report: WorkerReport
    ordered_version: int = 0
    ordered_at: float = float("-inf")


def cell_of(machine_id: str, num_cells: int) -> int:
    """Return the index of the cell that an engine belongs to."""
    return xxhash.xxh64_intdigest(machine_id.encode()) % num_cells


def plan_loads(
    engines: tuple[EngineView, ...], target_version: int, now: float, max_orders: int
) -> list[str]:
    """Return the ids of the engines to order to load the target version now.

    At most half of the engines are out of service at a time. One of them always may be, because a fleet of
    one must still get new weights. Engines with the oldest weights and the fewest running requests go first.

    Args:
        now: current time in seconds, on the clock of `EngineView.ordered_at`.
        max_orders: most orders in one round, because the weight store is rate-limited.
    """
    num_out_of_service = sum(1 for engine in engines if _is_out_of_service(engine, target_version, now))
    max_out_of_service = max(1, int(len(engines) * (1.0 - MIN_IN_SERVICE_SHARE)))
    waiting = [
        engine
        for engine in engines
        if engine.report.weight_version < target_version
        and not _is_out_of_service(engine, target_version, now)
    ]
    waiting.sort(
        key=lambda engine: (engine.report.weight_version, engine.report.num_running, engine.machine_id)
    )
    num_orders = max(0, min(max_orders, max_out_of_service - num_out_of_service))
    return [engine.machine_id for engine in waiting[:num_orders]]


def _is_out_of_service(engine: EngineView, target_version: int, now: float) -> bool:
    """Return whether an engine loads, or got its order so recently that its report may not show the load."""
    if engine.report.is_loading:
        return True
    is_outdated = engine.report.weight_version < engine.ordered_version
    return is_outdated and now - engine.ordered_at < ORDER_TIMEOUT_SECONDS
