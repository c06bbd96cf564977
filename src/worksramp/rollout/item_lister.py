"""Lists items as results: each item gets one position in its batch, as completed or as given up."""

import anyio
import structlog

from worksramp.rollout.batches import BatchResult
from worksramp.rollout.item_work import ItemWork
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.result_writer import ResultWriter
from worksramp.rollout.text_keeper import TextKeeper

logger = structlog.get_logger()


class ItemLister:
    """Assigns result positions to the items of an owner's batches and queues the results for writing."""

    def __init__(
        self, context: OwnerContext, items: OpenItems, texts: TextKeeper, results: ResultWriter
    ) -> None:
        self._context = context
        self._items = items
        self._texts = texts
        self._results = results
        self._next_positions: dict[str, int] = {}

    def open_batch(self, batch_id: str, num_results: int) -> None:
        """Continue after the results that a batch already has."""
        self._next_positions[batch_id] = num_results

    def complete(self, work: ItemWork) -> None:
        """List an item as completed; its text must be complete and, if required, scored."""
        text = work.text
        self._list(
            work,
            BatchResult(
                work.item.item_id,
                True,
                "\n".join(text.pieces),
                tuple(text.versions),
                text.score if work.item.scoring_call is not None else None,
            ),
        )

    def give_up(self, work: ItemWork, reason: str) -> None:
        """Cancel the run and the scoring calls of an item, and list it as given up.

        Args:
            reason: only logged.
        """
        work.stop()
        self._list(work, BatchResult(work.item.item_id, False, "", ()))
        logger.warning(
            "item_given_up",
            item_id=work.item.item_id,
            batch_id=work.key[0],
            reason=reason,
            num_failures=work.text.num_failures,
            num_scoring_failures=work.text.num_scoring_failures,
        )

    def _list(self, work: ItemWork, result: BatchResult) -> None:
        batch_id = work.key[0]
        age_s = self._context.time_of_day() - work.submitted_at
        logger.info(
            "item_listed",
            is_completed=result.is_completed,
            group=work.group,
            batch_age_s=round(age_s, 3),
            **work.log_fields(anyio.current_time()),
        )
        work.is_done = True
        self._items.works.pop(work.key, None)
        position = self._next_positions[batch_id]
        self._next_positions[batch_id] = position + 1
        self._results.put(batch_id, position, result)
        self._texts.discard(work.text_id)
        self._context.on_listed(age_s)
