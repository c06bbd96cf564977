"""Reads what an owner needs to open a batch."""

from collections.abc import Iterable

import anyio
import structlog

from worksramp.coordination.value_store import ValuesUnavailableError
from worksramp.rollout.batch_values import BatchValues
from worksramp.rollout.batches import Batch, BatchItem, BatchLedger, GeneratedText

FETCH_AGAIN_SECONDS = 0.1
#: What is worth waiting for a text of an earlier batch; after that the item runs anew.
EARLIER_TEXTS_SECONDS = 0.5

logger = structlog.get_logger()


class BatchReader:
    """Items of batches, and texts that earlier batches have listed."""

    def __init__(self, values: BatchValues, ledger: BatchLedger) -> None:
        self._values = values
        self._ledger = ledger

    async def items(self, batch: Batch, indices: list[int]) -> dict[int, BatchItem]:
        """Read items, again and again until the store gives them or the batch is ended."""
        while not batch.is_ended:
            try:
                return await self._values.items(batch.header, indices)
            except ValuesUnavailableError as error:
                logger.warning("items_not_read", batch_id=batch.header.batch_id, reason=str(error))
            await anyio.sleep(FETCH_AGAIN_SECONDS)
        return {}

    async def earlier_texts(self, item_ids: Iterable[str]) -> dict[str, GeneratedText]:
        """Return whole texts of items that an earlier batch lists as completed."""
        ledger = self._ledger
        positions: dict[str, list[int]] = {}
        for item_id in item_ids:
            place = ledger.find_completed(item_id)
            if place is not None:
                positions.setdefault(place[0], []).append(place[1])
        texts: dict[str, GeneratedText] = {}
        for batch_id, wanted in positions.items():
            try:
                with anyio.fail_after(EARLIER_TEXTS_SECONDS):
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
