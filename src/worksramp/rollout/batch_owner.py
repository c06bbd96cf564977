"""The owner of a shard runs the items of its batches and lists their results.

One task gives waiting items to workers, one watches runs for workers that are stuck or far slower than the
rest, one keeps texts in the log so that the next owner goes on from them.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import structlog

from worksramp.coordination.fenced_writer import FencedWriter
from worksramp.coordination.shared_log import KeyedRecord
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
from worksramp.rollout.batch_schedule import Assignment, Place, WaitingItem, assign
from worksramp.rollout.batches import (
    Batch,
    BatchLedger,
    BatchResult,
    record_of_forgotten_progress,
    record_of_progress,
    records_of_result,
)
from worksramp.rollout.item_work import (
    AVOID_AFTER_BREAK_SECONDS,
    AVOID_AFTER_REFUSAL_SECONDS,
    ItemKey,
    ItemWork,
    Run,
    text_to_start_from,
)
from worksramp.rollout.pace import PaceTracker
from worksramp.routing.table import Route, RouteTable
from worksramp.routing.worker_port import WorkerPort
from worksramp.routing.workers import WorkerDirectory, WorkerState

TICK_SECONDS = 0.05
CHECKPOINT_SECONDS = 0.8
MIN_CHECKPOINT_PIECES = 6
STUCK_FACTOR = 10.0
MIN_STUCK_SECONDS = 0.7
FIRST_EVENT_SECONDS = 1.2
MIN_SECONDS_BETWEEN_MOVES = 0.6
#: A move costs a new connection and the reading of the prompt and the text so far.
MOVE_COST_SECONDS = 0.1
MIN_MOVE_GAIN_SECONDS = 0.25
#: Below this ratio the difference between two paces may be chance.
MIN_MOVE_PACE_RATIO = 1.2
#: Lengths have a long tail: what has run for long is expected to go on for this share of it.
EXPECTED_TAIL_SHARE = 0.4
MAX_MOVES_A_TICK = 2
FAILURE_PAUSE_SECONDS = 0.1

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class OwnerContext:
    """What an owner works with.

    Attributes:
        table: where the configuration in force is found.
        time_of_day: seconds, as batches are stamped.
    """

    ledger: BatchLedger
    directory: WorkerDirectory
    port: WorkerPort
    writer: FencedWriter
    table: "TableSource"
    max_record_bytes: int
    time_of_day: Callable[[], float] = time.time


class TableSource:
    """Where the configuration in force is found."""

    def __init__(self) -> None:
        self.current: RouteTable | None = None


class BatchOwner:
    """Runs the items of all open batches of a shard, for as long as the lease is held."""

    def __init__(self, context: OwnerContext) -> None:
        self._context = context
        self._works: dict[ItemKey, ItemWork] = {}
        self._next_positions: dict[str, int] = {}
        self._seen_batches: set[str] = set()
        self._wanted = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._is_stopping = False
        self.pace = PaceTracker()
        self.loading: dict[str, str] = {}

    async def run(self) -> None:
        """Run items until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._checkpoint_forever)
            while not self._is_stopping:
                self._take_batches()
                self._watch_runs()
                self._dispatch()
                with anyio.move_on_after(TICK_SECONDS):
                    await self._wanted.wait()
                self._wanted = anyio.Event()

    def wake(self) -> None:
        """Look again at once: something has changed."""
        self._wanted.set()

    def stop_runs(self) -> None:
        """Begin nothing more, close all runs and put their texts into the log."""
        self._is_stopping = True
        for work in self._works.values():
            if work.run is not None:
                work.run.scope.cancel()
        self._checkpoint(min_new_pieces=1)
        self.wake()

    # What the mover of versions asks.

    def num_running(self, worker_id: str, model: str) -> int:
        """Return the runs of a model at a worker."""
        return sum(
            1
            for work in self._works.values()
            if work.run is not None and work.run.worker_id == worker_id and work.model == model
        )

    def num_waiting(self, model: str) -> int:
        """Return the items of a model that wait for a place."""
        return sum(1 for work in self._works.values() if work.run is None and work.model == model)

    def min_version(self, model: str) -> int:
        """Return the oldest version that any open item may use, 0 when none is open."""
        return max((work.min_version for work in self._works.values() if work.model == model), default=0)

    def has_one_version_work(self, model: str) -> bool:
        """Return whether any open item needs one version for all its text."""
        return any(work.route.needs_one_version for work in self._works.values() if work.model == model)

    # Batches.

    def _take_batches(self) -> None:
        ledger = self._context.ledger
        for batch_id, batch in list(ledger.batches.items()):
            route = self._route(batch)
            if batch.is_ended:
                self._drop_batch(batch_id)
            elif batch_id not in self._seen_batches and route is not None:
                self._open_batch(batch_id, batch, route)
            elif batch_id in self._seen_batches:
                self._give_up_old(batch, route)

    def _route(self, batch: Batch) -> Route | None:
        table = self._context.table.current
        return None if table is None else table.match(batch.header.host, batch.header.path)

    def _open_batch(self, batch_id: str, batch: Batch, route: Route) -> None:
        self._seen_batches.add(batch_id)
        self._next_positions[batch_id] = batch.num_results
        num_reused = 0
        for index, item_id in enumerate(batch.header.item_ids):
            if item_id in batch.listed:
                continue
            work = ItemWork(
                key=(batch_id, index),
                item=self._context.ledger.item(batch_id, index),
                model=batch.header.model,
                route=route,
                submitted_at=batch.header.submitted_at,
                min_version=batch.header.min_version,
                text=text_to_start_from(self._context.ledger, item_id, batch, route),
            )
            self._works[work.key] = work
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

    def _drop_batch(self, batch_id: str) -> None:
        if batch_id not in self._seen_batches:
            return
        self._seen_batches.discard(batch_id)
        num_cut = 0
        for key in [key for key in self._works if key[0] == batch_id]:
            work = self._works.pop(key)
            work.is_done = True
            if work.run is not None:
                num_cut += 1
                work.run.scope.cancel()
            self._checkpoint_work(work, min_new_pieces=1)
        logger.info("batch_ended", batch_id=batch_id, num_cut=num_cut)

    def _give_up_old(self, batch: Batch, route: Route | None) -> None:
        keep_seconds = None if route is None else route.keep_seconds
        if keep_seconds is None or self._context.time_of_day() - batch.header.submitted_at < 2 * keep_seconds:
            return
        for key in [key for key in self._works if key[0] == batch.header.batch_id]:
            self._list(self._works[key], is_completed=False, reason="too_old")

    # Giving items to workers.

    def _dispatch(self) -> None:
        if self._is_stopping or self._group is None:
            return
        waiting = [work for work in self._works.values() if work.run is None and not work.is_done]
        if not waiting:
            return
        now = anyio.current_time()
        for assignment in assign(self._waiting_items(waiting, now), self._places(now)):
            self._start(assignment, now)

    def _waiting_items(self, works: list[ItemWork], now: float) -> list[WaitingItem]:
        table = self._context.table.current
        items: list[WaitingItem] = []
        for work in works:
            if work.wait_until > now or table is None:
                continue
            route = table.match(self._host(work), work.item.target)
            if route is None:
                continue
            service = route.parts[0].service
            spec = table.services.get(service)
            tokens_per_event = spec.tokens_per_event if spec else 1
            only = work.text.versions[0] if work.route.needs_one_version and work.text.versions else None
            items.append(
                WaitingItem(
                    key=work.key,
                    service=service,
                    model=work.model,
                    batch_age_seconds=self._context.time_of_day() - work.submitted_at,
                    num_expected_tokens=work.num_expected_tokens(tokens_per_event),
                    num_memory_tokens=work.item.num_tokens,
                    min_version=work.min_version,
                    only_version=only,
                    avoided=work.avoided_now(now),
                )
            )
        return items

    def _host(self, work: ItemWork) -> str:
        return self._context.ledger.batches[work.key[0]].header.host

    def _places(self, now: float) -> list[Place]:
        counts: dict[str, int] = {}
        tokens: dict[str, int] = {}
        for work in self._works.values():
            if work.run is not None:
                worker_id = work.run.worker_id
                counts[worker_id] = counts.get(worker_id, 0) + 1
                tokens[worker_id] = tokens.get(worker_id, 0) + work.num_expected_tokens(1)
        table = self._context.table.current
        if table is None:
            return []
        return [
            self._place(state, counts, tokens, now)
            for service in table.services
            for state in self._context.directory.usable(service)
            if state.avoid_until <= now
        ]

    def _place(self, state: WorkerState, counts: dict[str, int], tokens: dict[str, int], now: float) -> Place:
        worker_id = state.entry.worker_id
        loading = self.loading.get(worker_id)
        return Place(
            worker_id=worker_id,
            service=state.entry.service,
            num_slots=state.entry.num_slots,
            num_running=counts.get(worker_id, 0),
            num_expected_tokens=tokens.get(worker_id, 0),
            versions=state.versions,
            loading=frozenset() if loading is None else frozenset([loading]),
            seconds_per_event=self.pace.seconds_per_event(worker_id, now),
            is_slow=self.pace.is_slow(worker_id, now),
        )

    def _start(self, assignment: Assignment, now: float) -> None:
        work = self._works[assignment.key]
        run = Run(assignment.worker_id, anyio.CancelScope(), now, now)
        work.run = run
        assert self._group is not None
        self._group.start_soon(self._run, work, run)

    async def _run(self, work: ItemWork, run: Run) -> None:
        state = self._context.directory.get(run.worker_id)
        outcome: RunOutcome = RunNotBegun("no_entry")
        spec = RunSpec(work.item, self._host(work), work.min_version, work.route.needs_one_version)

        def note_event() -> None:
            now = anyio.current_time()
            if run.num_events and run.worker_id not in self.loading:
                self.pace.observe(run.worker_id, now - run.last_event_at, now)
            run.note_event(now)

        num_before = len(work.text.pieces)
        if state is not None:
            with run.scope:
                outcome = await run_item(self._context.port, state.entry, spec, work.text, note_event)
            if run.scope.cancelled_caught:
                outcome = RunBroken("moved" if run.is_moving else "closed")
        work.run = None
        if not work.is_done:
            self._take_outcome(work, run, outcome, len(work.text.pieces) - num_before)
        self.wake()

    def _take_outcome(self, work: ItemWork, run: Run, outcome: RunOutcome, num_new: int) -> None:
        now = anyio.current_time()
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
            work.num_checkpointed = -1
            work.avoid(run.worker_id, now + AVOID_AFTER_BREAK_SECONDS)
            work.wait_until = now + FAILURE_PAUSE_SECONDS
            if work.text.num_failures >= work.route.max_attempts:
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
        self._works.pop(work.key, None)
        position = self._next_positions[batch_id]
        self._next_positions[batch_id] = position + 1
        text = "\n".join(work.text.pieces) if is_completed else ""
        versions = tuple(work.text.versions) if is_completed else ()
        result = BatchResult(work.item.item_id, is_completed, text, versions)
        records = records_of_result(batch_id, position, result, self._context.max_record_bytes)
        if work.num_checkpointed or work.item.item_id in self._context.ledger.progress:
            records.append(record_of_forgotten_progress(work.item.item_id))
        self._context.writer.put(*records)
        if not is_completed:
            logger.warning(
                "item_given_up",
                item_id=work.item.item_id,
                batch_id=batch_id,
                reason=reason,
                num_failures=work.text.num_failures,
            )

    # Runs that do not get on.

    def _watch_runs(self) -> None:
        now = anyio.current_time()
        typical = self.pace.typical_seconds(now)
        # Where items wait for a place, a move would only change who waits.
        num_moves = MAX_MOVES_A_TICK if any(work.run is None for work in self._works.values()) else 0
        for work in list(self._works.values()):
            run = work.run
            if run is None or run.is_moving or run.worker_id in self.loading:
                continue
            if self._is_stuck(run, typical, now):
                self._move(work, run, "stuck", now)
            elif num_moves < MAX_MOVES_A_TICK and self._gain_of_move(work, run, now) > MIN_MOVE_GAIN_SECONDS:
                num_moves += 1
                self._move(work, run, "faster_elsewhere", now)

    def _is_stuck(self, run: Run, typical: float | None, now: float) -> bool:
        silent = now - run.last_event_at
        if run.num_events == 0:
            return silent > FIRST_EVENT_SECONDS
        return silent > max(MIN_STUCK_SECONDS, STUCK_FACTOR * (typical or 0.0))

    def _gain_of_move(self, work: ItemWork, run: Run, now: float) -> float:
        """Return the seconds by which an item is expected to end sooner at the best other worker."""
        pace = self.pace.seconds_per_event(run.worker_id, now)
        if pace is None or now - run.started_at < MIN_SECONDS_BETWEEN_MOVES:
            return 0.0
        other = self._best_other_pace(work, run, now)
        if other is None or pace < MIN_MOVE_PACE_RATIO * other:
            return 0.0
        return self._num_events_left(work) * (pace - other) - MOVE_COST_SECONDS

    def _num_events_left(self, work: ItemWork) -> float:
        table = self._context.table.current
        spec = None if table is None else table.services.get(work.route.parts[0].service)
        tokens_per_event = spec.tokens_per_event if spec else 1
        estimated = work.num_expected_tokens(tokens_per_event) / tokens_per_event
        return max(estimated, EXPECTED_TAIL_SHARE * len(work.text.pieces))

    def _best_other_pace(self, work: ItemWork, run: Run, now: float) -> float | None:
        """Return the pace of the worker with a free slot that an item would move to, None without one."""
        items = self._waiting_items([work], now)
        places = [place for place in self._places(now) if place.worker_id != run.worker_id]
        assignments = assign(items, places)
        if not assignments:
            return None
        return self.pace.seconds_per_event(assignments[0].worker_id, now)

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
            seconds_per_event=self.pace.seconds_per_event(run.worker_id, now),
        )
        run.scope.cancel()

    # Texts in the log.

    async def _checkpoint_forever(self) -> None:
        while not self._is_stopping:
            await anyio.sleep(CHECKPOINT_SECONDS)
            self._checkpoint(MIN_CHECKPOINT_PIECES)

    def _checkpoint(self, min_new_pieces: int) -> None:
        for work in self._works.values():
            self._checkpoint_work(work, min_new_pieces)

    def _checkpoint_work(self, work: ItemWork, min_new_pieces: int) -> None:
        num_pieces = len(work.text.pieces)
        if num_pieces - work.num_checkpointed < min_new_pieces and work.num_checkpointed >= 0:
            return
        record: KeyedRecord = record_of_progress(work.item.item_id, work.text.freeze())
        if len(record.value) > self._context.max_record_bytes // 2:
            return
        work.num_checkpointed = num_pieces
        self._context.writer.put(record)
