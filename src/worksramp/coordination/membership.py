"""SWIM-style membership among nodes: a state machine without I/O, whose cost per node is constant.

Each period a node probes one member. If no acknowledgement comes, it asks a few other members to probe that
member, then suspects it, then declares it dead. Every message carries a few recent updates. A member refutes
a suspicion by raising its incarnation.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", 2002, with the suspicion and incarnation rules of its section 4.2.

See Also:
    docs/design/membership.md
"""

import math
import random
from dataclasses import dataclass

import msgspec

from worksramp.coordination.membership_messages import (
    Acknowledgement,
    IndirectProbe,
    Join,
    Member,
    MembershipMessage,
    MemberStatus,
    Probe,
    Table,
)

PROBE_PERIOD_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.3
SUSPICION_SECONDS = 2.0
DEAD_RETENTION_SECONDS = 60.0
NUM_INDIRECT_PROBES = 3
MAX_UPDATES_PER_MESSAGE = 6
RETRANSMIT_FACTOR = 3
MAX_TABLE_MEMBERS_PER_MESSAGE = 12


@dataclass(frozen=True, slots=True)
class Send:
    """Instruction: send a message to an address, best effort."""

    address: str
    message: MembershipMessage


@dataclass(frozen=True, slots=True)
class PullConfiguration:
    """Instruction: fetch configuration records that this node lacks from a peer that holds them."""

    address: str
    offset: int


@dataclass(frozen=True, slots=True)
class StatusChanged:
    """Instruction: report that the last known status of a member changed."""

    member: Member


Instruction = Send | PullConfiguration | StatusChanged


@dataclass(slots=True)
class _OutstandingProbe:
    """The probe of the current period."""

    target: str
    sequence: int
    sent_at: float
    is_indirect_sent: bool = False


