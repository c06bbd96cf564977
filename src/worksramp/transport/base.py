"""Interface of the transport between nodes: best-effort datagrams, and calls with one reply.

See Also:
    worksramp.transport.tcp: the production implementation.
    worksramp_emulator.simulation.network: the in-process implementation for simulations.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any

DatagramHandler = Callable[[bytes], Coroutine[Any, Any, None]]
CallHandler = Callable[[bytes], Coroutine[Any, Any, bytes]]


class Transport(ABC):
    """Sends and receives the messages of one node.

    Attributes:
        address: ``ip:port`` at which other nodes reach this one.
    """

    address: str

    @abstractmethod
    async def send(self, address: str, payload: bytes) -> None:
        """Send a datagram; it may be lost, duplicated or reordered."""

    @abstractmethod
    async def call(self, address: str, payload: bytes, timeout_seconds: float) -> bytes:
        """Send a request and return its reply.

        Raises:
            NotStartedError: no connection could be made, so the peer did not receive the request.
            InterruptedStepError: no reply was received in time, or the connection broke.
        """

    @abstractmethod
    async def serve(self, on_datagram: DatagramHandler, on_call: CallHandler) -> None:
        """Receive messages until cancelled.

        Args:
            on_datagram: called with the payload of each datagram.
            on_call: called with the payload of each request; returns the payload of the reply.
        """
