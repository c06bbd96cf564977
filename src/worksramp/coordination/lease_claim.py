"""Claim of a lease: the calls from the decision to claim until the claimant may act as the owner.

`LeaseClaim` decides and does no I/O. `claim_lease` makes its calls.
"""

import random
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import structlog

from worksramp.coordination.elapsed import ElapsedClock
from worksramp.coordination.keyed_replica import NotCurrentError
from worksramp.coordination.log_lease import OWNER_KEY, OWNER_PRODUCER, OwnerRecord
from worksramp.coordination.shared_log import (
    Appended,
    AppendOutcome,
    Fence,
    KeyedRecord,
    OutcomeOpen,
    Partition,
    SharedLog,
)
from worksramp.wire import encode

MAX_CLAIM_TRIES = 4
#: Timeout of the first try, doubled for each further one.
FIRST_TRY_S = 0.3
RETRY_PAUSE_S = 0.05
#: The first number of a process is below this bound, which leaves room to count on from it. Two processes
#: with the same number are still told apart by reading the log.
MAX_FIRST_SEQUENCE = 2**30

logger = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class AppendOwner:
    """Append the owner's record.

    Attributes:
        fence: identity of the append.
        expected_end: offset at which the partition must end, None for no condition.
    """

    record: OwnerRecord
    fence: Fence
    expected_end: int | None


@dataclass(frozen=True, slots=True)
class ReadOwner:
    """Read the log, and report the newest owner's record.

    Attributes:
        end: offset up to which the log is to be read at least, None for its end at the time of the call.
    """

    end: int | None


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """The claimant holds the lease."""


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """The claimant does not hold the lease.

    Attributes:
        reason: name of the rule or of the store's answer.
    """

    reason: str


ClaimStep = AppendOwner | ReadOwner | ClaimWon | ClaimLost


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """State of one claim.

    The claim is the first fenced append of its epoch, on the condition that the partition ends where the
    claimant's copy does. With it, the store refuses the former owner's appends, so none can hide the claim,
    and the appends of all who claim the same epoch from another first number.

    The store's answer alone proves nothing, since a repeated number gets the answer of the first append that
    had it. The claim is won once the log, read up to the claim, names this process as the owner.

    Attributes:
        record: the owner's record.
        expected_end: end of the claimant's copy.
        first_sequence: number of the claim's append, the same for all claims of one start of a process.
        num_tries: tries that were made.
    """

    record: OwnerRecord
    expected_end: int
    first_sequence: int
    num_tries: int = 0

    def next_step(self) -> AppendOwner:
        """Return the append to make now."""
        fence = Fence(OWNER_PRODUCER, self.record.epoch, self.first_sequence)
        return AppendOwner(self.record, fence, self.expected_end)

    def after_append(self, outcome: AppendOutcome) -> tuple["LeaseClaim", ClaimStep]:
        """Return the state and the step after an append."""
        if isinstance(outcome, Appended):
            return self, ReadOwner(outcome.end)
        tried = replace(self, num_tries=self.num_tries + 1)
        if isinstance(outcome, OutcomeOpen) and tried.num_tries < MAX_CLAIM_TRIES:
            return tried, tried.next_step()
        # The claim may be in the log after any refusal, by an earlier try that was not answered.
        return tried, ReadOwner(None)

    def after_read(self, newest: OwnerRecord | None) -> ClaimStep:
        """Return the step after the log was read.

        Args:
            newest: newest owner's record of the log as read.
        """
        if newest is None or (newest.boot, newest.epoch) != (self.record.boot, self.record.epoch):
            return ClaimLost("another_owner_in_log")
        return ClaimWon()


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that was just claimed.

    Attributes:
        owner: the owner's record as claimed.
        sequence: number of the last append of its epoch.
        renewed_at_s: start of the call that shows the lease as held, on the claimant's clock.
    """

    owner: OwnerRecord
    sequence: int
    renewed_at_s: float


def first_sequence_of(boot: str) -> int:
    """Return the number of all claims of one start of a process; others are unlikely to have it.

    Args:
        boot: random text that identifies the start.
    """
    return zlib.crc32(boot.encode()) % MAX_FIRST_SEQUENCE


ReadNewestOwner = Callable[[int | None], Awaitable[OwnerRecord | None]]


async def claim_lease(
    log: SharedLog,
    partition: Partition,
    claim: LeaseClaim,
    read_owner: ReadNewestOwner,
    clock: ElapsedClock,
) -> HeldLease | ClaimLost:
    """Make the calls of a claim.

    Args:
        read_owner: carries out `ReadOwner`; may raise NotCurrentError.
        clock: clock of `HeldLease.renewed_at_s`.
    """
    renewed_at_s = clock()
    try_s = FIRST_TRY_S
    step: ClaimStep = claim.next_step()
    while not isinstance(step, ClaimWon | ClaimLost):
        if isinstance(step, ReadOwner):
            try:
                newest = await read_owner(step.end)
            except NotCurrentError as error:
                return ClaimLost(f"log_not_read: {error}")
            step = claim.after_read(newest)
            continue
        started_s = clock()
        outcome = await _append(log, partition, step, try_s)
        if isinstance(outcome, Appended):
            renewed_at_s = started_s
        else:
            logger.info(
                "claim_unanswered" if isinstance(outcome, OutcomeOpen) else "claim_refused",
                epoch=step.record.epoch,
                outcome=str(outcome),
            )
            try_s *= 2
            await anyio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.0))
        claim, step = claim.after_append(outcome)
    if isinstance(step, ClaimLost):
        return step
    return HeldLease(claim.record, claim.first_sequence, renewed_at_s)


async def _append(log: SharedLog, partition: Partition, step: AppendOwner, timeout_s: float) -> AppendOutcome:
    outcome: AppendOutcome = OutcomeOpen(f"no answer within {timeout_s} s")
    with anyio.move_on_after(timeout_s):
        record = KeyedRecord(OWNER_KEY, encode(step.record))
        outcome = await log.append(partition, (record,), fence=step.fence, expected_end=step.expected_end)
    return outcome
