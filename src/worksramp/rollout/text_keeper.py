"""Checkpoints the texts of open items in the store, and deletes expired batches and texts.

A checkpoint lets the next owner of the shard, or a later batch with the same item, resume a text instead of
generating it again.
"""

from collections import OrderedDict

import anyio
import msgspec
import structlog

from worksramp.coordination.shared_log import KeyedRecord, LogUnavailableError
from worksramp.coordination.value_store import NotStored
from worksramp.mechanisms import mechanism
from worksramp.rollout.batch_run import EVENT_OVERHEAD_B, piece_size_b
from worksramp.rollout.batch_values import value_tombstones
from worksramp.rollout.batches import Batch, GeneratedText, batch_tombstones
from worksramp.rollout.item_work import ItemWork
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext
from worksramp.routing.identity import scoped_id
from worksramp.wire import decode, encode

CHECKPOINT_SECONDS = 0.4
MIN_CHECKPOINT_EVENTS = 4
WRITE_TIMEOUT_SECONDS = 2.0
LOAD_RETRY_SECONDS = 0.1
EXPIRY_PERIOD_SECONDS = 5.0
#: Batches are kept for this multiple of the promised retention time, because clocks of machines differ.
EXPIRY_FACTOR = 1.5
MAX_TEXTS_OF_ENDED_BATCHES = 512
MAX_TEXTS_OF_ENDED_BATCHES_B = 4 * 1024 * 1024
#: All checkpoints are in one group, and so in one partition, which a new owner reads as a whole.
PROGRESS_GROUP = "progress"
KEY_PREFIX = "p/"

logger = structlog.get_logger()


