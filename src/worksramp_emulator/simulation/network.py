"""Simulates the network in one process: delay, loss, duplication, reordering and one-way partitions."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio
import anyio.abc

from worksramp.outcomes import InterruptedStepError, NotStartedError, StepError
from worksramp.transport.base import CallHandler, DatagramHandler, Transport
from worksramp_emulator.simulation.host import Host

CONNECT_TIMEOUT_SECONDS = 1.0
ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class NetworkProfile:
    """Delays and fault rates of the network.

    Attributes:
        one_way_seconds: minimum one-way delay. A random delay of up to the same length is added, so messages
            can be reordered.
        loss_share: share of datagrams lost.
        duplication_share: share of datagrams that are delivered twice.
        chunk_fault_share: share of stream chunks that are delivered twice. Before the same share of
            chunks, the chunk that the client received last, from any stream, is delivered again.
    """

    one_way_seconds: float = 0.001
    loss_share: float = 0.01
    duplication_share: float = 0.02
    chunk_fault_share: float = 0.01


class SimulatedNetwork:
    """Connects the transports of all hosts.

    Args:
        group: runs the deliveries of datagrams.
        rng: seeded source of delays and faults.
        profile: delays and fault rates.
    """

    def __init__(self, group: anyio.abc.TaskGroup, rng: random.Random, profile: NetworkProfile) -> None:
        self.profile = profile
        self._group = group
        self._rng = rng
        self._partitions: set[tuple[str, str]] = set()
        self._transports: dict[str, SimulatedTransport] = {}

    def partition(self, source: str, target: str) -> None:
        """Drop everything that one host sends to another."""
        self._partitions.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Undo `partition`."""
        self._partitions.discard((source, target))

    def is_partitioned(self, source: str, target: str) -> bool:
        """Return whether messages from one host to another are dropped."""
        return (source, target) in self._partitions

    def draw_chunk_fault(self) -> float:
        """Return a random number in [0, 1) that decides which stray chunk, if any, arrives now."""
        return self._rng.random()

    async def wait_one_way_delay(self) -> None:
        """Wait for the one-way delay of a message."""
        await anyio.sleep(self.profile.one_way_seconds * (1.0 + self._rng.random()))

    def attach(self, transport: "SimulatedTransport") -> None:
        """Make a transport reachable."""
        self._transports[transport.address] = transport

    def detach(self, transport: "SimulatedTransport") -> None:
        """Make a transport unreachable, unless a newer one has taken over its address."""
        if self._transports.get(transport.address) is transport:
            del self._transports[transport.address]

    def transport_at(self, address: str) -> "SimulatedTransport | None":
        """Return the transport at an address, or None."""
        return self._transports.get(address)

    def send_datagram(self, source: Host, address: str, payload: bytes) -> None:
        """Send a datagram, which may be lost or duplicated."""
        if self._rng.random() < self.profile.loss_share:
            return
        num_copies = 2 if self._rng.random() < self.profile.duplication_share else 1
        for _ in range(num_copies):
            self._group.start_soon(self._deliver, source, address, payload)

    async def _deliver(self, source: Host, address: str, payload: bytes) -> None:
        await self.wait_one_way_delay()
        transport = self._transports.get(address)
        if (
            transport is None
            or not transport.host.is_alive
            or self.is_partitioned(source.name, transport.host.name)
        ):
            return
        if transport.host.is_frozen:
            # The socket buffer of a frozen host is small and overflows, so the datagram counts as lost.
            return
        await transport.handle_datagram(payload)

    async def exchange(
        self,
        source: Host,
        target: Host,
        step: str,
        timeout_seconds: float,
        effect: Callable[[], Awaitable[ResultT]],
    ) -> ResultT:
        """Send one request over the simulated network and return its reply.

        Either may be delayed or dropped.

        Raises:
            NotStartedError: no connection could be made.
            InterruptedStepError: no reply came in time; the effect may have taken place.
        """
        await source.wait_until_thawed()
        if self.is_partitioned(source.name, target.name):
            await anyio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise NotStartedError(step, target.name, "cannot connect: timed out")
        outcome: ResultT | StepError | None = None
        with anyio.move_on_after(timeout_seconds):
            await self.wait_one_way_delay()
            try:
                outcome = await effect()
            except StepError as error:
                outcome = error
            if self.is_partitioned(target.name, source.name):
                await anyio.sleep_forever()
            await self.wait_one_way_delay()
            await source.wait_until_thawed()
            if isinstance(outcome, StepError):
                raise outcome
            return outcome
        await source.wait_until_thawed()
        raise InterruptedStepError(step, target.name, f"no reply in {timeout_seconds:.1f} s")


class SimulatedTransport(Transport):
    """Transport between nodes over the simulated network."""

    def __init__(self, address: str, host: Host, network: SimulatedNetwork) -> None:
        self.address = address
        self.host = host
        self._network = network
        self._on_datagram: DatagramHandler | None = None
        self._on_call: CallHandler | None = None

    async def send(self, address: str, payload: bytes) -> None:
        """See `Transport.send`."""
        await self.host.wait_until_thawed()
        self._network.send_datagram(self.host, address, payload)

    async def call(self, address: str, payload: bytes, timeout_seconds: float) -> bytes:
        """See `Transport.call`."""
        await self.host.wait_until_thawed()
        found = self._network.transport_at(address)
        if found is None:
            await self._network.wait_one_way_delay()
            raise NotStartedError("transport.call", address, "connection refused")
        target = found

        async def effect() -> bytes:
            return await target.host.serve("transport.call", lambda: target.answer(payload))

        return await self._network.exchange(self.host, target.host, "transport.call", timeout_seconds, effect)

    async def serve(self, on_datagram: DatagramHandler, on_call: CallHandler) -> None:
        """See `Transport.serve`."""
        self._on_datagram = on_datagram
        self._on_call = on_call
        self._network.attach(self)
        try:
            await anyio.sleep_forever()
        finally:
            self._network.detach(self)

    async def handle_datagram(self, payload: bytes) -> None:
        """Start the node's handler for a datagram."""
        if self._on_datagram is not None and self.host.group is not None:
            self.host.group.start_soon(self._on_datagram, payload)

    async def answer(self, payload: bytes) -> bytes:
        """Run the node's handler for a call and return its reply."""
        assert self._on_call is not None
        return await self._on_call(payload)
