"""Skip the records of a partition that cannot be read.

All nodes read the same records, so one that ended its reader would end those of all nodes, again after every
restart. Every node skips the same records, so their copies stay equal.
"""

from collections.abc import Callable

import msgspec
import structlog

from worksramp.coordination.keyed_replica import Change, ChangeHandler
from worksramp.coordination.shared_log import Partition

#: Further unreadable records of a partition are counted only.
MAX_LOGGED = 64

logger = structlog.get_logger()


class RecordGuard:
    """Applies changes; one whose record cannot be read is logged, counted and skipped.

    Args:
        apply: applies a change; raises `msgspec.DecodeError` before it changes anything.
        on_skipped: called with the topic of each record that is skipped.
    """

    def __init__(
        self,
        partition: Partition,
        apply: ChangeHandler,
        on_skipped: Callable[[str], None] = lambda topic: None,
    ) -> None:
        self._partition = partition
        self._apply = apply
        self._on_skipped = on_skipped
        self._num_skipped = 0

    def apply(self, change: Change) -> None:
        """Apply a change, or skip it if its record cannot be read."""
        try:
            self._apply(change)
        except msgspec.DecodeError as error:
            self._num_skipped += 1
            self._on_skipped(self._partition.topic)
            if self._num_skipped <= MAX_LOGGED:
                logger.error(
                    "record_unreadable",
                    topic=self._partition.topic,
                    key=change.key,
                    offset=change.offset,
                    reason=str(error),
                )
