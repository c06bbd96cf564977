"""Writes a node's usage counts to the shared log as they arise."""

from dataclasses import dataclass, field

import anyio
import structlog

from worksramp.coordination.shared_log import Appended, KeyedRecord, Partition, SharedLog
from worksramp.coordination.value_store import append_until_known
from worksramp.duties.usage import UsageCounter
from worksramp.duties.wall_time import WallTime

#: Counts gather for this long, which bounds both the calls and what a node loses when it ends.
GATHER_S = 0.25
WRITE_TIMEOUT_S = 1.5

logger = structlog.get_logger()


@dataclass(slots=True)
class UsagePublisher:
    """Counts the requests of one node and stores the counts.

    Attributes:
        log: shared log.
        partition: partition of all nodes' counts.
        counter: counts of this node.
        wall_time: time of day that the windows go by.
    """

    log: SharedLog
    partition: Partition
    counter: UsageCounter
    wall_time: WallTime
    _counted: anyio.Event = field(default_factory=anyio.Event)

    def count(self, tenant: str, age_s: float) -> None:
        """Count a request of a tenant that began to run ``age_s`` seconds ago."""
        if not tenant:
            return
        self.counter.record(tenant, self.wall_time.now_s() - age_s)
        self._counted.set()

    async def run(self) -> None:
        """Store changed counts until cancelled."""
        while True:
            await self._counted.wait()
            self._counted = anyio.Event()
            await anyio.sleep(GATHER_S)
            await self.flush()

    async def flush(self) -> None:
        """Store the changed counts; what may not be stored is written again with the next call."""
        windows, records = self.counter.take_changes(self.wall_time.now_s())
        if not records:
            return
        is_stored = False
        try:
            is_stored = await self._store(records)
        finally:
            if not is_stored:
                self.counter.put_back(windows)
                self._counted.set()

    async def _store(self, records: tuple[KeyedRecord, ...]) -> bool:
        outcome = await append_until_known(self.log, self.partition, records, WRITE_TIMEOUT_S)
        if isinstance(outcome, Appended):
            return True
        logger.warning("usage_counts_not_stored", num_windows=len(records), reason=outcome.reason)
        return False
