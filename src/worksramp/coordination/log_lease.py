"""Lease on a shard, kept as a record in the shard's own partition.

A claimant appends an owner record with the next epoch and under that epoch's fence, on the condition that
the partition still ends where the claimant's copy ends. So the store accepts one of several concurrent
claims, and refuses the previous owner's appends from the claim on (see `lease_claim`). Time decides only when
a node claims, never which node may write.
"""

import math
from dataclasses import dataclass
from typing import Annotated

import msgspec

from worksramp.coordination.shared_log import Appended, AppendOutcome, NothingDone, OutcomeOpen
from worksramp.counts import MAX_COUNT, Amount, Count

OWNER_KEY = "owner"
OWNER_PRODUCER = "owner"
#: Machines with at least this many cores choose their claim delay at random from the same range.
LARGE_MACHINE_CORES = 2.0
SMALL_MACHINE_DELAY_SECONDS = 0.3
CLAIM_SPREAD_SECONDS = 0.2


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of the shard's owner.

    Attributes:
        node: id of the owning node, the same after a restart of its process.
        boot: random id of one start of the process.
        epoch: fencing token of everything that the owner writes and orders.
        renewal: number of renewals within the epoch.
        is_released: whether the owner has stopped, so that the next claim need not wait.
        num_orders: orders to workers announced so far, by all owners; each is announced before it is sent.
        last_order_node: node that announced the last order, empty if unknown.
        last_order_age_s: minimum age of that announcement when this record was written, in seconds.
    """

    node: str
    boot: str
    epoch: Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
    renewal: Count = 0
    is_released: bool = False
    num_orders: Count = 0
    last_order_node: str = ""
    last_order_age_s: Amount = 0.0

    @property
    def is_order_open(self) -> bool:
        """Whether this record announced the last order, so that the order was sent after the record."""
        return self.num_orders > 0 and self.last_order_age_s == 0.0


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of a lease, in seconds.

    Attributes:
        expiry: other nodes claim after this long without a renewal.
        renewal: pause between renewals.
        order_validity: an owner sends orders to workers only while its last renewal is younger than this.
        order_guard: minimum time between a previous owner's last announced order and a new owner's first.
        max_replica_age: a claimant's copy must have been confirmed as current within this time.
        outage_grace: time that an owner has to renew once the store is available again.
    """

    expiry: float
    renewal: float
    order_validity: float
    order_guard: float
    max_replica_age: float
    outage_grace: float = 0.0


@dataclass(frozen=True, slots=True)
class LeaseView:
    """One node's view of the lease at one moment.

    Attributes:
        owner: the newest owner record, None if there is none.
        is_own_machine: whether a process on this machine wrote that record: an earlier one, or this one by a
            claim that it had given up when the store did it.
        owner_changed_at: when this node read that record, on its own clock; if there is none, when it loaded
            its copy.
        replica_age: seconds since the node's copy of the partition was confirmed as current.
        may_own: whether this node may own the shard at present.
        jitter: this node's own delay before a claim in seconds, so that claims seldom collide.
        store_recovery_age: seconds since the store became available to this node again.
    """

    owner: OwnerRecord | None
    is_own_machine: bool
    owner_changed_at: float
    replica_age: float
    may_own: bool
    jitter: float
    store_recovery_age: float = float("inf")


