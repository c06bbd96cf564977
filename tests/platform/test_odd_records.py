"""Odd records in a topic that a running node follows or reads.

All nodes read the same records. One that ends the tasks of one node ends those of all, again after every
restart, so each test puts odd records before a node that runs, and again before one that starts.
"""

import json
import random
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import msgspec
import pytest
from worksramp_platform.documents import StoreRecords
from worksramp_platform.workers import PlatformWorkers

from tests.platform.test_callers import CONFIGURATION
from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import Fence, KeyedRecord, Partition
from worksramp.edge.node import EdgeNode
from worksramp.edge.ports import UnreadableRecord
from worksramp.edge.settings import EdgeSettings, StoreSettings
from worksramp.logs import configure_logs
from worksramp.rollout.batch_service import NotSure
from worksramp.rollout.batches import BatchHeader, ResultRecord
from worksramp.wire import encode
from worksramp_emulator.shared_log import LogClient, LogStore

RECORDS = StoreRecords()
ENTRY = {"service": "fleet", "address": "127.0.0.1:1", "slots": 8, "state": "ready",
         "models": [{"name": "m", "version": 1}]}  # fmt: skip
#: Several ticks of the owner's tasks, which act on what was read.
TASKS_BEGIN_S = 0.15
Records = Iterable[tuple[str, bytes]]


def body(**fields: Any) -> bytes:
    return json.dumps(fields).encode()


def entry(**changes: Any) -> bytes:
    return body(**(ENTRY | changes))


