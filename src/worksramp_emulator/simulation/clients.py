"""Defines platform clients that reach the emulated platform services over the simulated network."""

import random
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

import anyio
import anyio.abc
import msgspec

from worksramp.backends.base import (
    ApplicationClient,
    ApplicationReply,
    ApplicationRequest,
    EngineClient,
    GenerateRequest,
    GenerationChunk,
    LoadOrder,
    LogClient,
    LogPage,
    Machine,
    MachineListClient,
    Platform,
    ScorerClient,
    WeightStoreClient,
    WorkerReport,
)
from worksramp.outcomes import InterruptedStepError, NotStartedError, StepError
from worksramp_emulator.engine import EngineCore
from worksramp_emulator.platform import (
    ApplicationCore,
    LogCore,
    MachineListCore,
    ScorerCore,
    WeightStoreCore,
)
from worksramp_emulator.simulation.host import Host
from worksramp_emulator.simulation.network import SimulatedNetwork

REPLY_TIMEOUT_SECONDS = 5.0
CALL_TIMEOUT_SECONDS = 20.0
LATE_APPEND_MAX_SECONDS = 20.0


class SimulatedLog(LogClient):
    """Log client of one host.

    Args:
        core: the emulated log.
        source: host of the client.
        target: host of the log.
        late_share: returns the share of appends that get no reply and may take effect after the client
            timed out.
    """

    def __init__(
        self,
        core: LogCore,
        source: Host,
        target: Host,
        network: SimulatedNetwork,
        group: anyio.abc.TaskGroup,
        rng: random.Random,
        late_share: Callable[[], float],
    ) -> None:
        self._core = core
        self._source = source
        self._target = target
        self._network = network
        self._group = group
        self._rng = rng
        self._late_share = late_share

    async def append(self, stream: str, record: bytes) -> int:
        """See `LogClient.append`."""

        async def effect() -> int:
            if self._rng.random() < self._late_share():
                self._group.start_soon(self._append_late, stream, record)
                await anyio.sleep_forever()
            return await self._core.append(stream, record)

        return await self._network.exchange(
            self._source, self._target, "log.append", REPLY_TIMEOUT_SECONDS, effect
        )

    async def read(self, stream: str, start: int, max_records: int, wait_seconds: float) -> LogPage:
        """See `LogClient.read`."""
        timeout = wait_seconds + REPLY_TIMEOUT_SECONDS
        return await self._network.exchange(
            self._source,
            self._target,
            "log.read",
            timeout,
            lambda: self._core.read(stream, start, max_records, wait_seconds),
        )

    async def _append_late(self, stream: str, record: bytes) -> None:
        await anyio.sleep(self._rng.uniform(0.0, LATE_APPEND_MAX_SECONDS))
        try:
            await self._core.append(stream, record)
        except StepError:
            # The client has stopped waiting. If the log is down, the append is lost.
            return


class SimulatedEngines(EngineClient):
    """Engine client of one host.

    Args:
        cores: emulated engines by address.
        hosts: their hosts by address.
    """

    def __init__(
        self, cores: dict[str, EngineCore], hosts: dict[str, Host], source: Host, network: SimulatedNetwork
    ) -> None:
        self._cores = cores
        self._hosts = hosts
        self._source = source
        self._network = network
        self._last_chunk: GenerationChunk | None = None

    async def generate(self, address: str, request: GenerateRequest) -> AsyncGenerator[GenerationChunk, None]:
        """See `EngineClient.generate`."""
        await self._source.wait_until_thawed()
        target = self._hosts[address]
        if self._network.is_partitioned(self._source.name, target.name):
            await anyio.sleep(1.0)
            raise NotStartedError("engine.generate", address, "cannot connect")
        await self._network.wait_one_way_delay()
        async with aclosing(self._cores[address].generate(request)) as chunks:
            async for chunk in chunks:
                await self._source.wait_until_thawed()
                for stray in self._stray_chunks(chunk):
                    yield stray
                if self._network.is_partitioned(target.name, self._source.name):
                    await anyio.sleep(CALL_TIMEOUT_SECONDS)
                    raise InterruptedStepError("engine.generate", address, "no chunk came")
                yield chunk

    def _stray_chunks(self, chunk: GenerationChunk) -> list[GenerationChunk]:
        """Return chunks to deliver before this one: a duplicate of it, or the last chunk of any stream."""
        share = self._network.profile.chunk_fault_share
        drawn = self._network.draw_chunk_fault()
        strays: list[GenerationChunk] = []
        if drawn < share and self._last_chunk is not None:
            strays.append(self._last_chunk)
        elif drawn < 2 * share:
            strays.append(msgspec.structs.replace(chunk, is_final=False))
        self._last_chunk = chunk
        return strays

    async def report(self, address: str) -> WorkerReport:
        """See `EngineClient.report`."""
        return await self._network.exchange(
            self._source,
            self._hosts[address],
            "engine.report",
            REPLY_TIMEOUT_SECONDS,
            self._cores[address].report,
        )

    async def order_load(self, address: str, order: LoadOrder) -> WorkerReport:
        """See `EngineClient.order_load`."""
        return await self._network.exchange(
            self._source,
            self._hosts[address],
            "engine.order_load",
            REPLY_TIMEOUT_SECONDS,
            lambda: self._cores[address].order_load(order),
        )


