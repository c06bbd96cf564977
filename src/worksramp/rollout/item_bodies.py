"""Keeps the bodies of open items in memory up to a limit, and reads the others for each run.

Load pattern: trainers submit steps of long prompts faster than workers run them, so that the open items of an
owner have more bytes than its machine has memory for.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

import anyio
import msgspec
import structlog

from worksramp.coordination.value_store import ValuesUnavailableError
from worksramp.rollout.batch_values import BatchValues
from worksramp.rollout.batches import BatchItem
from worksramp.rollout.item_work import ItemKey, ItemWork

#: Reading smaller bodies again would cost more than they take.
MIN_STORED_B = 4096
#: A slot is kept for the item meanwhile.
READ_TIMEOUT_S = 0.6

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class StoredItem:
    """An item whose body is in the store alone."""

    item: BatchItem


class ItemBodies:
    """Decides which bodies stay in memory.

    Args:
        values: store of the items.
        works: open items by key.
        max_b: most bytes of bodies that are kept.
    """

    def __init__(self, values: BatchValues, works: Mapping[ItemKey, ItemWork], max_b: int) -> None:
        self._values = values
        self._works = works
        self._max_b = max_b
        #: Bytes kept of each batch that is being opened.
        self._opening_b: Counter[str] = Counter()

    def keep(self, batch_id: str, items: dict[int, BatchItem]) -> dict[int, BatchItem | StoredItem]:
        """Return items of a batch that is being opened, without the bodies for which there is no room."""
        held_b = self._opening_b.total() + sum(len(work.item.body) for work in self._works.values())
        kept: dict[int, BatchItem | StoredItem] = {}
        for index, item in items.items():
            size_b = len(item.body)
            if size_b >= MIN_STORED_B and held_b + size_b > self._max_b:
                kept[index] = StoredItem(msgspec.structs.replace(item, body=b""))
                continue
            held_b += size_b
            self._opening_b[batch_id] += size_b
            kept[index] = item
        return kept

    def end_opening(self, batch_id: str) -> None:
        """Count the bodies of a batch among those of the open items from now on."""
        del self._opening_b[batch_id]

    async def read(self, work: ItemWork) -> BatchItem | None:
        """Return an item with its body, or None if that cannot be read at present."""
        if work.stored_in is None:
            return work.item
        index = work.key[1]
        try:
            with anyio.fail_after(READ_TIMEOUT_S):
                return (await self._values.items(work.stored_in, [index]))[index]
        except (ValuesUnavailableError, TimeoutError) as error:
            logger.warning("items_not_read", batch_id=work.key[0], reason=str(error) or "timeout")
            return None