class Machines:
    """A store and nodes that call workers over HTTP."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self.store = LogStore(random.Random(1), group)
        self.put(RECORDS.control, [("config", body(**CONFIGURATION))])
        self.put(RECORDS.control, [("version/m", body(model="m", version=2))])

    def put(self, partition: Partition, records: Records) -> None:
        for key, value in records:
            self.store.do_append(partition, (KeyedRecord(key, value),), None, None)

    @asynccontextmanager
    async def owner(self) -> AsyncIterator[EdgeNode]:
        """Run a process of the one machine, from its start as an owner on."""
        node = EdgeNode(
            EdgeSettings("node", "z", "127.0.0.1:8001", StoreSettings("127.0.0.1:2"), "127.0.0.1:8002"),
            LogClient(self.store, "node"),
            PlatformWorkers(),
            RECORDS,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(node.run)
            await until(lambda: node.is_ready and node.shard.is_owner)
            yield node
            group.cancel_scope.cancel()


async def until(holds: Callable[[], bool]) -> None:
    with anyio.fail_after(20):
        while not holds():
            await anyio.sleep(0.01)


@asynccontextmanager
async def machines() -> AsyncIterator[Machines]:
    configure_logs("critical")
    async with anyio.create_task_group() as group:
        yield Machines(group)
        group.cancel_scope.cancel()


def follows_and_restarts_among(
    partition: Partition, odd: Records, later: tuple[str, bytes], is_followed: Callable[[EdgeNode], bool]
) -> None:
    """Check that a node follows a later record behind odd ones, and that another starts among them all."""
    odd = list(odd)

    async def main() -> None:
        async with machines() as deployment:
            async with deployment.owner() as node:
                deployment.put(partition, [*odd, later])
                await until(lambda: is_followed(node))
                deployment.put(partition, [*odd, later])
                await anyio.sleep(TASKS_BEGIN_S)
            async with deployment.owner() as restarted:
                await until(lambda: is_followed(restarted))
                await anyio.sleep(TASKS_BEGIN_S)

    anyio.run(main)


def is_usable(worker_id: str) -> Callable[[EdgeNode], bool]:
    return lambda node: node.directory.is_usable(worker_id)


ODD_ENTRIES: list[bytes] = [
    entry(address="fe80::1%\x00:8080"),
    entry(address="fe80::1%é:8080"),
    entry(models=[{"name": "m", "version": 2**53}]),
    entry(models=[{"name": "m", "version": -1}]),
    entry(models=[{"name": "m", "version": 10**400}]),
    entry(models=[{"name": "m", "version": 1.5}]),
    entry(models=[{"name": "m" * 100_000, "version": 1}]),
    entry(models=[{"name": f"m{number}", "version": 1} for number in range(5000)]),
    entry(models=[{"name": "m", "version": 1}, {"name": "m", "version": 9}]),
    entry(models={"m": 1}),
    entry(models=[["m", 1]]),
    entry(models=[None]),
    entry(slots=10**18),
    entry(coldLeftMs=10**30),
    entry(seq=2**53),
    entry(born=2**53),
    entry(zone="z" * 200_000),
    entry(zone="é" * 200),
    entry(service="é" * 60, zone="z" * 130),
    b'{"service":"fleet","models":' + b"[" * 100_000,
    b'{"service":"fleet","slots":1e999}',
    b'{"service":"fleet","slots":NaN}',
    b'{"service":"fleet","slots":' + b"9" * 5000 + b"}",
]


# A name of an address that the client library cannot resolve raised its own error in the owner's tasks.
def test_odd_entries_of_a_model_service_end_no_owner() -> None:
    odd = [(f"odd-{number}", value) for number, value in enumerate(ODD_ENTRIES)]
    follows_and_restarts_among(RECORDS.workers, odd, ("w-1", entry()), is_usable("w-1"))


TABLE: dict[str, Any] = CONFIGURATION | {"version": 2}


def changed(part: str, **changes: Any) -> bytes:
    """Return the configuration with odd values in its first route or service, or in its limits."""
    if part == "limits":
        return body(**(TABLE | {"limits": changes}))
    first, *others = TABLE[part]
    return body(**(TABLE | {part: [first | changes, *others]}))


HUGE = 10**400
ODD_CONFIGURATIONS: list[bytes] = [
    *(
        changed("services", engine={"models": [{"name": "m"}], name: value})
        for name in ("slots", "kvCapacity", "stride")
        for value in (HUGE, -(10**18))
    ),
    *(changed("services", maxConns=value) for value in (HUGE, -1)),
    *(changed("routes", **{name: value}) for name in ("maxAttempts", "priority") for value in (HUGE, -HUGE)),
    *(
        changed("routes", **{name: value})
        for name in ("sloMs", "timeoutMs", "keepS", "runTargetMs")
        for value in (-1, 1e308)
    ),
    changed("routes", split=[{"service": "fleet", "weight": 1e308}, {"service": "desk", "weight": 1e308}]),
    *(
        changed("limits", **{name: value})
        for name in ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs")
        for value in (-1, 10**300)
    ),
    *(body(**(TABLE | {"version": value})) for value in (HUGE, -1, 2**53 + 1)),
    b'{"version":2,"routes":' + b"[" * 100_000,
    b'{"version":' + b"9" * 5000 + b',"routes":[]}',
    b"\xff",
    b"null",
]


# An odd configuration was put in force as it stood, and its values failed where they were first used.
def test_an_odd_configuration_leaves_the_last_good_one_in_force() -> None:
    for odd in ODD_CONFIGURATIONS:
        event = RECORDS.control_event(Change("config", odd, 1))
        assert isinstance(event, UnreadableRecord) and event.reason, odd[:200]


def test_a_node_follows_the_configuration_behind_odd_ones() -> None:
    odd = [("config", value) for value in ODD_CONFIGURATIONS]
    good = ("config", body(**(CONFIGURATION | {"version": 7})))

    async def main() -> None:
        async with machines() as deployment, deployment.owner() as node:
            for record in odd:
                deployment.put(RECORDS.control, [record])
            await anyio.sleep(TASKS_BEGIN_S)
            assert node.table.current is not None and node.table.current.version == 1
            deployment.put(RECORDS.control, [good])
            await until(lambda: node.table.current is not None and node.table.current.version == 7)

    anyio.run(main)


ODD_VERSIONS = [HUGE, 2**64, 2**53 + 1, -1, 0, 1.5, "2", None, True, [2]]


# A version that no worker can hold was ordered for ever, and the versions named after it were not.
def test_a_version_too_large_does_not_hide_the_next_one() -> None:
    odd = [("version/m", body(model="m", version=value)) for value in ODD_VERSIONS]
    odd += [("version/m", b"\xff"), ("version/", b"{}"), ("version/m", body(model="m" * 1000, version=2))]
    odd += [("version/m", body(model="other", version=9)), ("", b"\x00"), ("version/é/" + "x" * 200, b"[[")]

    follows_and_restarts_among(
        RECORDS.control,
        odd,
        ("version/m", body(model="m", version=3)),
        lambda node: node.named_versions == {"m": 3},
    )


def header(batch_id: str, **changes: Any) -> bytes:
    good = BatchHeader(
        batch_id, "shop.example", "/drafts/x", 1.0, ("i1",), ("",), item_offsets=(0,), item_sizes_b=(9,)
    )
    return encode(msgspec.structs.replace(good, **changes))


DEEP = b"\x91" * 100_000
ODD_BATCHES = [
    ("b/x1", b"\xff"),
    ("b/x2", header("x2", item_offsets=())),
    ("b/x3", header("x3", groups=())),
    ("b/x4", header("x4", submitted_at=float("nan"))),
    ("b/x5", header("other")),
    ("b/x6", b"\xdc\x00\x20" + DEEP),
    ("b/x7", header("x7", min_version=2**64 - 1)),
    ("r/x8/0", b"\xff"),
    ("b/x8", header("x8")),
    ("r/x8/abc", b"\x90"),
    ("r/x8/\u00b2", b"\x90"),
    ("r/x8", b"\x90"),
    ("r/x8/" + "9" * 200, b"\x90"),
    ("e/x8", b"\xff"),
    ("crash", b"\x00"),
    ("crash/f/c/n", b"\xff"),
    ("u/x", b"\x90"),
    ("z/a/b", b"\xff"),
    ("", DEEP),
    ("x" * 255, b"\x00"),
    ("\\xff\\xfe", b"\xff"),
]


def knows(batch_id: str) -> Callable[[EdgeNode], bool]:
    return lambda node: batch_id in node.shard.ledger.batches


# The error of one record ended the task that follows the batches, at all nodes and after every restart.
def test_odd_records_of_batches_are_skipped_and_counted() -> None:
    def is_followed(node: EdgeNode) -> bool:
        labels = {"topic": RECORDS.batches.topic}
        num_skipped = node.metrics.registry.get_sample_value("worksramp_records_unreadable_total", labels)
        return knows("good")(node) and bool(num_skipped)

    follows_and_restarts_among(RECORDS.batches, ODD_BATCHES, ("b/good", header("good")), is_followed)


# The items of a batch and the texts of former owners are read by the owner, not followed.
@pytest.mark.parametrize("value", [b"\xff", DEEP, b"\x90", b"\xc0"], ids=["bytes", "deep", "empty", "none"])
def test_odd_items_and_texts_end_no_owner(value: bytes) -> None:
    batch = ("b/x", header("x"))
    texts = [("p/i1", value), ("", value), ("x" * 255, value), ("q/i1", value)]

    async def main() -> None:
        async with machines() as deployment:
            deployment.put(RECORDS.progress, texts)
            deployment.put(RECORDS.values[0], [("i/x/000000", value), ("", value)])
            deployment.put(RECORDS.workers, [("w-1", entry())])
            for _ in range(2):
                async with deployment.owner() as node:
                    deployment.put(RECORDS.batches, [batch, ("b/good", header("good"))])
                    await until(lambda: knows("good")(node))
                    await anyio.sleep(TASKS_BEGIN_S)
                    item = await node.batches.item("x", "i1")
                    assert isinstance(item, NotSure)

    anyio.run(main)


# A text that was listed stands in a value that a caller's read decodes.
def test_a_listed_text_that_is_not_utf8_is_no_answer() -> None:
    result = encode(ResultRecord("i1", True, (1,), 1, (1,), (2,)))

    async def main() -> None:
        async with machines() as deployment, deployment.owner() as node:
            deployment.put(RECORDS.values[0], [("i/x/000000", b"\xff"), ("t/x/000000/1/0000", b"\xff\xfe")])
            deployment.put(RECORDS.batches, [("b/x", header("x")), ("r/x/0", result)])
            await until(lambda: knows("x")(node))
            assert isinstance(await node.batches.read("x", 0, 0.0), NotSure)

    anyio.run(main)


ODD_OWNER_FIELDS: list[list[Any]] = [
    [0],
    [-5],
    [2**63],
    [1, 0, False, 3, "x", float("nan")],
    [1, 0, False, 3, "x", float("inf")],
]
ODD_OWNERS = [
    b"\xff",
    b"\x90",
    DEEP,
    *(msgspec.msgpack.encode(["other", "boot", *fields]) for fields in ODD_OWNER_FIELDS),
]


# A record of the owner that cannot be read ended the owner, and each node that followed it.
def test_odd_records_of_an_owner_change_no_owner() -> None:
    async def main() -> None:
        async with machines() as deployment, deployment.owner() as node:
            before = node.shard.owner_record
            assert before is not None
            deployment.put(RECORDS.batches, [("owner", value) for value in ODD_OWNERS])
            deployment.put(RECORDS.batches, [("b/good", header("good"))])
            await until(lambda: knows("good")(node))
            record = node.shard.owner_record
            assert record is not None and (record.node, record.epoch) == (before.node, before.epoch)
            assert node.shard.is_owner

    anyio.run(main)


# Every process claimed the first epoch, which the store refused for good, so the batches had no owner.
@pytest.mark.parametrize(
    "value", [b"\xff", msgspec.msgpack.encode(["n", "b", -5])], ids=["bytes", "negative"]
)
def test_processes_that_start_with_an_odd_record_of_the_owner_find_an_owner(value: bytes) -> None:
    async def main() -> None:
        async with machines() as deployment:
            owned = Fence("owner", 2, 7)
            deployment.store.do_append(RECORDS.batches, (KeyedRecord("owner", value),), owned, None)
            async with deployment.owner() as node:
                assert node.shard.epoch > 2
                # The owner that nobody knows may have sent an order just before.
                assert not node.shard.may_order()

    anyio.run(main)


# Thousands of records came in one answer; nothing else ran until all of them were applied.
def test_other_work_goes_on_while_very_many_entries_are_read() -> None:
    num_turns_within_reads = 0

    async def main() -> None:
        nonlocal num_turns_within_reads
        async with machines() as deployment, deployment.owner() as node:
            deployment.put(RECORDS.workers, [(f"odd-{number}", b"{") for number in range(5000)])
            deployment.put(RECORDS.workers, [("w-1", entry())])
            while not node.directory.is_usable("w-1"):
                labels = {"fault": "malformed"}
                num_refused = node.metrics.registry.get_sample_value(
                    "worksramp_entries_refused_total", labels
                )
                num_turns_within_reads += 0 < (num_refused or 0) < 5000
                await anyio.lowlevel.checkpoint()

    anyio.run(main)
    assert num_turns_within_reads >= 10
