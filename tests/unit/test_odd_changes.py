"""Records of the nodes' own topics that no node has written, or not in this form.

All folds of a partition take the same records. One that cannot be read has to be skipped by each of them, and
what they hold afterwards has to serve every later decision.
"""

import contextlib
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.log_lease import OwnerRecord, latest_order_at, may_order, next_epoch
from worksramp.coordination.record_guard import MAX_LOGGED, RecordGuard
from worksramp.coordination.shared_log import KeyedRecord, Partition
from worksramp.duties.scaling import ZoneBaselines
from worksramp.duties.usage import UsageReports, UsageTally, UsageTimes, windows_to_fix
from worksramp.rollout.batch_values import value_tombstones
from worksramp.rollout.batches import BatchHeader, BatchItem, BatchLedger, GeneratedText, batch_tombstones
from worksramp.routing.crash_ledger import CrashLedger
from worksramp.wire import decode, encode

PARTITION = Partition("batches", 0)
TIMES = UsageTimes(1.0, 1.0)
HEADER: list[Any] = ["x", "h", "/p/", 1.0, ["i1", "i2"], ["", ""], 0, "m", 1, 1, [0, 1], [5, 5], ""]
RESULT: list[Any] = ["i1", True, [1], 1, [3], [4], None]
GOOD: dict[str, Any] = {
    "b/x": HEADER, "r/x/0": RESULT, "e/x": 1, "owner": ["n", "b", 3, 1, False, 2, "n", 0.5],
    "crash/f/c/n": ["f", "c", "n", True], "u/7": [7, {"t": 1}, False], "c/7/n.b": {"t": 1},
    "z/s/zone": ["s", "zone", 3],
}  # fmt: skip
ODD_KEYS = ["r/x/abc", "r/x/", "r/x/\u00b2", "r/x/-1", "r/x/2", "r", "b", "u/x", "u/\u00b2", "c/\u00b2/n",
            "crash", "crash/f", "z/", "", "/", "x" * 255, "\\xff"]  # fmt: skip
NOT_IN_ANY = [
    b"",
    b"\xff",
    b"\xc1",
    b"\x91" * 100_000,
    b"\xdd\xff\xff\xff\xff",
    b"\xdc\x00\x20" + b"\x91" * 100_000,
]

Values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=6)
    | st.binary(max_size=6),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=8,
)


class Folds:
    """All folds of the partition of batches and of that of usage counts."""

    def __init__(self) -> None:
        self.ledger, self.crashes = BatchLedger(), CrashLedger()
        self.reports, self.baselines, self.tally = UsageReports(), ZoneBaselines(), UsageTally()
        self.owner: OwnerRecord | None = None
        self.skipped: list[str] = []
        self.guards = [
            RecordGuard(PARTITION, apply, self.skipped.append)
            for apply in (
                self.ledger.apply,
                lambda change: self.crashes.apply(change, 1.0),
                self._apply_duty,
                self.tally.apply,
                self._apply_owner,
            )
        ]

    def _apply_duty(self, change: Change) -> None:
        _ = self.reports.apply(change) or self.baselines.apply(change)

    def _apply_owner(self, change: Change) -> None:
        if change.key == "owner" and change.value is not None:
            self.owner = decode(change.value, OwnerRecord)

    def apply(self, key: str, value: bytes) -> None:
        for guard in self.guards:
            guard.apply(Change(key, value or None, 1))

    def use(self) -> list[KeyedRecord]:
        """Take every decision that depends on the folds, and encode what it writes."""
        records: list[KeyedRecord] = []
        for batch in self.ledger.batches.values():
            assert batch.is_open in (True, False) and len(batch.results) <= len(batch.header.item_ids)
            batch.positions_from(0, 1000)
            records += [*value_tombstones(batch), *batch_tombstones(batch)]
            encode(batch.header)
        for name in ("f", "g"):
            self.crashes.is_quarantined(name)
        records += [record.as_tombstone() for record in self.crashes.drop("f")]
        self.reports.unconfirmed()
        encode(self.tally.total(7))
        windows_to_fix(self.reports.newest, 0, 10.0, TIMES)
        if self.owner is not None:
            order_at = latest_order_at(self.owner, "me", 100.0)
            assert may_order(1e18, order_at, 1e18, LEASE_TIMES) and next_epoch(self.owner) > 1
        return records


class _LeaseTimes:
    order_guard = 1.0
    order_validity = 1.0


LEASE_TIMES: Any = _LeaseTimes()


def put_good(folds: Folds) -> None:
    for key, value in GOOD.items():
        folds.apply(key, msgspec.msgpack.encode(value))


