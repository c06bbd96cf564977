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
from worksramp_platform.documents import StoreRecords
from worksramp_platform.workers import PlatformWorkers

from tests.platform.test_callers import CONFIGURATION
from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord, Partition
from worksramp.edge.node import EdgeNode
from worksramp.edge.ports import UnreadableRecord
from worksramp.edge.settings import EdgeSettings, StoreSettings
from worksramp.logs import configure_logs
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
