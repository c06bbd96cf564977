"""Wire the parts of one node, handle the requests of other nodes, and stop the node in order."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import msgspec
import structlog

from worksramp.backends.base import ApplicationReply, ApplicationRequest, MachineRole, Platform
from worksramp.coordination.configuration import TenantConfiguration
from worksramp.coordination.configuration_service import ConfigurationService
from worksramp.coordination.membership import Membership
from worksramp.coordination.membership_messages import Member
from worksramp.coordination.membership_service import MembershipService
from worksramp.coordination.peers import PeerCaller
from worksramp.gateway.live import LiveTraffic
from worksramp.node.machines import MachineDirectory
from worksramp.node.plans import ShardPlanner
from worksramp.node.shards import ShardManager
from worksramp.outcomes import InterruptedStepError, NotStartedError, StepError
from worksramp.rollout.document import SCHEMA_VERSION, TenantDocument, decode_document, validate_document
from worksramp.rollout.sampler import run_sample
from worksramp.routing.limits import RetryBudget
from worksramp.settings import NodeSettings, Role
from worksramp.transport.base import Transport
from worksramp.transport.messages import (
    AnnounceVersion,
    CallFailed,
    CheckSample,
    DescribeShard,
    ExecuteOnce,
    FetchBatch,
    NodeReply,
    NodeRequest,
    PullConfiguration,
    PushConfiguration,
    RunSample,
    SampleChecked,
    SampleReply,
    decode_request,
    encode_message,
)

ShardRequest = ExecuteOnce | FetchBatch | DescribeShard | AnnounceVersion
VALIDATORS = {SCHEMA_VERSION: validate_document}
SAMPLE_TIMEOUT_SECONDS = 600.0
SAMPLE_CHECK_SECONDS = 15.0
CHECK_TIMEOUT_SECONDS = 5.0
DRAIN_POLL_SECONDS = 0.1
DRAIN_GOSSIP_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000

logger = structlog.get_logger()


def unix_time_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * MILLISECONDS_PER_SECOND)


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of one process of a node.

    Attributes:
        instance_id: node id, with a suffix that is unique to this start of the node.
        seed: seed of the random choices of this process.
    """

    instance_id: str
    seed: int


