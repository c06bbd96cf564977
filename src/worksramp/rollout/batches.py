"""Submitted batches as folded from their partition.

Keys (docs/design/prepared-machines.md): ``b/BATCH`` header, ``i/BATCH/N`` item, ``e/BATCH`` end,
``r/BATCH/P`` result, ``t/BATCH/P/K`` further part of a long text, ``p/ITEM`` text so far.
The newest value of each key is the whole state: no record depends on one that the store has dropped.
"""

from collections.abc import Iterable
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


class BatchItem(msgspec.Struct, frozen=True, array_like=True):
    """One request of a batch.

    Attributes:
        target: path and query as sent to a worker.
        headers: name and value, forwarded as they are.
        num_tokens: prompt and the most that may be generated.
        num_expected_tokens: the submitter's estimate of those generated, 0 when there is none.
    """

    item_id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    num_tokens: int
    num_expected_tokens: int = 0


class GeneratedText(msgspec.Struct, frozen=True, array_like=True):
    """Text of an item so far.

    Attributes:
        pieces: data of each event, in order.
        last_event_id: id of the last whole event, None when there is none.
        versions: weights that made at least one event, in order of appearance.
        num_failures: runs that the workers ended with an error of their own, in ``batch_id``.
        is_whole: nothing follows.
        batch_id: batch that the failures were counted in.
    """

    pieces: tuple[str, ...] = ()
    last_event_id: str | None = None
    versions: tuple[int, ...] = ()
    num_failures: int = 0
    is_whole: bool = False
    batch_id: str = ""


class BatchResult(msgspec.Struct, frozen=True, array_like=True):
    """One listed item.

    Attributes:
        is_completed: the whole text is there; otherwise the item was given up.
        num_more_parts: further records that hold the rest of the text.
    """

    item_id: str
    is_completed: bool
    text: str
    versions: tuple[int, ...]
    num_more_parts: int = 0


@dataclass(slots=True)
class Batch:
    """One batch as known so far.

    Attributes:
        listed: ids of items that have a result.
        result_values: undecoded results by position.
        text_parts: further parts of long texts by position and part.
    """

    header: BatchHeader
    is_ended: bool = False
    listed: set[str] = field(default_factory=set)
    result_values: dict[int, bytes] = field(default_factory=dict)
    text_parts: dict[tuple[int, int], bytes] = field(default_factory=dict)

    @property
    def num_results(self) -> int:
        """Number of positions without a gap from 0."""
        return len(self.result_values)

    @property
    def is_open(self) -> bool:
        """Whether items are still to be run."""
        return not self.is_ended and len(self.listed) < len(self.header.item_ids)

    def result(self, position: int) -> BatchResult:
        """Return the result at a position."""
        result = decode(self.result_values[position], BatchResult)
        if not result.num_more_parts:
            return result
        parts = [self.text_parts[position, part].decode() for part in range(result.num_more_parts)]
        return msgspec.structs.replace(result, text=result.text + "".join(parts), num_more_parts=0)

    def results(self, start: int, max_bytes: int) -> list[BatchResult]:
        """Return results from a position on, at least one if there is one."""
        found: list[BatchResult] = []
        num_bytes = 0
        position = start
        while position in self.result_values and (not found or num_bytes < max_bytes):
            result = self.result(position)
            size = len(result.text.encode())
            if found and num_bytes + size > max_bytes:
                break
            found.append(result)
            num_bytes += size
            position += 1
        return found


