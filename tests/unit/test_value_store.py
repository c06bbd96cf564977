"""Values outside the followed partition: read by offset, or by key once the offset is no longer kept."""

import random
from collections.abc import Awaitable, Callable

import anyio
import pytest

from worksramp.coordination.shared_log import KeyedRecord, Partition
from worksramp.coordination.value_store import (
    NotStored,
    Stored,
    ValueLocation,
    ValueStore,
    ValuesUnavailableError,
    split_into_calls,
)
from worksramp.rollout.batch_reader import BatchReader
from worksramp.rollout.batch_values import BatchValues, records_of_text, value_tombstones
from worksramp.rollout.batches import Batch, BatchHeader, BatchItem, BatchLedger, ResultRecord
from worksramp_emulator.shared_log import LogClient, LogStore
from worksramp_emulator.simulation.clock import run_simulated

PARTITIONS = tuple(Partition("keyed.values", number) for number in range(3))
Work = Callable[[ValueStore, LogStore], Awaitable[None]]


def simulate(work: Work) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            store = LogStore(random.Random(1), group)
            await work(ValueStore(LogClient(store, "node"), PARTITIONS), store)

    run_simulated(main, 1)


def records(*names: str) -> list[KeyedRecord]:
    return [KeyedRecord(name, name.encode()) for name in names]


def locations(names: list[str], stored: Stored | NotStored) -> list[ValueLocation]:
    assert isinstance(stored, Stored)
    return [
        ValueLocation(name, offset, len(name)) for name, offset in zip(names, stored.offsets, strict=True)
    ]


def test_values_are_read_by_offset_between_those_of_others() -> None:
    async def work(values: ValueStore, store: LogStore) -> None:
        first = await values.put("g", records("g/1"), 1.0)
        store.do_append(values.partition_of("g"), tuple(records("other/1", "other/2")), None, None)
        second = await values.put("g", records("g/2", "g/3"), 1.0)
        wanted = locations(["g/1"], first) + locations(["g/2", "g/3"], second)
        assert await values.fetch("g", wanted) == {"g/1": b"g/1", "g/2": b"g/2", "g/3": b"g/3"}

    simulate(work)


def test_values_are_read_by_key_once_their_offsets_are_gone() -> None:
    async def work(values: ValueStore, store: LogStore) -> None:
        names = [f"g/{number:06}" for number in range(120)]
        wanted = locations(names, await values.put("g", records(*names), 1.0))
        await values.put("g", records("f/1", "h/1"), 1.0)
        store.apply_retention(values.partition_of("g"))
        assert sorted(await values.fetch("g", wanted)) == names
        assert list(await values.fetch("g", wanted[57:58])) == [names[57]]

    simulate(work)


def test_values_whose_neighbours_fill_a_page_are_read_by_key() -> None:
    # Reads by key took one page of the store, so that a value behind 1 MB of its neighbours was never found.
    async def work(values: ValueStore, store: LogStore) -> None:
        names = [f"g/{number:06}" for number in range(60)]
        large = [KeyedRecord(name, name.encode() + bytes(130_000)) for name in names]
        stored = await values.put("g", large, 1.0)
        assert isinstance(stored, Stored)
        wanted = [
            ValueLocation(record.key, offset, len(record.value))
            for record, offset in zip(large, stored.offsets, strict=True)
        ]
        assert await values.fetch("g", wanted) == {record.key: record.value for record in large}
        store.apply_retention(values.partition_of("g"))
        assert await values.fetch("g", wanted[38:39]) == {names[38]: large[38].value}
        assert await values.fetch("g", wanted) == {record.key: record.value for record in large}
        # Others in between, all with large values, whose keys sort before the wanted one.
        await values.put("g", [KeyedRecord(f"g/000037/{each}", bytes(250_000)) for each in range(9)], 1.0)
        assert await values.fetch("g", wanted[38:39]) == {names[38]: large[38].value}

    simulate(work)


def test_a_missing_value_or_an_unavailable_store_is_an_error_and_never_a_partial_result() -> None:
    async def work(values: ValueStore, store: LogStore) -> None:
        wanted = locations(["g/1"], await values.put("g", records("g/1"), 1.0))
        with pytest.raises(ValuesUnavailableError, match="g/2"):
            await values.fetch("g", [*wanted, ValueLocation("g/2", 7, 1)])
        store.faults.is_down = True
        with pytest.raises(ValuesUnavailableError):
            await values.fetch("g", wanted)
        assert await values.put("g", records("g/3"), 1.0) == NotStored("append at store: down", False)

    simulate(work)