@dataclass(frozen=True, slots=True)
class ClaimLease:
    """Claim the lease under this epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class DeferClaim:
    """Do not claim now.

    Attributes:
        reason: name of the rule that applied.
    """

    reason: str


def claim_delay_range(num_cores: float) -> tuple[float, float]:
    """Return the range, in seconds, from which a node chooses at random its delay before a claim.

    An owner runs all items of its shard, so machines with less processor time wait longer and leave the claim
    to larger ones.

    Args:
        num_cores: processor time of this machine, in cores.
    """
    min_delay_seconds = SMALL_MACHINE_DELAY_SECONDS * max(0.0, 1.0 - num_cores / LARGE_MACHINE_CORES)
    return (min_delay_seconds, min_delay_seconds + CLAIM_SPREAD_SECONDS)


def decide_claim(view: LeaseView, times: LeaseTimes, now: float) -> ClaimLease | DeferClaim:
    """Decide whether a node that does not own the shard claims it.

    Args:
        now: time on this node's clock.
    """
    if not view.may_own:
        return DeferClaim("not_wanted")
    if view.replica_age > times.max_replica_age:
        # With a stale copy, a missing renewal may be due to the store rather than to the owner.
        return DeferClaim("copy_not_fresh")
    epoch = next_epoch(view.owner)
    if view.owner is None:
        waited = now - view.owner_changed_at
        return ClaimLease(epoch) if waited >= view.jitter else DeferClaim("jitter")
    if view.is_own_machine:
        # Only one process runs on a machine at a time, and this one is not the owner, so nobody acts under
        # that record's epoch.
        return ClaimLease(epoch)
    if not view.owner.is_released and view.store_recovery_age < times.outage_grace + view.jitter:
        # No owner could renew while the store was unavailable, so a missing renewal proves nothing yet.
        return DeferClaim("store_regained")
    due = view.jitter if view.owner.is_released else times.expiry + view.jitter
    if now - view.owner_changed_at < due:
        return DeferClaim("owner_renews")
    return ClaimLease(epoch)


def next_epoch(newest: OwnerRecord | None) -> int:
    """Return the epoch that a node claims next.

    Args:
        newest: newest owner's record that the node has read.
    """
    return 1 if newest is None else newest.epoch + 1


def unknown_owner(refused_epoch: int) -> OwnerRecord:
    """Return a record in place of one that cannot be read, after the store has refused a claim because of it.

    The owner may live and may have sent an order just now, so a claim waits as it does for a known owner. Its
    epoch may be far higher, and doubling it reaches that in a few claims.

    Args:
        refused_epoch: epoch of the claim that was refused.
    """
    return OwnerRecord(node="", boot="", epoch=2 * refused_epoch, num_orders=1)


def newer_owner(before: OwnerRecord | None, record: OwnerRecord) -> OwnerRecord:
    """Return the record that names the owner after ``record`` has been read.

    A node of the release before may append a claim without a fence, and the owner that it replaces may still
    renew after it. A record of a lower epoch therefore changes nothing.

    Args:
        before: the record that named the owner until then.
    """
    return before if before is not None and before.epoch > record.epoch else record


def is_overtaken(own: OwnerRecord, newest: OwnerRecord) -> bool:
    """Return whether the log names another owner than ``own`` does, of its epoch or a later one.

    Args:
        newest: newest owner's record that the owner has read.
    """
    return newest.epoch > own.epoch or (newest.epoch == own.epoch and newest.boot != own.boot)


def is_lease_refused(outcome: AppendOutcome) -> bool:
    """Return whether the store refused a fenced append in a way that repeating it cannot change."""
    return not isinstance(outcome, (Appended, NothingDone, OutcomeOpen))


def latest_order_at(record: OwnerRecord, node: str, now: float) -> float:
    """Return the latest time at which another machine can have sent the last order.

    A record is written before it is read, so the age that it states is a minimum, and no clocks of different
    machines are compared. Workers get orders in the name of a machine, so an order of an earlier process on
    this machine requires no wait.

    Args:
        node: id of this node.
        now: time on this machine's clock at which the record has been read.

    Returns:
        A time on this machine's clock, minus infinity if no other machine has sent an order.
    """
    if record.num_orders == 0 or record.last_order_node == node:
        return -math.inf
    return now - record.last_order_age_s


def may_order(now: float, former_order_at: float, renewed_at: float, times: LeaseTimes) -> bool:
    """Return whether an owner may send orders to workers now.

    The guard after a previous owner's last announced order keeps two owners from alternating orders to the
    same worker. The limit on the age of the renewal keeps an owner that resumes after a pause from sending
    orders until the store has answered it again.

    Args:
        former_order_at: latest time at which another machine can have sent an order.
        renewed_at: time of the last renewal, on the clock of ``now``.
    """
    return now - former_order_at >= times.order_guard and now - renewed_at <= times.order_validity
