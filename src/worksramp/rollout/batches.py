"""Submitted batches as folded from their partition.

Keys (docs/design/prepared-machines.md): ``b/BATCH`` header, ``e/BATCH`` end, ``r/BATCH/P`` result.
The newest value of each key is the whole state: no record depends on one that the store has dropped. Items
and texts stand apart (`worksramp.rollout.batch_values`), since every node follows this partition.
"""

from dataclasses import dataclass, field

import msgspec

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.wire import decode, encode


class BatchHeader(msgspec.Struct, frozen=True, array_like=True):
    """What a batch is, without its items.

    Attributes:
        step: the trainer's step, None where the batch is no step.
        min_version: oldest weights that may make its text.
        num_wanted_groups: groups that the trainer waits for.
        submitted_at: time of day in seconds when it was first sent.
        item_ids: in the order given.
        groups: group of each item, empty text for none.
        item_offsets: where each item's record was written among the values.
        item_sizes_b: size of each item's record.
    """

    batch_id: str
    host: str
    path: str
    submitted_at: float
    item_ids: tuple[str, ...]
    groups: tuple[str, ...]
    step: int | None = None
    model: str = ""
    min_version: int = 0
    num_wanted_groups: int = 0
    item_offsets: tuple[int, ...] = ()
    item_sizes_b: tuple[int, ...] = ()


class ScoringCall(msgspec.Struct, frozen=True, array_like=True):
    """Request that has an item's whole text scored.

    Attributes:
        call_id: id that the scorer's answer must name.
        host: host whose route it takes.
        target: path and query as sent to a worker.
    """

    call_id: str
    host: str
    target: str
    body: bytes


class Score(msgspec.Struct, frozen=True, array_like=True):
    """A good answer to a scoring call.

    Attributes:
        call_id: the call that it answers.
        signature: the scorer's, as the trainer reads it.
    """

    call_id: str
    signature: str


class BatchItem(msgspec.Struct, frozen=True, array_like=True):
    """One request of a batch.

    Attributes:
        target: path and query as sent to a worker.
        headers: name and value, forwarded as they are.
        num_tokens: prompt and the most that may be generated.
        num_expected_tokens: the submitter's estimate of those generated, 0 when there is none.
        scoring_call: what must be answered before the item is listed as completed, None for nothing.
    """

    item_id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    num_tokens: int
    num_expected_tokens: int = 0
    scoring_call: ScoringCall | None = None


class GeneratedText(msgspec.Struct, frozen=True, array_like=True):
    """Text of an item so far.

    Attributes:
        pieces: data of each event, in order.
        last_event_id: id of the last whole event, None when there is none.
        versions: weights that made at least one event, in order of appearance.
        num_failures: runs that the workers ended with an error of their own, in ``batch_id``.
        is_whole: nothing follows.
        batch_id: batch that the failures were counted in.
        score: answer to a scoring call that was sent after the text was whole.
        num_scoring_failures: errors of their own that scorers answered with, in ``batch_id``.
    """

    pieces: tuple[str, ...] = ()
    last_event_id: str | None = None
    versions: tuple[int, ...] = ()
    num_failures: int = 0
    is_whole: bool = False
    batch_id: str = ""
    score: Score | None = None
    num_scoring_failures: int = 0


class ResultRecord(msgspec.Struct, frozen=True, array_like=True):
    """One listed item, without its text.

    Attributes:
        is_completed: the whole text is there; otherwise the item was given up.
        epoch: of the owner that wrote the text.
        text_offsets: where the parts of the text were written among the values.
        text_sizes_b: size of each part.
        score: of a completed item that has a scoring call.
    """

    item_id: str
    is_completed: bool
    versions: tuple[int, ...]
    epoch: int = 0
    text_offsets: tuple[int, ...] = ()
    text_sizes_b: tuple[int, ...] = ()
    score: Score | None = None

    @property
    def text_size_b(self) -> int:
        """Bytes of the whole text."""
        return sum(self.text_sizes_b)


@dataclass(frozen=True, slots=True)
class BatchResult:
    """One listed item as it is read."""

    item_id: str
    is_completed: bool
    text: str
    versions: tuple[int, ...]
    score: Score | None = None


