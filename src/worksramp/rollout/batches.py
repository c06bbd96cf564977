"""Defines records of submitted batches, and the state of all batches that is folded from their log partition.

Keys (docs/design/prepared-machines.md): ``b/BATCH`` header, ``e/BATCH`` end, ``r/BATCH/P`` result.
The newest values of all keys are the complete state, so the store may compact the partition. Items and texts
are stored in other partitions (`worksramp.rollout.batch_values`), because every node reads this one.
"""

from dataclasses import dataclass, field

import msgspec

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.counts import Amount, Count, parse_count
from worksramp.routing.identity import scoped_id
from worksramp.wire import decode, encode


class BatchHeader(msgspec.Struct, frozen=True, array_like=True):
    """Description of a batch without its items.

    Attributes:
        submitted_at: wall-clock time of the first submission, in seconds.
        item_ids: ids of the items, in submission order.
        groups: group of each item, an empty string for an item without a group.
        step: training step, None if the batch does not belong to one.
        min_version: oldest weight version that may generate the texts.
        num_wanted_groups: number of complete groups that the trainer waits for.
        item_offsets: log offset of each item's record in the value partition.
        item_sizes_b: size of each item's record in bytes.
        tenant: tenant that submitted the batch, empty for none.
    """

    batch_id: str
    host: str
    path: str
    submitted_at: Amount
    item_ids: tuple[str, ...]
    groups: tuple[str, ...]
    step: Count | None = None
    model: str = ""
    min_version: Count = 0
    num_wanted_groups: Count = 0
    item_offsets: tuple[Count, ...] = ()
    item_sizes_b: tuple[Count, ...] = ()
    tenant: str = ""


class ScoringCall(msgspec.Struct, frozen=True, array_like=True):
    """Request that asks a scorer to score an item's complete text.

    Attributes:
        call_id: id of the call, which the scorer's answer must repeat.
        host: host name by which the route is chosen.
        target: path and query string sent to the scorer.
    """

    call_id: str
    host: str
    target: str
    body: bytes


class Score(msgspec.Struct, frozen=True, array_like=True):
    """Successful answer to a scoring call.

    Attributes:
        call_id: id of the scoring call.
        signature: signature of the scorer, passed to the trainer unchanged.
    """

    call_id: str
    signature: str


class BatchItem(msgspec.Struct, frozen=True, array_like=True):
    """One request of a batch.

    Attributes:
        target: path and query string sent to a worker.
        headers: names and values, forwarded unchanged.
        num_tokens: prompt tokens plus the maximum number of generated tokens.
        num_expected_tokens: submitter's estimate of the generated tokens, 0 if there is none.
        scoring_call: call that must succeed before the item is listed as completed, None if the item is not
            scored.
        num_prompt_tokens: tokens of the prompt, 0 if not stated.
    """

    item_id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    num_tokens: Count
    num_expected_tokens: Count = 0
    scoring_call: ScoringCall | None = None
    num_prompt_tokens: Count = 0


class GeneratedText(msgspec.Struct, frozen=True, array_like=True):
    """Text generated for an item so far.

    Attributes:
        pieces: data of each event, in order.
        last_event_id: id of the last complete event, None if there is none.
        versions: weight versions that generated at least one event, in order of first use.
        num_failures: runs in batch ``batch_id`` that workers ended with an error of their own.
        is_whole: whether the text is complete.
        batch_id: batch in which the failures were counted.
        score: answer to a scoring call that was sent after the text was complete.
        num_scoring_failures: errors of their own that scorers answered with in batch ``batch_id``.
    """

    pieces: tuple[str, ...] = ()
    last_event_id: str | None = None
    versions: tuple[Count, ...] = ()
    num_failures: Count = 0
    is_whole: bool = False
    batch_id: str = ""
    score: Score | None = None
    num_scoring_failures: Count = 0


class ResultRecord(msgspec.Struct, frozen=True, array_like=True):
    """One listed item without its text.

    Attributes:
        is_completed: True if the text is complete, False if the item was given up.
        epoch: epoch of the owner that wrote the text.
        text_offsets: log offset of each part of the text in the value partition.
        text_sizes_b: size of each part in bytes.
        score: score of a completed item that has a scoring call, otherwise None.
    """

    item_id: str
    is_completed: bool
    versions: tuple[Count, ...]
    epoch: Count = 0
    text_offsets: tuple[Count, ...] = ()
    text_sizes_b: tuple[Count, ...] = ()
    score: Score | None = None

    @property
    def text_size_b(self) -> int:
        """Size of the complete text in bytes."""
        return sum(self.text_sizes_b)


@dataclass(frozen=True, slots=True)
class BatchResult:
    """One listed item with its text."""

    item_id: str
    is_completed: bool
    text: str
    versions: tuple[int, ...]
    score: Score | None = None


