"""Explores all orders of events around a lease, breadth first, with the decisions that run in production.

Nodes claim, renew and read; the store does each append at once, late or never, with or without an answer.
Time plays no part: a node may claim whenever it does not hold the lease. A node of the release before claims
without a fence, and appends the record again as number 0 of its epoch.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import cache
from typing import cast

import msgspec

from worksramp.coordination.lease_claim import (
    AppendOwner,
    ClaimLost,
    ClaimStep,
    ClaimWon,
    LeaseClaim,
    ReadOwner,
)
from worksramp.coordination.log_lease import (
    OWNER_KEY,
    OWNER_PRODUCER,
    OwnerRecord,
    is_lease_refused,
    is_overtaken,
    newer_owner,
    next_epoch,
)
from worksramp.coordination.shared_log import Appended, AppendOutcome, Fence, KeyedRecord, OutcomeOpen
from worksramp.wire import decode, encode
from worksramp_emulator.log_partition import LogPartition

Violation = str
#: Distance of the first numbers of two starts.
SEQUENCE_STEP = 100


@cache
def owner_of(value: bytes) -> OwnerRecord:
    return decode(value, OwnerRecord)


@cache
def record_of(owner: OwnerRecord) -> KeyedRecord:
    return KeyedRecord(OWNER_KEY, encode(owner))


@dataclass(frozen=True, slots=True)
class FormerClaim(LeaseClaim):
    """Claim of the release before: not fenced, and begun by number 0 of the epoch."""

    is_in_log: bool = False

    def next_step(self) -> AppendOwner:
        if self.is_in_log:
            return AppendOwner(self.record, Fence(OWNER_PRODUCER, self.record.epoch, 0), None)
        return AppendOwner(self.record, cast(Fence, None), self.expected_end)

    def after_append(self, outcome: AppendOutcome) -> tuple[LeaseClaim, ClaimStep]:
        if self.is_in_log and isinstance(outcome, Appended):
            return self, ClaimWon()
        if self.is_in_log and is_lease_refused(outcome):
            return self, ClaimLost("refused")
        if self.is_in_log or isinstance(outcome, OutcomeOpen):
            return self, self.next_step()
        if not isinstance(outcome, Appended):
            return self, ReadOwner(None)
        begun = replace(self, is_in_log=True)
        return begun, begun.next_step()

    def after_read(self, newest: OwnerRecord | None) -> ClaimStep:
        return ClaimLost("not in log")


@dataclass(frozen=True, slots=True)
class Hold:
    """A lease that a node holds, and its append in progress."""

    owner: OwnerRecord
    sequence: int
    append: AppendOwner | None = None


@dataclass(frozen=True, slots=True)
class NodeState:
    """One node: what it has read, and its claim or its hold."""

    name: str
    claim_type: type[LeaseClaim] = LeaseClaim
    first_sequence: int = 0
    num_starts: int = 0
    position: int = 0
    owner: OwnerRecord | None = None
    claim: LeaseClaim | None = None
    step: ClaimStep | None = None
    hold: Hold | None = None

    @property
    def boot(self) -> str:
        return f"{self.name}{self.num_starts}"


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each event may still occur."""

    claims: int = 3
    renewals: int = 1
    lost: int = 2
    restarts: int = 0
    releases: int = 0


@dataclass(frozen=True, slots=True)
class World:
    """State of the store and of all nodes.

    Attributes:
        late: appends that the store may still do.
        holders: epoch and boot of each node that came to hold the lease.
        wrong_proof: description of an append that was answered though another record stands in its place.
    """

    partition: LogPartition
    nodes: tuple[NodeState, ...]
    budget: Budget
    late: tuple[AppendOwner, ...] = ()
    holders: frozenset[tuple[int, str]] = frozenset()
    wrong_proof: str = ""

    def key(self) -> tuple[object, ...]:
        return (self.partition.fingerprint(), self.nodes, self.budget, self.late, self.holders)

    def owners(self) -> list[OwnerRecord]:
        """Return the owner's records of the log, in order."""
        return [owner_of(record.value) for record in self.partition.records]


Successor = tuple[str, World]


