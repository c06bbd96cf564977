"""Sends scoring calls for items whose text is complete, and lists each item once a call has succeeded.

A call that fails is repeated, and a call that is late may be sent to a second scorer as well.
"""

import random
from collections.abc import Callable

import anyio
import anyio.abc
import structlog

from worksramp.mechanisms import mechanism
from worksramp.outcome_handlers import OutcomeHandlers
from worksramp.rollout.batches import ScoringCall
from worksramp.rollout.item_lister import ItemLister
from worksramp.rollout.item_work import ItemWork, ScorerCall
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.scoring_call import (
    Scored,
    ScoringError,
    ScoringFailed,
    ScoringImpossible,
    ScoringLost,
    ScoringNotRun,
    ScoringOutcome,
    call_scorer,
    fingerprint_of_call,
)
from worksramp.rollout.scoring_schedule import ScorerView, UnscoredItem, assign_calls
from worksramp.rollout.scoring_times import ScoringTimes
from worksramp.routing.failure_tracker import FailureTracker
from worksramp.routing.table import Route, RouteKind
from worksramp.routing.workers import WorkerState

REPORTED_LOAD_VALID_S = 0.5
AVOID_AFTER_REFUSAL_S = 0.05
AVOID_AFTER_BREAK_S = 0.6
#: Delay before a call that a scorer rejected as impossible is retried: a configuration may change the scorer.
IMPOSSIBLE_PAUSE_S = 2.0
#: Delay between an error or a lost answer and the next call of the same item.
FAILURE_PAUSE_S = 0.05
#: Concurrent calls of one item: the first, and a second one if the first is late.
MAX_CALLS_AT_ONCE = 2
LATENCY_SMOOTHING = 0.2

logger = structlog.get_logger()

_handlers = OutcomeHandlers["ItemScorer", ScoringOutcome]()


@mechanism("second_scoring_calls", without=lambda calls: not calls)
def _may_add_call(calls: list[ScorerCall]) -> bool:
    """Send a second scoring call while the first is late."""
    return len(calls) < MAX_CALLS_AT_ONCE and all(call.is_late for call in calls)


