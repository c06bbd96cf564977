"""The owner of a shard runs the items of its batches and lists their results.

One task gives waiting items to workers, one watches runs for workers that are stuck or far slower than the
rest, one keeps texts in the log so that the next owner goes on from them.
"""

import anyio
import anyio.abc
import structlog

from worksramp.rollout.batch_reader import BatchReader
from worksramp.rollout.batch_run import (
    RunBroken,
    RunFailed,
    RunFinished,
    RunNeverPossible,
    RunNotBegun,
    RunOutcome,
    RunSpec,
    RunWrongVersion,
    run_item,
)
from worksramp.rollout.batch_schedule import Assignment, assign
from worksramp.rollout.batches import Batch, BatchResult
from worksramp.rollout.item_work import (
    AVOID_AFTER_BREAK_SECONDS,
    AVOID_AFTER_REFUSAL_SECONDS,
    ItemWork,
    Run,
    text_to_start_from,
)
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.pace import PaceTracker
from worksramp.rollout.result_writer import ResultWriter
from worksramp.rollout.run_watch import RunWatch
from worksramp.rollout.text_keeper import TextKeeper
from worksramp.routing.failure_tracker import FailureTracker
from worksramp.routing.table import Route

TICK_SECONDS = 0.05
FAILURE_PAUSE_SECONDS = 0.1

logger = structlog.get_logger()


