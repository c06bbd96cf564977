"""Keeps the texts of open items in the log, and drops what nobody may ask for any more."""

from collections import OrderedDict

import anyio
import structlog

from worksramp.rollout.batches import (
    GeneratedText,
    record_of_forgotten_progress,
    record_of_progress,
    records_forgetting_batch,
)
from worksramp.rollout.item_work import ItemWork
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext

CHECKPOINT_SECONDS = 0.8
MIN_CHECKPOINT_PIECES = 6
FORGET_PAUSE_SECONDS = 5.0
#: Batches are kept for this multiple of the promised time, since the clocks of machines differ.
FORGET_FACTOR = 1.5
MAX_LEFT_TEXTS = 512

logger = structlog.get_logger()


class TextKeeper:
    """Texts of an owner's items beyond their runs, their batches and their owner."""

    def __init__(self, context: OwnerContext, items: OpenItems) -> None:
        self._context = context
        self._items = items
        #: Of items of ended batches, which may come back before the log's copy is in the ledger.
        self._left: OrderedDict[str, GeneratedText] = OrderedDict()

    def kept(self, item_id: str) -> GeneratedText | None:
        """Return the text of an item, from an earlier run, owner or batch."""
        ledger = self._context.ledger
        return self._left.get(item_id) or ledger.kept_text(item_id) or ledger.completed_text(item_id)

    def leave(self, work: ItemWork) -> None:
        """Keep the text of an item whose batch has ended: the item may come back."""
        self.checkpoint_item(work, min_new_pieces=1)
        self._left[work.item.item_id] = work.text.freeze(work.key[0])
        while len(self._left) > MAX_LEFT_TEXTS:
            self._left.popitem(last=False)

    async def checkpoint_forever(self) -> None:
        """Put texts that have grown into the log now and then, until cancelled."""
        while True:
            await anyio.sleep(CHECKPOINT_SECONDS)
            self.checkpoint(MIN_CHECKPOINT_PIECES)

    def checkpoint(self, min_new_pieces: int) -> None:
        """Put all texts that have grown by so many pieces into the log."""
        for work in self._items.works.values():
            self.checkpoint_item(work, min_new_pieces)

    def checkpoint_item(self, work: ItemWork, min_new_pieces: int) -> None:
        """Put one text into the log if it has grown by so many pieces, or if a failure was counted."""
        num_pieces = len(work.text.pieces)
        if num_pieces - work.num_checkpointed < min_new_pieces and work.num_checkpointed >= 0:
            return
        record = record_of_progress(work.item.item_id, work.text.freeze(work.key[0]))
        if len(record.value) > self._context.max_record_bytes // 2:
            return
        work.num_checkpointed = num_pieces
        self._context.writer.put(record)

    async def forget_forever(self) -> None:
        """Drop old batches now and then, until cancelled."""
        while True:
            await anyio.sleep(FORGET_PAUSE_SECONDS)
            self._forget_old_batches()

    def _forget_old_batches(self) -> None:
        """Drop batches and left texts that nobody may ask for any more."""
        ledger = self._context.ledger
        oldest = self._context.time_of_day() - FORGET_FACTOR * self._context.status_seconds
        open_items: set[str] = {work.item.item_id for work in self._items.works.values()}
        for batch in [batch for batch in ledger.batches.values() if not batch.is_open]:
            if batch.header.submitted_at < oldest:
                logger.info("batch_forgotten", batch_id=batch.header.batch_id)
                left = [item for item in batch.header.item_ids if item in ledger.progress]
                forgotten = [record_of_forgotten_progress(item) for item in left if item not in open_items]
                self._context.writer.put(*records_forgetting_batch(batch), *forgotten)