class BatchLedger:
    """All batches of a partition, folded change by change."""

    def __init__(self) -> None:
        self.batches: dict[str, Batch] = {}
        self._items: dict[str, dict[int, bytes]] = {}
        self._ended: set[str] = set()
        self._early_results: dict[str, dict[str, bytes]] = {}
        self.progress: dict[str, bytes] = {}
        self._completed: dict[str, tuple[str, int]] = {}
        self.revision = 0

    def apply(self, change: Change) -> None:
        """Take in one change; keys of other kinds are passed over."""
        kind, _, rest = change.key.partition("/")
        self.revision += 1
        if kind == "p":
            self._apply_progress(rest, change.value)
            return
        batch_id, _, place = rest.partition("/")
        if kind == "b":
            self._apply_header(batch_id, change.value)
        elif kind == "i":
            self._apply_item(batch_id, int(place), change.value)
        elif kind == "e":
            self._apply_end(batch_id, change.value)
        elif kind in ("r", "t"):
            self._apply_result(batch_id, f"{kind}/{place}", change.value)

    def item(self, batch_id: str, index: int) -> BatchItem:
        """Return item ``index`` of a batch."""
        return decode(self._items[batch_id][index], BatchItem)

    def item_by_id(self, batch_id: str, item_id: str) -> BatchItem | None:
        """Return an item of a batch, None if it has no such item."""
        batch = self.batches.get(batch_id)
        if batch is None or item_id not in batch.header.item_ids:
            return None
        return self.item(batch_id, batch.header.item_ids.index(item_id))

    def kept_text(self, item_id: str) -> GeneratedText | None:
        """Return what is kept of an item's text."""
        value = self.progress.get(item_id)
        return None if value is None else decode(value, GeneratedText)

    def completed_text(self, item_id: str) -> GeneratedText | None:
        """Return the whole text of an item that some batch lists as completed."""
        place = self._completed.get(item_id)
        if place is None or place[0] not in self.batches:
            return None
        result = self.batches[place[0]].result(place[1])
        return GeneratedText(tuple(result.text.split("\n")), None, result.versions, 0, is_whole=True)

    def _apply_progress(self, item_id: str, value: bytes | None) -> None:
        if value is None:
            self.progress.pop(item_id, None)
        else:
            self.progress[item_id] = value

    def _apply_header(self, batch_id: str, value: bytes | None) -> None:
        if value is None:
            self._forget(batch_id)
            return
        if batch_id in self.batches:
            return
        batch = Batch(decode(value, BatchHeader), is_ended=batch_id in self._ended)
        self.batches[batch_id] = batch
        for place, early in self._early_results.pop(batch_id, {}).items():
            self._apply_result(batch_id, place, early)

    def _forget(self, batch_id: str) -> None:
        batch = self.batches.pop(batch_id, None)
        for item_id in () if batch is None else batch.header.item_ids:
            if self._completed.get(item_id, ("", 0))[0] == batch_id:
                del self._completed[item_id]

    def _apply_item(self, batch_id: str, index: int, value: bytes | None) -> None:
        if value is None:
            self._items.get(batch_id, {}).pop(index, None)
            if not self._items.get(batch_id):
                self._items.pop(batch_id, None)
            return
        self._items.setdefault(batch_id, {})[index] = value

    def _apply_end(self, batch_id: str, value: bytes | None) -> None:
        if value is None:
            self._ended.discard(batch_id)
            return
        self._ended.add(batch_id)
        if batch_id in self.batches:
            self.batches[batch_id].is_ended = True

    def _apply_result(self, batch_id: str, place: str, value: bytes | None) -> None:
        if value is None:
            return
        batch = self.batches.get(batch_id)
        if batch is None:
            # Pages of newest records come in the order of keys, not of appends.
            self._early_results.setdefault(batch_id, {})[place] = value
            return
        kind, _, rest = place.partition("/")
        if kind == "t":
            position, _, part = rest.partition("/")
            batch.text_parts[int(position), int(part)] = value
            return
        batch.result_values[int(rest)] = value
        result = decode(value, BatchResult)
        batch.listed.add(result.item_id)
        if result.is_completed:
            self._completed[result.item_id] = (batch_id, int(rest))


def records_of_batch(header: BatchHeader, items: Iterable[BatchItem]) -> list[KeyedRecord]:
    """Return the records of a batch, its header last: the batch exists once the header is in."""
    records = [KeyedRecord(f"i/{header.batch_id}/{index}", encode(item)) for index, item in enumerate(items)]
    records.append(KeyedRecord(f"b/{header.batch_id}", encode(header)))
    return records


def records_forgetting_batch(batch: Batch) -> list[KeyedRecord]:
    """Return the records that drop a batch, its header first: no reader finds it without its items."""
    batch_id = batch.header.batch_id
    keys = [f"b/{batch_id}"]
    keys += [f"i/{batch_id}/{index}" for index in range(len(batch.header.item_ids))]
    keys += [f"r/{batch_id}/{position}" for position in batch.result_values]
    keys += [f"t/{batch_id}/{position}/{part}" for position, part in batch.text_parts]
    keys.append(f"e/{batch_id}")
    return [KeyedRecord(key, b"") for key in keys]


def record_of_end(batch_id: str) -> KeyedRecord:
    """Return the record that ends a batch."""
    return KeyedRecord(f"e/{batch_id}", b"1")


def record_of_progress(item_id: str, text: GeneratedText) -> KeyedRecord:
    """Return the record of an item's text so far."""
    return KeyedRecord(f"p/{item_id}", encode(text))


def record_of_forgotten_progress(item_id: str) -> KeyedRecord:
    """Return the record that drops an item's text so far."""
    return KeyedRecord(f"p/{item_id}", b"")


def records_of_result(
    batch_id: str, position: int, result: BatchResult, max_record_bytes: int
) -> list[KeyedRecord]:
    """Return the records of a result; a long text takes several, all before the result itself."""
    room = max_record_bytes // 8
    if len(result.text) <= room:
        return [KeyedRecord(f"r/{batch_id}/{position}", encode(result))]
    chunks = [result.text[start : start + room] for start in range(0, len(result.text), room)]
    records = [
        KeyedRecord(f"t/{batch_id}/{position}/{part}", chunk.encode())
        for part, chunk in enumerate(chunks[1:])
    ]
    head = msgspec.structs.replace(result, text=chunks[0], num_more_parts=len(chunks) - 1)
    records.append(KeyedRecord(f"r/{batch_id}/{position}", encode(head)))
    return records
