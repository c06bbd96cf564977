"""I/O around the configuration fold: tail the log, replicate records, publish changes.

See Also:
    worksramp.coordination.replication: rules for when a record may come into force.
    docs/design/configuration.md
"""

import random
from collections.abc import Callable, Mapping

import anyio
import msgspec
import structlog

from worksramp.backends.base import LogClient
from worksramp.coordination.configuration import (
    ConfigurationFold,
    ConfigurationSnapshot,
    Publish,
    PublishVerdict,
    TenantConfiguration,
    Validator,
)
from worksramp.coordination.membership import Membership
from worksramp.coordination.membership_messages import Member
from worksramp.coordination.peers import PeerCaller
from worksramp.coordination.replication import (
    StagedRecords,
    num_copies_needed,
    num_replies_needed,
    peers_to_push_to,
)
from worksramp.outcomes import StepError
from worksramp.transport.messages import (
    ConfigurationHeld,
    ConfigurationRecords,
    NodeReply,
    PullConfiguration,
    PushConfiguration,
)

STREAM = "configuration"
SNAPSHOT_STREAM = "snapshots.configuration"
SNAPSHOT_EVERY = 200
TAIL_WAIT_SECONDS = 10.0
TAIL_MAX_RECORDS = 256
MAX_KEPT_RECORDS = 400
RETRY_PAUSE_SECONDS = 0.25
PUSH_TIMEOUT_SECONDS = 0.5
PUSH_FANOUT = 3
PULL_TIMEOUT_SECONDS = 2.0
READ_BACK_SECONDS = 1.0

logger = structlog.get_logger()


