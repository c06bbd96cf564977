"""Delay with which a node's copy of a partition gets a record that a caller waits for."""

import random
from typing import Any

import anyio
import pytest

from worksramp.coordination.keyed_replica import Change, KeyedReplica
from worksramp.coordination.shared_log import (
    KeyedRecord,
    LogUnavailableError,
    Partition,
    RecordsGone,
    RecordsRead,
)
from worksramp_emulator.shared_log import LogClient, LogStore
from worksramp_emulator.simulation.clock import run_simulated

PARTITION = Partition("keyed.things", 0)
GATHER_S = 0.2
#: The short pause while a caller waits, plus a read and its answer.
SOON_S = 0.04


def put(store: LogStore, key: str) -> None:
    store.do_append(PARTITION, (KeyedRecord(key, b"1"),), None, None)


async def write_forever(store: LogStore) -> None:
    """Append records of other keys all the time."""
    for number in range(1000):
        put(store, f"other/{number}")
        await anyio.sleep(0.015)


@pytest.mark.parametrize("delay_s", [0.01, 0.05, 0.1, 0.15])
def test_a_waiting_read_gets_its_result_soon_after_it_is_recorded(delay_s: float) -> None:
    """Load pattern: a trainer's read waits for the last text of its step while other texts are recorded."""

    async def main() -> None:
        seen: dict[str, float] = {}

        def note(change: Change) -> None:
            seen[change.key] = anyio.current_time()

        async with anyio.create_task_group() as group:
            store = LogStore(random.Random(1), group)
            replica = KeyedReplica(LogClient(store, "node"), PARTITION, 0.5, note, GATHER_S)
            group.start_soon(replica.follow)
            group.start_soon(write_forever, store)
            await anyio.sleep(1.0)

            async def append_last() -> None:
                await anyio.sleep(delay_s)
                seen["listed"] = anyio.current_time()
                put(store, "last")

            group.start_soon(append_last)
            while "last" not in seen:
                await replica.wait_changed()
            assert seen["last"] - seen["listed"] <= SOON_S
            group.cancel_scope.cancel()

    run_simulated(main, 1)


def test_changes_gather_while_no_caller_waits() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            store = LogStore(random.Random(1), group)
            changes: list[float] = []
            replica = KeyedReplica(
                LogClient(store, "node"),
                PARTITION,
                0.5,
                lambda change: changes.append(anyio.current_time()),
                GATHER_S,
            )
            group.start_soon(replica.follow)
            group.start_soon(write_forever, store)
            await anyio.sleep(4.0)
            assert len(set(changes)) <= 4.0 / GATHER_S + 1
            group.cancel_scope.cancel()

    run_simulated(main, 1)


class LaggingLog(LogClient):
    """Log whose reads are answered by a copy that lacks the newest records while it lags."""

    is_lagging = False

    async def read(
        self, partition: Partition, start: int, wait_seconds: float, max_bytes: int | None = None
    ) -> RecordsRead | RecordsGone:
        if not self.is_lagging:
            return await super().read(partition, start, wait_seconds, max_bytes)
        await anyio.sleep(0.01)
        return RecordsRead((), start - 1)


def test_an_answer_that_ends_before_the_copy_confirms_nothing() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            store = LogStore(random.Random(1), group)
            put(store, "first")
            log = LaggingLog(store, "node")
            replica = KeyedReplica(log, PARTITION, 0.1, lambda change: None)
            group.start_soon(replica.follow)
            await anyio.sleep(1.0)
            assert replica.confirmed_age() < 0.3
            log.is_lagging = True
            await anyio.sleep(2.0)
            assert replica.confirmed_age() >= 1.9
            group.cancel_scope.cancel()

    run_simulated(main, 1)


def reads_while_refused(is_throttled: bool, seconds: float) -> tuple[int, float]:
    """Return how many reads a replica makes while records are written and every other read is refused.

    The second value is the time since the replica last took an outage of the store to have ended.
    """
    count, recovery_age_s = 0, 0.0

    async def main() -> None:
        nonlocal count, recovery_age_s
        async with anyio.create_task_group() as group:
            store = LogStore(random.Random(1), group)
            client = LogClient(store, "node")
            read = client.read

            async def refuse_every_other(*args: Any) -> RecordsRead | RecordsGone:
                nonlocal count
                count += 1
                if count % 2 == 0:
                    raise LogUnavailableError("read", "store", "too many", is_throttled)
                return await read(*args)

            client.read = refuse_every_other  # type: ignore[method-assign, assignment]
            replica = KeyedReplica(client, PARTITION, 0.5, lambda change: None, GATHER_S)
            group.start_soon(replica.follow)
            group.start_soon(write_forever, store)
            await anyio.sleep(seconds)
            recovery_age_s = replica.store_recovery_age()
            group.cancel_scope.cancel()

    run_simulated(main, 1)
    return count, recovery_age_s


def test_a_node_whose_reads_are_refused_as_too_many_reads_less_often() -> None:
    """Load pattern: 300 nodes read 3,300 times a second from a store that allows 2,000."""
    assert reads_while_refused(True, 10.0)[0] <= 0.6 * reads_while_refused(False, 10.0)[0]


def test_a_refusal_of_too_many_reads_is_no_outage() -> None:
    """Each end of an outage delays the claim of a lease; refused many times a second, no node claimed one."""
    assert reads_while_refused(True, 5.0)[1] == float("inf")
    assert reads_while_refused(False, 5.0)[1] < 1.0