def test_a_lost_answer_costs_a_short_try_and_a_slow_store_still_succeeds() -> None:
    async def work(values: ValueStore, store: LogStore) -> None:
        store.faults.lost_answers = 1.0
        outcome = await values.put("g", records("g/1"), 2.0)
        assert isinstance(outcome, NotStored) and outcome.may_be_stored
        store.faults.lost_answers = 0.0
        store.faults.answer_seconds = 0.5
        assert isinstance(await values.put("g", records("g/2"), 2.0), Stored)

    simulate(work)


def test_calls_are_small_enough_for_the_log() -> None:
    many = [KeyedRecord(str(number), b"x" * 1000) for number in range(10)]
    calls = list(split_into_calls(many, max_call_b=8000))
    assert [record for call in calls for record in call] == many
    assert all(sum(len(record.value) for record in call) <= 4000 for call in calls)
    assert list(split_into_calls([], 8000)) == []


def test_a_long_text_takes_several_records_and_is_read_completely() -> None:
    async def work(values: ValueStore, store: LogStore) -> None:
        text = "zażółć\n" * 50
        written = records_of_text("b", 0, 3, text, max_record_b=64)
        assert len(written) > 5 and all(len(record.value) <= 32 for record in written)
        stored = await values.put("b", written, 1.0)
        assert isinstance(stored, Stored)
        batch = Batch(BatchHeader("b", "h", "/", 0.0, ("x", "y"), ("", "")))
        sizes_b = tuple(len(record.value) for record in written)
        batch.results[0] = ResultRecord("x", True, (1,), 3, stored.offsets, sizes_b)
        batch.results[1] = ResultRecord("y", False, ())
        results = await BatchValues(values).results(batch, [0, 1])
        assert [result.text for result in results] == [text, ""]
        # The text of a previous owner at the same position is stored under another key.
        await values.put("b", records_of_text("b", 0, 2, "late", 64), 1.0)
        store.apply_retention(values.partition_of("b"))
        assert (await BatchValues(values).results(batch, [0]))[0].text == text
        keys = {record.key for record in value_tombstones(batch)}
        assert {record.key for record in written} <= keys

    simulate(work)


def test_items_are_read_one_by_one_or_all_together() -> None:
    async def work(values: ValueStore, store: LogStore) -> None:
        batch_values = BatchValues(values)
        items = [BatchItem(f"x{number}", "/", (), bytes([number]), 9) for number in range(12)]
        header = BatchHeader("b", "h", "/", 0.0, tuple(item.item_id for item in items), ("",) * 12)
        placed = await batch_values.put_items(header, items, 1.0)
        assert isinstance(placed, BatchHeader)
        assert await batch_values.items(placed, range(12)) == dict(enumerate(items))
        store.apply_retention(values.partition_of("b"))
        assert await batch_values.items(placed, [11]) == {11: items[11]}

    simulate(work)


def test_items_of_a_large_batch_are_read_although_calls_to_the_store_fail_now_and_then() -> None:
    # All items were read together, and one failed call began them all again: 40 calls in a row never succeed.
    async def work(values: ValueStore, store: LogStore) -> None:
        items = [BatchItem(f"x{number}", "/", (), bytes(200_000), 9) for number in range(160)]
        header = BatchHeader("b", "h", "/", 0.0, tuple(item.item_id for item in items), ("",) * 160)
        placed = await BatchValues(values).put_items(header, items, 1.0)
        assert isinstance(placed, BatchHeader)
        store.apply_retention(values.partition_of("b"))
        async with anyio.create_task_group() as group:

            async def disturb() -> None:
                while True:
                    await anyio.sleep(0.1)
                    store.faults.is_down = True
                    await anyio.sleep(0.01)
                    store.faults.is_down = False

            group.start_soon(disturb)
            reader = BatchReader(BatchValues(values), BatchLedger())
            read: dict[int, BatchItem] = {}
            with anyio.fail_after(20.0):
                async for items_of_group in reader.item_groups(Batch(placed), list(range(160))):
                    read |= items_of_group
            group.cancel_scope.cancel()
        assert read == dict(enumerate(items))

    simulate(work)
