"""Follow, claim, serve and release shards according to their placement.

See Also:
    worksramp.coordination.placement: the decision for one shard.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import structlog

from worksramp.coordination.membership import Membership
from worksramp.coordination.peers import COORDINATOR_ROLE
from worksramp.coordination.placement import (
    PlacementAction,
    PlacementView,
    decide_placement,
    preferred_member,
)
from worksramp.coordination.replica import StreamReplica
from worksramp.coordination.shard import ShardService
from worksramp.outcomes import StepError
from worksramp.transport.messages import (
    DescribeShard,
    NodeReply,
    NodeRequest,
    NotOwner,
    ShardDescription,
)

RECONCILE_PERIOD_SECONDS = 0.5
RELEASE_TIMEOUT_SECONDS = 5.0
SERVICE_RETRY_SECONDS = 1.0
logger = structlog.get_logger()

AnyReplica = StreamReplica[Any]


@dataclass(frozen=True, slots=True)
class ShardPlan:
    """How to follow and serve one shard.

    Attributes:
        fingerprint: identifies the settings that the service depends on; when it changes, the service is
            stopped and created again from the new plan.
        make_replica: returns a new replica of the shard's stream, to be run by the manager.
        make_service: returns the service that runs while this node owns the shard.
    """

    shard: str
    fingerprint: str
    make_replica: Callable[[], AnyReplica]
    make_service: Callable[[AnyReplica], ShardService]


@dataclass(slots=True)
class _FollowedShard:
    """A shard whose stream this node follows.

    Attributes:
        scope: cancels the replica.
        service: the running service, None while this node does not serve the shard.
        misplaced_since: when this node first found the shard owned by a node other than the preferred one,
            on the clock of `anyio.current_time`; None while the owner is the preferred node or
            has released the shard.
        is_in_transition: whether a claim or a release is under way.
    """

    plan: ShardPlan
    replica: AnyReplica
    scope: anyio.CancelScope
    service: ShardService | None = None
    service_scope: anyio.CancelScope | None = None
    misplaced_since: float | None = None
    is_in_transition: bool = False


@dataclass(slots=True)
class ShardManager:
    """Claims, serves and releases shards, so that each one is owned by its preferred node.

    Ownership itself is decided by the log stream of the shard.

    Attributes:
        plans: returns the plans of all shards under the configuration in force, by shard.
        is_draining: whether this node is stopping; from then on, shards are only released.
    """

    instance_id: str
    membership: Membership
    plans: Callable[[], dict[str, ShardPlan]]
    is_draining: bool = False
    _followed: dict[str, _FollowedShard] = field(default_factory=dict)
    _eligible: frozenset[str] = frozenset()
    _preferred: dict[str, str] = field(default_factory=dict)

    async def run(self) -> None:
        """Reconcile every shard, once per `RECONCILE_PERIOD_SECONDS`, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._update_eligible()
                for plan in self.plans().values():
                    self._reconcile(plan, group)
                self._stop_unplanned()
                await anyio.sleep(RECONCILE_PERIOD_SECONDS)

    async def handle(self, shard: str, request: NodeRequest) -> NodeReply:
        """Handle a request for a shard that this node owns.

        Returns:
            The reply of the shard's service. If this node does not serve the shard, `NotOwner`, with the
            address of the owner if that is another known member.
        """
        followed = self._followed.get(shard)
        if followed is None:
            return NotOwner()
        if followed.service is None or not followed.replica.is_owner:
            return NotOwner(self._owner_address(followed.replica))
        if isinstance(request, DescribeShard):
            ownership = followed.replica.fold.ownership
            return ShardDescription(shard, ownership.owner, ownership.epoch, followed.service.figures())
        return await followed.service.handle(request)

    def services(self) -> dict[str, ShardService]:
        """Return the services that run on this node, by shard."""
        return {key: item.service for key, item in self._followed.items() if item.service is not None}

    async def release_all(self) -> None:
        """Release every owned shard, within `RELEASE_TIMEOUT_SECONDS` in total."""
        self.is_draining = True
        with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as group:
                for followed in list(self._followed.values()):
                    group.start_soon(self._release, followed)

    def _owner_address(self, replica: AnyReplica) -> str:
        ownership = replica.fold.ownership
        owner = self.membership.member(ownership.owner)
        is_known = owner is not None and not ownership.is_released and ownership.owner != self.instance_id
        return owner.address if owner is not None and is_known else ""

    def _reconcile(self, plan: ShardPlan, group: anyio.abc.TaskGroup) -> None:
        followed = self._followed.get(plan.shard)
        if followed is not None and followed.plan.fingerprint != plan.fingerprint:
            self._stop_service(followed)
            followed.plan = plan
        action = decide_placement(self._placement_view(plan.shard, followed))
        if self.is_draining:
            return
        if followed is not None and action in (PlacementAction.FOLLOW, PlacementAction.CLAIM):
            # Another node has become the owner since the last round.
            self._stop_service(followed)
        match action:
            case PlacementAction.FOLLOW:
                if followed is None:
                    self._follow(plan, group)
            case PlacementAction.CLAIM:
                self._start_transition(followed, group, self._claim)
            case PlacementAction.SERVE:
                self._serve(followed, group)
            case PlacementAction.RELEASE:
                self._start_transition(followed, group, self._release)
            case PlacementAction.IGNORE:
                self._stop_following(plan.shard)

    def _update_eligible(self) -> None:
        """Discard the cached preferred members when the eligible members have changed.

        They are cached because hashing every pair of shard and member in each round is too expensive.
        """
        eligible = self.membership.eligible(COORDINATOR_ROLE)
        if eligible != self._eligible:
            self._eligible = eligible
            self._preferred = {}

    def _preferred_for(self, shard: str) -> str:
        preferred = self._preferred.get(shard)
        if preferred is None:
            preferred = preferred_member(shard, self._eligible)
            self._preferred[shard] = preferred
        return preferred

    def _placement_view(self, shard: str, followed: _FollowedShard | None) -> PlacementView:
        preferred = self._preferred_for(shard)
        if followed is None or not followed.replica.is_caught_up:
            return PlacementView(self.instance_id, preferred, self._eligible, None)
        ownership = followed.replica.fold.ownership
        if ownership.is_released or ownership.owner == preferred:
            followed.misplaced_since = None
        elif followed.misplaced_since is None:
            followed.misplaced_since = anyio.current_time()
        since = followed.misplaced_since
        seconds = anyio.current_time() - since if since is not None else 0.0
        return PlacementView(self.instance_id, preferred, self._eligible, ownership, seconds)

    def _follow(self, plan: ShardPlan, group: anyio.abc.TaskGroup) -> None:
        scope = anyio.CancelScope()
        followed = _FollowedShard(plan, plan.make_replica(), scope)
        self._followed[plan.shard] = followed

        async def follow() -> None:
            with scope:
                await followed.replica.run()

        group.start_soon(follow)

    def _start_transition(
        self,
        followed: _FollowedShard | None,
        group: anyio.abc.TaskGroup,
        transition: Callable[[_FollowedShard], Any],
    ) -> None:
        if followed is None or followed.is_in_transition:
            return
        followed.is_in_transition = True

        async def run_transition() -> None:
            try:
                await transition(followed)
            finally:
                followed.is_in_transition = False

        group.start_soon(run_transition)

    async def _claim(self, followed: _FollowedShard) -> None:
        is_owner = await followed.replica.claim()
        epoch = followed.replica.fold.ownership.epoch
        logger.info("shard_claimed", shard=followed.plan.shard, epoch=epoch, is_owner=is_owner)

    async def _release(self, followed: _FollowedShard) -> None:
        if followed.service is not None:
            await followed.service.drain()
        self._stop_service(followed)
        await followed.replica.release()
        logger.info("shard_released", shard=followed.plan.shard, epoch=followed.replica.fold.ownership.epoch)

    def _serve(self, followed: _FollowedShard | None, group: anyio.abc.TaskGroup) -> None:
        if followed is None or followed.service is not None or followed.is_in_transition:
            return
        service = followed.plan.make_service(followed.replica)
        scope = anyio.CancelScope()
        followed.service = service
        followed.service_scope = scope

        async def serve() -> None:
            with scope:
                await self._run_service(service, followed.plan.shard)

        group.start_soon(serve)

    async def _run_service(self, service: ShardService, shard: str) -> None:
        while True:
            try:
                await service.run()
            except StepError as error:
                logger.warning(
                    "shard_service_failed", shard=shard, step=error.step, peer=error.peer, reason=error.reason
                )
                await anyio.sleep(SERVICE_RETRY_SECONDS)

    def _stop_service(self, followed: _FollowedShard) -> None:
        if followed.service_scope is not None:
            followed.service_scope.cancel()
        followed.service = None
        followed.service_scope = None

    def _stop_following(self, shard: str) -> None:
        followed = self._followed.get(shard)
        if followed is None or followed.is_in_transition:
            return
        self._stop_service(followed)
        followed.scope.cancel()
        del self._followed[shard]

    def _stop_unplanned(self) -> None:
        planned = self.plans().keys()
        for shard in [shard for shard in self._followed if shard not in planned]:
            self._stop_following(shard)