def explore(
    start: World, find_violation: Callable[[World], Violation | None], max_states: int
) -> tuple[Violation | None, list[str], int]:
    """Visit all states that can be reached, nearest first.

    Returns:
        The first violation with the shortest order of events that leads to it, and the number of states.
    """
    reached_by: dict[object, tuple[object | None, str]] = {start.key(): (None, "")}
    waiting = deque([start])
    while waiting:
        world = waiting.popleft()
        violation = find_violation(world)
        if violation is not None:
            return violation, _path(reached_by, world.key()), len(reached_by)
        for event, successor in successors(world):
            key = successor.key()
            if key not in reached_by:
                reached_by[key] = (world.key(), event)
                waiting.append(successor)
        if len(reached_by) > max_states:
            raise AssertionError(f"over {max_states} states")
    return None, [], len(reached_by)


def _path(reached_by: dict[object, tuple[object | None, str]], key: object) -> list[str]:
    events: list[str] = []
    previous, event = reached_by[key]
    while previous is not None:
        events.append(event)
        previous, event = reached_by[previous]
    return events[::-1]


def successors(world: World) -> Iterator[Successor]:
    """Yield each event that may come next, and the state after it."""
    for idx, node in enumerate(world.nodes):
        if node.hold is not None:
            yield from _holder_events(world, idx, node.hold)
        elif node.claim is not None:
            yield from _claimant_events(world, idx, node.claim)
        else:
            yield from _follower_events(world, idx)
        if world.budget.restarts:
            yield from _restarts(world, idx)
    for idx, append in enumerate(world.late):
        partition, outcome = _do(world.partition, append)
        late = world.late[:idx] + world.late[idx + 1 :]
        event = f"late append of {_text(append)}: {_text_of(outcome)}"
        yield event, replace(world, partition=partition, late=late)


def _follower_events(world: World, idx: int) -> Iterator[Successor]:
    node = world.nodes[idx]
    if node.position < len(world.partition.records):
        yield f"{node.boot} reads on", _put(world, idx, _read_on(world, node))
    if world.budget.claims:
        epoch = next_epoch(node.owner)
        record = OwnerRecord(node.name, node.boot, epoch)
        claim = node.claim_type(record, node.position, node.first_sequence)
        claiming = replace(node, claim=claim, step=claim.next_step())
        budget = replace(world.budget, claims=world.budget.claims - 1)
        yield f"{node.boot} claims epoch {epoch}", _put(replace(world, budget=budget), idx, claiming)


def _claimant_events(world: World, idx: int, claim: LeaseClaim) -> Iterator[Successor]:
    node = world.nodes[idx]
    if isinstance(node.step, ReadOwner):
        read = _read_on(world, node)
        step = claim.after_read(read.owner)
        yield f"{node.boot} reads the log for its claim", _claim_goes_on(world, idx, read, claim, step)
        return
    assert isinstance(node.step, AppendOwner)
    for event, after, outcome in _outcomes(world, node.step):
        yield f"{node.boot}: {event}", _claim_goes_on(after, idx, node, *claim.after_append(outcome))


def _claim_goes_on(world: World, idx: int, node: NodeState, claim: LeaseClaim, step: ClaimStep) -> World:
    if isinstance(step, ClaimLost):
        return _put(world, idx, replace(node, claim=None, step=None))
    if isinstance(step, ClaimWon):
        holder = replace(node, claim=None, step=None, hold=Hold(claim.record, claim.first_sequence))
        holders = world.holders | {(claim.record.epoch, node.boot)}
        return _put(replace(world, holders=holders), idx, holder)
    return _put(world, idx, replace(node, claim=claim, step=step))


def _holder_events(world: World, idx: int, hold: Hold) -> Iterator[Successor]:
    node = world.nodes[idx]
    if node.position < len(world.partition.records):
        read = _read_on(world, node)
        if read.owner is not None and is_overtaken(hold.owner, read.owner):
            read = replace(read, hold=None)
        yield f"{node.boot} reads on", _put(world, idx, read)
    if hold.append is None:
        if world.budget.renewals:
            budget = replace(world.budget, renewals=world.budget.renewals - 1)
            renewing = replace(node, hold=_next_hold(hold, is_released=False))
            yield f"{node.boot} renews", _put(replace(world, budget=budget), idx, renewing)
        if world.budget.releases:
            budget = replace(world.budget, releases=world.budget.releases - 1)
            releasing = replace(node, hold=_next_hold(hold, is_released=True))
            yield f"{node.boot} releases", _put(replace(world, budget=budget), idx, releasing)
        return
    for event, after, outcome in _outcomes(world, hold.append):
        yield f"{node.boot}: {event}", _hold_goes_on(after, idx, hold, outcome)


