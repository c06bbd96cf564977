"""In-process network: delay, loss, duplication, reordering, and cuts in either direction."""

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
    """How the network behaves.

    Attributes:
        one_way_seconds: least delay; up to as much again is added at random, which reorders.
        loss_share: share of datagrams lost.
        duplication_share: share of datagrams that arrive twice.
        chunk_fault_share: share of stream chunks after which an older chunk of the stream, or one of
            another stream, arrives.
    """

    one_way_seconds: float = 0.001
    loss_share: float = 0.01
    duplication_share: float = 0.02
    chunk_fault_share: float = 0.01


class SimulatedNetwork:
    """Connects hosts by address.

    Args:
        group: runs deliveries.
        rng: seeded source of delays and losses.
    """

    def __init__(self, group: anyio.abc.TaskGroup, rng: random.Random, profile: NetworkProfile) -> None:
        self.profile = profile
        self._group = group
        self._rng = rng
        self._cuts: set[tuple[str, str]] = set()
        self._ends: dict[str, SimulatedTransport] = {}

    def cut(self, source: str, target: str) -> None:
        """Lose all that goes from one host to another."""
        self._cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Undo `cut`."""
        self._cuts.discard((source, target))

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether nothing passes from one host to another."""
        return (source, target) in self._cuts

    def draw_chunk_trouble(self) -> float:
        """Return a number below `chunk_fault_share` if a stray chunk is to arrive now."""
        return self._rng.random()

    async def travel(self) -> None:
        """Wait as long as one message takes one way."""
        await anyio.sleep(self.profile.one_way_seconds * (1.0 + self._rng.random()))

    def attach(self, end: "SimulatedTransport") -> None:
        """Make a transport reachable."""
        self._ends[end.address] = end

    def detach(self, end: "SimulatedTransport") -> None:
        """Make a transport unreachable, unless a newer one has its address."""
        if self._ends.get(end.address) is end:
            del self._ends[end.address]

    def end_at(self, address: str) -> "SimulatedTransport | None":
        """Return the transport at an address."""
        return self._ends.get(address)

    def post(self, source: Host, address: str, payload: bytes) -> None:
        """Send a datagram: lost, once, or twice."""
        if self._rng.random() < self.profile.loss_share:
            return
        num_copies = 2 if self._rng.random() < self.profile.duplication_share else 1
        for _ in range(num_copies):
            self._group.start_soon(self._deliver, source, address, payload)

    async def _deliver(self, source: Host, address: str, payload: bytes) -> None:
        await self.travel()
        end = self._ends.get(address)
        if end is None or not end.host.is_alive or self.is_cut(source.name, end.host.name):
            return
        if end.host.is_frozen:
            # A frozen host's socket buffer holds little; what overflows is lost, so take it as lost.
            return
        await end.take_datagram(payload)

    async def exchange(
        self,
        source: Host,
        target: Host,
        step: str,
        timeout_seconds: float,
        effect: Callable[[], Awaitable[ResultT]],
    ) -> ResultT:
        """Make one request and return its answer, with everything the network may do to either.

        Raises:
            NotStartedError: no connection could be made.
            InterruptedStepError: no answer came; the effect may have taken place.
        """
        await source.gate()
        if self.is_cut(source.name, target.name):
            await anyio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise NotStartedError(step, target.name, "cannot connect: timed out")
        outcome: ResultT | StepError | None = None
        with anyio.move_on_after(timeout_seconds):
            await self.travel()
            try:
                outcome = await effect()
            except StepError as error:
                outcome = error
            if self.is_cut(target.name, source.name):
                await anyio.sleep_forever()
            await self.travel()
            await source.gate()
            if isinstance(outcome, StepError):
                raise outcome
            return outcome
        await source.gate()
        raise InterruptedStepError(step, target.name, f"no reply in {timeout_seconds:.1f} s")


class SimulatedTransport(Transport):
    """In-process twin of the node-to-node transport."""

    def __init__(self, address: str, host: Host, network: SimulatedNetwork) -> None:
        self.address = address
        self.host = host
        self._network = network
        self._on_datagram: DatagramHandler | None = None
        self._on_call: CallHandler | None = None

    async def send(self, address: str, payload: bytes) -> None:
        """See `Transport.send`."""
        await self.host.gate()
        self._network.post(self.host, address, payload)

    async def call(self, address: str, payload: bytes, timeout_seconds: float) -> bytes:
        """See `Transport.call`."""
        await self.host.gate()
        end = self._network.end_at(address)
        if end is None:
            await self._network.travel()
            raise NotStartedError("transport.call", address, "connection refused")
        target = end

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

    async def take_datagram(self, payload: bytes) -> None:
        """Hand a datagram to the node."""
        if self._on_datagram is not None and self.host.group is not None:
            self.host.group.start_soon(self._on_datagram, payload)

    async def answer(self, payload: bytes) -> bytes:
        """Have the node answer a call."""
        assert self._on_call is not None
        return await self._on_call(payload)