class Membership:
    """One node's membership state machine.

    Args:
        self_member: this node.
        seed: seed of the probe order and of the choice of members for indirect probes and joins.
    """

    def __init__(self, self_member: Member, seed: int) -> None:
        self.self_member = self_member
        self.configuration_offset = 0
        self._members: dict[str, Member] = {self_member.instance_id: self_member}
        self._suspect_since: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._transmits_left: dict[str, int] = {}
        self._probe_order: list[str] = []
        self._outstanding: _OutstandingProbe | None = None
        self._relayed_probes: dict[int, tuple[str, int]] = {}
        self._sequence = 0
        self._next_probe_at = 0.0
        self._random = random.Random(seed)

    def members(self) -> tuple[Member, ...]:
        """Return all known members, including dead ones until they expire."""
        return tuple(self._members.values())

    def live_members(self) -> tuple[Member, ...]:
        """Return all members that are not dead, including this node."""
        return tuple(member for member in self._members.values() if member.status is not MemberStatus.DEAD)

    def eligible(self, role: str) -> frozenset[str]:
        """Return the instance ids that may own shards of a role: alive or suspected, but not draining."""
        return frozenset(
            member.instance_id
            for member in self._members.values()
            if role in member.roles and member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
        )

    def member(self, instance_id: str) -> Member | None:
        """Return the last known state of a member, None if it is unknown."""
        return self._members.get(instance_id)

    def join(self, seed_addresses: tuple[str, ...]) -> list[Instruction]:
        """Ask a few seeds for their member tables; asking a node that is already known does no harm."""
        others = [address for address in seed_addresses if address != self.self_member.address]
        chosen = self._random.sample(others, min(NUM_INDIRECT_PROBES, len(others)))
        return [Send(address, Join(self.self_member)) for address in chosen]

    def leave(self) -> list[Instruction]:
        """Announce that this node is draining: to a few members at once, and to the others by gossip."""
        status = MemberStatus.LEAVING
        self.self_member = msgspec.structs.replace(
            self.self_member, status=status, incarnation=self.self_member.incarnation + 1
        )
        self._put(self.self_member)
        return [self._probe(member.address) for member in self._sample_peers(NUM_INDIRECT_PROBES)]

    def tick(self, now: float) -> list[Instruction]:
        """Advance the timers; must be called at least every `PROBE_TIMEOUT_SECONDS`."""
        instructions = self._expire(now)
        instructions += self._check_outstanding(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_PERIOD_SECONDS
            instructions += self._start_probe(now)
        return instructions

    def receive(self, message: MembershipMessage, now: float) -> list[Instruction]:
        """Handle one message."""
        match message:
            case Probe():
                return self._on_probe(message, now)
            case Acknowledgement():
                return self._on_acknowledgement(message, now)
            case IndirectProbe():
                return self._on_indirect_probe(message, now)
            case Join():
                return self._on_join(message, now)
            case Table():
                instructions = self._merge(message.members, now)
                return instructions + self._compare_offset(message.configuration_offset, "")

    def _on_probe(self, probe: Probe, now: float) -> list[Instruction]:
        instructions = self._merge(probe.updates, now)
        sender = self._members.get(probe.sender)
        reply = Acknowledgement(
            sequence=probe.sequence,
            sender=self.self_member.instance_id,
            subject=self.self_member.instance_id,
            configuration_offset=self.configuration_offset,
            updates=self._pick_updates(sender),
        )
        instructions.append(Send(probe.sender_address, reply))
        if sender is None:
            # No update about the sender has arrived yet; the sender's table has it and other missed updates.
            instructions.append(Send(probe.sender_address, Join(self.self_member)))
        return instructions + self._compare_offset(probe.configuration_offset, probe.sender_address)

    def _on_acknowledgement(self, ack: Acknowledgement, now: float) -> list[Instruction]:
        instructions = self._merge(ack.updates, now)
        relay = self._relayed_probes.pop(ack.sequence, None)
        if relay is not None:
            requester = self._members.get(relay[0])
            if requester is not None:
                forwarded = msgspec.structs.replace(ack, sequence=relay[1], updates=())
                instructions.append(Send(requester.address, forwarded))
        if self._is_awaited(ack):
            self._outstanding = None
        subject = self._members.get(ack.subject)
        if subject is None:
            return instructions
        if subject.status is MemberStatus.LEAVING:
            self._suspect_since.pop(subject.instance_id, None)
        return instructions + self._compare_offset(ack.configuration_offset, subject.address)

    def _is_awaited(self, ack: Acknowledgement) -> bool:
        """Return whether this answers the current probe.

        The subject must match too, since a restarted process answers at the address of its predecessor.
        """
        waiting = self._outstanding
        return waiting is not None and (waiting.sequence, waiting.target) == (ack.sequence, ack.subject)

    def _on_indirect_probe(self, request: IndirectProbe, now: float) -> list[Instruction]:
        instructions = self._merge(request.updates, now)
        send = self._probe(request.target_address)
        assert isinstance(send.message, Probe)
        self._relayed_probes[send.message.sequence] = (request.sender, request.sequence)
        return [*instructions, send]

    def _on_join(self, join: Join, now: float) -> list[Instruction]:
        instructions = self._merge((join.sender,), now)
        members = self.live_members()
        size = MAX_TABLE_MEMBERS_PER_MESSAGE
        parts = [members[start : start + size] for start in range(0, len(members), size)]
        replies = [Send(join.sender.address, Table(part, self.configuration_offset)) for part in parts]
        return instructions + list(replies)

    def _compare_offset(self, offset: int, address: str) -> list[Instruction]:
        if offset <= self.configuration_offset or not address:
            return []
        return [PullConfiguration(address, offset)]

    def _merge(self, updates: tuple[Member, ...], now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for update in updates:
            if update.instance_id == self.self_member.instance_id:
                self._refute(update)
                continue
            instructions += self._merge_one(update, now)
        return instructions

    def _merge_one(self, update: Member, now: float) -> list[Instruction]:
        known = self._members.get(update.instance_id)
        if known is None and update.status is MemberStatus.DEAD:
            return []
        if known is not None and not _supersedes(update, known):
            return []
        self._put(update)
        self._note_status(update, now)
        is_status_changed = known is None or known.status is not update.status
        return [StatusChanged(update)] if is_status_changed else []

    def _note_status(self, member: Member, now: float) -> None:
        self._suspect_since.pop(member.instance_id, None)
        self._dead_since.pop(member.instance_id, None)
        if member.status is MemberStatus.SUSPECT:
            self._suspect_since[member.instance_id] = now
        if member.status is MemberStatus.DEAD:
            self._dead_since[member.instance_id] = now

    def _refute(self, suspicion: Member) -> None:
        """Refute a suspicion or death of this node by a higher incarnation."""
        if suspicion.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            return
        if suspicion.incarnation < self.self_member.incarnation:
            return
        self.self_member = msgspec.structs.replace(self.self_member, incarnation=suspicion.incarnation + 1)
        self._put(self.self_member)

    def _put(self, member: Member) -> None:
        self._members[member.instance_id] = member
        num_members = len(self._members)
        self._transmits_left[member.instance_id] = RETRANSMIT_FACTOR * math.ceil(math.log2(num_members + 1))

    def _pick_updates(self, receiver: Member | None = None) -> tuple[Member, ...]:
        """Choose the least-sent updates.

        A receiver that is not recorded as alive also gets its own state, so that it can refute it.
        """
        least_sent = sorted(self._transmits_left, key=lambda key: -self._transmits_left[key])
        chosen = least_sent[:MAX_UPDATES_PER_MESSAGE]
        for instance_id in chosen:
            self._transmits_left[instance_id] -= 1
            if self._transmits_left[instance_id] <= 0:
                del self._transmits_left[instance_id]
        if receiver is not None and receiver.status is not MemberStatus.ALIVE:
            chosen = [receiver.instance_id, *chosen]
        return tuple(self._members[key] for key in dict.fromkeys(chosen) if key in self._members)

    def _probe(self, address: str, receiver: Member | None = None) -> Send:
        self._sequence += 1
        probe = Probe(
            sequence=self._sequence,
            sender=self.self_member.instance_id,
            sender_address=self.self_member.address,
            configuration_offset=self.configuration_offset,
            updates=self._pick_updates(receiver),
        )
        return Send(address, probe)

    def _start_probe(self, now: float) -> list[Instruction]:
        target = self._next_target()
        if target is None:
            return []
        send = self._probe(target.address, target)
        self._outstanding = _OutstandingProbe(target.instance_id, self._sequence, now)
        return [send]

    def _next_target(self) -> Member | None:
        """Return the next member to probe, None without members.

        The order is random and chosen anew each round, so that each member is probed within bounded time.
        """
        while True:
            if not self._probe_order:
                self._probe_order = [member.instance_id for member in self._peers()]
                self._random.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.status is not MemberStatus.DEAD:
                return member

    def _check_outstanding(self, now: float) -> list[Instruction]:
        waiting = self._outstanding
        if waiting is None:
            return []
        waited = now - waiting.sent_at
        target = self._members.get(waiting.target)
        if target is None:
            self._outstanding = None
            return []
        if waited >= PROBE_PERIOD_SECONDS - PROBE_TIMEOUT_SECONDS / 2:
            self._outstanding = None
            return self._suspect(target, now)
        if waited >= PROBE_TIMEOUT_SECONDS and not waiting.is_indirect_sent:
            waiting.is_indirect_sent = True
            return self._probe_indirectly(target, waiting.sequence)
        return []

    def _probe_indirectly(self, target: Member, sequence: int) -> list[Instruction]:
        relays = [
            member
            for member in self._sample_peers(NUM_INDIRECT_PROBES + 1)
            if member.instance_id != target.instance_id
        ]
        request = IndirectProbe(sequence, self.self_member.instance_id, target.address)
        return [Send(relay_node.address, request) for relay_node in relays[:NUM_INDIRECT_PROBES]]

    def _suspect(self, target: Member, now: float) -> list[Instruction]:
        if target.status is MemberStatus.LEAVING:
            # A draining member must not become suspect, or it would be eligible again.
            self._suspect_since.setdefault(target.instance_id, now)
            return []
        if target.status is not MemberStatus.ALIVE:
            return []
        return self._merge_one(msgspec.structs.replace(target, status=MemberStatus.SUSPECT), now)

    def _expire(self, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for instance_id, since in list(self._suspect_since.items()):
            if now - since >= SUSPICION_SECONDS:
                dead = msgspec.structs.replace(self._members[instance_id], status=MemberStatus.DEAD)
                instructions += self._merge_one(dead, now)
        for instance_id, since in list(self._dead_since.items()):
            if now - since >= DEAD_RETENTION_SECONDS:
                del self._dead_since[instance_id]
                self._members.pop(instance_id, None)
                self._transmits_left.pop(instance_id, None)
        return instructions

    def _peers(self) -> list[Member]:
        own = self.self_member.instance_id
        return [member for member in self.live_members() if member.instance_id != own]

    def _sample_peers(self, count: int) -> list[Member]:
        peers = self._peers()
        return self._random.sample(peers, min(count, len(peers)))


def _supersedes(update: Member, known: Member) -> bool:
    """Return whether an update supersedes the known state: higher incarnation first, then higher status."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.status > known.status
