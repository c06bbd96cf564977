"""State of a rollout job, folded from its log stream: finished samples and the last committed batch.

A batch is delivered only after its commit has been read back from the log. When the trainer asks for batch
k + 1 it acknowledges batch k. Until then batch k may be planned again, as another attempt under the same
cursor, if one of its samples has become too old. In that case the trainer has not accepted the earlier
attempt.

See Also:
    docs/design/delivery.md
"""

import msgspec


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """Tokens from ``start`` to before ``end``, with the weight version that the engine reported for them."""

    weight_version: int
    start: int
    end: int


class SampleFinished(msgspec.Struct, frozen=True, tag="sample_finished"):
    """Log entry: a sample is generated and scored.

    Attributes:
        index: number of the sample in the job's unbounded sequence; each index is delivered exactly once.
        attempt: 1 for the first attempt, more if earlier attempts became too old before delivery.
    """

    index: int
    attempt: int
    prompt: str
    tokens: tuple[str, ...]
    segments: tuple[Segment, ...]
    reward: float


class BatchCommitted(msgspec.Struct, frozen=True, tag="batch_committed"):
    """Log entry: batch ``cursor`` consists of these samples, and the batch before it is acknowledged.

    Attributes:
        attempt: 1 for the first plan of this cursor, more for later ones.
        trainer_version: weight version of the trainer that requested the batch.
        max_staleness: staleness bound when the batch was planned.
        indices: indices of the samples.
    """

    cursor: int
    attempt: int
    trainer_version: int
    max_staleness: int
    indices: tuple[int, ...]


JobEntry = SampleFinished | BatchCommitted
_decoder = msgspec.msgpack.Decoder(JobEntry)


class FinishedSample(msgspec.Struct, frozen=True, array_like=True):
    """State of a finished sample without its text, which is in the log at ``offset``."""

    attempt: int
    offset: int
    oldest_version: int
    newest_version: int
    num_tokens: int


class Batch(msgspec.Struct, frozen=True):
    """The last committed batch; the trainer has not acknowledged it yet."""

    cursor: int
    attempt: int
    trainer_version: int
    indices: tuple[int, ...]


class JobState(msgspec.Struct):
    """State folded from a job's log stream.

    Attributes:
        finished: finished samples that are not acknowledged, by index.
        batch: last committed batch, None before the first.
        floor: all samples with a lower index are acknowledged.
        taken_above: acknowledged samples with index ``floor`` or higher.
    """

    finished: dict[int, FinishedSample] = {}
    batch: Batch | None = None
    floor: int = 0
    taken_above: set[int] = set()

    def begin_epoch(self, epoch: int) -> None:
        """See `StreamState.begin_epoch`; samples in flight have no state here, so nothing changes."""

    def apply_entry(self, offset: int, epoch: int, entry: bytes) -> str | None:
        """See `StreamState.apply_entry`."""
        try:
            decoded = _decoder.decode(entry)
        except msgspec.DecodeError as error:
            return f"undecodable entry: {error}"
        match decoded:
            case SampleFinished():
                return self._apply_sample(offset, decoded)
            case BatchCommitted():
                return self._apply_batch(decoded)

    def is_acknowledged(self, index: int) -> bool:
        """Return whether the trainer has acknowledged the batch that contains this sample."""
        return index < self.floor or index in self.taken_above

    def is_in_batch(self, index: int) -> bool:
        """Return whether the sample belongs to the last committed batch."""
        return self.batch is not None and index in self.batch.indices

    def _apply_sample(self, offset: int, sample: SampleFinished) -> str | None:
        if self.is_acknowledged(sample.index):
            return "sample is already acknowledged"
        if self.is_in_batch(sample.index):
            return "sample belongs to a committed batch"
        earlier = self.finished.get(sample.index)
        if earlier is not None and earlier.attempt >= sample.attempt:
            return "the same or a later attempt is already finished"
        if not sample.segments:
            return "sample has no weight version"
        versions = [segment.weight_version for segment in sample.segments]
        self.finished[sample.index] = FinishedSample(
            sample.attempt, offset, min(versions), max(versions), len(sample.tokens)
        )
        return None

    def _apply_batch(self, batch: BatchCommitted) -> str | None:
        reason = self._order_error(batch) or self._content_error(batch)
        if reason is not None:
            return reason
        if self.batch is not None and batch.cursor == self.batch.cursor + 1:
            self._acknowledge(self.batch)
        self.batch = Batch(batch.cursor, batch.attempt, batch.trainer_version, batch.indices)
        return None

    def _order_error(self, batch: BatchCommitted) -> str | None:
        last_cursor = self.batch.cursor if self.batch else 0
        last_attempt = self.batch.attempt if self.batch else 0
        is_next = batch.cursor == last_cursor + 1 and batch.attempt == 1
        is_replan = (
            self.batch is not None and batch.cursor == last_cursor and batch.attempt == last_attempt + 1
        )
        if is_next or is_replan:
            return None
        return f"batch {batch.cursor}/{batch.attempt} does not follow {last_cursor}/{last_attempt}"

    def _content_error(self, batch: BatchCommitted) -> str | None:
        if len(set(batch.indices)) != len(batch.indices):
            return "batch contains a sample twice"
        is_next = self.batch is not None and batch.cursor == self.batch.cursor + 1
        for index in batch.indices:
            sample = self.finished.get(index)
            if sample is None or (is_next and self.is_in_batch(index)):
                return f"sample {index} is not available"
            if batch.trainer_version - sample.oldest_version > batch.max_staleness:
                return f"sample {index} is too old"
        return None

    def _acknowledge(self, batch: Batch) -> None:
        for index in batch.indices:
            del self.finished[index]
            self.taken_above.add(index)
        while self.floor in self.taken_above:
            self.taken_above.remove(self.floor)
            self.floor += 1
