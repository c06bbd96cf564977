"""The log fold: the order of records decides, also with duplicates, delays and a previous owner's writes."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from worksramp.coordination.fold import (
    Accepted,
    Claim,
    Envelope,
    Release,
    StreamFold,
    Void,
    Write,
    restore_snapshot,
    take_snapshot,
)


class Entries(msgspec.Struct):
    """State that records which entries and epochs took effect."""

    accepted: list[bytes] = []
    epochs: list[int] = []

    def begin_epoch(self, epoch: int) -> None:
        self.epochs.append(epoch)

    def apply_entry(self, offset: int, epoch: int, entry: bytes) -> str | None:
        self.accepted.append(entry)
        return None


def fold_of(*envelopes: Envelope) -> tuple[StreamFold[Entries], list[str]]:
    fold = StreamFold(Entries())
    verdicts = [
        type(fold.apply(offset, msgspec.msgpack.encode(envelope)).verdict).__name__
        for offset, envelope in enumerate(envelopes)
    ]
    return fold, verdicts


def test_writes_of_a_previous_owner_are_void() -> None:
    fold, verdicts = fold_of(
        Envelope(1, "a", Claim()),
        Envelope(1, "a", Write(1, (b"one",))),
        Envelope(2, "b", Claim()),
        Envelope(1, "a", Write(2, (b"late",))),
        Envelope(2, "b", Write(1, (b"two",))),
    )
    assert verdicts == ["Accepted", "Accepted", "Accepted", "Void", "Accepted"]
    assert fold.state.accepted == [b"one", b"two"]


def test_a_write_appended_twice_takes_effect_once() -> None:
    write = Envelope(1, "a", Write(1, (b"one",)))
    fold, verdicts = fold_of(Envelope(1, "a", Claim()), write, write)
    assert verdicts == ["Accepted", "Accepted", "Void"]
    assert fold.state.accepted == [b"one"]


def test_the_first_of_two_claims_of_an_epoch_is_accepted() -> None:
    fold, verdicts = fold_of(Envelope(1, "a", Claim()), Envelope(1, "b", Claim()))
    assert verdicts == ["Accepted", "Void"]
    assert fold.ownership.is_held_by("a")


def test_writes_after_a_release_are_void() -> None:
    fold, verdicts = fold_of(
        Envelope(1, "a", Claim()), Envelope(1, "a", Release()), Envelope(1, "a", Write(1, (b"x",)))
    )
    assert verdicts == ["Accepted", "Accepted", "Void"]
    assert fold.ownership.is_released


def test_an_undecodable_record_is_void_and_does_not_stop_the_fold() -> None:
    fold = StreamFold(Entries())
    assert isinstance(fold.apply(0, b"\xc1 not msgpack").verdict, Void)
    assert isinstance(fold.apply(1, msgspec.msgpack.encode(Envelope(1, "a", Claim()))).verdict, Accepted)


WRITERS = st.sampled_from(["a", "b", "c"])
BODIES = st.one_of(
    st.just(Claim()),
    st.just(Release()),
    st.builds(Write, st.integers(1, 3), st.tuples(st.binary(min_size=1, max_size=2))),
)
RECORDS = st.lists(st.builds(Envelope, st.integers(1, 4), WRITERS, BODIES), max_size=30)


@settings(derandomize=True, max_examples=200)
@given(RECORDS, st.integers(0, 30))
def test_a_reader_from_a_snapshot_agrees_with_one_from_the_start(
    envelopes: list[Envelope], snapshot_offset: int
) -> None:
    records = [msgspec.msgpack.encode(envelope) for envelope in envelopes]
    from_start = StreamFold(Entries())
    resumed = StreamFold(Entries())
    for offset, record in enumerate(records):
        if offset == snapshot_offset:
            snapshot = msgspec.msgpack.encode(take_snapshot(from_start, 1))
            restore_snapshot(
                resumed, msgspec.msgpack.decode(snapshot, type=type(take_snapshot(from_start, 1)))
            )
        verdict = from_start.apply(offset, record).verdict
        if offset >= snapshot_offset:
            assert resumed.apply(offset, record).verdict == verdict
    if snapshot_offset < len(records):
        assert (resumed.state, resumed.ownership) == (from_start.state, from_start.ownership)


@settings(derandomize=True, max_examples=200)
@given(RECORDS)
def test_accepted_epochs_only_rise(envelopes: list[Envelope]) -> None:
    fold, _ = fold_of(*envelopes)
    assert fold.state.epochs == sorted(set(fold.state.epochs))
