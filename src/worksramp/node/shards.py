"""Which shards this node follows, claims, serves and hands over."""

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

ROUND_SECONDS = 0.5
RELEASE_TIMEOUT_SECONDS = 5.0
SERVICE_RETRY_SECONDS = 1.0
logger = structlog.get_logger()

AnyReplica = StreamReplica[Any]


@dataclass(frozen=True, slots=True)
class ShardPlan:
    """How to follow and serve one shard.

    Attributes:
        fingerprint: changes when the shard's settings do; the service is then made anew.
    """

    shard: str
    fingerprint: str
    make_replica: Callable[[], AnyReplica]
    make_service: Callable[[AnyReplica], ShardService]


@dataclass(slots=True)
class _Followed:
    """A shard whose stream this node follows."""

    plan: ShardPlan
    replica: AnyReplica
    scope: anyio.CancelScope
    service: ShardService | None = None
    service_scope: anyio.CancelScope | None = None
    misplaced_since: float | None = None
    is_busy: bool = False


@dataclass(slots=True)
class ShardManager:
    """Keeps each shard with the node that should own it, through the log.

    Attributes:
        plans: returns the shards that the configuration in force calls for.
    """

    instance_id: str
    membership: Membership
    plans: Callable[[], dict[str, ShardPlan]]
    is_leaving: bool = False
    _followed: dict[str, _Followed] = field(default_factory=dict)
    _eligible: frozenset[str] = frozenset()
    _preferred: dict[str, str] = field(default_factory=dict)

    async def run(self) -> None:
        """Look at every shard once a round until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._note_members()
                for plan in self.plans().values():
                    self._round(plan, group)
                self._drop_unplanned()
                await anyio.sleep(ROUND_SECONDS)

    async def handle(self, shard: str, request: NodeRequest) -> NodeReply:
        """Answer a call about a shard, or say where its owner is."""
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
        """Return the services that run here, by shard."""
        return {key: item.service for key, item in self._followed.items() if item.service is not None}

    async def release_all(self) -> None:
        """Hand every owned shard over, within a bound."""
        self.is_leaving = True
        with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as group:
                for followed in list(self._followed.values()):
                    group.start_soon(self._release, followed)

    def _owner_address(self, replica: AnyReplica) -> str:
        ownership = replica.fold.ownership
        owner = self.membership.member(ownership.owner)
        is_known = owner is not None and not ownership.is_released and ownership.owner != self.instance_id
        return owner.address if owner is not None and is_known else ""

    def _round(self, plan: ShardPlan, group: anyio.abc.TaskGroup) -> None:
        followed = self._followed.get(plan.shard)
        if followed is not None and followed.plan.fingerprint != plan.fingerprint:
            self._stop_service(followed)
            followed.plan = plan
        action = decide_placement(self._view(plan.shard, followed))
        if self.is_leaving:
            return
        if followed is not None and action in (PlacementAction.FOLLOW, PlacementAction.CLAIM):
            # Ownership went to another node in the meantime.
            self._stop_service(followed)
        match action:
            case PlacementAction.FOLLOW:
                if followed is None:
                    self._follow(plan, group)
            case PlacementAction.CLAIM:
                self._start_busy(followed, group, self._claim)
            case PlacementAction.SERVE:
                self._serve(followed, group)
            case PlacementAction.RELEASE:
                self._start_busy(followed, group, self._release)
            case PlacementAction.IGNORE:
                self._stop_following(plan.shard)

    def _note_members(self) -> None:
        """Forget who is preferred when the members change; hashing all pairs each round costs too much."""
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

    def _view(self, shard: str, followed: _Followed | None) -> PlacementView:
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
        followed = _Followed(plan, plan.make_replica(), scope)
        self._followed[plan.shard] = followed

        async def follow() -> None:
            with scope:
                await followed.replica.run()

        group.start_soon(follow)

    def _start_busy(
        self,
        followed: _Followed | None,
        group: anyio.abc.TaskGroup,
        action: Callable[[_Followed], Any],
    ) -> None:
        if followed is None or followed.is_busy:
            return
        followed.is_busy = True

        async def act() -> None:
            try:
                await action(followed)
            finally:
                followed.is_busy = False

        group.start_soon(act)

    async def _claim(self, followed: _Followed) -> None:
        is_owner = await followed.replica.claim()
        epoch = followed.replica.fold.ownership.epoch
        logger.info("shard_claimed", shard=followed.plan.shard, epoch=epoch, is_owner=is_owner)

    async def _release(self, followed: _Followed) -> None:
        if followed.service is not None:
            await followed.service.drain()
        self._stop_service(followed)
        await followed.replica.release()
        logger.info("shard_released", shard=followed.plan.shard, epoch=followed.replica.fold.ownership.epoch)

    def _serve(self, followed: _Followed | None, group: anyio.abc.TaskGroup) -> None:
        if followed is None or followed.service is not None or followed.is_busy:
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

    def _stop_service(self, followed: _Followed) -> None:
        if followed.service_scope is not None:
            followed.service_scope.cancel()
        followed.service = None
        followed.service_scope = None

    def _stop_following(self, shard: str) -> None:
        followed = self._followed.get(shard)
        if followed is None or followed.is_busy:
            return
        self._stop_service(followed)
        followed.scope.cancel()
        del self._followed[shard]

    def _drop_unplanned(self) -> None:
        planned = self.plans().keys()
        for shard in [shard for shard in self._followed if shard not in planned]:
            self._stop_following(shard)
