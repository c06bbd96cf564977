"""The ledger's fold."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from worksramp.coordination.ledger import (
    Doubt,
    Forget,
    Intent,
    LedgerEntry,
    LedgerState,
    Phase,
    Refusal,
    Result,
    canonical_key,
    key_time_ms,
)

UUIDS = [f"0190a1b2-c3d{digit}-7000-8000-000000000001" for digit in range(4)]
KEYS = [canonical_key("tenant", key) for key in UUIDS]


def apply(state: LedgerState, epoch: int, entry: LedgerEntry) -> str | None:
    return state.apply_entry(0, epoch, msgspec.msgpack.encode(entry))


def test_a_second_intent_is_void_whatever_the_outcome_of_the_first() -> None:
    for closing in (None, Result(KEYS[0], 200, b"x"), Doubt(KEYS[0])):
        state = LedgerState()
        assert apply(state, 1, Intent(KEYS[0], "d")) is None
        if closing is not None:
            assert apply(state, 1, closing) is None
        assert apply(state, 1, Intent(KEYS[0], "d")) is not None


def test_a_refused_key_may_run_again_but_only_with_the_same_request() -> None:
    state = LedgerState()
    apply(state, 1, Intent(KEYS[0], "d"))
    apply(state, 1, Refusal(KEYS[0]))
    assert apply(state, 1, Intent(KEYS[0], "other")) is not None
    assert apply(state, 1, Intent(KEYS[0], "d")) is None


def test_an_open_intent_of_a_previous_owner_is_unknown_for_good() -> None:
    state = LedgerState()
    apply(state, 1, Intent(KEYS[0], "d"))
    state.begin_epoch(2)
    assert state.rows[KEYS[0]].phase is Phase.UNKNOWN
    assert apply(state, 2, Result(KEYS[0], 200, b"")) is not None
    assert apply(state, 2, Intent(KEYS[0], "d")) is not None


def test_an_expired_key_can_never_run_again() -> None:
    state = LedgerState()
    apply(state, 1, Intent(KEYS[0], "d"))
    apply(state, 1, Result(KEYS[0], 200, b""))
    horizon = (key_time_ms(UUIDS[0]) or 0) + 1
    assert apply(state, 1, Forget(horizon)) is None
    assert KEYS[0] not in state.rows
    assert apply(state, 1, Intent(KEYS[0], "d")) is not None
    assert apply(state, 1, Forget(horizon - 1)) is not None


def test_all_spellings_of_a_uuid_give_the_same_key() -> None:
    assert canonical_key("t", UUIDS[0].upper()) == canonical_key("t", "{" + UUIDS[0] + "}")


ENTRIES = st.one_of(
    st.builds(Intent, st.sampled_from(KEYS), st.sampled_from(["d", "e"])),
    st.builds(Result, st.sampled_from(KEYS), st.just(200), st.just(b"")),
    st.builds(Refusal, st.sampled_from(KEYS)),
    st.builds(Doubt, st.sampled_from(KEYS)),
)


@settings(derandomize=True, max_examples=300)
@given(st.lists(st.tuples(st.booleans(), ENTRIES), max_size=40))
def test_at_most_one_dispatch_of_a_key_may_have_run(
    steps: list[tuple[bool, LedgerEntry]],
) -> None:
    state, epoch = LedgerState(), 1
    may_have_run: dict[str, int] = {}
    for is_new_owner, entry in steps:
        if is_new_owner:
            epoch += 1
            state.begin_epoch(epoch)
        reason = apply(state, epoch, entry)
        if reason is None and isinstance(entry, Intent):
            may_have_run[entry.key] = may_have_run.get(entry.key, 0) + 1
        if reason is None and isinstance(entry, Refusal):
            may_have_run[entry.key] -= 1
        assert all(count <= 1 for count in may_have_run.values())
