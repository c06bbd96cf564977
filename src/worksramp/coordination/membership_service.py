"""I/O around the membership state machine: timers, datagrams and joining."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import structlog

from worksramp.coordination.membership import (
    PROBE_TIMEOUT_SECONDS,
    Instruction,
    Membership,
    PullConfiguration,
    Send,
    StatusChanged,
)
from worksramp.coordination.membership_messages import MembershipMessage
from worksramp.transport.base import Transport

TICK_SECONDS = PROBE_TIMEOUT_SECONDS / 2
JOIN_PERIOD_SECONDS = 10.0
FIRST_JOIN_PERIOD_SECONDS = 1.0

logger = structlog.get_logger()
_decoder: msgspec.msgpack.Decoder[MembershipMessage] = msgspec.msgpack.Decoder(MembershipMessage)


class MembershipService:
    """Service that runs one node's membership.

    Args:
        seeds: returns the addresses of other nodes from the machine list.
        pull: called with the address of a node that holds newer configuration.
    """

    def __init__(
        self,
        membership: Membership,
        transport: Transport,
        seeds: Callable[[], tuple[str, ...]],
        pull: Callable[[str], Awaitable[None]],
    ) -> None:
        self._membership = membership
        self._transport = transport
        self._seeds = seeds
        self._pull = pull
        self._is_pulling = False

    async def run(self) -> None:
        """Probe, gossip and join until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._tick)
            group.start_soon(self._join)

    async def receive(self, payload: bytes) -> None:
        """Handle one datagram; a malformed one is logged and discarded."""
        try:
            message = _decoder.decode(payload)
        except msgspec.DecodeError:
            logger.warning("malformed_datagram", num_bytes=len(payload))
            return
        await self.carry_out(self._membership.receive(message, anyio.current_time()))

    async def leave(self) -> None:
        """Announce that this node is draining."""
        await self.carry_out(self._membership.leave())

    async def carry_out(self, instructions: list[Instruction]) -> None:
        """Carry out the instructions of the state machine."""
        for instruction in instructions:
            match instruction:
                case Send():
                    encoded = msgspec.msgpack.encode(instruction.message)
                    await self._transport.send(instruction.address, encoded)
                case PullConfiguration():
                    await self._pull_once(instruction.address)
                case StatusChanged(member=member):
                    logger.info(
                        "member_changed",
                        member=member.instance_id,
                        address=member.address,
                        status=member.status.name.lower(),
                    )

    async def _pull_once(self, address: str) -> None:
        # Only one pull at a time; otherwise every probe that shows a gap would start another.
        if self._is_pulling:
            return
        self._is_pulling = True
        try:
            await self._pull(address)
        finally:
            self._is_pulling = False

    async def _tick(self) -> None:
        while True:
            await self.carry_out(self._membership.tick(anyio.current_time()))
            await anyio.sleep(TICK_SECONDS)

    async def _join(self) -> None:
        """Ask seeds periodically, so that a partition heals even after both sides discarded each other."""
        while True:
            await self.carry_out(self._membership.join(self._seeds()))
            is_alone = len(self._membership.live_members()) == 1
            await anyio.sleep(FIRST_JOIN_PERIOD_SECONDS if is_alone else JOIN_PERIOD_SECONDS)
