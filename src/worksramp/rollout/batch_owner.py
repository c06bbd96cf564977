"""Processes the batches of a shard on the node that owns it: items are run, scored and listed as results.

One loop assigns waiting items to workers, checks whether runs are stuck or their workers far slower than the
others, and sends scoring calls for complete texts. One task writes texts to the log, so that the next owner
resumes them.
"""

import anyio
import anyio.abc
import structlog

from worksramp.rollout.batch_reader import BatchReader
from worksramp.rollout.batches import Batch, BatchItem
from worksramp.rollout.carried_items import CarriedItems
from worksramp.rollout.item_bodies import ItemBodies, StoredItem
from worksramp.rollout.item_lister import ItemLister
from worksramp.rollout.item_runner import ItemRunner
from worksramp.rollout.item_scorer import ItemScorer
from worksramp.rollout.item_work import ItemWork, longer_text, text_to_start_from
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.pace import PaceTracker
from worksramp.rollout.result_writer import ResultWriter
from worksramp.rollout.run_watch import RunWatch
from worksramp.rollout.stage_clock import Stage, StageClock
from worksramp.rollout.text_keeper import TextKeeper
from worksramp.routing.failure_tracker import FailureTracker
from worksramp.routing.identity import scoped_id
from worksramp.routing.table import Route
from worksramp.routing.worker_starts import RestartDetector

TICK_SECONDS = 0.05

logger = structlog.get_logger()


