"""Keeps the texts of open items in the store, and drops what nobody may ask for any more."""

from collections import OrderedDict

import anyio
import structlog

from worksramp.coordination.shared_log import KeyedRecord
from worksramp.coordination.value_store import NotStored, ValuesUnavailableError
from worksramp.mechanisms import mechanism
from worksramp.rollout.batch_values import records_forgetting_values
from worksramp.rollout.batches import Batch, GeneratedText, records_forgetting_batch
from worksramp.rollout.item_work import ItemWork
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext
from worksramp.wire import decode, encode

CHECKPOINT_SECONDS = 0.4
MIN_CHECKPOINT_PIECES = 4
WRITE_TIMEOUT_SECONDS = 2.0
LOAD_AGAIN_SECONDS = 0.1
FORGET_PAUSE_SECONDS = 5.0
#: Batches are kept for this multiple of the promised time, since the clocks of machines differ.
FORGET_FACTOR = 1.5
MAX_LEFT_TEXTS = 512
#: All texts so far stand in one partition of their own: a new owner reads them at once.
GROUP = "progress"
PREFIX = "p/"

logger = structlog.get_logger()


class TextKeeper:
    """Texts of an owner's items beyond their runs, their batches and their owner."""

    def __init__(self, context: OwnerContext, items: OpenItems) -> None:
        self._context = context
        self._items = items
        #: Of items of ended batches, which may come back.
        self._left: OrderedDict[str, GeneratedText] = OrderedDict()
        #: As a former owner left them.
        self._loaded: dict[str, bytes] = {}
        #: Items that have a text in the store, as far as is known.
        self._stored: set[str] = set()
        #: Newest values that are to be written, by key; an empty one drops its key.
        self._unwritten: dict[str, bytes] = {}

    async def load(self) -> None:
        """Read the texts that former owners left; return once that has succeeded."""
        while True:
            try:
                values = await self._context.progress.newest_values(GROUP)
                break
            except ValuesUnavailableError as error:
                logger.warning("texts_not_read", reason=str(error))
            await anyio.sleep(LOAD_AGAIN_SECONDS)
        self._loaded = {key.removeprefix(PREFIX): value for key, value in values.items()}
        self._stored = set(self._loaded)

    @mechanism("kept_texts", without=lambda keeper, item_id: None)
    def kept(self, item_id: str) -> GeneratedText | None:
        """Return the text so far of an item, from an earlier run, owner or batch."""
        left = self._left.get(item_id)
        if left is not None or item_id not in self._loaded:
            return left
        return decode(self._loaded[item_id], GeneratedText)

    def leave(self, work: ItemWork) -> None:
        """Keep the text of an item whose batch has ended: the item may come back."""
        self.checkpoint_item(work, min_new_pieces=1)
        self._left[work.item.item_id] = work.text.freeze(work.key[0])
        while len(self._left) > MAX_LEFT_TEXTS:
            self._left.popitem(last=False)

    def forget(self, item_id: str) -> None:
        """Drop the text so far of an item that is listed, or that nobody may bring back."""
        self._left.pop(item_id, None)
        self._loaded.pop(item_id, None)
        if item_id in self._stored:
            self._stored.discard(item_id)
            self._unwritten[PREFIX + item_id] = b""

    async def checkpoint_forever(self) -> None:
        """Write texts that have grown now and then, until cancelled."""
        while True:
            await anyio.sleep(CHECKPOINT_SECONDS)
            self.checkpoint(MIN_CHECKPOINT_PIECES)
            await self.flush()

    def checkpoint(self, min_new_pieces: int) -> None:
        """Have all texts written that have grown by so many pieces."""
        for work in self._items.works.values():
            self.checkpoint_item(work, min_new_pieces)

    def checkpoint_soon(self, work: ItemWork) -> None:
        """Have a text written with the next ones, however little it has grown."""
        work.num_checkpointed = -1

    def checkpoint_item(self, work: ItemWork, min_new_pieces: int) -> None:
        """Have one text written if it has grown by so many pieces, or if a failure was counted."""
        num_pieces = len(work.text.pieces)
        if num_pieces - work.num_checkpointed < min_new_pieces and work.num_checkpointed >= 0:
            return
        value = encode(work.text.freeze(work.key[0]))
        if len(value) > self._context.max_record_bytes // 2:
            return
        work.num_checkpointed = num_pieces
        self._stored.add(work.item.item_id)
        self._unwritten[PREFIX + work.item.item_id] = value

    async def flush(self) -> None:
        """Write what is to be written; what could not be written stays so."""
        if not self._unwritten:
            return
        values, self._unwritten = self._unwritten, {}
        records = [KeyedRecord(key, value) for key, value in values.items()]
        outcome = await self._context.progress.put(GROUP, records, WRITE_TIMEOUT_SECONDS)
        if isinstance(outcome, NotStored):
            logger.warning("texts_not_kept", num_texts=len(records), reason=outcome.reason)
            self._unwritten = values | self._unwritten

    async def forget_forever(self) -> None:
        """Drop old batches now and then, until cancelled."""
        while True:
            await anyio.sleep(FORGET_PAUSE_SECONDS)
            oldest = self._context.time_of_day() - FORGET_FACTOR * self._context.status_seconds
            for batch in list(self._context.ledger.batches.values()):
                if not batch.is_open and batch.header.submitted_at < oldest:
                    await self._forget_batch(batch)

    async def _forget_batch(self, batch: Batch) -> None:
        """Drop a batch that nobody may ask for any more: its values first, while they can be found."""
        batch_id = batch.header.batch_id
        outcome = await self._context.values.store.put(
            batch_id, records_forgetting_values(batch), WRITE_TIMEOUT_SECONDS
        )
        if isinstance(outcome, NotStored):
            return
        open_items = {work.item.item_id for work in self._items.works.values()}
        for item_id in batch.header.item_ids:
            if item_id not in open_items:
                self.forget(item_id)
        self._context.writer.put(*records_forgetting_batch(batch))
        logger.info("batch_forgotten", batch_id=batch_id)
