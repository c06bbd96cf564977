"""Reads the items of a batch, and texts from earlier batches, when an owner opens the batch."""

from collections.abc import AsyncIterator, Iterable, Iterator

import anyio
import structlog

from worksramp.coordination.value_store import ValuesUnavailableError
from worksramp.rollout.batch_values import BatchValues
from worksramp.rollout.batches import Batch, BatchItem, BatchLedger, GeneratedText
from worksramp.routing.identity import scoped_id

RETRY_DELAY_SECONDS = 0.1
#: Waiting longer for a text of an earlier batch is not worthwhile; the item is generated again instead.
EARLIER_TEXTS_TIMEOUT_SECONDS = 0.5
#: Items that are read together; a failed call to the store repeats the reads of these alone.
GROUP_SIZE_B = 1_000_000

logger = structlog.get_logger()


class BatchReader:
    """Reads items of batches, and texts that earlier batches have listed."""

    def __init__(self, values: BatchValues, ledger: BatchLedger) -> None:
        self._values = values
        self._ledger = ledger

    async def item_groups(self, batch: Batch, indices: list[int]) -> AsyncIterator[dict[int, BatchItem]]:
        """Read items in groups, retrying until the store returns them or the batch is ended.

        Yields:
            Items by index; those that are left are missing once the batch is ended.
        """
        for group in _groups(batch, indices):
            yield await self._items_of_group(batch, group)

    async def _items_of_group(self, batch: Batch, indices: list[int]) -> dict[int, BatchItem]:
        while not batch.is_ended:
            try:
                return await self._values.items(batch.header, indices)
            except ValuesUnavailableError as error:
                logger.warning("items_not_read", batch_id=batch.header.batch_id, reason=str(error))
            await anyio.sleep(RETRY_DELAY_SECONDS)
        return {}

    async def earlier_texts(self, tenant: str, item_ids: Iterable[str]) -> dict[str, GeneratedText]:
        """Return complete texts of items that an earlier batch of a tenant lists as completed.

        Returns:
            Texts by item id. Items without a completed result, or whose text cannot be read in time, are
            missing.
        """
        ledger = self._ledger
        positions: dict[str, list[int]] = {}
        for item_id in item_ids:
            place = ledger.find_completed(scoped_id(tenant, item_id))
            if place is not None:
                positions.setdefault(place[0], []).append(place[1])
        texts: dict[str, GeneratedText] = {}
        for batch_id, wanted in positions.items():
            try:
                with anyio.fail_after(EARLIER_TEXTS_TIMEOUT_SECONDS):
                    results = await self._values.results(ledger.batches[batch_id], wanted)
            except (ValuesUnavailableError, TimeoutError, KeyError) as error:
                logger.warning("earlier_texts_not_read", batch_id=batch_id, reason=str(error))
                continue
            for result in results:
                pieces = tuple(result.text.split("\n"))
                texts[result.item_id] = GeneratedText(
                    pieces, None, result.versions, 0, is_whole=True, score=result.score
                )
        return texts


def _groups(batch: Batch, indices: list[int]) -> Iterator[list[int]]:
    """Yield the items in groups of about `GROUP_SIZE_B`."""
    group: list[int] = []
    size_b = 0
    for index in indices:
        group.append(index)
        size_b += batch.header.item_sizes_b[index]
        if size_b >= GROUP_SIZE_B:
            yield group
            group, size_b = [], 0
    if group:
        yield group