@dataclass(slots=True)
class Batch:
    """State of one batch.

    Attributes:
        is_ended: whether the caller has ended the batch.
        listed: ids of the items that have a result.
        results: results by position.
    """

    header: BatchHeader
    is_ended: bool = False
    listed: set[str] = field(default_factory=set)
    results: dict[int, ResultRecord] = field(default_factory=dict)

    @property
    def num_results(self) -> int:
        """Number of results; the owner assigns positions from 0 without gaps."""
        return len(self.results)

    @property
    def is_open(self) -> bool:
        """Whether the batch is not ended and has items without a result."""
        return not self.is_ended and len(self.listed) < len(self.header.item_ids)

    def positions_from(self, start: int, max_b: int) -> list[int]:
        """Return consecutive positions whose texts fit into one page.

        Args:
            start: first position.
            max_b: maximum size of the texts in bytes; the first text is included even if it is larger.

        Returns:
            Positions in order, empty if ``start`` has no result yet.
        """
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
    """State of all batches of a partition, updated change by change.

    Attributes:
        batches: batches by id.
        revision: number of changes applied.
    """

    def __init__(self) -> None:
        self.batches: dict[str, Batch] = {}
        self._ended: set[str] = set()
        self._early_results: dict[str, dict[int, ResultRecord]] = {}
        self._completed: dict[str, tuple[str, int]] = {}
        self.revision = 0

    def apply(self, change: Change) -> None:
        """Apply one change; keys of other kinds are ignored.

        Raises:
            msgspec.DecodeError: the record is not one of a batch; nothing has changed.
        """
        kind, _, rest = change.key.partition("/")
        self.revision += 1
        batch_id, _, suffix = rest.partition("/")
        if kind == "b":
            self._apply_header(batch_id, change.value)
        elif kind == "e":
            self._apply_end(batch_id, change.value)
        elif kind == "r":
            self._apply_result(batch_id, suffix, change.value)

    def find_completed(self, text_id: str) -> tuple[str, int] | None:
        """Return the batch id and position under which an item is listed as completed, or None."""
        place = self._completed.get(text_id)
        return None if place is None or place[0] not in self.batches else place

    def _apply_header(self, batch_id: str, value: bytes | None) -> None:
        if value is None:
            self._delete_batch(batch_id)
            return
        if batch_id in self.batches:
            return
        batch = Batch(_decode_header(batch_id, value), is_ended=batch_id in self._ended)
        self.batches[batch_id] = batch
        for position, early in self._early_results.pop(batch_id, {}).items():
            if position < len(batch.header.item_ids):
                self._list(batch, position, early)

    def _delete_batch(self, batch_id: str) -> None:
        batch = self.batches.pop(batch_id, None)
        if batch is None:
            return
        for item_id in batch.header.item_ids:
            text_id = scoped_id(batch.header.tenant, item_id)
            if self._completed.get(text_id, ("", 0))[0] == batch_id:
                del self._completed[text_id]

    def _apply_end(self, batch_id: str, value: bytes | None) -> None:
        if value is None:
            self._ended.discard(batch_id)
            return
        self._ended.add(batch_id)
        if batch_id in self.batches:
            self.batches[batch_id].is_ended = True

    def _apply_result(self, batch_id: str, position_text: str, value: bytes | None) -> None:
        if value is None:
            return
        position = parse_count(position_text)
        if position is None:
            raise msgspec.ValidationError("the key of a result has no position")
        result = _decode_result(value)
        batch = self.batches.get(batch_id)
        if batch is None:
            # Pages of newest records are sorted by key, so a result can come before its header.
            self._early_results.setdefault(batch_id, {})[position] = result
            return
        if position >= len(batch.header.item_ids):
            raise msgspec.ValidationError("the position in the key is beyond the items")
        self._list(batch, position, result)

    def _list(self, batch: Batch, position: int, result: ResultRecord) -> None:
        batch.results[position] = result
        batch.listed.add(result.item_id)
        if result.is_completed:
            text_id = scoped_id(batch.header.tenant, result.item_id)
            self._completed[text_id] = (batch.header.batch_id, position)


def _decode_header(batch_id: str, value: bytes) -> BatchHeader:
    header = decode(value, BatchHeader)
    if header.batch_id != batch_id:
        raise msgspec.ValidationError("batch_id: is not that of the key")
    num_items = len(header.item_ids)
    for name in ("groups", "item_offsets", "item_sizes_b"):
        if len(getattr(header, name)) != num_items:
            raise msgspec.ValidationError(f"{name}: has not one value for each of {num_items} items")
    return header


def _decode_result(value: bytes) -> ResultRecord:
    result = decode(value, ResultRecord)
    if len(result.text_offsets) != len(result.text_sizes_b):
        raise msgspec.ValidationError("text_sizes_b: has not one value for each of text_offsets")
    return result


def record_of_header(header: BatchHeader) -> KeyedRecord:
    """Return the record that creates a batch; all items must be stored before it is appended."""
    return KeyedRecord(f"b/{header.batch_id}", encode(header))


def batch_tombstones(batch: Batch) -> list[KeyedRecord]:
    """Return the records that delete a batch.

    The header is deleted first, so that no reader finds a batch whose results are missing.
    """
    batch_id = batch.header.batch_id
    keys = [f"b/{batch_id}"]
    keys += [f"r/{batch_id}/{position}" for position in batch.results]
    keys.append(f"e/{batch_id}")
    return [KeyedRecord(key, b"") for key in keys]


def record_of_end(batch_id: str) -> KeyedRecord:
    """Return the record that ends a batch."""
    return KeyedRecord(f"e/{batch_id}", b"1")


def record_of_result(batch_id: str, position: int, result: ResultRecord) -> KeyedRecord:
    """Return the record that lists an item; the text must be stored before it is appended."""
    return KeyedRecord(f"r/{batch_id}/{position}", encode(result))