@dataclass(slots=True)
class Batch:
    """One batch as known so far.

    Attributes:
        listed: ids of items that have a result.
        results: by position.
    """

    header: BatchHeader
    is_ended: bool = False
    listed: set[str] = field(default_factory=set)
    results: dict[int, ResultRecord] = field(default_factory=dict)

    @property
    def num_results(self) -> int:
        """Number of positions without a gap from 0."""
        return len(self.results)

    @property
    def is_open(self) -> bool:
        """Whether items are still to be run."""
        return not self.is_ended and len(self.listed) < len(self.header.item_ids)

    def positions_from(self, start: int, max_b: int) -> list[int]:
        """Return positions from one on whose texts fit, at least one if there is one."""
        chosen: list[int] = []
        size_b = 0
        position = start
        while position in self.results:
            size_b += self.results[position].text_size_b
            if chosen and size_b > max_b:
                break
            chosen.append(position)
            position += 1
        return chosen


class BatchLedger:
    """All batches of a partition, folded change by change."""

    def __init__(self) -> None:
        self.batches: dict[str, Batch] = {}
        self._ended: set[str] = set()
        self._early_results: dict[str, dict[int, bytes]] = {}
        self._completed: dict[str, tuple[str, int]] = {}
        self.revision = 0

    def apply(self, change: Change) -> None:
        """Take in one change; keys of other kinds are passed over."""
        kind, _, rest = change.key.partition("/")
        self.revision += 1
        batch_id, _, place = rest.partition("/")
        if kind == "b":
            self._apply_header(batch_id, change.value)
        elif kind == "e":
            self._apply_end(batch_id, change.value)
        elif kind == "r":
            self._apply_result(batch_id, int(place), change.value)

    def completed_place(self, item_id: str) -> tuple[str, int] | None:
        """Return batch and position of an item that some batch lists as completed."""
        place = self._completed.get(item_id)
        return None if place is None or place[0] not in self.batches else place

    def _apply_header(self, batch_id: str, value: bytes | None) -> None:
        if value is None:
            self._forget(batch_id)
            return
        if batch_id in self.batches:
            return
        batch = Batch(decode(value, BatchHeader), is_ended=batch_id in self._ended)
        self.batches[batch_id] = batch
        for position, early in self._early_results.pop(batch_id, {}).items():
            self._apply_result(batch_id, position, early)

    def _forget(self, batch_id: str) -> None:
        batch = self.batches.pop(batch_id, None)
        for item_id in () if batch is None else batch.header.item_ids:
            if self._completed.get(item_id, ("", 0))[0] == batch_id:
                del self._completed[item_id]

    def _apply_end(self, batch_id: str, value: bytes | None) -> None:
        if value is None:
            self._ended.discard(batch_id)
            return
        self._ended.add(batch_id)
        if batch_id in self.batches:
            self.batches[batch_id].is_ended = True

    def _apply_result(self, batch_id: str, position: int, value: bytes | None) -> None:
        if value is None:
            return
        batch = self.batches.get(batch_id)
        if batch is None:
            # Pages of newest records come in the order of keys, not of appends.
            self._early_results.setdefault(batch_id, {})[position] = value
            return
        result = decode(value, ResultRecord)
        batch.results[position] = result
        batch.listed.add(result.item_id)
        if result.is_completed:
            self._completed[result.item_id] = (batch_id, position)


def record_of_header(header: BatchHeader) -> KeyedRecord:
    """Return the record by which a batch exists; all its items are written before it."""
    return KeyedRecord(f"b/{header.batch_id}", encode(header))


def records_forgetting_batch(batch: Batch) -> list[KeyedRecord]:
    """Return the records that drop a batch, its header first: no reader finds it without its results."""
    batch_id = batch.header.batch_id
    keys = [f"b/{batch_id}"]
    keys += [f"r/{batch_id}/{position}" for position in batch.results]
    keys.append(f"e/{batch_id}")
    return [KeyedRecord(key, b"") for key in keys]


def record_of_end(batch_id: str) -> KeyedRecord:
    """Return the record that ends a batch."""
    return KeyedRecord(f"e/{batch_id}", b"1")


def record_of_result(batch_id: str, position: int, result: ResultRecord) -> KeyedRecord:
    """Return the record that lists an item; its text is written before it."""
    return KeyedRecord(f"r/{batch_id}/{position}", encode(result))
