"""What runs while a node owns a shard."""

from abc import ABC, abstractmethod

from worksramp.transport.messages import NodeReply, NodeRequest


class ShardService(ABC):
    """Work of a shard's owner; it exists only while ownership lasts."""

    @abstractmethod
    async def run(self) -> None:
        """Do the shard's own work until cancelled."""

    @abstractmethod
    async def handle(self, request: NodeRequest) -> NodeReply:
        """Answer one call about this shard."""

    @abstractmethod
    def figures(self) -> dict[str, int]:
        """Return counts for operators."""

    async def drain(self) -> None:  # noqa: B027 - most services have nothing to wait for
        """Take no new work and return once what is under way is recorded, before a hand-over."""