class ConfigurationService:
    """One node's view of the configuration.

    Args:
        validators: the frozen validator of each schema version that this release supports.
        rng: chooses the peers that records are pushed to.
        on_change: called for each tenant's configuration that came into force.
    """

    def __init__(
        self,
        log: LogClient,
        peers: PeerCaller,
        membership: Membership,
        validators: Mapping[int, Validator],
        rng: random.Random,
        on_change: Callable[[TenantConfiguration], None],
    ) -> None:
        self.fold = ConfigurationFold(validators)
        self.is_ready = False
        self._log = log
        self._peers = peers
        self._membership = membership
        self._rng = rng
        self._on_change = on_change
        self._staged = StagedRecords(0, MAX_KEPT_RECORDS)
        self._changed = anyio.Event()
        self._records_staged = anyio.Event()

    @property
    def held_offset(self) -> int:
        """First offset of the stream that this node does not hold."""
        return self._staged.next_offset

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._tail)
            group.start_soon(self._replicate)
            group.start_soon(self._start_from_peers)

    async def wait_changed(self) -> None:
        """Wait until the fold has changed: by a record that was applied or by a snapshot."""
        await self._changed.wait()

    async def publish(self, change: Publish, timeout_seconds: float) -> PublishVerdict | None:
        """Append a change and return its verdict, None if it is not known in time.

        After None the change may still be accepted; publishing it again under the same change id gives the
        verdict.
        """
        record = msgspec.msgpack.encode(change)
        with anyio.move_on_after(timeout_seconds):
            while self.fold.verdict_of(change.change_id) is None:
                try:
                    await self._log.append(STREAM, record)
                except StepError:
                    # It may have been appended; a duplicate is void by its change id.
                    await anyio.sleep(RETRY_PAUSE_SECONDS)
                with anyio.move_on_after(READ_BACK_SECONDS):
                    while self.fold.verdict_of(change.change_id) is None:
                        await self.wait_changed()
        return self.fold.verdict_of(change.change_id)

    def handle_push(self, push: PushConfiguration) -> NodeReply:
        """Stage the records that a peer sent; reply with the first offset that this node does not hold."""
        self._stage(push.start, push.records)
        return ConfigurationHeld(self.held_offset)

    def handle_pull(self, pull: PullConfiguration) -> NodeReply:
        """Return the records that a peer lacks, with a snapshot if some of them are no longer kept."""
        if pull.start >= self._staged.start:
            return ConfigurationRecords(pull.start, self._staged.since(pull.start), b"", self.is_ready)
        snapshot = self.fold.snapshot()
        records = self._staged.since(snapshot.next_offset)
        encoded = msgspec.msgpack.encode(snapshot)
        return ConfigurationRecords(snapshot.next_offset, records, encoded, self.is_ready)

    async def pull_from(self, address: str) -> bool:
        """Fetch the records that a peer holds and this node lacks; return whether a ready peer replied."""
        request = PullConfiguration(self.held_offset)
        try:
            reply = await self._peers.call(address, request, PULL_TIMEOUT_SECONDS)
        except StepError:
            return False
        if not isinstance(reply, ConfigurationRecords):
            return False
        if reply.snapshot:
            self._apply_snapshot(msgspec.msgpack.decode(reply.snapshot, type=ConfigurationSnapshot))
        self._stage(reply.start, reply.records)
        return reply.is_ready

    def _apply_snapshot(self, snapshot: ConfigurationSnapshot) -> None:
        if not self.fold.restore(snapshot):
            return
        if snapshot.next_offset > self._staged.next_offset:
            self._staged.reset(snapshot.next_offset)
        for tenant in self.fold.tenants.values():
            self._on_change(tenant)
        self._notify_changed()

    def _stage(self, start: int, records: tuple[bytes, ...]) -> None:
        if not self._staged.add(start, records):
            return
        self._membership.configuration_offset = self.held_offset
        self._records_staged.set()
        self._records_staged = anyio.Event()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _tail(self) -> None:
        await self._restore_from_log()
        while True:
            wait_seconds = TAIL_WAIT_SECONDS if self.is_ready else 0.0
            try:
                page = await self._log.read(STREAM, self.held_offset, TAIL_MAX_RECORDS, wait_seconds)
            except StepError:
                await anyio.sleep(RETRY_PAUSE_SECONDS)
                continue
            self._stage(page.start, page.records)
            if not self.is_ready and self.held_offset >= page.end_offset:
                await self._become_ready("log")

    async def _restore_from_log(self) -> None:
        try:
            end_offset = (await self._log.read(SNAPSHOT_STREAM, 0, 0, 0.0)).end_offset
            if end_offset == 0:
                return
            page = await self._log.read(SNAPSHOT_STREAM, end_offset - 1, 1, 0.0)
            if not page.records:
                raise StepError("snapshot.read", SNAPSHOT_STREAM, f"no record at offset {end_offset - 1}")
            self._apply_snapshot(msgspec.msgpack.decode(page.records[0], type=ConfigurationSnapshot))
        except (StepError, msgspec.DecodeError) as error:
            # Reading the stream from offset 0 gives the same state, only more slowly.
            logger.warning("configuration_snapshot_unused", reason=str(error))

    async def _become_ready(self, source: str) -> None:
        target = self.held_offset
        while self.fold.next_offset < target:
            await self.wait_changed()
        if not self.is_ready:
            self.is_ready = True
            logger.info("configuration_ready", source=source, offset=self.fold.next_offset)

    async def _start_from_peers(self) -> None:
        """Become ready once enough peers have replied, unless the log makes this node ready first."""
        replied: set[str] = set()
        while not self.is_ready:
            await anyio.sleep(RETRY_PAUSE_SECONDS)
            others = self._peers.live_peers()
            for member in others:
                if member.instance_id not in replied and await self.pull_from(member.address):
                    replied.add(member.instance_id)
            num_replied = sum(1 for member in others if member.instance_id in replied)
            if others and num_replied >= num_replies_needed(len(others)):
                await self._become_ready("peers")

    async def _replicate(self) -> None:
        """Push held records to peers until enough nodes hold them, then apply them in order."""
        while True:
            records_staged = self._records_staged
            if self.fold.next_offset >= self.held_offset:
                await records_staged.wait()
                continue
            await self._push_to_some()
            self._apply_replicated()

    async def _push_to_some(self) -> None:
        """Push the records that are not in force yet to a few peers that lack them."""
        live = self._live_ids()
        self._staged.discard_dead(live)
        chosen = peers_to_push_to(self._peers.live_peers(), self._staged, PUSH_FANOUT, self._rng)
        has_reply = [False]

        async def push(member: Member) -> None:
            start = self.fold.next_offset
            message = PushConfiguration(start, self._staged.since(start))
            try:
                reply = await self._peers.call(member.address, message, PUSH_TIMEOUT_SECONDS)
            except StepError:
                return
            if isinstance(reply, ConfigurationHeld):
                self._staged.note_held(member.instance_id, reply.next_offset)
                has_reply[0] = True

        async with anyio.create_task_group() as group:
            for member in chosen:
                group.start_soon(push, member)
        if chosen and not has_reply[0]:
            await anyio.sleep(RETRY_PAUSE_SECONDS)

    def _apply_replicated(self) -> None:
        live = self._live_ids()
        needed = num_copies_needed(len(live))
        while self.fold.next_offset < self.held_offset:
            offset = self.fold.next_offset
            if self._staged.num_holders(offset, live) < needed:
                return
            self._apply(offset, self._staged.since(offset)[0])
        self._staged.trim(self.fold.next_offset)

    def _apply(self, offset: int, record: bytes) -> None:
        before = dict(self.fold.tenants)
        verdict = self.fold.apply(offset, record)
        for tenant, current in self.fold.tenants.items():
            if before.get(tenant) is not current:
                logger.info("configuration_in_force", tenant=tenant, revision=current.revision, offset=offset)
                self._on_change(current)
        logger.debug("configuration_record", offset=offset, verdict=type(verdict).__name__)
        self._notify_changed()

    def _live_ids(self) -> frozenset[str]:
        return frozenset(member.instance_id for member in self._membership.live_members())

    async def append_snapshot_if_due(self) -> None:
        """Write a snapshot to the log every `SNAPSHOT_EVERY` records.

        Any node may write it, since the same records give the same state on all nodes.
        """
        snapshot = self.fold.snapshot()
        if snapshot.next_offset == 0 or snapshot.next_offset % SNAPSHOT_EVERY != 0:
            return
        try:
            await self._log.append(SNAPSHOT_STREAM, msgspec.msgpack.encode(snapshot))
        except StepError as error:
            logger.warning("configuration_snapshot_failed", reason=str(error))
