"""Detects stuck runs and runs at slow workers, and moves their items to other workers."""

import anyio
import structlog

from worksramp.mechanisms import mechanism
from worksramp.rollout.item_work import ItemWork, Run
from worksramp.rollout.move_gain import MoveEstimator
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.pace import PaceTracker
from worksramp.routing.failure_tracker import FailureTracker

STUCK_FACTOR = 10.0
MIN_STUCK_SECONDS = 0.7
FIRST_EVENT_SECONDS = 1.2
MIN_SECONDS_BETWEEN_MOVES = 0.6
#: A move opens a new connection, and the new worker has to read the prompt and the text so far.
MOVE_COST_SECONDS = 0.1
MIN_MOVE_GAIN_SECONDS = 0.25
#: Lengths have a long tail: a text is expected to grow by at least this share of its length so far.
EXPECTED_TAIL_SHARE = 0.4
MAX_MOVES_PER_TICK = 2

logger = structlog.get_logger()


class RunWatch:
    """Closes runs whose items end sooner at another worker; the items wait for a slot with their texts."""

    def __init__(self, items: OpenItems, pace: PaceTracker, failures: FailureTracker) -> None:
        self._items = items
        self._pace = pace
        self._failures = failures

    def check_runs(self) -> None:
        """Check all runs once and close those that are to be moved."""
        now = anyio.current_time()
        running = [
            (work, work.run)
            for work in self._items.works.values()
            if work.run is not None
            and not work.run.is_moving
            and not work.text.is_whole
            and work.run.worker_id not in self._items.loading
        ]
        typical = self._pace.typical_seconds(now)
        for work, run in running:
            if self._is_stuck(run, typical, now):
                self._failures.observe(run.worker_id, is_failure=True, now=now)
                self._move(work, run, "stuck", now)
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
        for work, run in slow:
            if (
                num_moves < MAX_MOVES_PER_TICK
                and self._gain_of_move(work, run, estimator, now) > MIN_MOVE_GAIN_SECONDS
            ):
                num_moves += 1
                self._move(work, run, "faster_elsewhere", now)

    def _gain_of_move(self, work: ItemWork, run: Run, estimator: MoveEstimator, now: float) -> float:
        """Return how many seconds earlier an item is expected to end after a move, net of its cost."""
        pace = self._pace.seconds_per_event(run.worker_id, now)
        items = self._items.waiting_items([work], now)
        if pace is None or not items:
            return 0.0
        gain_s = estimator.gain_s(items[0], run.worker_id, pace, self._num_events_left(work))
        return gain_s - MOVE_COST_SECONDS

    def _longest_left(self) -> dict[str, float]:
        longest: dict[str, float] = {}
        for work in self._items.works.values():
            if not work.text.is_whole and not work.is_carried:
                batch_id = work.key[0]
                longest[batch_id] = max(longest.get(batch_id, 0.0), self._num_events_left(work))
        return longest

    def _num_events_left(self, work: ItemWork) -> float:
        tokens_per_event = self._items.tokens_per_event(work)
        estimated = work.num_expected_tokens(tokens_per_event) / tokens_per_event
        return max(estimated, EXPECTED_TAIL_SHARE * len(work.text.pieces))

    def _move(self, work: ItemWork, run: Run, reason: str, now: float) -> None:
        run.is_moving = True
        work.avoid(run.worker_id, now + 2 * MIN_SECONDS_BETWEEN_MOVES)
        logger.info(
            "item_moved",
            item_id=work.item.item_id,
            batch_id=work.key[0],
            worker=run.worker_id,
            reason=reason,
            num_events=len(work.text.pieces),
            silent_seconds=round(now - run.last_event_at, 3),
            seconds_per_event=self._pace.seconds_per_event(run.worker_id, now),
        )
        run.scope.cancel()