class BatchOwner:
    """Runs the items of all open batches of a shard, for as long as the lease is held."""

    def __init__(self, context: OwnerContext) -> None:
        self._context = context
        self._pace = PaceTracker()
        self._failures = FailureTracker()
        self.items = OpenItems(context, self._pace, self._failures)
        self._watch = RunWatch(self.items, self._pace, self._failures)
        self._texts = TextKeeper(context, self.items)
        self._reader = BatchReader(context.values, context.ledger)
        self._results = ResultWriter(context.values.store, context.writer, context.max_record_bytes)
        self._next_positions: dict[str, int] = {}
        self._seen_batches: set[str] = set()
        self._wanted = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._is_stopping = False

    async def run(self) -> None:
        """Run items until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._results.run)
            await self._texts.load()
            group.start_soon(self._texts.checkpoint_forever)
            group.start_soon(self._texts.forget_forever)
            while not self._is_stopping:
                self._take_batches()
                self._watch.look()
                self._dispatch()
                with anyio.move_on_after(TICK_SECONDS):
                    await self._wanted.wait()
                self._wanted = anyio.Event()
            # What is still to be written is the writer's; the runs are closed.
            await anyio.sleep_forever()

    def wake(self) -> None:
        """Look again at once: something has changed."""
        self._wanted.set()

    def stop_runs(self) -> None:
        """Begin nothing more, close all runs and put their texts into the log."""
        self._is_stopping = True
        for work in self.items.works.values():
            if work.run is not None:
                work.run.scope.cancel()
        self._texts.checkpoint(min_new_pieces=1)
        self.wake()

    async def flush(self) -> None:
        """Return once all results and texts so far are written."""
        await self._texts.flush()
        await self._results.wait_drained()

    # Batches.

    def _take_batches(self) -> None:
        ledger = self._context.ledger
        for batch_id, batch in list(ledger.batches.items()):
            route = self._route(batch)
            if batch.is_ended:
                self._drop_batch(batch_id)
            elif batch_id not in self._seen_batches and route is not None:
                self._seen_batches.add(batch_id)
                assert self._group is not None
                self._group.start_soon(self._open_batch, batch_id, batch, route)
            elif batch_id in self._seen_batches:
                self._give_up_old(batch, route)

    def _route(self, batch: Batch) -> Route | None:
        table = self._context.table.current
        return None if table is None else table.match(batch.header.host, batch.header.path)

    async def _open_batch(self, batch_id: str, batch: Batch, route: Route) -> None:
        """Read the items of a batch that are not listed yet, and have them run."""
        item_ids = batch.header.item_ids
        indices = [index for index, item_id in enumerate(item_ids) if item_id not in batch.listed]
        items = await self._reader.items(batch, indices)
        earlier = await self._reader.earlier_texts(item_ids[index] for index in indices)
        if batch.is_ended or self._is_stopping:
            return
        self.items.note_step(batch.header.model, len(item_ids))
        self._next_positions[batch_id] = batch.num_results
        num_reused = 0
        for index, item in items.items():
            kept = self._texts.kept(item.item_id) or earlier.get(item.item_id)
            work = ItemWork(
                key=(batch_id, index),
                item=item,
                model=batch.header.model,
                route=route,
                submitted_at=batch.header.submitted_at,
                min_version=batch.header.min_version,
                text=text_to_start_from(kept, batch, route),
            )
            self.items.works[work.key] = work
            if work.text.is_whole:
                num_reused += 1
                self._list(work, is_completed=True)
        logger.info(
            "batch_taken",
            batch_id=batch_id,
            step=batch.header.step,
            model=batch.header.model,
            min_version=batch.header.min_version,
            num_items=len(batch.header.item_ids),
            num_listed=len(batch.listed),
            num_reused=num_reused,
            epoch=self._context.writer.owner.epoch,
        )
        self.wake()

    def _drop_batch(self, batch_id: str) -> None:
        if batch_id not in self._seen_batches:
            return
        self._seen_batches.discard(batch_id)
        num_cut = 0
        for work in self.items.of_batch(batch_id):
            del self.items.works[work.key]
            work.is_done = True
            if work.run is not None:
                num_cut += 1
                work.run.scope.cancel()
            self._texts.leave(work)
        logger.info("batch_ended", batch_id=batch_id, num_cut=num_cut)

    def _give_up_old(self, batch: Batch, route: Route | None) -> None:
        keep_seconds = None if route is None else route.keep_seconds
        if keep_seconds is None or self._context.time_of_day() - batch.header.submitted_at < 2 * keep_seconds:
            return
        for work in self.items.of_batch(batch.header.batch_id):
            self._list(work, is_completed=False, reason="too_old")

    # Giving items to workers.

    def _dispatch(self) -> None:
        if self._is_stopping or self._group is None:
            return
        waiting = self.items.waiting()
        if not waiting:
            return
        now = anyio.current_time()
        for assignment in assign(self.items.waiting_items(waiting, now), self.items.places(now)):
            self._start(assignment, now)

    def _start(self, assignment: Assignment, now: float) -> None:
        work = self.items.works[assignment.key]
        run = Run(assignment.worker_id, anyio.CancelScope(), now, now)
        work.run = run
        assert self._group is not None
        self._group.start_soon(self._run, work, run)

    async def _run(self, work: ItemWork, run: Run) -> None:
        state = self._context.directory.get(run.worker_id)
        outcome: RunOutcome = RunNotBegun("no_entry")
        spec = RunSpec(work.item, self.items.host(work), work.min_version, work.route.needs_one_version)

        def note_event() -> None:
            now = anyio.current_time()
            if run.num_events and run.worker_id not in self.items.loading:
                self._pace.observe(run.worker_id, now - run.last_event_at, now)
            run.note_event(now)

        num_before = len(work.text.pieces)
        if state is not None:
            with run.scope:
                outcome = await run_item(self._context.port, state.entry, spec, work.text, note_event)
            if run.scope.cancelled_caught:
                outcome = RunBroken("moved" if run.is_moving else "closed")
        work.run = None
        self._context.on_run_ended(type(outcome).__name__)
        if not work.is_done:
            self._take_outcome(work, run, outcome, len(work.text.pieces) - num_before)
        self.wake()

    def _take_outcome(self, work: ItemWork, run: Run, outcome: RunOutcome, num_new: int) -> None:
        now = anyio.current_time()
        if isinstance(outcome, RunFinished | RunFailed | RunBroken) and not run.is_moving:
            self._failures.observe(run.worker_id, not isinstance(outcome, RunFinished), now)
        if isinstance(outcome, RunFinished):
            self._log_finished(work, run, now)
            self._list(work, is_completed=True)
            return
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
        if isinstance(outcome, RunNeverPossible):
            self._list(work, is_completed=False, reason="never_possible")
        elif isinstance(outcome, RunFailed):
            work.text.num_failures += 1
            work.failed_at.add(run.worker_id)
            work.num_checkpointed = -1
            work.avoid(run.worker_id, now + AVOID_AFTER_BREAK_SECONDS)
            work.wait_until = now + FAILURE_PAUSE_SECONDS
            if work.has_failed_for_good():
                self._list(work, is_completed=False, reason="failed")
        elif isinstance(outcome, RunNotBegun):
            self._note_refusal(work, run, outcome, now)
        elif isinstance(outcome, RunWrongVersion):
            self._note_version(run.worker_id, work.model, outcome.version)
            work.avoid(run.worker_id, now + AVOID_AFTER_REFUSAL_SECONDS)
            self._drop_stale_text(work)
        elif not run.is_moving:
            work.avoid(run.worker_id, now + AVOID_AFTER_BREAK_SECONDS)

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

    def _note_refusal(self, work: ItemWork, run: Run, outcome: RunNotBegun, now: float) -> None:
        if outcome.is_gone:
            self._context.directory.mark_leaving(run.worker_id)
            return
        state = self._context.directory.get(run.worker_id)
        work.avoid(run.worker_id, now + AVOID_AFTER_REFUSAL_SECONDS)
        if state is not None and outcome.reason.startswith("unreachable"):
            self._failures.observe(run.worker_id, is_failure=True, now=now)
            state.avoid_until = now + AVOID_AFTER_BREAK_SECONDS

    def _note_version(self, worker_id: str, model: str, version: int) -> None:
        state = self._context.directory.get(worker_id)
        if state is not None:
            state.versions[model] = version

    def _drop_stale_text(self, work: ItemWork) -> None:
        """A text of one version that no worker has any more is begun anew."""
        if not work.route.needs_one_version or not work.text.versions:
            return
        version = work.text.versions[0]
        usable = self._context.directory.all_states()
        if not any(state.versions.get(work.model) == version for state in usable):
            work.text.clear()

    # Results.

    def _list(self, work: ItemWork, is_completed: bool, reason: str = "") -> None:
        batch_id = work.key[0]
        work.is_done = True
        self.items.works.pop(work.key, None)
        position = self._next_positions[batch_id]
        self._next_positions[batch_id] = position + 1
        text = "\n".join(work.text.pieces) if is_completed else ""
        versions = tuple(work.text.versions) if is_completed else ()
        self._results.put(batch_id, position, BatchResult(work.item.item_id, is_completed, text, versions))
        self._texts.forget(work.item.item_id)
        self._context.on_listed(self._context.time_of_day() - work.submitted_at)
        if not is_completed:
            logger.warning(
                "item_given_up",
                item_id=work.item.item_id,
                batch_id=batch_id,
                reason=reason,
                num_failures=work.text.num_failures,
            )