def _next_hold(hold: Hold, is_released: bool) -> Hold:
    """Return the hold with the next append of its owner's record in progress."""
    owner = msgspec.structs.replace(hold.owner, renewal=hold.owner.renewal + 1, is_released=is_released)
    sequence = hold.sequence + 1
    return Hold(owner, sequence, AppendOwner(owner, Fence(OWNER_PRODUCER, owner.epoch, sequence), None))


def _hold_goes_on(world: World, idx: int, hold: Hold, outcome: AppendOutcome) -> World:
    node = world.nodes[idx]
    if is_lease_refused(outcome):
        return _put(world, idx, replace(node, hold=None))
    if not isinstance(outcome, Appended):
        return world
    stored = owner_of(world.partition.records[outcome.offset].value)
    if stored != hold.owner:
        world = replace(world, wrong_proof=f"{node.boot} was answered for {stored}")
    held = None if hold.owner.is_released else replace(hold, append=None)
    return _put(world, idx, replace(node, hold=held))


def _restarts(world: World, idx: int) -> Iterator[Successor]:
    """Yield the end of a process and its next start, which loads the newest records alone."""
    node = world.nodes[idx]
    append = node.hold.append if node.hold is not None else node.step
    late = (*world.late, append) if isinstance(append, AppendOwner) else world.late
    newest = world.partition.newest.get(OWNER_KEY)
    started = replace(
        node,
        num_starts=node.num_starts + 1,
        first_sequence=node.first_sequence + SEQUENCE_STEP if node.first_sequence else 0,
        position=len(world.partition.records),
        owner=None if newest is None else owner_of(newest.value),
        claim=None,
        step=None,
        hold=None,
    )
    budget = replace(world.budget, restarts=world.budget.restarts - 1)
    yield f"{node.boot} restarts", _put(replace(world, late=late, budget=budget), idx, started)


def _outcomes(world: World, append: AppendOwner) -> Iterator[tuple[str, World, AppendOutcome]]:
    partition, outcome = _do(world.partition, append)
    done = replace(world, partition=partition)
    yield f"append of {_text(append)}: {_text_of(outcome)}", done, outcome
    if not world.budget.lost:
        return
    budget = replace(world.budget, lost=world.budget.lost - 1)
    lost = OutcomeOpen("lost")
    yield f"append of {_text(append)}: done, answer lost", replace(done, budget=budget), lost
    late = replace(world, budget=budget, late=(*world.late, append))
    yield f"append of {_text(append)}: not done yet, no answer", late, lost


def _do(partition: LogPartition, append: AppendOwner) -> tuple[LogPartition, AppendOutcome]:
    after = partition.copy()
    record = record_of(append.record)
    return after, after.append((record,), append.fence, append.expected_end)


def _read_on(world: World, node: NodeState) -> NodeState:
    owner = node.owner
    for stored in world.partition.records[node.position :]:
        record = owner_of(stored.value)
        owner = record if node.claim_type is FormerClaim else newer_owner(owner, record)
    return replace(node, position=len(world.partition.records), owner=owner)


def _put(world: World, idx: int, node: NodeState) -> World:
    return replace(world, nodes=(*world.nodes[:idx], node, *world.nodes[idx + 1 :]))


def _text(append: AppendOwner) -> str:
    record = append.record
    number = f"number {append.fence.sequence}" if append.fence else "unfenced"
    return f"{record.boot}'s epoch {record.epoch} renewal {record.renewal} ({number})"


def _text_of(outcome: AppendOutcome) -> str:
    return f"at {outcome.offset}" if isinstance(outcome, Appended) else type(outcome).__name__