class Node:
    """A worksramp node, without its HTTP servers.

    Args:
        settings: checked settings.
        identity: identity of this process.
        platform: clients of the external systems.
        transport: sends and receives messages between nodes.
        wall_clock_ms: returns the Unix time in milliseconds. It is used only to check the age of idempotency
            keys and to expire old rows of the ledger.
    """

    def __init__(
        self,
        settings: NodeSettings,
        identity: Identity,
        platform: Platform,
        transport: Transport,
        wall_clock_ms: Callable[[], int] = unix_time_ms,
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.platform = platform
        self.documents: dict[str, TenantDocument] = {}
        self.is_draining = False
        self.wall_clock_ms = wall_clock_ms
        self._transport = transport
        self._rng = random.Random(identity.seed)
        self._num_peer_calls = 0
        self.membership = Membership(self._self_member(), identity.seed)
        self.peers = PeerCaller(transport, self.membership)
        self.configuration = ConfigurationService(
            platform.log, self.peers, self.membership, VALIDATORS, self._rng, self._apply_document
        )
        self.directory = MachineDirectory(
            platform,
            identity.instance_id,
            settings.zone,
            settings.subset_size,
            self._rng,
            lambda: self.membership.eligible(Role.GATEWAY.value),
        )
        self.membership_service = MembershipService(
            self.membership, transport, self.directory.node_addresses, self._pull_configuration
        )
        self.planner = ShardPlanner(self)
        self.shards = ShardManager(identity.instance_id, self.membership, self.planner.plans)
        self.live = LiveTraffic(platform, self.directory.pool, self._max_live_concurrency)
        self._sample_retry_budget = RetryBudget()
        self._running_samples: set[str] = set()
        self._scope = anyio.CancelScope()

    @property
    def is_ready(self) -> bool:
        """Whether this node accepts requests: its configuration is ready and it is not draining."""
        return self.configuration.is_ready and not self.is_draining

    async def run(self) -> None:
        """Run until `stop` has finished or the caller cancels."""
        with self._scope:
            async with anyio.create_task_group() as group:
                self.planner.background = group
                group.start_soon(self._transport.serve, self.membership_service.receive, self.handle_call)
                group.start_soon(self.directory.run)
                group.start_soon(self.membership_service.run)
                group.start_soon(self.configuration.run)
                group.start_soon(self._write_snapshots)
                if Role.COORDINATOR in self.settings.roles:
                    group.start_soon(self.shards.run)

    async def stop(self) -> None:
        """Drain the node: announce it, refuse new work, release the shards, finish the requests in flight.

        Requests still in flight after ``drain_seconds`` of the settings are aborted.
        """
        self.is_draining = True
        self.live.is_draining = True
        logger.info("node_leaving", node=self.identity.instance_id)
        await self.membership_service.leave()
        await self.shards.release_all()
        with anyio.move_on_after(self.settings.drain_seconds):
            # `num_in_flight` counts every call and stream until its handler ends.
            # New ones are already refused.
            await anyio.sleep(DRAIN_GOSSIP_SECONDS)
            while self.num_in_flight > 0:
                await anyio.sleep(DRAIN_POLL_SECONDS)
        logger.info("node_left", node=self.identity.instance_id, num_cut=self.num_in_flight)
        self._scope.cancel()

    @property
    def num_in_flight(self) -> int:
        """Number of live requests and requests of other nodes that have not ended."""
        return self.live.num_in_flight + self._num_peer_calls

    @property
    def owned_shards(self) -> dict[str, dict[str, int]]:
        """Metrics of the shards that this node serves, by shard."""
        return {shard: service.figures() for shard, service in self.shards.services().items()}

    async def handle_call(self, payload: bytes) -> bytes:
        """Handle one encoded request of another node.

        Returns:
            The encoded reply. A request that cannot be decoded or that fails gets `CallFailed`.
        """
        try:
            request = decode_request(payload)
        except msgspec.DecodeError as error:
            reply: NodeReply = CallFailed("node.decode", self.settings.node_id, str(error), True)
            return encode_message(reply)
        self._num_peer_calls += 1
        try:
            return encode_message(await self.handle_request(request))
        except StepError as error:
            is_not_started = isinstance(error, NotStartedError)
            return encode_message(CallFailed(error.step, error.peer, error.reason, is_not_started))
        finally:
            self._num_peer_calls -= 1

    async def handle_request(self, request: NodeRequest) -> NodeReply:
        """Handle one request, from this node or another, and return the reply.

        Raises:
            StepError: the request failed.
        """
        match request:
            case PushConfiguration():
                return self.configuration.handle_push(request)
            case PullConfiguration():
                return self.configuration.handle_pull(request)
            case CheckSample():
                return SampleChecked(request.request_id in self._running_samples)
            case RunSample():
                return await self._run_sample_locally(request)
            case ExecuteOnce() | FetchBatch() | DescribeShard() | AnnounceVersion():
                return await self.shards.handle(request.shard, request)

    async def call_owner(self, request: ShardRequest, seconds: float) -> NodeReply:
        """Send a request to the owner of its shard, which may be this node, and return the reply.

        Args:
            seconds: time for all calls together; several nodes may be called in turn.

        Raises:
            NotStartedError: no owner was found, and no node started the request.
            InterruptedStepError: an owner may have started the request.
        """
        return await self.peers.call_owner(request.shard, request, seconds)

    async def run_sample(self, request: RunSample) -> SampleReply:
        """Generate a sample on a live node chosen at random, possibly this one.

        Raises:
            StepError: the sample failed; it may be retried.
        """
        alive_peers = [member for member in self.peers.live_peers() if member.status.name == "ALIVE"]
        choice = self._rng.randrange(len(alive_peers) + 1)
        if choice == len(alive_peers):
            reply = await self._run_sample_locally(request)
        else:
            reply = await self._run_sample_on_peer(alive_peers[choice].address, request)
        if isinstance(reply, SampleReply):
            return reply
        if isinstance(reply, CallFailed):
            kind = NotStartedError if reply.is_not_started else InterruptedStepError
            raise kind(reply.step, reply.peer, reply.reason)
        raise StepError("node.run_sample", self.settings.node_id, f"unexpected {type(reply).__name__}")

    async def _run_sample_on_peer(self, address: str, request: RunSample) -> NodeReply:
        """Generate a sample on another node, and check periodically that the node still runs it.

        Without the check, a reply that is lost on a connection that appears healthy would keep the sample in
        flight until `SAMPLE_TIMEOUT_SECONDS`, which allows for the longest sample.

        Raises:
            StepError: the call failed, or the node no longer runs the sample.
        """
        replies: list[NodeReply] = []
        errors: list[StepError] = []

        async def call() -> None:
            try:
                replies.append(await self.peers.call(address, request, SAMPLE_TIMEOUT_SECONDS))
            except StepError as error:
                errors.append(error)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            while await self._is_sample_running(address, request.request_id):
                continue
            group.cancel_scope.cancel()
        if replies:
            return replies[0]
        not_running = InterruptedStepError("node.run_sample", address, "the node no longer runs the sample")
        raise errors[0] if errors else not_running

    async def _is_sample_running(self, address: str, request_id: str) -> bool:
        """Wait `SAMPLE_CHECK_SECONDS`, then return whether another node runs a sample.

        A check that fails counts as not running.
        """
        await anyio.sleep(SAMPLE_CHECK_SECONDS)
        try:
            reply = await self.peers.call(address, CheckSample(request_id), CHECK_TIMEOUT_SECONDS)
        except StepError:
            return False
        return isinstance(reply, SampleChecked) and reply.is_running

    async def dispatch_application(self, request: ExecuteOnce) -> ApplicationReply:
        """Run a keyed request on one application worker, or on another if the first did not start it.

        Raises:
            NotStartedError: the request was not run.
            InterruptedStepError: the request may have been run.
        """
        call = ApplicationRequest(request.key, request.method, request.path, request.body)
        return await self.live.call_application(request.application, call, is_safe=False)

    async def _run_sample_locally(self, request: RunSample) -> NodeReply:
        if self.is_draining:
            return CallFailed("node.run_sample", self.settings.node_id, "leaving", is_not_started=True)
        pool = self.directory.pool(MachineRole.ENGINE, request.fleet)
        if pool is None:
            reason = f"no engine of fleet {request.fleet!r} is listed"
            return CallFailed("node.run_sample", self.settings.node_id, reason, is_not_started=True)
        self._running_samples.add(request.request_id)
        try:
            return await run_sample(request, pool, self.platform.engines, self._sample_retry_budget)
        finally:
            self._running_samples.discard(request.request_id)

    async def _pull_configuration(self, address: str) -> None:
        await self.configuration.pull_from(address)

    async def _write_snapshots(self) -> None:
        while True:
            await self.configuration.wait_changed()
            await self.configuration.append_snapshot_if_due()

    def _apply_document(self, configuration: TenantConfiguration) -> None:
        self.documents[configuration.tenant] = decode_document(configuration.document)

    def _max_live_concurrency(self, tenant: str) -> int:
        document = self.documents.get(tenant)
        return (document or TenantDocument()).max_live_concurrency

    def _self_member(self) -> Member:
        return Member(
            instance_id=self.identity.instance_id,
            address=self.settings.peer_listen,
            zone=self.settings.zone,
            roles=tuple(role.value for role in self.settings.roles),
            max_schema_version=SCHEMA_VERSION,
        )
