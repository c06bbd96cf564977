"""One partition of the emulated store: its records, and the rules for conditions and fences."""

from dataclasses import dataclass, field, replace

from worksramp.coordination.shared_log import (
    Appended,
    AppendOutcome,
    ConditionFailed,
    Fence,
    FencedOff,
    KeyedRecord,
    OutOfSequence,
    StoredRecord,
)

NUM_KEPT_ANSWERS = 5


@dataclass(slots=True)
class _Producer:
    epoch: int
    answers: dict[int, Appended] = field(default_factory=dict)
    last_sequence: int = -1


@dataclass(slots=True)
class LogPartition:
    """Records of a partition and the producers that it knows.

    Attributes:
        records: all records ever appended.
        first_kept: offset of the oldest record that reads still return.
        newest: newest record of each key that has a value.
        checks_condition_first: whether an append whose expected end does not hold is refused before its fence
            is looked at, so that a repeated append gets this refusal in place of its first answer.
    """

    records: list[StoredRecord] = field(default_factory=list)
    first_kept: int = 0
    newest: dict[str, StoredRecord] = field(default_factory=dict)
    checks_condition_first: bool = False
    _producers: dict[str, _Producer] = field(default_factory=dict)
    _fingerprint: tuple[object, ...] | None = None

    def append(
        self, records: tuple[KeyedRecord, ...], fence: Fence | None, expected_end: int | None
    ) -> AppendOutcome:
        """Append all records or none."""
        is_met = expected_end is None or expected_end == len(self.records)
        if self.checks_condition_first and not is_met:
            return ConditionFailed(len(self.records))
        if fence is not None:
            known = self._answer_by_fence(fence)
            if known is not None:
                return known
        if not is_met:
            return ConditionFailed(len(self.records))
        self._fingerprint = None
        answer = self._store(records)
        if fence is not None:
            self._record_answer(fence, answer)
        return answer

    def copy(self) -> "LogPartition":
        """Return a partition with the same contents."""
        producers = {
            name: replace(producer, answers=dict(producer.answers))
            for name, producer in self._producers.items()
        }
        return replace(self, records=list(self.records), newest=dict(self.newest), _producers=producers)

    def fingerprint(self) -> tuple[object, ...]:
        """Return a value that is equal for partitions with the same contents."""
        if self._fingerprint is None:
            self._fingerprint = self._new_fingerprint()
        return self._fingerprint

    def _new_fingerprint(self) -> tuple[object, ...]:
        producers = tuple(
            (name, producer.epoch, producer.last_sequence, tuple(producer.answers.items()))
            for name, producer in sorted(self._producers.items())
        )
        return tuple(self.records), producers

    def _store(self, records: tuple[KeyedRecord, ...]) -> Appended:
        offset = len(self.records)
        for record in records:
            stored = StoredRecord(len(self.records), record.key, record.value)
            self.records.append(stored)
            if record.value:
                self.newest[record.key] = stored
            else:
                self.newest.pop(record.key, None)
        return Appended(offset, len(self.records))

    def _answer_by_fence(self, fence: Fence) -> AppendOutcome | None:
        """Return the answer that the fence alone determines, None if the records may be appended."""
        producer = self._producers.get(fence.producer)
        if producer is None or fence.epoch > producer.epoch:
            return None
        if fence.epoch < producer.epoch:
            return FencedOff()
        if fence.sequence in producer.answers:
            return producer.answers[fence.sequence]
        if fence.sequence != producer.last_sequence + 1:
            return OutOfSequence(producer.last_sequence + 1)
        return None

    def _record_answer(self, fence: Fence, answer: Appended) -> None:
        producer = self._producers.get(fence.producer)
        if producer is None or fence.epoch > producer.epoch:
            producer = self._producers[fence.producer] = _Producer(fence.epoch)
        producer.last_sequence = fence.sequence
        producer.answers[fence.sequence] = answer
        while len(producer.answers) > NUM_KEPT_ANSWERS:
            del producer.answers[min(producer.answers)]