class TextKeeper:
    """Keeps the texts of an owner's items across runs, batches and owners."""

    def __init__(self, context: OwnerContext, items: OpenItems) -> None:
        self._context = context
        self._items = items
        #: Texts of items whose batch has ended; a later batch may contain the item again.
        self._of_ended_batches = RecentTexts(MAX_TEXTS_OF_ENDED_BATCHES, MAX_TEXTS_OF_ENDED_BATCHES_B)
        #: Encoded texts that former owners stored, by `ItemWork.text_id`.
        self._from_former_owners: dict[str, bytes] = {}
        #: Text ids of items that may have a text in the store.
        self._stored: set[str] = set()
        #: Values to write, by key; an empty value deletes its key.
        self._unwritten: dict[str, bytes] = {}

    async def load(self) -> None:
        """Read the texts that former owners stored, retrying until the read succeeds."""
        reading = self._context.progress.read_newest(PROGRESS_GROUP)
        while not reading.is_finished:
            try:
                await reading.finish()
            except LogUnavailableError as error:
                logger.warning("texts_not_read", num_read=len(reading.records), reason=str(error))
                await anyio.sleep(LOAD_RETRY_SECONDS)
        self._from_former_owners = {
            record.key.removeprefix(KEY_PREFIX): record.value
            for record in reading.records
            if record.key.startswith(KEY_PREFIX)
        }
        self._stored = set(self._from_former_owners)

    @mechanism("kept_texts", without=lambda keeper, text_id: None)
    def kept_text(self, text_id: str) -> GeneratedText | None:
        """Return the text of an item from an earlier batch or a former owner, None if there is none."""
        ended_text = self._of_ended_batches.get(text_id)
        if ended_text is not None or text_id not in self._from_former_owners:
            return ended_text
        try:
            return decode(self._from_former_owners[text_id], GeneratedText)
        except msgspec.DecodeError as error:
            logger.error("record_unreadable", key=KEY_PREFIX + text_id, reason=str(error))
            self.discard(text_id)
            return None

    def keep_for_later_batch(self, work: ItemWork) -> None:
        """Keep the text of an item whose batch has ended; a later batch may contain the item again."""
        self.checkpoint_item(work, min_new_events=1)
        self._of_ended_batches.put(work.text_id, work.text.freeze(work.key[0]))

    def discard(self, text_id: str) -> None:
        """Discard the text of an item that is listed, or whose batch has expired."""
        self._of_ended_batches.pop(text_id)
        self._from_former_owners.pop(text_id, None)
        if text_id in self._stored:
            self._stored.discard(text_id)
            self._unwritten[KEY_PREFIX + text_id] = b""

    async def checkpoint_forever(self) -> None:
        """Write texts with enough new events every `CHECKPOINT_SECONDS`, until cancelled."""
        while True:
            await anyio.sleep(CHECKPOINT_SECONDS)
            self.checkpoint(MIN_CHECKPOINT_EVENTS)
            await self.flush()

    def checkpoint(self, min_new_events: int) -> None:
        """Mark for writing all texts that have enough new events since their last checkpoint."""
        for work in self._items.works.values():
            self.checkpoint_item(work, min_new_events)

    def checkpoint_soon(self, work: ItemWork) -> None:
        """Include a text in the next checkpoint even if it has no new events."""
        work.num_checkpointed = -1

    def checkpoint_item(self, work: ItemWork, min_new_events: int) -> None:
        """Mark one text for writing if it has enough new events, or if a failure was counted.

        A text larger than half of the record limit is skipped.
        """
        num_events = len(work.text.pieces)
        if num_events - work.num_checkpointed < min_new_events and work.num_checkpointed >= 0:
            return
        value = encode(work.text.freeze(work.key[0]))
        if len(value) > self._context.max_record_bytes // 2:
            return
        work.num_checkpointed = num_events
        self._stored.add(work.text_id)
        self._unwritten[KEY_PREFIX + work.text_id] = value

    async def flush(self) -> None:
        """Write the marked texts; those that could not be written remain marked for the next call."""
        if not self._unwritten:
            return
        values, self._unwritten = self._unwritten, {}
        records = [KeyedRecord(key, value) for key, value in values.items()]
        outcome = await self._context.progress.put(PROGRESS_GROUP, records, WRITE_TIMEOUT_SECONDS)
        if isinstance(outcome, NotStored):
            logger.warning("texts_not_kept", num_texts=len(records), reason=outcome.reason)
            self._unwritten = values | self._unwritten

    async def expire_batches_forever(self) -> None:
        """Delete expired batches every `EXPIRY_PERIOD_SECONDS`, until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_PERIOD_SECONDS)
            oldest = self._context.time_of_day() - EXPIRY_FACTOR * self._context.status_seconds
            for batch in list(self._context.ledger.batches.values()):
                if not batch.is_open and batch.header.submitted_at < oldest:
                    await self._expire_batch(batch)

    async def _expire_batch(self, batch: Batch) -> None:
        """Delete a batch whose results have expired.

        Its items and texts are deleted first, because the header and the results are needed to find them.
        """
        batch_id = batch.header.batch_id
        outcome = await self._context.values.store.put(
            batch_id, value_tombstones(batch), WRITE_TIMEOUT_SECONDS
        )
        if isinstance(outcome, NotStored):
            return
        open_texts = {work.text_id for work in self._items.works.values()}
        for item_id in batch.header.item_ids:
            text_id = scoped_id(batch.header.tenant, item_id)
            if text_id not in open_texts:
                self.discard(text_id)
        self._context.writer.put(*batch_tombstones(batch))
        logger.info("batch_forgotten", batch_id=batch_id)


class RecentTexts:
    """Texts by id; the oldest go first.

    Args:
        max_texts: most texts.
        max_size_b: most bytes of all texts.

    Attributes:
        size_b: bytes of all texts.
    """

    def __init__(self, max_texts: int, max_size_b: int) -> None:
        self._max_texts = max_texts
        self._max_size_b = max_size_b
        self._texts: OrderedDict[str, GeneratedText] = OrderedDict()
        self.size_b = 0

    def get(self, text_id: str) -> GeneratedText | None:
        """Return a text, None if it is not kept."""
        return self._texts.get(text_id)

    def put(self, text_id: str, text: GeneratedText) -> None:
        """Keep a text in place of an earlier one of that id."""
        self.pop(text_id)
        self._texts[text_id] = text
        self.size_b += _held_b(text)
        while len(self._texts) > self._max_texts or self.size_b > self._max_size_b:
            self.pop(next(iter(self._texts)))

    def pop(self, text_id: str) -> None:
        """Drop a text, if it is kept."""
        text = self._texts.pop(text_id, None)
        if text is not None:
            self.size_b -= _held_b(text)


def _held_b(text: GeneratedText) -> int:
    return sum(piece_size_b(piece) + EVENT_OVERHEAD_B for piece in text.pieces)
