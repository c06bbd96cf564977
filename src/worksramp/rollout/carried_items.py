"""Continues items of ended batches, since trainers submit the items of incomplete groups again.

A resubmitted item counts among those that the trainer waits for, and its text must come from weight versions
that the later batch allows. A carried item therefore runs under the newest named version, after the items of
open batches, and the batch that resubmits it resumes its text. Until then it is neither listed nor scored.
No run of it starts at a time when the end of its batch must already have cancelled it.
"""

import anyio
import structlog

from worksramp.mechanisms import mechanism
from worksramp.rollout.batch_run import TextBuilder
from worksramp.rollout.item_work import ItemWork
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.stage_clock import StageClock

#: Share of ``cancel_s`` in which runs may start after this node has read the end: it was recorded earlier.
START_WINDOW_SHARE = 0.4

logger = structlog.get_logger()


class CarriedItems:
    """Items that run on after the end of their batch, by item id."""

    def __init__(self, context: OwnerContext, items: OpenItems) -> None:
        self._context = context
        self._items = items
        self._works: dict[str, ItemWork] = {}

    def carry(self, work: ItemWork) -> None:
        """Continue an item of a batch that has just ended, if it may be carried."""
        version = self._context.named_versions.get(work.model)
        if version is None or not _may_carry(work):
            return
        now = anyio.current_time()
        text = work.text.copy()
        if any(text_version < version for text_version in text.versions):
            text.clear()
        carried = ItemWork(
            key=work.key,
            item=work.item,
            model=work.model,
            route=work.route,
            submitted_at=work.submitted_at,
            min_version=version,
            tenant=work.tenant,
            host=work.host,
            group=work.group,
            stored_in=work.stored_in,
            text=text,
            carried_until=now + START_WINDOW_SHARE * self._context.cancel_s,
            clock=StageClock(since=now),
        )
        self._works[work.text_id] = carried
        self._items.works[work.key] = carried

    def pop_text(self, text_id: str) -> TextBuilder | None:
        """Stop a carried item and return its text, or None if the item is not carried."""
        carried = self._works.pop(text_id, None)
        if carried is None:
            return None
        # The run that is cancelled here may still add an event to its own text.
        text = carried.text.copy()
        self._discard(carried)
        logger.info(
            "carried_item_taken",
            item_id=carried.item.item_id,
            num_events=len(text.pieces),
            versions=",".join(map(str, text.versions)),
        )
        return text

    def discard_expired(self) -> None:
        """Discard items that are done, or that no batch has resubmitted within the target time of a step."""
        now = anyio.current_time()
        for text_id, carried in list(self._works.items()):
            is_expired = now > (carried.carried_until or 0.0) + carried.route.target_seconds
            if is_expired or carried.is_done:
                del self._works[text_id]
                self._discard(carried)

    def _discard(self, carried: ItemWork) -> None:
        carried.is_done = True
        carried.stop()
        if self._items.works.get(carried.key) is carried:
            del self._items.works[carried.key]


@mechanism("carried_runs", without=lambda work: False)
def _may_carry(work: ItemWork) -> bool:
    """Continue items that were incomplete at the end of their batch until a later batch resubmits them."""
    return not work.text.is_whole and not work.route.needs_one_version
