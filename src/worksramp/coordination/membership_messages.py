"""Messages of the membership protocol, and the state of a member that they carry.

See Also:
    worksramp.coordination.membership: the state machine that sends and receives these.
"""

from enum import IntEnum

import msgspec


class MemberStatus(IntEnum):
    """Status of a member; at equal incarnation, the higher status takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Last known state of one node.

    Attributes:
        instance_id: id of the process; a restarted process has a different one. A member that was declared
            dead during a pause returns under a higher incarnation.
        roles: names of the roles that the node runs.
    """

    instance_id: str
    address: str
    zone: str
    roles: tuple[str, ...]
    status: MemberStatus = MemberStatus.ALIVE
    incarnation: int = 0
    max_schema_version: int = 1


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Request for an acknowledgement; carries the sender's address in case the receiver does not have it."""

    sequence: int
    sender: str
    sender_address: str
    configuration_offset: int
    updates: tuple[Member, ...] = ()


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reply to a probe; ``subject`` is the member that was probed and answered."""

    sequence: int
    sender: str
    subject: str
    configuration_offset: int
    updates: tuple[Member, ...] = ()


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request to probe ``target_address`` on behalf of the sender."""

    sequence: int
    sender: str
    target_address: str
    updates: tuple[Member, ...] = ()


class Join(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Request of a new member for a seed's complete table."""

    sender: Member


class Table(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Reply to a join, in parts small enough for a datagram."""

    members: tuple[Member, ...]
    configuration_offset: int


MembershipMessage = Probe | Acknowledgement | IndirectProbe | Join | Table
