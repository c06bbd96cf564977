"""The ledger's fold."""

from typing import Any

import anyio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from worksramp.backends.base import ApplicationReply
from worksramp.coordination.fold import Accepted
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
from worksramp.coordination.ledger_service import LedgerService
from worksramp.coordination.peers import encode_entry
from worksramp.outcomes import Completed, NotStartedError
from worksramp.transport.messages import ExecuteOnce
from worksramp_emulator.simulation.clock import run_simulated

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


class CrowdedReplica:
    """Replica of an owner whose queue of entries is full for a while."""

    is_owner = True
    stream = "ledger-0"

    def __init__(self, num_full: int) -> None:
        self.num_full = num_full
        self.state = LedgerState()
        self.committed: list[bytes] = []

    async def commit(
        self, entry: bytes, timeout_seconds: float | None = None, should_wait_for_log: bool = False
    ) -> Accepted:
        if should_wait_for_log and self.num_full > 0:
            self.num_full -= 1
            raise NotStartedError("log.commit", self.stream, "too many entries wait for the log")
        self.committed.append(entry)
        return Accepted(0)


def test_the_outcome_of_a_request_is_recorded_although_too_many_entries_wait_at_first() -> None:
    """Otherwise its intent stays open, and a retry is told that the outcome is unknown."""

    async def main() -> list[bytes]:
        replica: Any = CrowdedReplica(num_full=3)

        async def dispatch(request: ExecuteOnce) -> ApplicationReply:
            return ApplicationReply(200, b"done")

        async with anyio.create_task_group() as group:
            service = LedgerService(replica, dispatch, group, lambda: 0)
            request = ExecuteOnce("ledger-0", "key", "shop", "POST", "/x", b"", 1.0)
            assert isinstance(await service.execute(request), Completed)
        committed: list[bytes] = replica.committed
        return committed

    committed = run_simulated(main, 1)
    assert committed[-1] == encode_entry(Result("key", 200, b"done"))
