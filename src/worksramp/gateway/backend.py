"""Interface of a node as the HTTP handlers use it."""

from typing import Protocol

from worksramp.backends.base import Platform
from worksramp.coordination.configuration_service import ConfigurationService
from worksramp.coordination.membership import Membership
from worksramp.gateway.live import LiveTraffic
from worksramp.rollout.document import TenantDocument
from worksramp.settings import NodeSettings
from worksramp.transport.messages import DescribeShard, ExecuteOnce, FetchBatch, NodeReply


class GatewayBackend(Protocol):
    """Interface of a node to its HTTP handlers.

    Attributes:
        documents: the document in force for each tenant.

    See Also:
        worksramp.node.node.Node: the implementation.
    """

    settings: NodeSettings
    platform: Platform
    configuration: ConfigurationService
    membership: Membership
    live: LiveTraffic
    documents: dict[str, TenantDocument]

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts requests."""

    @property
    def num_in_flight(self) -> int:
        """Number of requests that have not ended."""

    @property
    def owned_shards(self) -> dict[str, dict[str, int]]:
        """Metrics of the shards that the node serves, by shard."""

    async def call_owner(
        self, request: ExecuteOnce | FetchBatch | DescribeShard, seconds: float
    ) -> NodeReply:
        """Send a request to the owner of its shard and return the reply.

        Args:
            seconds: time for all calls together; several nodes may be called in turn.

        Raises:
            NotStartedError: no owner was found, and no node started the request.
            InterruptedStepError: an owner may have started the request.
        """

    def wall_clock_ms(self) -> int:
        """Return the Unix time in milliseconds."""

    async def stop(self) -> None:
        """Drain the node and stop it."""
