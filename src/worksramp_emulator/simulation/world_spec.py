"""Defines a simulated deployment: sizes, names, node settings and the tenant's configuration."""

import hashlib
from dataclasses import dataclass, field

from worksramp.rollout.document import JobRequest, JobSpec, Preference, TenantDocument
from worksramp.settings import ApiKey, KeyRole, NodeSettings, PlatformSettings
from worksramp_emulator.engine import EngineProfile
from worksramp_emulator.simulation.network import NetworkProfile

TENANT = "zwrotka"
MODEL = "refund-writer"
FLEET = "refund-model"
APPLICATION = "refund-app"
JOB = "explanations"
ZONES = ("wro-a", "wro-b", "lodz-c")
OPERATOR_KEY, CALLER_KEY, TRAINER_KEY = "operator-key", "caller-key", "trainer-key"


@dataclass(frozen=True, slots=True)
class WorldSpec:
    """Size and speed of a simulated deployment.

    Attributes:
        machine_list_lag_seconds: delay after which a change shows in the machine list.
        num_steps: number of batches that the trainer fetches.
    """

    num_nodes: int = 3
    num_engines: int = 5
    num_applications: int = 3
    machine_list_lag_seconds: float = 5.0
    num_steps: int = 5
    train_seconds: float = 3.0
    max_staleness: int = 2
    samples_per_step: int = 8
    group_size: int = 2
    max_tokens: int = 128
    preference: Preference = Preference.IDLE_TIME
    num_fleet_cells: int = 1
    engine: EngineProfile = field(default_factory=lambda: EngineProfile(load_seconds=0.6))
    network: NetworkProfile = field(default_factory=NetworkProfile)


def peer_address(index: int) -> str:
    """Return the address at which other nodes reach a node."""
    return f"10.0.0.{index + 1}:7000"


def tenant_document(spec: WorldSpec, prompt_set: str, num_prompts: int) -> TenantDocument:
    """Return the tenant's configuration with one rollout job.

    Args:
        spec: size of the deployment.
        prompt_set: name of the job's prompt set.
        num_prompts: number of prompts in it.
    """
    job = JobSpec(
        model=MODEL,
        prompt_set=prompt_set,
        num_prompts=num_prompts,
        scorer="10.0.1.4:1",
        max_staleness=spec.max_staleness,
        group_size=spec.group_size,
        samples_per_step=spec.samples_per_step,
        max_tokens=spec.max_tokens,
        max_in_flight=2 * spec.samples_per_step,
    )
    return TenantDocument(
        models={MODEL: FLEET},
        templates={"writer": job},
        jobs={JOB: JobRequest("writer")},
        preference=spec.preference,
        num_fleet_cells=spec.num_fleet_cells,
    )


def node_settings(index: int, zone: str) -> NodeSettings:
    """Return the settings of one node."""
    return NodeSettings(
        node_id=f"node-{index}",
        zone=zone,
        listen=f"10.0.0.{index + 1}:8000",
        peer_listen=peer_address(index),
        platform=PlatformSettings("10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1"),
        keys=(
            _api_key(CALLER_KEY, KeyRole.CALLER),
            _api_key(TRAINER_KEY, KeyRole.TRAINER),
            _api_key(OPERATOR_KEY, KeyRole.OPERATOR),
        ),
        num_ledger_shards=4,
        drain_seconds=60.0,
    )


def _api_key(key: str, role: KeyRole) -> ApiKey:
    return ApiKey(TENANT, role, hashlib.sha256(key.encode()).hexdigest())
