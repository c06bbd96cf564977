"""Calls to other nodes found through membership: to one member, or to the owner of a shard."""

import anyio
import msgspec

from worksramp.coordination.membership import Membership
from worksramp.coordination.membership_messages import Member
from worksramp.coordination.placement import rendezvous_order
from worksramp.outcomes import InterruptedStepError, NotStartedError
from worksramp.transport.base import Transport
from worksramp.transport.messages import (
    CallFailed,
    NodeReply,
    NodeRequest,
    NotOwner,
    decode_reply,
    encode_message,
)

MAX_REDIRECTS = 4
COORDINATOR_ROLE = "coordinator"


class PeerCaller:
    """Caller of other nodes on behalf of one node."""

    def __init__(self, transport: Transport, membership: Membership) -> None:
        self._transport = transport
        self._membership = membership

    async def call(self, address: str, request: NodeRequest, timeout_seconds: float) -> NodeReply:
        """Call one node and return its reply.

        Raises:
            NotStartedError: the node did not act on the request.
            InterruptedStepError: the node may have acted on it.
        """
        payload = await self._transport.call(address, encode_message(request), timeout_seconds)
        reply = decode_reply("peers.call", address, payload)
        if isinstance(reply, CallFailed):
            if reply.is_not_started:
                raise NotStartedError(reply.step, reply.peer, reply.reason)
            raise InterruptedStepError(reply.step, reply.peer, reply.reason)
        return reply

    async def call_owner(self, shard: str, request: NodeRequest, timeout_seconds: float) -> NodeReply:
        """Call the owner of a shard: first the preferred node, then the owner that a node names.

        Args:
            timeout_seconds: time for all calls together.

        Raises:
            NotStartedError: no owner was found, and no node acted on the request.
            InterruptedStepError: an owner may have acted on it.
        """
        candidates = rendezvous_order(shard, self._membership.eligible(COORDINATOR_ROLE))
        addresses = [member.address for member in map(self._membership.member, candidates) if member]
        asked: set[str] = set()
        deadline = anyio.current_time() + timeout_seconds
        failure = NotStartedError("peers.call_owner", shard, "no coordinator is known")
        while addresses and len(asked) < MAX_REDIRECTS:
            address = addresses.pop(0)
            if address in asked:
                continue
            asked.add(address)
            try:
                reply = await self.call(address, request, deadline - anyio.current_time())
            except NotStartedError as error:
                failure = error
                if anyio.current_time() >= deadline:
                    break
                continue
            if not isinstance(reply, NotOwner):
                return reply
            failure = NotStartedError("peers.call_owner", address, f"{shard} has no owner there")
            if reply.owner_address:
                addresses.insert(0, reply.owner_address)
        raise failure

    def live_peers(self) -> list[Member]:
        """Return all live members but this node."""
        own = self._membership.self_member.instance_id
        return [member for member in self._membership.live_members() if member.instance_id != own]


def encode_entry(entry: msgspec.Struct) -> bytes:
    """Encode an entry of an owned stream."""
    return msgspec.msgpack.encode(entry)
