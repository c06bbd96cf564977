"""Items of ended batches that run on, since trainers ask again for groups that were not whole.

An item that comes back counts among those that the trainer waits for, and its text must be of weights that
the later batch allows. So it runs on under the newest version named, after what is open, and the batch that
brings it back goes on from its text. Nothing is listed or scored meanwhile, and no run begins once the end of
the batch must have cancelled it.
"""

import anyio
import structlog

from worksramp.mechanisms import mechanism
from worksramp.rollout.batch_run import TextBuilder
from worksramp.rollout.item_work import ItemWork
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.stage_clock import StageClock

#: Share of the time after an end in which runs may still begin: the end was known to others before this node.
BEGIN_SHARE = 0.4

logger = structlog.get_logger()


class CarriedItems:
    """Items that run on between two batches, by id."""

    def __init__(self, context: OwnerContext, items: OpenItems) -> None:
        self._context = context
        self._items = items
        self._works: dict[str, ItemWork] = {}

    def carry(self, work: ItemWork) -> None:
        """Let an item of a batch that has just ended run on."""
        version = self._context.named_versions.get(work.model)
        if version is None or not _may_carry(work):
            return
        now = anyio.current_time()
        text = work.text.copy()
        if any(made_by < version for made_by in text.versions):
            text.clear()
        carried = ItemWork(
            key=work.key,
            item=work.item,
            model=work.model,
            route=work.route,
            submitted_at=work.submitted_at,
            min_version=version,
            text=text,
            carried_until=now + BEGIN_SHARE * self._context.cancel_s,
            clock=StageClock(since=now),
        )
        self._works[work.item.item_id] = carried
        self._items.works[work.key] = carried

    def take(self, item_id: str) -> TextBuilder | None:
        """End an item's run between two batches and return its text, None when it was not carried."""
        carried = self._works.pop(item_id, None)
        if carried is None:
            return None
        # The run that is closed here may still add an event to its own text.
        text = carried.text.copy()
        self._drop(carried)
        logger.info(
            "carried_item_taken",
            item_id=item_id,
            num_events=len(text.pieces),
            versions=",".join(map(str, text.versions)),
        )
        return text

    def drop_old(self) -> None:
        """Drop the items that nothing has brought back within the time of a step."""
        now = anyio.current_time()
        for item_id, carried in list(self._works.items()):
            is_old = now > (carried.carried_until or 0.0) + carried.route.target_seconds
            if is_old or carried.is_done:
                del self._works[item_id]
                self._drop(carried)

    def _drop(self, carried: ItemWork) -> None:
        carried.is_done = True
        carried.stop()
        if self._items.works.get(carried.key) is carried:
            del self._items.works[carried.key]


@mechanism("carried_runs", without=lambda work: False)
def _may_carry(work: ItemWork) -> bool:
    """Let items that were not whole at the end of their batch run on until a batch brings them back."""
    return not work.text.is_whole and not work.route.needs_one_version
