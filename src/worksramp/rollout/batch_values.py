"""Items and texts of batches, stored outside the partition that every node reads.

Keys: ``i/BATCH/N`` item, ``t/BATCH/P/EPOCH/K`` part of a text. Appends to these partitions are not fenced, so
a former owner may still append late. With the epoch in the key it cannot overwrite a text that a result of
the current owner refers to.
"""

from collections.abc import Iterable, Iterator, Sequence

import msgspec

from worksramp.coordination.shared_log import KeyedRecord
from worksramp.coordination.value_store import NotStored, ValueLocation, ValueStore, ValuesUnavailableError
from worksramp.rollout.batches import Batch, BatchHeader, BatchItem, BatchResult, ResultRecord
from worksramp.wire import decode, encode


def item_key(batch_id: str, index: int) -> str:
    """Return the key of an item; keys sort in the order of the indices."""
    return f"i/{batch_id}/{index:06}"


def text_key(batch_id: str, position: int, epoch: int, part: int) -> str:
    """Return the key of a part of a text; keys sort in the order of the positions."""
    return f"t/{batch_id}/{position:06}/{epoch}/{part:04}"


def records_of_text(
    batch_id: str, position: int, epoch: int, text: str, max_record_b: int
) -> list[KeyedRecord]:
    """Return the records that store a text, split into parts.

    Args:
        max_record_b: maximum size of a record in bytes; each part uses at most half of it.

    Returns:
        One record for each part, none for an empty text.
    """
    data = text.encode()
    part_size_b = max_record_b // 2
    return [
        KeyedRecord(text_key(batch_id, position, epoch, part), data[start : start + part_size_b])
        for part, start in enumerate(range(0, len(data), part_size_b))
    ]


class BatchValues:
    """Reads and writes items and texts of batches in a value store."""

    def __init__(self, values: ValueStore) -> None:
        self.store = values

    async def put_items(
        self, header: BatchHeader, items: Iterable[BatchItem], timeout_s: float
    ) -> BatchHeader | NotStored:
        """Store the items of a batch.

        Returns:
            The header with the offsets and sizes of the items, or `NotStored`.
        """
        sizes_b: list[int] = []

        def records() -> Iterator[KeyedRecord]:
            for index, item in enumerate(items):
                value = encode(item)
                sizes_b.append(len(value))
                yield KeyedRecord(item_key(header.batch_id, index), value)

        outcome = await self.store.put(header.batch_id, records(), timeout_s)
        if isinstance(outcome, NotStored):
            return outcome
        return msgspec.structs.replace(
            header,
            item_offsets=outcome.offsets,
            item_sizes_b=tuple(sizes_b),
        )

    async def items(self, header: BatchHeader, indices: Sequence[int]) -> dict[int, BatchItem]:
        """Read items of a batch by index.

        Raises:
            ValuesUnavailableError: some items could not be read.
        """
        keys = {index: item_key(header.batch_id, index) for index in indices}
        locations = [
            ValueLocation(key, header.item_offsets[index], header.item_sizes_b[index])
            for index, key in keys.items()
        ]
        found = await self.store.fetch(header.batch_id, locations)
        try:
            return {index: decode(found[key], BatchItem) for index, key in keys.items()}
        except msgspec.DecodeError as error:
            raise ValuesUnavailableError("decode", min(keys.values()), str(error)) from error

    async def results(self, batch: Batch, positions: Sequence[int]) -> list[BatchResult]:
        """Read results of a batch with their texts, in the order of ``positions``.

        Raises:
            ValuesUnavailableError: some texts could not be read.
        """
        batch_id = batch.header.batch_id
        records = {position: batch.results[position] for position in positions}
        locations = [
            location
            for position, record in records.items()
            for location in _text_locations(batch_id, position, record)
        ]
        found = await self.store.fetch(batch_id, locations) if locations else {}
        return [
            BatchResult(
                record.item_id,
                record.is_completed,
                _decode_text(found, _text_locations(batch_id, position, record)),
                record.versions,
                record.score,
            )
            for position, record in records.items()
        ]


def value_tombstones(batch: Batch) -> list[KeyedRecord]:
    """Return the records that delete the items and texts of a batch."""
    batch_id = batch.header.batch_id
    keys = [item_key(batch_id, index) for index in range(len(batch.header.item_ids))]
    for position, record in batch.results.items():
        keys += [location.key for location in _text_locations(batch_id, position, record)]
    return [KeyedRecord(key, b"") for key in keys]


def _decode_text(found: dict[str, bytes], locations: list[ValueLocation]) -> str:
    try:
        return b"".join(found[location.key] for location in locations).decode()
    except UnicodeDecodeError as error:
        raise ValuesUnavailableError("decode", locations[0].key, error.reason) from error


def _text_locations(batch_id: str, position: int, record: ResultRecord) -> list[ValueLocation]:
    return [
        ValueLocation(text_key(batch_id, position, record.epoch, part), offset, size_b)
        for part, (offset, size_b) in enumerate(zip(record.text_offsets, record.text_sizes_b, strict=True))
    ]
