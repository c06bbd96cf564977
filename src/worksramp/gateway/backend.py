"""What the HTTP applications need of a node."""

from typing import Protocol

from worksramp.backends.base import Platform
from worksramp.coordination.configuration_service import ConfigurationService
from worksramp.coordination.membership import Membership
from worksramp.gateway.live import LiveTraffic
from worksramp.rollout.document import TenantDocument
from worksramp.settings import NodeSettings
from worksramp.transport.messages import DescribeShard, ExecuteOnce, FetchBatch, NodeReply


class GatewayBackend(Protocol):
    """A node as its HTTP applications see it."""

    settings: NodeSettings
    platform: Platform
    configuration: ConfigurationService
    membership: Membership
    live: LiveTraffic
    documents: dict[str, TenantDocument]

    @property
    def is_ready(self) -> bool:
        """Whether requests may be taken."""

    @property
    def num_in_flight(self) -> int:
        """Requests that have not ended."""

    @property
    def owned_shards(self) -> dict[str, dict[str, int]]:
        """Figures of the shards that this node serves."""

    async def call_owner(
        self, request: ExecuteOnce | FetchBatch | DescribeShard, seconds: float
    ) -> NodeReply:
        """Have the owner of a shard answer a request."""

    def wall_clock_ms(self) -> int:
        """Unix time in milliseconds."""

    async def stop(self) -> None:
        """Leave in order."""
