"""State of a rollout job, folded from its stream: finished samples, and batches by cursor.

A batch is delivered only after its commit has been read back. Asking for batch k + 1 says that batch k
is safely in. Batch k may be planned anew as a further attempt while it has not been taken, because a
sample in it has become too old; the trainer then never took the first attempt.

See Also:
    docs/design/delivery.md
"""

import msgspec


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """Tokens ``start`` up to ``end`` were produced by this weight version, as the engine reported."""

    weight_version: int
    start: int
    end: int


class SampleFinished(msgspec.Struct, frozen=True, tag="sample_finished"):
    """A sample is whole and scored.

    Attributes:
        index: place in the job's endless plan of samples; delivered exactly once.
        attempt: 1 at first; more when an earlier one became too old before delivery.
    """

    index: int
    attempt: int
    prompt: str
    tokens: tuple[str, ...]
    segments: tuple[Segment, ...]
    reward: float


class BatchCommitted(msgspec.Struct, frozen=True, tag="batch_committed"):
    """Batch ``cursor`` consists of these samples; the batch before it is taken in.

    Attributes:
        trainer_version: weights of the trainer that asked.
        max_staleness: bound in force when the batch was planned.
    """

    cursor: int
    attempt: int
    trainer_version: int
    max_staleness: int
    indices: tuple[int, ...]


JobEntry = SampleFinished | BatchCommitted
_decoder = msgspec.msgpack.Decoder(JobEntry)


class FinishedSample(msgspec.Struct, frozen=True, array_like=True):
    """What the fold keeps of a finished sample; its text stays in the log at ``offset``."""

    attempt: int
    offset: int
    oldest_version: int
    newest_version: int
    num_tokens: int


class Batch(msgspec.Struct, frozen=True):
    """The batch committed last; it is not known yet whether the trainer took it in."""

    cursor: int
    attempt: int
    trainer_version: int
    indices: tuple[int, ...]


class JobState(msgspec.Struct):
    """Fold of a job's stream.

    Attributes:
        finished: samples that are whole and not known to be taken in, by index.
        batch: the batch committed last.
        floor: every sample below it is taken in.
        taken_above: samples taken in at or above the floor.
    """

    finished: dict[int, FinishedSample] = {}
    batch: Batch | None = None
    floor: int = 0
    taken_above: set[int] = set()

    def begin_epoch(self, epoch: int) -> None:
        """Nothing is open between owners: samples in flight simply are not finished."""

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

    def is_taken(self, index: int) -> bool:
        """Return whether the trainer has this sample safely."""
        return index < self.floor or index in self.taken_above

    def is_in_batch(self, index: int) -> bool:
        """Return whether the sample belongs to the batch committed last."""
        return self.batch is not None and index in self.batch.indices

    def _apply_sample(self, offset: int, sample: SampleFinished) -> str | None:
        if self.is_taken(sample.index):
            return "sample is taken in already"
        if self.is_in_batch(sample.index):
            return "sample stands in a committed batch"
        held = self.finished.get(sample.index)
        if held is not None and held.attempt >= sample.attempt:
            return "an attempt as late is finished"
        if not sample.segments:
            return "sample names no weight version"
        versions = [segment.weight_version for segment in sample.segments]
        self.finished[sample.index] = FinishedSample(
            sample.attempt, offset, min(versions), max(versions), len(sample.tokens)
        )
        return None

    def _apply_batch(self, batch: BatchCommitted) -> str | None:
        reason = self._reason_out_of_order(batch) or self._reason_unfit(batch)
        if reason is not None:
            return reason
        if self.batch is not None and batch.cursor == self.batch.cursor + 1:
            self._take_in(self.batch)
        self.batch = Batch(batch.cursor, batch.attempt, batch.trainer_version, batch.indices)
        return None

    def _reason_out_of_order(self, batch: BatchCommitted) -> str | None:
        last_cursor = self.batch.cursor if self.batch else 0
        last_attempt = self.batch.attempt if self.batch else 0
        is_next = batch.cursor == last_cursor + 1 and batch.attempt == 1
        is_replan = (
            self.batch is not None and batch.cursor == last_cursor and batch.attempt == last_attempt + 1
        )
        if is_next or is_replan:
            return None
        return f"batch {batch.cursor}/{batch.attempt} does not follow {last_cursor}/{last_attempt}"

    def _reason_unfit(self, batch: BatchCommitted) -> str | None:
        if len(set(batch.indices)) != len(batch.indices):
            return "batch names a sample twice"
        is_next = self.batch is not None and batch.cursor == self.batch.cursor + 1
        for index in batch.indices:
            sample = self.finished.get(index)
            if sample is None or (is_next and self.is_in_batch(index)):
                return f"sample {index} is not to be had"
            if batch.trainer_version - sample.oldest_version > batch.max_staleness:
                return f"sample {index} is too old"
        return None

    def _take_in(self, batch: Batch) -> None:
        for index in batch.indices:
            del self.finished[index]
            self.taken_above.add(index)
        while self.floor in self.taken_above:
            self.taken_above.remove(self.floor)
            self.floor += 1