def changed(key: str, place: int, value: object) -> bytes:
    fields = GOOD[key]
    if not isinstance(fields, list):
        return msgspec.msgpack.encode(value)
    place %= len(fields)
    return msgspec.msgpack.encode([*fields[:place], value, *fields[place + 1 :]])


def test_records_as_nodes_write_them_are_all_read() -> None:
    folds = Folds()
    put_good(folds)
    folds.use()
    assert folds.skipped == []
    assert folds.ledger.batches["x"].results[0].item_id == "i1"
    assert (folds.tally.total(7), folds.reports.newest, folds.baselines.by_pool) == (
        {"t": 1},
        7,
        {("s", "zone"): 3},
    )


# The error of one record ended the task that follows the partition, at all nodes.
@pytest.mark.parametrize("key", [*GOOD, *ODD_KEYS])
def test_an_odd_record_is_skipped_and_the_later_ones_are_read(key: str) -> None:
    for is_first in (True, False):
        folds = Folds()
        if not is_first:
            put_good(folds)
        for value in NOT_IN_ANY:
            folds.apply(key, value)
        put_good(folds)
        folds.use()
        assert folds.ledger.batches["x"].num_results == 1 and folds.owner is not None


@given(st.sampled_from(sorted(GOOD)), st.integers(0, 12), Values, st.booleans())
@settings(derandomize=True, max_examples=500, deadline=None)
def test_any_value_in_any_field_of_a_record_leaves_usable_state(
    key: str, place: int, value: object, is_first: bool
) -> None:
    folds = Folds()
    if not is_first:
        put_good(folds)
    folds.apply(key, changed(key, place, value))
    folds.use()


@given(
    st.text(max_size=8),
    st.sampled_from(["", "b/", "r/x/", "e/", "crash/", "u/", "c/", "z/"]),
    st.binary(max_size=40),
)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_any_key_and_any_bytes_leave_usable_state(name: str, prefix: str, value: bytes) -> None:
    folds = Folds()
    put_good(folds)
    folds.apply(prefix + name, value)
    folds.use()


OUT_OF_RANGE: list[tuple[str, dict[int, Any]]] = [
    ("b/x", {4: ["i1"]}),
    ("b/x", {5: [""]}),
    ("b/x", {10: []}),
    ("b/x", {11: [5]}),
    ("b/x", {0: "y"}),
    ("b/x", {10: [0, -1]}),
    ("b/x", {10: [0, 2**63]}),
    ("b/x", {3: float("nan")}),
    ("b/x", {3: float("inf")}),
    ("r/x/0", {4: [1, 2]}),
    ("r/x/0", {2: [2**64 - 1]}),
    ("owner", {2: 0}),
    ("owner", {2: 2**63}),
    ("owner", {5: -1}),
    ("owner", {7: float("nan")}),
    ("owner", {7: float("-inf")}),
    ("crash/f/c/n", {0: "g"}),
    ("u/7", {0: 8}),
    ("u/7", {1: {"t": -1}}),
    ("z/s/zone", {2: 2**63}),
]


@pytest.mark.parametrize(("key", "changes"), OUT_OF_RANGE)
def test_a_record_that_contradicts_itself_or_is_out_of_range_is_skipped(
    key: str, changes: dict[int, Any]
) -> None:
    fields = [changes.get(place, value) for place, value in enumerate(GOOD[key])]
    folds = Folds()
    folds.apply(key, msgspec.msgpack.encode(fields))
    assert folds.skipped


# The owner counts results to find the next position: a further one would leave a gap that no reader passes.
def test_a_result_beyond_the_items_of_its_batch_is_skipped() -> None:
    for is_first in (True, False):
        folds = Folds()
        if not is_first:
            put_good(folds)
        folds.apply("r/x/2", msgspec.msgpack.encode(RESULT))
        put_good(folds)
        assert folds.ledger.batches["x"].num_results == 1


@given(
    st.sampled_from([BatchHeader, BatchItem, GeneratedText, OwnerRecord]),
    st.binary(max_size=60) | Values.map(msgspec.msgpack.encode),
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_decoding_raises_errors_of_decoding_only(kind: type[Any], data: bytes) -> None:
    for value in (data, data + b"\x91" * 50_000):
        with contextlib.suppress(msgspec.DecodeError):
            decode(value, kind)


def test_the_log_lines_about_odd_records_are_bounded(capsys: pytest.CaptureFixture[str]) -> None:
    folds = Folds()
    for number in range(5000):
        folds.apply(f"b/{number}", b"\xff")
    assert len(folds.skipped) == 5000
    assert capsys.readouterr().out.count("record_unreadable") <= MAX_LOGGED
