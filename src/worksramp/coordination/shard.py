"""Interface of the work that runs while a node owns a shard."""

from abc import ABC, abstractmethod

from worksramp.transport.messages import NodeReply, NodeRequest


class ShardService(ABC):
    """Work of a shard's owner; exists only while the node owns the shard."""

    @abstractmethod
    async def run(self) -> None:
        """Do the shard's background work until cancelled."""

    @abstractmethod
    async def handle(self, request: NodeRequest) -> NodeReply:
        """Reply to one call about this shard."""

    @abstractmethod
    def figures(self) -> dict[str, int]:
        """Return metrics for operators, by name."""

    async def drain(self) -> None:  # noqa: B027 - most services have nothing to wait for
        """Accept no new work; return once work in progress is recorded. Called before a handover."""