class SimulatedApplications(ApplicationClient):
    """Application client of one host.

    Args:
        cores: emulated application workers by address.
        hosts: their hosts by address.
    """

    def __init__(
        self,
        cores: dict[str, ApplicationCore],
        hosts: dict[str, Host],
        source: Host,
        network: SimulatedNetwork,
    ) -> None:
        self._cores = cores
        self._hosts = hosts
        self._source = source
        self._network = network

    async def call(self, address: str, request: ApplicationRequest) -> ApplicationReply:
        """See `ApplicationClient.call`."""
        return await self._network.exchange(
            self._source,
            self._hosts[address],
            "application.call",
            CALL_TIMEOUT_SECONDS,
            lambda: self._cores[address].call(request),
        )

    async def report(self, address: str) -> WorkerReport:
        """See `ApplicationClient.report`."""
        return await self._network.exchange(
            self._source,
            self._hosts[address],
            "application.report",
            REPLY_TIMEOUT_SECONDS,
            self._cores[address].report,
        )


class SimulatedStore(WeightStoreClient):
    """Weight store client of one host."""

    def __init__(self, core: WeightStoreCore, source: Host, target: Host, network: SimulatedNetwork) -> None:
        self._core = core
        self._source = source
        self._target = target
        self._network = network

    async def newest_version(self, model: str) -> int:
        """See `WeightStoreClient.newest_version`."""
        return await self._network.exchange(
            self._source,
            self._target,
            "weights.newest",
            REPLY_TIMEOUT_SECONDS,
            lambda: self._core.newest_version(model),
        )


class SimulatedMachineList(MachineListClient):
    """Machine list client of one host."""

    def __init__(self, core: MachineListCore, source: Host, target: Host, network: SimulatedNetwork) -> None:
        self._core = core
        self._source = source
        self._target = target
        self._network = network

    async def machines(self) -> tuple[Machine, ...]:
        """See `MachineListClient.machines`."""
        return await self._network.exchange(
            self._source, self._target, "machines.list", REPLY_TIMEOUT_SECONDS, self._core.machines
        )


class SimulatedScorer(ScorerClient):
    """Scorer client of one host."""

    def __init__(self, core: ScorerCore, source: Host, target: Host, network: SimulatedNetwork) -> None:
        self._core = core
        self._source = source
        self._target = target
        self._network = network

    async def score(self, address: str, prompt: str, completion: str) -> float:
        """See `ScorerClient.score`."""
        return await self._network.exchange(
            self._source,
            self._target,
            "scorer.score",
            REPLY_TIMEOUT_SECONDS,
            lambda: self._core.score(address, prompt, completion),
        )


class PlatformCores:
    """All emulated platform services of one simulated deployment, and their hosts.

    Attributes:
        engines: engines by address.
        applications: application workers by address.
        worker_hosts: hosts of engines and application workers by address.
        late_append_share: see `SimulatedLog`.
    """

    def __init__(self, log: LogCore, store: WeightStoreCore, machine_list: MachineListCore) -> None:
        self.log = log
        self.store = store
        self.machine_list = machine_list
        self.scorer = ScorerCore()
        self.engines: dict[str, EngineCore] = {}
        self.applications: dict[str, ApplicationCore] = {}
        self.worker_hosts: dict[str, Host] = {}
        self.log_host = Host("log", "platform")
        self.platform_host = Host("platform", "platform")
        self.late_append_share = 0.0

    def clients_for(
        self, source: Host, network: SimulatedNetwork, group: anyio.abc.TaskGroup, rng: random.Random
    ) -> Platform:
        """Return the platform clients of one host."""
        log = SimulatedLog(
            self.log, source, self.log_host, network, group, rng, lambda: self.late_append_share
        )
        return Platform(
            log=log,
            engines=SimulatedEngines(self.engines, self.worker_hosts, source, network),
            applications=SimulatedApplications(self.applications, self.worker_hosts, source, network),
            weight_store=SimulatedStore(self.store, source, self.platform_host, network),
            scorers=SimulatedScorer(self.scorer, source, self.platform_host, network),
            machine_list=SimulatedMachineList(self.machine_list, source, self.platform_host, network),
        )
