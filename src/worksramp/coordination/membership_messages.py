"""What members tell each other, and what is believed of one.

See Also:
    worksramp.coordination.membership: the state machine that sends and receives these.
"""

from enum import IntEnum

import msgspec


class MemberStatus(IntEnum):
    """In rising order of precedence at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What is believed of one node.

    Attributes:
        instance_id: id of the process; a restarted one has another. A member declared dead while it was
            paused returns under a higher incarnation.
        roles: names of the roles it runs.
    """

    instance_id: str
    address: str
    zone: str
    roles: tuple[str, ...]
    status: MemberStatus = MemberStatus.ALIVE
    incarnation: int = 0
    max_schema_version: int = 1


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Are you there? The sender's address stands in it, for receivers that do not know the sender."""

    sequence: int
    sender: str
    sender_address: str
    configuration_offset: int
    updates: tuple[Member, ...] = ()


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """I am here; ``subject`` is the member that is."""

    sequence: int
    sender: str
    subject: str
    configuration_offset: int
    updates: tuple[Member, ...] = ()


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Please probe ``target_address`` for me."""

    sequence: int
    sender: str
    target_address: str
    updates: tuple[Member, ...] = ()


class Join(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A new member asks a seed for its whole table."""

    sender: Member


class Table(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Answer to a join, in parts small enough for a datagram."""

    members: tuple[Member, ...]
    configuration_offset: int


MembershipMessage = Probe | Acknowledgement | IndirectProbe | Join | Table
