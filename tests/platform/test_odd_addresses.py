"""An address or id of an entry that is accepted but cannot be called.

Reports, orders and checks of listeners are called in the owner's tasks. An error of another kind than those
of a call would end the process, at each node that becomes the owner, again after every restart.
"""

import json

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from worksramp_platform.documents import StoreRecords
from worksramp_platform.workers import PlatformWorkers

from worksramp.coordination.keyed_replica import Change
from worksramp.edge.ports import RecordFault, UnreadableRecord, WorkerSeen
from worksramp.routing.worker_port import (
    RunsDuringLoad,
    VersionOrder,
    WorkerAnswerBrokenError,
    WorkerRequest,
    WorkerUnreachableError,
)
from worksramp.routing.workers import WorkerEntry

ORDER = VersionOrder("m", 2, RunsDuringLoad.CONTINUE, "node", 1, None)
REQUEST = WorkerRequest("r-1", "GET", b"/", (), b"", 0.5)
UNCALLABLE = ["fe80::1%\x00:8080", "fe80::1%é:8080", "fe80::1%a\r\nb:8080", "fe80::1%no-such-link:8080",
              "10.128.0.9:8080\r\n", "10.128.0.9: 80", " 10.128.0.9:80", "10.128.0.9:0", "10.128.0.9:65536",
              "worker.example:8080", "localhost:8080", "[::1]:8080", "10.128.0.9:٣"]  # fmt: skip
ODD_IDS = ["", "i-1\r\nx: y", "i-1\x00", " i-1", "i-1 ", "i-é", "i-\u2028", "i" * 256]


def event_of(worker_id: str, address: str) -> WorkerSeen | UnreadableRecord:
    record = {"service": "fleet", "address": address, "slots": 8, "state": "ready",
              "models": [{"name": "m", "version": 1}]}  # fmt: skip
    event = StoreRecords().worker_event(Change(worker_id, json.dumps(record).encode(), 1))
    assert isinstance(event, WorkerSeen | UnreadableRecord)
    return event


async def call_in_every_way(entry: WorkerEntry) -> None:
    workers = PlatformWorkers()
    with anyio.move_on_after(2.0):
        await workers.report(entry)
        await workers.order_version(entry, ORDER)
        await workers.listener_state(entry)
        try:
            async with workers.send(entry, REQUEST):
                pass
        except (WorkerUnreachableError, WorkerAnswerBrokenError):
            pass


@pytest.mark.parametrize("address", UNCALLABLE)
def test_an_address_that_cannot_be_called_is_refused_by_name(address: str) -> None:
    event = event_of("i-1", address)
    assert isinstance(event, UnreadableRecord) and event.fault is RecordFault.BAD_VALUE
    assert event.reason.startswith("address: ")


@pytest.mark.parametrize("worker_id", ODD_IDS)
def test_an_id_that_cannot_be_sent_in_a_header_is_refused(worker_id: str) -> None:
    event = event_of(worker_id, "127.0.0.1:9")
    assert isinstance(event, UnreadableRecord) and event.fault is RecordFault.BAD_VALUE


# Scope ids of IPv6 addresses may hold any text, which name resolution refuses with errors of its own.
@given(
    st.builds(
        "{}{}:{}".format,
        st.sampled_from(["fe80::1%", "::1", "::1%", "127.0.0.1", "0.0.0.0", "255.255.255.255", "224.0.0.1"]),
        st.text(max_size=4),
        st.sampled_from(["1", "9", "65535", "1\n", "\uff19"]),
    ),
    st.text(max_size=3).map("i-{}".format),
)
@settings(derandomize=True, max_examples=60, deadline=None)
def test_calls_to_any_accepted_address_raise_only_errors_of_calls(address: str, worker_id: str) -> None:
    event = event_of(worker_id, address)
    if isinstance(event, WorkerSeen):
        anyio.run(call_in_every_way, event.entry)


@pytest.mark.parametrize(
    "address",
    ["255.255.255.255:80", "224.0.0.1:80", "0.0.0.0:1", "127.0.0.1:1", "::1:1", "::ffff:127.0.0.1:1"],
)
def test_calls_to_addresses_of_no_single_machine_raise_only_errors_of_calls(address: str) -> None:
    event = event_of("i-1", address)
    if isinstance(event, WorkerSeen):
        anyio.run(call_in_every_way, event.entry)
