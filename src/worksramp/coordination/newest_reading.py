"""Reading of the newest record of every key: many pages, some of which the store may fail to give."""

from dataclasses import dataclass, field

from worksramp.coordination.shared_log import LogUnavailableError, Partition, SharedLog, StoredRecord


@dataclass(slots=True)
class NewestReading:
    """Reads all pages of the newest records of a partition, and goes on behind the last one after a failure.

    Records that change while it is under way are at or after ``end`` in the log.

    Attributes:
        min_end: an answer of a store that ends before this offset is older than what is known already.
        records: the records read so far, in order of key.
        end: end of the partition at the first page, None before that.
        is_finished: whether all pages have been read.
    """

    log: SharedLog
    partition: Partition
    min_end: int = 0
    records: list[StoredRecord] = field(default_factory=list)
    end: int | None = None
    is_finished: bool = False
    _after: str | None = None

    async def finish(self) -> None:
        """Read the pages that are left; call again after an error to go on.

        Raises:
            LogUnavailableError: a page could not be read, or is from a copy of the store that lags behind.
        """
        while not self.is_finished:
            page = await self.log.newest(self.partition, self._after)
            if page.end < max(self.min_end, self.end or 0):
                reason = f"the answer ends at {page.end}, older than what is known"
                raise LogUnavailableError("newest", self.partition.topic, reason)
            if self.end is None:
                self.end = page.end
            self.records += page.records
            self._after = page.next_after
            self.is_finished = page.next_after is None
