"""Detects stuck runs and runs at slow workers, and moves their items to other workers."""

from collections.abc import Callable

import anyio
import structlog

from worksramp.mechanisms import mechanism
from worksramp.rollout.item_work import ItemWork, Reservation, Run
from worksramp.rollout.move_gain import MoveEstimator, RunView
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.pace import PaceTracker
from worksramp.routing.failure_tracker import FailureTracker

STUCK_FACTOR = 10.0
MIN_STUCK_SECONDS = 0.7
FIRST_EVENT_SECONDS = 1.2
#: Runs go on while their worker loads weights, but may pause for longer. A worker that has gone silent may
#: count as loading for many seconds.
LOADING_FACTOR = 2.0
MIN_SECONDS_BETWEEN_MOVES = 0.4
#: The owner's loop runs at every event of its work, far more often than runs need to be checked.
CHECK_EVERY_S = 0.05
MAX_MOVES_PER_TICK = 2
#: Longest time that a slot is kept for an item whose run at another worker is being closed.
RESERVED_S = 0.5

logger = structlog.get_logger()


class RunWatch:
    """Closes runs whose items end sooner at another worker; the items wait for a slot with their texts."""

    def __init__(
        self,
        items: OpenItems,
        pace: PaceTracker,
        failures: FailureTracker,
        on_moved: Callable[[str], None],
    ) -> None:
        self._items = items
        self._on_moved = on_moved
        self._checked_at = float("-inf")
        self._pace = pace
        self._failures = failures

    def check_runs(self) -> None:
        """Check all runs, unless that was done just now, and close those that are to be moved."""
        now = anyio.current_time()
        if now - self._checked_at < CHECK_EVERY_S:
            return
        self._checked_at = now
        running = [
            (work, work.run)
            for work in self._items.works.values()
            if work.run is not None and not work.run.is_moving and not work.text.is_whole
        ]
        typical = self._pace.typical_seconds(now)
        for work, run in running:
            if self._is_stuck(run, typical, now):
                is_dropped = run.num_events > 0 and self._items.record_if_dropped(work, now)
                if not is_dropped:
                    self._failures.observe(run.worker_id, is_failure=True, now=now)
                self._move(work, run, "dropped_for_memory" if is_dropped else "stuck", now)
        self._move_slow([(work, run) for work, run in running if not run.is_moving], now)

    def close_runs_at(self, worker_id: str) -> None:
        """Close the runs at a worker that has restarted, so that their items are assigned again."""
        now = anyio.current_time()
        for work in list(self._items.works.values()):
            if work.run is not None and work.run.worker_id == worker_id and not work.run.is_moving:
                self._move(work, work.run, "worker_restarted", now)
                work.avoided.pop(worker_id, None)

    @mechanism("stuck_runs", without=lambda watch, run, typical, now: False)
    def _is_stuck(self, run: Run, typical: float | None, now: float) -> bool:
        """Treat a run without events for a long time as stuck, and resume its item at another worker."""
        silent = now - run.last_event_at
        if run.worker_id in self._items.loading:
            silent /= LOADING_FACTOR
        if run.num_events == 0:
            return silent > FIRST_EVENT_SECONDS
        return silent > max(MIN_STUCK_SECONDS, STUCK_FACTOR * (typical or 0.0))

    @mechanism("moves_to_faster", without=lambda watch, running, now: None)
    def _move_slow(self, running: list[tuple[ItemWork, Run]], now: float) -> None:
        """Move items off slow workers if they end sooner at another one, including the wait for its slot."""
        slow = [
            (work, run)
            for work, run in running
            if not work.is_carried
            and run.worker_id not in self._items.loading
            and now - run.started_at >= MIN_SECONDS_BETWEEN_MOVES
            and self._pace.is_slower_than_fast(run.worker_id, now)
        ]
        if not slow:
            # Most checks end here; the view for the estimates is expensive.
            return
        estimator = MoveEstimator(
            self._items.worker_views(now),
            self._items.waiting_items(self._items.waiting(), now),
            self._longest_left(),
        )
        num_moves = 0
        targets: set[str] = set()
        for work, run in slow:
            if num_moves == MAX_MOVES_PER_TICK:
                break
            view = self._run_view(work, run, now)
            move = None if view is None else estimator.decide(view, targets)
            if move is None:
                continue
            if move.target:
                targets.add(move.target)
                work.reserved = Reservation(move.target, now + RESERVED_S)
            num_moves += 1
            self._move(work, run, "faster_elsewhere", now)

    def _run_view(self, work: ItemWork, run: Run, now: float) -> RunView | None:
        """Return a run as input of the decision, None if its worker's pace or its route is not known."""
        pace_s = self._pace.seconds_per_event(run.worker_id, now)
        items = self._items.waiting_items([work], now)
        if pace_s is None or not items:
            return None
        is_slow = self._pace.is_slow(run.worker_id, now)
        left, most_left = self._items.events_left(work), self._items.most_events_left(work)
        return RunView(items[0], run.worker_id, pace_s, left, most_left, is_slow)

    def _longest_left(self) -> dict[str, float]:
        longest: dict[str, float] = {}
        for work in self._items.works.values():
            if not work.text.is_whole and not work.is_carried:
                batch_id = work.key[0]
                longest[batch_id] = max(longest.get(batch_id, 0.0), self._items.events_left(work))
        return longest

    def _move(self, work: ItemWork, run: Run, reason: str, now: float) -> None:
        run.is_moving = True
        self._on_moved(reason)
        work.avoid(run.worker_id, now + 2 * MIN_SECONDS_BETWEEN_MOVES)
        logger.info(
            "item_moved",
            item_id=work.item.item_id,
            batch_id=work.key[0],
            worker=run.worker_id,
            reason=reason,
            to="" if work.reserved is None else work.reserved.worker_id,
            num_events=len(work.text.pieces),
            silent_seconds=round(now - run.last_event_at, 3),
            seconds_per_event=self._pace.seconds_per_event(run.worker_id, now),
        )
        run.scope.cancel()