class ItemScorer:
    """Sends the scoring calls of an owner's items.

    Args:
        context: shared parts of the owner.
        items: open items of the owner's batches.
        failures: recent failures of each worker.
        lister: lists items that are scored or given up.
        wake: makes the owner run its loop again immediately.
    """

    def __init__(
        self,
        context: OwnerContext,
        items: OpenItems,
        failures: FailureTracker,
        lister: ItemLister,
        wake: Callable[[], None],
    ) -> None:
        self._context = context
        self._items = items
        self._failures = failures
        self._lister = lister
        self._wake = wake
        self._times = ScoringTimes()
        self._random = random.Random()

    def start_calls(self, group: anyio.abc.TaskGroup) -> None:
        """Start the scoring calls that can be sent now, and cancel calls whose worker hangs."""
        unscored = self._items.unscored()
        if not unscored:
            return
        now = anyio.current_time()
        waiting: list[UnscoredItem] = []
        num_unlisted = self._items.num_left_by_group()
        for work in unscored:
            route = self._route(work)
            if route is None:
                continue
            self._check_late_calls(work, route, now)
            if self._may_call(work, now):
                waiting.append(self._unscored_item(work, route, num_unlisted[work.key[0], work.group], now))
        for assignment in assign_calls(waiting, self._scorer_views(now) if waiting else []):
            self._start(group, self._items.works[assignment.key], assignment.worker_id, now)

    # Input of the scheduling decision.

    def _route(self, work: ItemWork) -> Route | None:
        """Return the route of an item's scoring call, or None; without a route the item waits for one."""
        table = self._context.table.current
        call = work.item.scoring_call
        if table is None or call is None:
            return None
        route = table.match(call.host, call.target.partition("?")[0])
        return None if route is None or route.kind is RouteKind.BATCH else route

    def _may_call(self, work: ItemWork, now: float) -> bool:
        return work.scoring.wait_until <= now and _may_add_call(work.scoring.calls)

    def _check_late_calls(self, work: ItemWork, route: Route, now: float) -> None:
        for call in work.scoring.calls:
            elapsed_s = now - call.started_at
            call.is_late = elapsed_s > self._times.late_after_s(route.objective_seconds)
            if elapsed_s > self._times.hanging_after_s(route.objective_seconds):
                call.scope.cancel()

    def _unscored_item(self, work: ItemWork, route: Route, num_group_left: int, now: float) -> UnscoredItem:
        scoring = work.scoring
        if scoring.completed_at is None:
            scoring.completed_at = now
        return UnscoredItem(
            key=work.key,
            service=route.choose_service(self._random),
            batch_age_s=self._context.time_of_day() - work.submitted_at,
            num_group_left=num_group_left,
            waiting_s=now - scoring.completed_at,
            avoided=scoring.called_workers(),
            last_resorts=scoring.last_resorts_now(now),
        )

    def _scorer_views(self, now: float) -> list[ScorerView]:
        table = self._context.table.current
        if table is None:
            return []
        num_calls: dict[str, int] = {}
        for work in self._items.works.values():
            for call in work.scoring.calls:
                num_calls[call.worker_id] = num_calls.get(call.worker_id, 0) + 1
        failing = self._failures.failing_workers(now)
        return [
            ScorerView(
                worker_id=state.entry.worker_id,
                service=service,
                num_slots=state.entry.num_slots,
                num_calls=num_calls.get(state.entry.worker_id, 0),
                num_reported_waiting=_num_reported_waiting(state, now),
                latency_s=state.latency_seconds,
                is_failing=state.entry.worker_id in failing,
            )
            for service in table.services
            for state in self._context.directory.usable(service)
            if state.avoid_until <= now
        ]

    # Scoring calls and their outcomes.

    def _start(self, group: anyio.abc.TaskGroup, work: ItemWork, worker_id: str, now: float) -> None:
        state = self._context.directory.get(worker_id)
        scoring_call = work.item.scoring_call
        if state is None or scoring_call is None:
            return
        scoring = work.scoring
        if scoring.ends_at <= now:
            scoring.ends_at = now + work.route.target_seconds
        call = ScorerCall(worker_id, anyio.CancelScope(), now)
        scoring.calls.append(call)
        scoring.num_calls += 1
        group.start_soon(self._call, work, scoring_call, state, call)

    async def _call(
        self, work: ItemWork, scoring_call: ScoringCall, state: WorkerState, call: ScorerCall
    ) -> None:
        deadline_s = work.scoring.ends_at - call.started_at
        outcome: ScoringOutcome = ScoringLost("closed")
        quarantine = self._context.quarantine
        running = quarantine.running(fingerprint_of_call(scoring_call))
        state.begin(running)
        try:
            with call.scope:
                answer = await call_scorer(
                    self._context.port,
                    state.entry,
                    scoring_call,
                    deadline_s,
                    work.tenant,
                    self._context.held,
                )
                outcome = answer.outcome
                if answer.load is not None:
                    state.record_report(answer.load, anyio.current_time())
            if isinstance(outcome, ScoringLost) and outcome.is_connection_lost:
                await quarantine.handle_broken_connection(state)
            elif isinstance(outcome, Scored | ScoringFailed | ScoringImpossible):
                quarantine.record_complete_answer(running.fingerprint)
        except Exception as error:
            # An error over one item must not end the calls of the others, nor the process.
            logger.exception("scoring_call_error", item_id=work.item.item_id, worker=call.worker_id)
            outcome = ScoringError(repr(error))
        finally:
            state.end(running)
            work.scoring.calls.remove(call)
        self._context.on_scoring_ended(type(outcome).__name__)
        if work.needs_score:
            self._handle_outcome(work, call, outcome)
        self._wake()

    def _handle_outcome(self, work: ItemWork, call: ScorerCall, outcome: ScoringOutcome) -> None:
        now = anyio.current_time()
        log = logger.debug if isinstance(outcome, ScoringNotRun) else logger.info
        log(
            "scoring_call_ended",
            item_id=work.item.item_id,
            batch_id=work.key[0],
            call_id=work.item.scoring_call.call_id if work.item.scoring_call else "",
            worker=call.worker_id,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            num_calls=work.scoring.num_calls,
            seconds=round(now - call.started_at, 3),
            whole_seconds=round(now - (work.scoring.completed_at or now), 3),
        )
        _handlers.handle(self, outcome, work, call, now)

    @_handlers.handler(Scored)
    def _handle_scored(self, outcome: Scored, work: ItemWork, call: ScorerCall, now: float) -> None:
        seconds = now - call.started_at
        self._times.observe(seconds)
        self._failures.observe(call.worker_id, is_failure=False, now=now)
        state = self._context.directory.get(call.worker_id)
        if state is not None:
            before_s = state.latency_seconds
            state.latency_seconds = (
                seconds if before_s is None else before_s + LATENCY_SMOOTHING * (seconds - before_s)
            )
            state.latency_updated_at = now
        work.text.score = outcome.score
        work.scoring.cancel()
        self._lister.complete(work)

    @_handlers.handler(ScoringNotRun)
    def _handle_not_run(self, outcome: ScoringNotRun, work: ItemWork, call: ScorerCall, now: float) -> None:
        if outcome.is_gone:
            self._context.directory.mark_draining(call.worker_id)
            return
        work.scoring.last_resorts[call.worker_id] = now + AVOID_AFTER_REFUSAL_S
        state = self._context.directory.get(call.worker_id)
        if state is None:
            return
        if outcome.is_unreachable:
            self._failures.observe(call.worker_id, is_failure=True, now=now)
            state.avoid_until = now + AVOID_AFTER_BREAK_S
        else:
            state.avoid_until = now + AVOID_AFTER_REFUSAL_S

    @_handlers.handler(ScoringError)
    @_handlers.handler(ScoringLost)
    def _handle_lost(
        self, outcome: ScoringLost | ScoringError, work: ItemWork, call: ScorerCall, now: float
    ) -> None:
        self._failures.observe(call.worker_id, is_failure=True, now=now)
        work.scoring.last_resorts[call.worker_id] = now + AVOID_AFTER_BREAK_S
        work.scoring.wait_until = now + max(FAILURE_PAUSE_S, self._crash_pause_s(work))

    def _crash_pause_s(self, work: ItemWork) -> float:
        """Return how long an item's call waits because scorers crashed while they ran it."""
        call = work.item.scoring_call
        return 0.0 if call is None else self._context.quarantine.pause_s(fingerprint_of_call(call))

    @_handlers.handler(ScoringFailed)
    def _handle_failed(self, outcome: ScoringFailed, work: ItemWork, call: ScorerCall, now: float) -> None:
        self._failures.observe(call.worker_id, is_failure=True, now=now)
        work.text.num_scoring_failures += 1
        work.num_checkpointed = -1
        work.scoring.failed_workers.add(call.worker_id)
        work.scoring.last_resorts[call.worker_id] = now + AVOID_AFTER_BREAK_S
        work.scoring.wait_until = now + FAILURE_PAUSE_S
        route = self._route(work)
        if route is not None and work.has_scoring_failed_for_good(route.max_attempts):
            self._lister.give_up(work, "scoring_failed")

    @_handlers.handler(ScoringImpossible)
    def _handle_impossible(
        self, outcome: ScoringImpossible, work: ItemWork, call: ScorerCall, now: float
    ) -> None:
        work.scoring.wait_until = now + IMPOSSIBLE_PAUSE_S


def _num_reported_waiting(state: WorkerState, now: float) -> int:
    """Return how many requests wait at a worker by its last report, 0 if that is too old."""
    if state.reported is None or now - state.reported_at >= REPORTED_LOAD_VALID_S:
        return 0
    return state.reported.num_waiting
