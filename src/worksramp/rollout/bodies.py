"""Provides access to the texts of finished samples: a bounded memory cache in front of the job's log stream.

The job's state holds the log offset of each sample, not its text. Texts that are not cached, for example
after a takeover, are read back in ranges when a batch is sent.
"""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from worksramp.backends.base import LogClient
from worksramp.coordination.fold import Envelope, Write
from worksramp.outcomes import StepError
from worksramp.rollout.job import BatchCommitted, JobState, SampleFinished

MAX_CACHED_TOKENS = 500_000
READ_MAX_RECORDS = 256


class SampleBodies:
    """Returns the texts of a job's finished samples from memory or from the log.

    Args:
        log: client of the log service.
        stream: log stream of the job.
        max_cached_tokens: maximum number of tokens in memory; the texts cached first are evicted first.
    """

    def __init__(self, log: LogClient, stream: str, max_cached_tokens: int = MAX_CACHED_TOKENS) -> None:
        self._log = log
        self._stream = stream
        self._max_cached_tokens = max_cached_tokens
        self._cached: OrderedDict[int, SampleFinished] = OrderedDict()
        self._num_tokens = 0

    @property
    def num_cached_tokens(self) -> int:
        """Number of tokens in the cache."""
        return self._num_tokens

    def keep(self, sample: SampleFinished) -> None:
        """Cache a text, evicting older ones beyond the limit."""
        self.drop(sample.index)
        self._cached[sample.index] = sample
        self._num_tokens += len(sample.tokens)
        while self._num_tokens > self._max_cached_tokens:
            self.drop(next(iter(self._cached)))

    def drop(self, index: int) -> None:
        """Evict a text from the cache."""
        sample = self._cached.pop(index, None)
        if sample is not None:
            self._num_tokens -= len(sample.tokens)

    def drop_acknowledged(self, state: JobState) -> None:
        """Evict the texts of samples that the trainer has acknowledged."""
        for index in [index for index in self._cached if state.is_acknowledged(index)]:
            self.drop(index)

    async def fetch(self, state: JobState, indices: Iterable[int]) -> list[SampleFinished]:
        """Return finished samples with their texts, in the order of ``indices``.

        Raises:
            StepError: the log failed, or a sample is not at the offset recorded in ``state``.
        """
        wanted = list(indices)
        found = {index: body for index in wanted if (body := self._cached_body(state, index))}
        missing = {index: state.finished[index].offset for index in wanted if index not in found}
        while missing:
            start = min(missing.values())
            num_missing = len(missing)
            await self._read_range(state, start, missing, found)
            if len(missing) == num_missing:
                raise StepError("job.read_samples", self._stream, f"a sample is not at offset {start}")
        return [found[index] for index in wanted]

    def _cached_body(self, state: JobState, index: int) -> SampleFinished | None:
        body = self._cached.get(index)
        if body is None or body.attempt != state.finished[index].attempt:
            return None
        return body

    async def _read_range(
        self, state: JobState, start: int, missing: dict[int, int], found: dict[int, SampleFinished]
    ) -> None:
        """Read one page and move the samples that it contains from ``missing`` to ``found``."""
        page = await self._log.read(self._stream, start, READ_MAX_RECORDS, 0.0)
        for position, record in enumerate(page.records):
            for sample in samples_of_record(record):
                accepted = state.finished.get(sample.index)
                if accepted is None or accepted.attempt != sample.attempt:
                    continue
                # Compare the offset too: a void record of a former owner may contain the same sample and
                # attempt.
                if missing.get(sample.index) == page.start + position:
                    found[sample.index] = sample
                    del missing[sample.index]


def samples_of_record(record: bytes) -> tuple[SampleFinished, ...]:
    """Return the finished samples in one log record, none if it is not a write or cannot be decoded."""
    try:
        body = msgspec.msgpack.decode(record, type=Envelope).body
        if not isinstance(body, Write):
            return ()
        entries = [
            msgspec.msgpack.decode(entry, type=SampleFinished | BatchCommitted) for entry in body.entries
        ]
    except msgspec.DecodeError:
        return ()
    return tuple(entry for entry in entries if isinstance(entry, SampleFinished))
