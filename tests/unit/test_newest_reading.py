"""Loads of many pages beside a store that fails some of them, or answers from a copy that lags behind.

A load began again at its first page after each failed one, so that a partition of many pages was never loaded
while calls failed now and then.
"""

import random
from types import SimpleNamespace
from typing import Any, cast

import anyio

from worksramp.coordination.keyed_replica import Change, KeyedReplica
from worksramp.coordination.shared_log import (
    KeyedRecord,
    LogUnavailableError,
    NewestPage,
    Partition,
    StoredRecord,
)
from worksramp.coordination.value_store import ValueStore
from worksramp.rollout.open_items import OpenItems
from worksramp.rollout.text_keeper import KEY_PREFIX, TextKeeper
from worksramp_emulator.shared_log import LogClient, LogStore
from worksramp_emulator.simulation.clock import run_simulated

PARTITION = Partition("keyed.things", 0)
#: Twenty pages of the emulated store.
NUM_KEYS = 1000
#: Less than a load of all pages, more than one page.
FAILS_EACH = 7


class FailingClient(LogClient):
    """Client whose every `FAILS_EACH`-th page gets no answer."""

    num_pages = 0

    async def newest(self, partition: Partition, after: str | None) -> NewestPage:
        FailingClient.num_pages += 1
        if FailingClient.num_pages % FAILS_EACH == 0:
            raise LogUnavailableError("newest", "store", "no answer", is_throttled=True)
        return await super().newest(partition, after)


def filled_store(group: anyio.abc.TaskGroup, prefix: str = "") -> LogStore:
    store = LogStore(random.Random(1), group)
    for number in range(NUM_KEYS):
        record = KeyedRecord(f"{prefix}{number:04}", b"1")
        store.do_append(PARTITION, (record,), None, None)
    return store


def test_a_copy_of_many_pages_is_loaded_while_some_of_them_fail() -> None:
    async def main() -> None:
        FailingClient.num_pages = 0
        seen: dict[str, bytes | None] = {}

        def note(change: Change) -> None:
            seen[change.key] = change.value

        async with anyio.create_task_group() as group:
            store = filled_store(group)
            replica = KeyedReplica(FailingClient(store, "node"), PARTITION, 0.5, note)
            group.start_soon(replica.follow)
            # What changes while the pages are read is not lost: one key of a page read before, one removed.
            await anyio.sleep(0.05)
            for key, value in (("0000", b"2"), ("0001", b""), ("0999", b"2")):
                store.do_append(PARTITION, (KeyedRecord(key, value),), None, None)
            with anyio.fail_after(20.0):
                await replica.wait_loaded()
                await replica.barrier(5.0)
            group.cancel_scope.cancel()
        assert len(seen) == NUM_KEYS
        assert (seen["0000"], seen["0001"], seen["0999"], seen["0500"]) == (b"2", None, b"2", b"1")

    run_simulated(main, 1)


def test_the_texts_of_former_owners_are_read_while_some_pages_fail() -> None:
    async def main() -> None:
        FailingClient.num_pages = 0
        async with anyio.create_task_group() as group:
            log = FailingClient(filled_store(group, KEY_PREFIX), "node")
            context: Any = SimpleNamespace(progress=ValueStore(log, (PARTITION,)))
            keeper = TextKeeper(context, cast(OpenItems, None))
            with anyio.fail_after(20.0):
                await keeper.load()
            assert len(keeper._from_former_owners) == NUM_KEYS
            group.cancel_scope.cancel()

    run_simulated(main, 1)


class LaggingLog(LogClient):
    """Client whose second page comes once from a copy that ends before the first page did."""

    num_pages = 0

    async def newest(self, partition: Partition, after: str | None) -> NewestPage:
        page = await super().newest(partition, after)
        self.num_pages += 1
        if self.num_pages != 2:
            return page
        old = tuple(StoredRecord(record.offset, record.key, b"old") for record in page.records)
        return NewestPage(old, page.next_after, page.end - 1)


def test_a_later_page_of_a_copy_that_lags_behind_is_not_used() -> None:
    # A value that had changed before the load stayed old for good, since the log was followed from behind it.
    async def main() -> None:
        seen: dict[str, bytes | None] = {}

        def note(change: Change) -> None:
            seen[change.key] = change.value

        async with anyio.create_task_group() as group:
            replica = KeyedReplica(LaggingLog(filled_store(group), "node"), PARTITION, 0.5, note)
            group.start_soon(replica.follow)
            with anyio.fail_after(20.0):
                await replica.wait_loaded()
            group.cancel_scope.cancel()
        assert set(seen.values()) == {b"1"}

    run_simulated(main, 1)
