"""Promises of a lease in all orders of its calls, with lost and late answers of the store."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.unit.lease_orders import SEQUENCE_STEP, Budget, FormerClaim, NodeState, World, explore, successors
from worksramp.coordination.lease_claim import ClaimStep, ClaimWon, LeaseClaim, ReadOwner
from worksramp.coordination.log_lease import OwnerRecord
from worksramp.coordination.shared_log import Appended, AppendOutcome
from worksramp_emulator.log_partition import LogPartition

MAX_STATES = 400_000
#: One renewal of the owner and two claims, with answers lost or late.
LOST_ANSWERS = Budget(claims=2, renewals=1, lost=2)
RESTART = Budget(claims=2, renewals=1, lost=1, restarts=1)
RELEASE = Budget(claims=2, renewals=0, lost=2, releases=1)
UPGRADE = Budget(claims=2, renewals=1, lost=1)

FindViolation = Callable[[World], str | None]


def two_holders_of_one_epoch(world: World) -> str | None:
    epochs = [epoch for epoch, _ in world.holders]
    shared = {epoch for epoch in epochs if epochs.count(epoch) > 1}
    return f"holders of epoch {min(shared)}: {sorted(world.holders)}" if shared else None


def lower_epoch_above_a_higher_one(world: World) -> str | None:
    epochs = [record.epoch for record in world.owners()]
    return None if epochs == sorted(epochs) else f"epochs in the log: {epochs}"


def answer_for_another_append(world: World) -> str | None:
    return world.wrong_proof or None


def start_world(
    budget: Budget,
    checks_condition_first: bool = False,
    has_equal_numbers: bool = False,
    claim_types: tuple[type[LeaseClaim], ...] = (LeaseClaim, LeaseClaim, LeaseClaim),
) -> World:
    """Return a store and three nodes, the first of which holds the lease under epoch 1."""
    nodes = tuple(
        NodeState(
            name,
            claim_type,
            0 if has_equal_numbers or claim_type is FormerClaim else SEQUENCE_STEP**power,
        )
        for name, claim_type, power in zip("abc", claim_types, (1, 2, 3), strict=True)
    )
    world = World(LogPartition(checks_condition_first=checks_condition_first), nodes, Budget(1, 0, 0, 0))
    while not all(node.position == len(world.partition.records) > 0 for node in world.nodes):
        _, world = next(successor for successor in successors(world))
    return replace(world, budget=budget)


def check(world: World, find_violation: FindViolation) -> None:
    violation, order, num_states = explore(world, find_violation, MAX_STATES)
    assert violation is None, "\n".join([violation or "", *order])
    assert num_states > 1000


def any_violation(world: World) -> str | None:
    return (
        two_holders_of_one_epoch(world)
        or lower_epoch_above_a_higher_one(world)
        or answer_for_another_append(world)
    )


@pytest.mark.parametrize("checks_condition_first", [False, True])
@pytest.mark.parametrize("has_equal_numbers", [False, True])
def test_no_two_nodes_hold_the_lease_under_one_epoch(
    has_equal_numbers: bool, checks_condition_first: bool
) -> None:
    # Two machines ordered workers under one fence after a late renewal had hidden a claim.
    check(start_world(LOST_ANSWERS, checks_condition_first, has_equal_numbers), any_violation)


@pytest.mark.parametrize("checks_condition_first", [False, True])
def test_a_restarted_process_shares_no_epoch_with_its_former_start(checks_condition_first: bool) -> None:
    # A process that loads the newest records alone must not claim an epoch that a late append names.
    check(start_world(RESTART, checks_condition_first, not checks_condition_first), any_violation)


@pytest.mark.parametrize("checks_condition_first", [False, True])
def test_a_release_that_is_done_late_gives_away_no_later_lease(checks_condition_first: bool) -> None:
    # The release of a stopped owner may be done after another node, or its own next start, has claimed.
    check(start_world(RELEASE, checks_condition_first), any_violation)


def holder_of_this_release_shares_an_epoch(world: World) -> str | None:
    former = {node.name for node in world.nodes if node.claim_type is FormerClaim}
    shared = two_holders_of_one_epoch(world)
    return shared if shared and any(boot[0] not in former for _, boot in world.holders) else None


@pytest.mark.parametrize(
    "claim_types",
    [
        (FormerClaim, LeaseClaim, LeaseClaim),
        (FormerClaim, FormerClaim, LeaseClaim),
        (LeaseClaim, LeaseClaim, FormerClaim),
    ],
)
def test_no_node_shares_an_epoch_with_one_of_the_release_before(
    claim_types: tuple[type[LeaseClaim], ...],
) -> None:
    # During an upgrade, nodes that claim without a fence run beside those that claim with one.
    check(start_world(UPGRADE, claim_types=claim_types), holder_of_this_release_shares_an_epoch)


class ClaimWithoutRead(LeaseClaim):
    """Mutation: takes the store's answer for its own append's."""

    def after_append(self, outcome: AppendOutcome) -> tuple[LeaseClaim, ClaimStep]:
        if isinstance(outcome, Appended):
            return self, ClaimWon()
        return LeaseClaim.after_append(self, outcome)


class ClaimOfAnyRecord(LeaseClaim):
    """Mutation: reads the log, but takes any owner of the epoch for itself."""

    def after_read(self, newest: OwnerRecord | None) -> ClaimStep:
        if newest is not None and newest.epoch == self.record.epoch:
            return ClaimWon()
        return LeaseClaim.after_read(self, newest)


class ClaimOfAnyOutcome(LeaseClaim):
    """Mutation: takes a refusal for an earlier try of its own that was done."""

    def after_append(self, outcome: AppendOutcome) -> tuple[LeaseClaim, ClaimStep]:
        claim, step = LeaseClaim.after_append(self, outcome)
        return claim, ClaimWon() if step == ReadOwner(None) else step


@pytest.mark.parametrize("mutation", [ClaimWithoutRead, ClaimOfAnyRecord, ClaimOfAnyOutcome, FormerClaim])
def test_a_claim_with_a_mistake_is_found(mutation: type[LeaseClaim]) -> None:
    world = start_world(LOST_ANSWERS, has_equal_numbers=True, claim_types=(mutation,) * 3)
    violation, order, _ = explore(world, two_holders_of_one_epoch, MAX_STATES)
    assert violation is not None
    assert order
