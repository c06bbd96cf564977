"""Runs at a worker that goes silent while it counts as loading weights.

Homes load weights beside their runs. An order to a worker that has gone dark gets no answer, so that the
worker counted as loading until its entry was gone; its runs were not checked meanwhile, and the longest texts
of a step waited there for four seconds.
"""

from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from worksramp.rollout.batch_run import TextBuilder
from worksramp.rollout.batches import BatchItem
from worksramp.rollout.item_work import ItemWork, Run
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.pace import PaceTracker
from worksramp.rollout.run_watch import LOADING_FACTOR, MIN_STUCK_SECONDS, RunWatch
from worksramp.routing.failure_tracker import FailureTracker
from worksramp.routing.table import Route, RouteKind, SplitPart
from worksramp_emulator.simulation.clock import run_simulated

ROUTE = Route("r", "h", "/", RouteKind.BATCH, (SplitPart("s", 1.0),))


def seconds_until_moved(loading: dict[str, str]) -> float:
    """Return how long after its last event the run at a silent worker is closed."""
    found: list[float] = []

    async def main() -> None:
        run = Run("dark", anyio.CancelScope(), 0.0, 0.0, num_events=5)
        item = BatchItem("x", "/", (), b"", 10)
        work = ItemWork(("b", 0), item, "m", ROUTE, 0.0, 1, TextBuilder(), run=run)
        items: Any = SimpleNamespace(
            works={work.key: work}, loading=loading, record_if_dropped=lambda work, now: False
        )
        reasons: list[str] = []
        watch = RunWatch(cast(OpenItems, items), PaceTracker(), FailureTracker(), reasons.append)
        while not reasons and anyio.current_time() < 10.0:
            watch.check_runs()
            await anyio.sleep(0.05)
        assert reasons in ([], ["stuck"])
        found.append(anyio.current_time())

    run_simulated(main, 1)
    return found[0]


@pytest.mark.parametrize(
    ("loading", "limit_s"), [({}, MIN_STUCK_SECONDS), ({"dark": "m"}, LOADING_FACTOR * MIN_STUCK_SECONDS)]
)
def test_a_run_at_a_silent_worker_is_moved_also_while_the_worker_counts_as_loading(
    loading: dict[str, str], limit_s: float
) -> None:
    assert limit_s < seconds_until_moved(loading) <= limit_s + 0.2
