"""Runs the open items of an owner at workers and handles the outcome of each run."""

from collections.abc import Callable

import anyio
import anyio.abc
import structlog

from worksramp.outcome_handlers import OutcomeHandlers
from worksramp.rollout.batch_run import (
    RunBroken,
    RunError,
    RunFailed,
    RunFinished,
    RunNeverPossible,
    RunNotBegun,
    RunOutcome,
    RunOverLimit,
    RunSpec,
    RunWrongVersion,
    fingerprint_of_run,
    run_item,
)
from worksramp.rollout.batch_schedule import Assignment, assign
from worksramp.rollout.item_bodies import ItemBodies
from worksramp.rollout.item_lister import ItemLister
from worksramp.rollout.item_work import (
    AVOID_AFTER_BREAK_SECONDS,
    AVOID_AFTER_REFUSAL_SECONDS,
    AVOID_FAILING_S,
    ItemWork,
    Run,
)
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.pace import PaceTracker
from worksramp.rollout.stage_clock import Stage
from worksramp.routing.failure_tracker import FailureTracker
from worksramp.routing.workers import WorkerState

FAILURE_PAUSE_SECONDS = 0.1
#: Pause of an item whose body could not be read.
UNREAD_PAUSE_S = 0.1
LOG_WAITING_EVERY_S = 1.0
#: Urgency of carried items: runs of open batches, which have the workers' default of 5, displace theirs.
CARRIED_URGENCY = 8

logger = structlog.get_logger()

_outcome_handlers = OutcomeHandlers["ItemRunner", RunOutcome]()


