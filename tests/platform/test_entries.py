"""Worker entries that are invalid, or that a writer other than a worker has made.

All nodes read the same entries. An entry that stops the reader of one node therefore stops it on all nodes,
and again after each restart.
"""

import json
import struct
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from worksramp_platform.documents import StoreRecords
from worksramp_platform.lots import decode_lot
from worksramp_platform.store import decode_records

from worksramp.coordination.keyed_replica import Change
from worksramp.edge.ports import RecordFault, UnreadableRecord, WorkerSeen
from worksramp.routing.workers import START_UNKNOWN

HUGE = 10**400
ENTRY = {
    "service": "fleet",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "coldLeftMs": 0,
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "seq": 4,
    "born": 1765000000123,
}
TOO_DEEP = b"[" * 100_000

Values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)


def entry(**changes: object) -> bytes:
    return json.dumps({**ENTRY, **changes}).encode()


def without(field: str) -> bytes:
    return json.dumps({name: value for name, value in ENTRY.items() if name != field}).encode()


def fault_of(data: bytes) -> RecordFault | None:
    event = StoreRecords().worker_event(Change("i-1", data, 1))
    return event.fault if isinstance(event, UnreadableRecord) else None


def test_a_valid_entry_is_accepted() -> None:
    assert fault_of(entry()) is None
    assert fault_of(entry(state="draining", newField={"is": "passed over"})) is None


def test_an_entry_may_omit_the_start_of_its_worker() -> None:
    event = StoreRecords().worker_event(Change("i-1", without("born"), 1))
    assert isinstance(event, WorkerSeen) and event.entry.started_ms == START_UNKNOWN


@pytest.mark.parametrize("field", ["service", "address", "slots", "state"])
def test_an_entry_without_a_required_field_is_refused(field: str) -> None:
    assert fault_of(without(field)) is RecordFault.BAD_VALUE


@pytest.mark.parametrize(
    ("field", "value", "fault"),
    [
        ("born", 1765000000123.5, RecordFault.BAD_VALUE),
        ("born", "1765000000123", RecordFault.BAD_VALUE),
        ("born", HUGE, RecordFault.BAD_VALUE),
        ("born", -1, RecordFault.BAD_VALUE),
        ("born", 0, RecordFault.BAD_VALUE),
        ("slots", 10**9, RecordFault.BAD_VALUE),
        ("slots", 0, RecordFault.BAD_VALUE),
        ("slots", HUGE, RecordFault.BAD_VALUE),
        ("slots", True, RecordFault.BAD_VALUE),
        ("seq", HUGE, RecordFault.BAD_VALUE),
        ("address", "10.128.0.9", RecordFault.BAD_VALUE),
        ("address", "10.128.0.9:99999", RecordFault.BAD_VALUE),
        ("address", "10.128.0.9:-1", RecordFault.BAD_VALUE),
        ("address", ":80", RecordFault.BAD_VALUE),
        ("address", "a b\r\n:80", RecordFault.BAD_VALUE),
        ("service", "", RecordFault.BAD_VALUE),
        ("state", "resting", RecordFault.UNKNOWN_STATE),
        ("models", [{"name": "m", "version": -1}], RecordFault.BAD_VALUE),
        ("models", [{"name": "m", "version": HUGE}], RecordFault.BAD_VALUE),
    ],
    ids=lambda value: str(value)[:24],
)
def test_an_entry_with_an_invalid_value_is_refused(field: str, value: object, fault: RecordFault) -> None:
    assert fault_of(entry(**{field: value})) is fault


@pytest.mark.parametrize("data", [b'{"x":' + TOO_DEEP, b"\xff\xfe", b'{"service":"\xff"}', b"", b"{"])
def test_undecodable_bytes_are_refused(data: bytes) -> None:
    assert fault_of(data) is RecordFault.MALFORMED


@pytest.mark.parametrize("data", [b"[]", b"7", b"null", b"{}"])
def test_values_of_other_types_are_refused(data: bytes) -> None:
    assert fault_of(data) is RecordFault.BAD_VALUE


@given(st.binary(max_size=200))
@settings(derandomize=True, max_examples=300)
def test_decoding_arbitrary_bytes_raises_no_error(data: bytes) -> None:
    records = StoreRecords()
    for decode in (records.worker_event, records.control_event):
        for key in ("i-1", "config", "version/m"):
            decode(Change(key, data, 1))


@given(st.sampled_from(sorted(ENTRY)), Values)
@settings(derandomize=True, max_examples=400)
def test_decoding_any_value_of_any_field_raises_no_error(field: str, value: object) -> None:
    data = json.dumps({**ENTRY, field: value}).encode()
    event = StoreRecords().worker_event(Change("i-1", data, 1))
    assert isinstance(event, WorkerSeen | UnreadableRecord)


@pytest.mark.parametrize("key", ["config", "version/m"])
def test_a_too_deeply_nested_record_is_unreadable(key: str) -> None:
    assert isinstance(StoreRecords().control_event(Change(key, b'{"x":' + TOO_DEEP, 1)), UnreadableRecord)


def test_a_too_deeply_nested_batch_is_malformed() -> None:
    with pytest.raises(ValueError, match="nested"):
        decode_lot(b'{"x":' + TOO_DEEP)


def record(body: bytes) -> bytes:
    return struct.pack(">I", len(body)) + body


@pytest.mark.parametrize(
    "body", [b"", b"\x00", b"\x02\xff\xfe value", b"\xffshort"], ids=["empty", "no_key", "no_text", "cut"]
)
def test_a_record_with_an_undecodable_key_keeps_the_offsets_of_the_others(body: bytes) -> None:
    good: Callable[[bytes], bytes] = lambda key: record(bytes([len(key)]) + key + b"value")  # noqa: E731
    records = decode_records(good(b"a") + record(body) + good(b"b"), 7)
    by_key = {decoded.key: decoded.offset for decoded in records}
    assert (by_key["a"], by_key["b"]) == (7, 9)


@given(st.binary(max_size=64))
@settings(derandomize=True, max_examples=300)
def test_decoding_any_answer_of_the_store_raises_no_error(data: bytes) -> None:
    decode_records(data, 0)
    decode_records(record(data), 0)