class BatchOwner:
    """Runs the items of all open batches of a shard while this node holds the lease.

    Attributes:
        items: open items of the shard.
    """

    def __init__(self, context: OwnerContext) -> None:
        self._context = context
        self._pace = PaceTracker()
        self._failures = FailureTracker()
        self.items = OpenItems(context, self._pace, self._failures)
        self._watch = RunWatch(self.items, self._pace, self._failures, context.on_moved)
        self._texts = TextKeeper(context, self.items)
        self._reader = BatchReader(context.values, context.ledger)
        self._bodies = ItemBodies(context.values, self.items.works, context.max_body_b)
        self._results = ResultWriter(context.values.store, context.writer, context.max_record_bytes)
        self._lister = ItemLister(context, self.items, self._texts, self._results)
        self._runner = ItemRunner(
            context,
            self.items,
            self._bodies,
            self._pace,
            self._failures,
            self._lister,
            self._on_text_complete,
            self.wake,
        )
        self._scorer = ItemScorer(context, self.items, self._failures, self._lister, self.wake)
        self._carried = CarriedItems(context, self.items)
        self._starts = RestartDetector(context.directory)
        self._opened_batches: set[str] = set()
        self._wake_event = anyio.Event()
        self._group: anyio.abc.TaskGroup | None = None
        self._is_stopping = False

    async def run(self) -> None:
        """Process batches until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._results.run)
            await self._texts.load()
            group.start_soon(self._texts.checkpoint_forever)
            group.start_soon(self._texts.expire_batches_forever)
            while not self._is_stopping:
                self._update_batches()
                self._carried.discard_expired()
                self._handle_restarted_workers()
                self._watch.check_runs()
                self._runner.start_runs(group)
                self._scorer.start_calls(group)
                with anyio.move_on_after(TICK_SECONDS):
                    await self._wake_event.wait()
                self._wake_event = anyio.Event()
            # All runs are closed; what is still to be written is left to the writer tasks.
            await anyio.sleep_forever()

    def wake(self) -> None:
        """Run the loop again at once, since something has changed."""
        self._wake_event.set()

    def stop_runs(self) -> None:
        """Start no more runs, cancel all runs and queue their texts for writing."""
        self._is_stopping = True
        for work in self.items.works.values():
            work.stop()
        self._texts.checkpoint(min_new_events=1)
        self.wake()

    async def flush(self) -> None:
        """Wait until all results and texts so far are written."""
        await self._texts.flush()
        await self._results.wait_drained()

    @property
    def num_unwritten_results(self) -> int:
        """Number of results whose texts are not known to be in the store."""
        return self._results.num_waiting

    def _handle_restarted_workers(self) -> None:
        for worker_id in self._starts.restarted():
            self._pace.discard_worker(worker_id)
            self._failures.discard_worker(worker_id)
            self._watch.close_runs_at(worker_id)

    def _update_batches(self) -> None:
        ledger = self._context.ledger
        for batch_id, batch in list(ledger.batches.items()):
            route = self._route(batch)
            if batch.is_ended:
                self._drop_batch(batch_id, batch)
            elif batch_id not in self._opened_batches and route is not None:
                self._opened_batches.add(batch_id)
                assert self._group is not None
                self._group.start_soon(self._open_batch, batch_id, batch, route)
            elif batch_id in self._opened_batches:
                self._give_up_old(batch, route)

    def _route(self, batch: Batch) -> Route | None:
        table = self._context.table.current
        return None if table is None else table.match(batch.header.host, batch.header.path)

    async def _open_batch(self, batch_id: str, batch: Batch, route: Route) -> None:
        """Read the items of a batch that are not listed yet, and add them to the open items."""
        item_ids = batch.header.item_ids
        indices = [index for index, item_id in enumerate(item_ids) if item_id not in batch.listed]
        items: dict[int, BatchItem | StoredItem] = {}
        try:
            async for group in self._reader.item_groups(batch, indices):
                items |= self._bodies.keep(batch_id, group)
            await self._open_items(batch_id, batch, route, items)
        finally:
            self._bodies.end_opening(batch_id)

    async def _open_items(
        self, batch_id: str, batch: Batch, route: Route, items: dict[int, BatchItem | StoredItem]
    ) -> None:
        item_ids = batch.header.item_ids
        earlier = await self._reader.earlier_texts(batch.header.tenant, (item_ids[index] for index in items))
        if batch.is_ended or self._is_stopping:
            return
        self.items.record_step_size(batch.header.model, len(item_ids))
        self._lister.open_batch(batch_id, batch.num_results)
        num_reused = 0
        for index, kept_item in items.items():
            is_stored = isinstance(kept_item, StoredItem)
            item = kept_item.item if isinstance(kept_item, StoredItem) else kept_item
            text_id = scoped_id(batch.header.tenant, item.item_id)
            kept = self._texts.kept_text(text_id) or earlier.get(item.item_id)
            text = text_to_start_from(kept, batch, route)
            carried = self._carried.pop_text(text_id)
            if carried is not None:
                text = longer_text(text, text_to_start_from(carried.freeze(""), batch, route))
            work = ItemWork(
                key=(batch_id, index),
                item=item,
                model=batch.header.model,
                route=route,
                submitted_at=batch.header.submitted_at,
                min_version=batch.header.min_version,
                tenant=batch.header.tenant,
                host=batch.header.host,
                group=batch.header.groups[index],
                stored_in=batch.header if is_stored else None,
                text=text,
                clock=StageClock(since=anyio.current_time()),
            )
            self.items.works[work.key] = work
            if work.text.is_whole:
                num_reused += 1
                self._on_text_complete(work)
            elif self.items.is_too_large(work):
                self._lister.give_up(work, "larger_than_memory")
        logger.info(
            "batch_taken",
            batch_id=batch_id,
            step=batch.header.step,
            model=batch.header.model,
            min_version=batch.header.min_version,
            num_wanted_groups=batch.header.num_wanted_groups,
            target_s=route.target_seconds,
            age_s=round(self._context.time_of_day() - batch.header.submitted_at, 3),
            num_items=len(batch.header.item_ids),
            num_listed=len(batch.listed),
            num_reused=num_reused,
            epoch=self._context.writer.owner.epoch,
        )
        self.wake()

    def _drop_batch(self, batch_id: str, batch: Batch) -> None:
        if batch_id not in self._opened_batches:
            return
        self._opened_batches.discard(batch_id)
        num_cut = 0
        now = anyio.current_time()
        for work in self.items.of_batch(batch_id):
            del self.items.works[work.key]
            work.is_done = True
            num_cut += work.run is not None
            logger.info(
                "item_left",
                group=batch.header.groups[work.key[1]],
                stage=work.clock.stage.value,
                worker="" if work.run is None else work.run.worker_id,
                num_expected_tokens=work.item.num_expected_tokens,
                **work.log_fields(now),
            )
            work.stop()
            self._texts.keep_for_later_batch(work)
            self._carried.carry(work)
        logger.info("batch_ended", batch_id=batch_id, num_cut=num_cut)

    def _give_up_old(self, batch: Batch, route: Route | None) -> None:
        """Give up the open items of a batch that is older than twice the ``keep_seconds`` of its route."""
        keep_seconds = None if route is None else route.keep_seconds
        if keep_seconds is None or self._context.time_of_day() - batch.header.submitted_at < 2 * keep_seconds:
            return
        for work in self.items.of_batch(batch.header.batch_id):
            self._lister.give_up(work, "too_old")

    def _on_text_complete(self, work: ItemWork) -> None:
        """List an item whose text is complete, unless its batch has ended or its score is missing."""
        if work.is_carried:
            return
        if work.is_scored:
            self._lister.complete(work)
        else:
            work.clock.enter(Stage.SCORING, anyio.current_time())
            self._texts.checkpoint_soon(work)
