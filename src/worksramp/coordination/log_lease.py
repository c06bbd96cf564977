"""Lease on a shard, kept as a record in the shard's own partition.

Who claims appends the owner's record under the next epoch on the condition that the partition ends where the
claimant's copy does; the store lets one claim of a race through, and from then on refuses the former owner's
appends. Time decides only when somebody claims, never who may write.
"""

import math
from dataclasses import dataclass

import msgspec

OWNER_KEY = "owner"
OWNER_PRODUCER = "owner"
#: From this much processor time on, machines claim alike.
LARGE_MACHINE_CORES = 2.0
SMALL_MACHINE_DELAY_SECONDS = 0.3
CLAIM_SPREAD_SECONDS = 0.2


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who owns the shard.

    Attributes:
        node: name of the machine.
        boot: random text of one start of its process.
        epoch: fencing token of all that the owner writes and orders.
        renewal: counts the renewals within the epoch.
        is_released: the owner has stopped; the next claim need not wait.
        num_orders: orders to workers announced so far, by all owners; each is announced before it is given.
        last_order_node: machine that announced the last of them, empty text when it is not known.
        last_order_age_s: how long before this record that was, at least.
    """

    node: str
    boot: str
    epoch: int
    renewal: int = 0
    is_released: bool = False
    num_orders: int = 0
    last_order_node: str = ""
    last_order_age_s: float = 0.0

    @property
    def is_order_open(self) -> bool:
        """Whether the last order was announced by this record, so that it was given later than that."""
        return self.num_orders > 0 and self.last_order_age_s == 0.0


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Seconds that bound a lease.

    Attributes:
        expiry: without a renewal for this long, others claim.
        renewal: pause between renewals.
        order_validity: the owner orders workers only while its last renewal is younger than this.
        order_guard: a new owner orders no worker sooner than this after a former owner's last announcement.
        max_replica_age: a claimant's copy must have been confirmed this recently.
        outage_grace: time that an owner has to renew once the store answers again.
    """

    expiry: float
    renewal: float
    order_validity: float
    order_guard: float
    max_replica_age: float
    outage_grace: float = 0.0


@dataclass(frozen=True, slots=True)
class LeaseView:
    """What a node knows of the lease at one moment.

    Attributes:
        owner: the newest owner's record, None when there is none.
        is_own_machine: the record was written by an earlier process of this machine.
        owner_changed_at: when this node saw that record, on its own clock.
        replica_age: seconds since its copy was confirmed as current.
        may_own: whether this node wants the lease at all.
        jitter: this node's own share of waiting, so that claims seldom race.
        store_recovery_age: seconds since the store answered this node again.
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
    """Claim under this epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class DeferClaim:
    """Do not claim now.

    Attributes:
        reason: one word for the log.
    """

    reason: str


def claim_delay_range(num_cores: float) -> tuple[float, float]:
    """Return the bounds, in seconds, between which a node draws its own share of waiting before it claims.

    Machines with little processor time wait for those with more: an owner runs all items of its shard.

    Args:
        num_cores: processor time of this machine, in cores.
    """
    least = SMALL_MACHINE_DELAY_SECONDS * max(0.0, 1.0 - num_cores / LARGE_MACHINE_CORES)
    return (least, least + CLAIM_SPREAD_SECONDS)


def decide_claim(view: LeaseView, times: LeaseTimes, now: float) -> ClaimLease | DeferClaim:
    """Decide whether a node that does not own the shard claims it."""
    if not view.may_own:
        return DeferClaim("not_wanted")
    if view.replica_age > times.max_replica_age:
        # Without a fresh copy, silence may be the store's and not the owner's.
        return DeferClaim("copy_not_fresh")
    if view.owner is None:
        waited = now - view.owner_changed_at
        return ClaimLease(1) if waited >= view.jitter else DeferClaim("jitter")
    if view.is_own_machine:
        # One process at a time runs on a machine: the one that wrote this has ended.
        return ClaimLease(view.owner.epoch + 1)
    if not view.owner.is_released and view.store_recovery_age < times.outage_grace + view.jitter:
        # While the store was away nobody could renew: the silence says nothing of the owner yet.
        return DeferClaim("store_regained")
    due = view.jitter if view.owner.is_released else times.expiry + view.jitter
    if now - view.owner_changed_at < due:
        return DeferClaim("owner_renews")
    return ClaimLease(view.owner.epoch + 1)


def latest_order_at(record: OwnerRecord, node: str, now: float) -> float:
    """Return the latest time at which a machine other than this one can have given the last order.

    A record was written before it is read, so that the age it tells is the least: no clocks are compared. A
    holder is a machine: what an earlier process of this one ordered keeps it from nothing.

    Args:
        node: name of this machine.
        now: time on this machine's clock, at which the record is known.

    Returns:
        A time on this machine's clock, minus infinity for no order of another machine.
    """
    if record.num_orders == 0 or record.last_order_node == node:
        return -math.inf
    return now - record.last_order_age_s


def may_order(now: float, former_order_at: float, renewed_at: float, times: LeaseTimes) -> bool:
    """Return whether an owner may order workers now.

    The guard after a former owner's last announced order keeps two owners from taking turns; the age of the
    renewal keeps one that woke from a pause silent until it has heard from the store again.

    Args:
        former_order_at: latest time at which another machine can have given an order.
    """
    return now - former_order_at >= times.order_guard and now - renewed_at <= times.order_validity
