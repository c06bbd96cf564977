"""Derive the shards of a deployment, and how to follow and serve each, from the configuration in force."""

from typing import TYPE_CHECKING, Any

import anyio.abc
import msgspec

from worksramp.backends.base import Machine
from worksramp.coordination.ledger import LedgerState
from worksramp.coordination.ledger_service import LedgerService
from worksramp.coordination.replica import StreamReplica
from worksramp.node.shards import AnyReplica, ShardPlan
from worksramp.rollout.document import JobSpec, TenantDocument, group_name, resolve_job
from worksramp.rollout.job import JobState
from worksramp.rollout.job_service import JobService
from worksramp.rollout.prompts import prompt_stream
from worksramp.transport.messages import AnnounceVersion, NodeReply
from worksramp.weights.fleet_service import EmptyState, FleetService
from worksramp.weights.planner import cell_of

if TYPE_CHECKING:
    from worksramp.node.node import Node

JOB_SNAPSHOT_EVERY = 500
LEDGER_SNAPSHOT_EVERY = 500
ANNOUNCE_TIMEOUT_SECONDS = 1.0


def job_shard(tenant: str, job: str) -> str:
    """Return the name of a job's shard, which is also the name of its stream."""
    return f"job.{tenant}.{job}"


def ledger_shard(number: int) -> str:
    """Return the name of a ledger shard, which is also the name of its stream."""
    return f"ledger.{number}"


def fleet_shard(fleet: str, cell: int) -> str:
    """Return the name of the shard, and of the stream, of one cell of a fleet."""
    return f"fleet.{fleet}.{cell}"


class ShardPlanner:
    """Derives the shard plans for one node.

    Attributes:
        background: task group of the node, None until the node runs. Requests of the ledger run in it, so
            that they continue after their shard is released.
    """

    def __init__(self, node: "Node") -> None:
        self.background: anyio.abc.TaskGroup | None = None
        self._node = node
        self._plans: dict[str, ShardPlan] = {}
        self._plans_offset = -1

    def plans(self) -> dict[str, ShardPlan]:
        """Return the plans of all shards, by shard; empty until this node's configuration is ready.

        The plans are derived again only after the configuration has changed.
        """
        if not self._node.configuration.is_ready:
            return {}
        offset = self._node.configuration.fold.next_offset
        if offset != self._plans_offset:
            self._plans_offset = offset
            self._plans = self._derive_plans()
        return self._plans

    def _derive_plans(self) -> dict[str, ShardPlan]:
        plans = [self._ledger_plan(number) for number in range(self._node.settings.num_ledger_shards)]
        for tenant, document in self._node.documents.items():
            for job in document.jobs:
                spec = resolve_job(document, job)
                fleet = group_name(tenant, document.models[spec.model])
                plans.append(self._job_plan(tenant, job, spec, fleet, document))
            for model, fleet_name in document.models.items():
                plans += self._fleet_plans(model, group_name(tenant, fleet_name), document.num_fleet_cells)
        return {plan.shard: plan for plan in plans}

    def _make_replica(self, shard: str, state: Any, snapshot_every: int) -> AnyReplica:
        instance_id = self._node.identity.instance_id
        return StreamReplica(
            self._node.platform.log, shard, state, instance_id, snapshot_every=snapshot_every
        )

    def _ledger_plan(self, number: int) -> ShardPlan:
        shard = ledger_shard(number)

        def make_service(replica: AnyReplica) -> LedgerService:
            assert self.background is not None
            dispatch = self._node.dispatch_application
            return LedgerService(replica, dispatch, self.background, self._node.wall_clock_ms)

        return ShardPlan(
            shard, "", lambda: self._make_replica(shard, LedgerState(), LEDGER_SNAPSHOT_EVERY), make_service
        )

    def _job_plan(
        self, tenant: str, job: str, spec: JobSpec, fleet: str, document: TenantDocument
    ) -> ShardPlan:
        shard = job_shard(tenant, job)
        platform = self._node.platform
        prompts = prompt_stream(tenant, spec.prompt_set)

        def make_service(replica: AnyReplica) -> JobService:
            return JobService(
                replica,
                spec,
                fleet,
                prompts,
                document.preference,
                document.live_reserved_share,
                self._node.run_sample,
                platform.log,
                platform.scorers,
            )

        fingerprint = msgspec.json.encode(
            (spec, fleet, document.preference, document.live_reserved_share)
        ).decode()
        return ShardPlan(
            shard,
            fingerprint,
            lambda: self._make_replica(shard, JobState(), JOB_SNAPSHOT_EVERY),
            make_service,
        )

    async def _announce_version(self, announcement: AnnounceVersion) -> NodeReply:
        return await self._node.call_owner(announcement, ANNOUNCE_TIMEOUT_SECONDS)

    def _fleet_plans(self, model: str, fleet: str, num_cells: int) -> list[ShardPlan]:
        return [self._fleet_plan(model, fleet, cell, num_cells) for cell in range(num_cells)]

    def _fleet_plan(self, model: str, fleet: str, cell: int, num_cells: int) -> ShardPlan:
        shard = fleet_shard(fleet, cell)
        platform = self._node.platform

        def machines() -> tuple[Machine, ...]:
            return tuple(
                machine
                for machine in self._node.directory.engines(fleet)
                if cell_of(machine.machine_id, num_cells) == cell
            )

        def make_service(replica: AnyReplica) -> FleetService:
            other_cells = (
                tuple(fleet_shard(fleet, other_cell) for other_cell in range(1, num_cells))
                if cell == 0
                else ()
            )
            return FleetService(
                replica,
                model,
                machines,
                platform.engines,
                platform.weight_store,
                other_cells,
                cell == 0,
                self._announce_version,
            )

        return ShardPlan(
            shard, f"{model}/{num_cells}", lambda: self._make_replica(shard, EmptyState(), 0), make_service
        )