class ItemRunner:
    """Assigns waiting items to workers and runs them there.

    Args:
        on_text_complete: called with each item whose text has become complete.
        wake: makes the owner's loop run again at once.
    """

    def __init__(
        self,
        context: OwnerContext,
        items: OpenItems,
        bodies: ItemBodies,
        pace: PaceTracker,
        failures: FailureTracker,
        lister: ItemLister,
        on_text_complete: Callable[[ItemWork], None],
        wake: Callable[[], None],
    ) -> None:
        self._context = context
        self._items = items
        self._bodies = bodies
        self._pace = pace
        self._failures = failures
        self._lister = lister
        self._on_text_complete = on_text_complete
        self._wake = wake
        self._log_waiting_at = float("-inf")

    def start_runs(self, group: anyio.abc.TaskGroup) -> None:
        """Assign waiting items to free slots and start their runs, carried items after all others."""
        now = anyio.current_time()
        self._items.discard_stale_texts()
        for waiting in (self._items.waiting(), self._items.carried_waiting(now)):
            if not waiting:
                continue
            assignments = assign(
                self._items.waiting_items(waiting, now),
                self._items.worker_views(now),
                self._items.num_running_by_party(),
            )
            for assignment in assignments:
                self._start(group, assignment, now)
            if len(assignments) < len(waiting):
                self._log_waiting(len(waiting) - len(assignments), now)

    def _log_waiting(self, num_waiting: int, now: float) -> None:
        """Log how many items wait, and the slots in use by party, at most once in a while."""
        if now < self._log_waiting_at:
            return
        self._log_waiting_at = now + LOG_WAITING_EVERY_S
        by_party = self._items.num_running_by_party()
        logger.info(
            "items_wait",
            num_waiting=num_waiting,
            num_running=",".join(f"{party.tenant}/{party.model}:{num}" for party, num in by_party.items()),
        )

    def _start(self, group: anyio.abc.TaskGroup, assignment: Assignment, now: float) -> None:
        work = self._items.works[assignment.key]
        run = Run(assignment.worker_id, anyio.CancelScope(), now, now)
        work.run = run
        work.reserved = None
        work.num_runs += 1
        work.clock.enter(Stage.RUNNING, now)
        group.start_soon(self._run, work, run)

    async def _run(self, work: ItemWork, run: Run) -> None:
        state = self._context.directory.get(run.worker_id)
        outcome: RunOutcome = RunNotBegun("no_entry")

        def record_event() -> None:
            now = anyio.current_time()
            if run.num_events and run.worker_id not in self._items.loading:
                self._pace.observe(run.worker_id, now - run.last_event_at, now)
            run.record_event(now)

        num_events_before = len(work.text.pieces)
        if state is not None:
            with run.scope:
                outcome = await self._read_and_run(state, work, record_event)
            if run.scope.cancelled_caught:
                outcome = RunBroken("moved" if run.is_moving else "closed")
        work.run = None
        work.clock.enter(Stage.WAITING, anyio.current_time())
        self._context.on_run_ended(type(outcome).__name__)
        if not work.is_done:
            self._handle_outcome(work, run, outcome, len(work.text.pieces) - num_events_before)
        self._wake()

    async def _read_and_run(
        self, state: WorkerState, work: ItemWork, record_event: Callable[[], None]
    ) -> RunOutcome:
        """Run an item at a worker, after its body has been read if it is not in memory."""
        item = await self._bodies.read(work)
        if item is None:
            work.wait_until = anyio.current_time() + UNREAD_PAUSE_S
            return RunNotBegun("item_not_read")
        if not self._context.directory.is_usable(state.entry.worker_id):
            return RunNotBegun("no_entry")
        spec = RunSpec(
            item,
            work.host,
            work.min_version,
            work.route.needs_one_version,
            CARRIED_URGENCY if work.is_carried else None,
            work.tenant,
        )
        return await self._run_at(state, spec, work, record_event)

    async def _run_at(
        self, state: WorkerState, spec: RunSpec, work: ItemWork, record_event: Callable[[], None]
    ) -> RunOutcome:
        """Run an item at a worker and report to the quarantine what the outcome says about crashes."""
        quarantine = self._context.quarantine
        running = quarantine.running(fingerprint_of_run(spec))
        state.begin_item(running)
        try:
            outcome = await run_item(
                self._context.port, state.entry, spec, work.text, record_event, self._context.held
            )
            if isinstance(outcome, RunBroken) and outcome.is_connection_lost:
                await quarantine.handle_broken_connection(state)
                work.wait_until = anyio.current_time() + quarantine.pause_s(running.fingerprint)
            elif isinstance(outcome, RunFinished | RunFailed):
                quarantine.record_complete_answer(running.fingerprint)
        except Exception as error:
            # An error over one item must not end the other runs, nor the process.
            logger.exception("item_run_error", item_id=spec.item.item_id, worker=state.entry.worker_id)
            outcome = RunError(repr(error))
        finally:
            state.end_item(running)
        return outcome

    def _handle_outcome(self, work: ItemWork, run: Run, outcome: RunOutcome, num_new: int) -> None:
        now = anyio.current_time()
        if (
            isinstance(outcome, RunFinished | RunFailed | RunBroken | RunOverLimit | RunError)
            and not run.is_moving
        ):
            self._failures.observe(run.worker_id, not isinstance(outcome, RunFinished), now)
        if not isinstance(outcome, RunFinished):
            self._log_ended(work, run, outcome, num_new)
        _outcome_handlers.handle(self, outcome, work, run, now)

    @_outcome_handlers.handler(RunFinished)
    def _handle_finished(self, outcome: RunFinished, work: ItemWork, run: Run, now: float) -> None:
        self._items.record_length(work)
        self._log_finished(work, run, now)
        self._on_text_complete(work)

    @_outcome_handlers.handler(RunNeverPossible)
    def _handle_never_possible(self, outcome: RunNeverPossible, work: ItemWork, run: Run, now: float) -> None:
        self._give_up(work, "never_possible")

    @_outcome_handlers.handler(RunFailed)
    def _handle_failed(self, outcome: RunFailed, work: ItemWork, run: Run, now: float) -> None:
        work.text.num_failures += 1
        work.failed_workers.add(run.worker_id)
        work.num_checkpointed = -1
        work.avoid(run.worker_id, now + AVOID_AFTER_BREAK_SECONDS)
        work.wait_until = now + FAILURE_PAUSE_SECONDS
        if work.text.num_failures >= work.route.max_attempts:
            # After as many failures again it is given up, so those should not come from failing workers.
            work.avoid_failing_until = now + AVOID_FAILING_S
        if work.has_failed_for_good():
            self._give_up(work, "failed")

    def _give_up(self, work: ItemWork, reason: str) -> None:
        """List an item as given up; a carried item is not listed, only not run again."""
        if work.is_carried:
            work.is_done = True
        else:
            self._lister.give_up(work, reason)

    @_outcome_handlers.handler(RunNotBegun)
    def _handle_not_begun(self, outcome: RunNotBegun, work: ItemWork, run: Run, now: float) -> None:
        if outcome.is_gone:
            self._context.directory.mark_draining(run.worker_id)
            return
        state = self._context.directory.get(run.worker_id)
        work.avoid(run.worker_id, now + AVOID_AFTER_REFUSAL_SECONDS)
        if state is not None and outcome.reason.startswith("unreachable"):
            self._failures.observe(run.worker_id, is_failure=True, now=now)
            state.avoid_until = now + AVOID_AFTER_BREAK_SECONDS

    @_outcome_handlers.handler(RunWrongVersion)
    def _handle_wrong_version(self, outcome: RunWrongVersion, work: ItemWork, run: Run, now: float) -> None:
        self._note_version(run.worker_id, work.model, outcome.version)
        work.avoid(run.worker_id, now + AVOID_AFTER_REFUSAL_SECONDS)

    @_outcome_handlers.handler(RunError)
    @_outcome_handlers.handler(RunBroken)
    def _handle_broken(self, outcome: RunBroken | RunError, work: ItemWork, run: Run, now: float) -> None:
        if not run.is_moving:
            work.avoid(run.worker_id, now + AVOID_AFTER_BREAK_SECONDS)

    @_outcome_handlers.handler(RunOverLimit)
    def _handle_over_limit(self, outcome: RunOverLimit, work: ItemWork, run: Run, now: float) -> None:
        # The text was discarded, so the next owner must not go on from its checkpoint.
        work.num_checkpointed = -1
        work.avoid(run.worker_id, now + AVOID_AFTER_BREAK_SECONDS)

    def _log_ended(self, work: ItemWork, run: Run, outcome: RunOutcome, num_new: int) -> None:
        log = logger.debug if isinstance(outcome, RunNotBegun) else logger.info
        log(
            "item_run_ended",
            item_id=work.item.item_id,
            batch_id=work.key[0],
            worker=run.worker_id,
            outcome=type(outcome).__name__,
            reason=str(outcome),
            num_new_events=num_new,
            num_events=len(work.text.pieces),
        )

    def _log_finished(self, work: ItemWork, run: Run, now: float) -> None:
        logger.info(
            "item_finished",
            item_id=work.item.item_id,
            batch_id=work.key[0],
            worker=run.worker_id,
            num_events=len(work.text.pieces),
            num_expected_tokens=work.item.num_expected_tokens,
            batch_age_seconds=round(self._context.time_of_day() - work.submitted_at, 3),
            run_seconds=round(now - run.started_at, 3),
            first_event_seconds=round((run.first_event_at or now) - run.started_at, 3),
            longest_gap_seconds=round(run.longest_gap, 3),
            num_run_events=run.num_events,
            versions=",".join(str(version) for version in work.text.versions),
        )

    def _note_version(self, worker_id: str, model: str, version: int) -> None:
        state = self._context.directory.get(worker_id)
        if state is not None:
            state.versions[model] = version
