"""``not_run`` is reported only if no back end can have begun."""

import random
from collections.abc import AsyncGenerator

import anyio
import pytest

from worksramp.backends.base import (
    ApplicationClient,
    ApplicationReply,
    ApplicationRequest,
    EngineClient,
    GenerateRequest,
    GenerationChunk,
    LoadOrder,
    Machine,
    MachineRole,
    Platform,
    WorkerReport,
)
from worksramp.gateway.live import LiveTraffic
from worksramp.outcomes import InterruptedStepError, NotStartedError
from worksramp.routing.generation import GenerationPolicy, generate_resumable
from worksramp.routing.limits import RetryBudget
from worksramp.routing.pool import WorkerPool
from worksramp_emulator.platform import LogCore, MachineListCore, ScorerCore, WeightStoreCore


class BreakThenRefuse(EngineClient, ApplicationClient):
    """The first call fails without an answer; every later call is refused."""

    def __init__(self) -> None:
        self.num_calls = 0

    def _fail(self, address: str) -> Exception:
        self.num_calls += 1
        if self.num_calls == 1:
            return InterruptedStepError("test", address, "reset")
        return NotStartedError("test", address, "refused", 1.0)

    async def generate(self, address: str, request: GenerateRequest) -> AsyncGenerator[GenerationChunk, None]:
        raise self._fail(address)
        yield

    async def call(self, address: str, request: ApplicationRequest) -> ApplicationReply:
        raise self._fail(address)

    async def report(self, address: str) -> WorkerReport:
        return WorkerReport(address, weight_version=1, max_num_seqs=4)

    async def order_load(self, address: str, order: LoadOrder) -> WorkerReport:
        raise NotImplementedError


def pool_of(client: BreakThenRefuse, role: MachineRole) -> WorkerPool:
    pool = WorkerPool("node", "zone", client.report, 8, random.Random(1))
    machines = tuple(Machine(f"worker-{n}", role, f"worker-{n}", "zone", "group") for n in range(3))
    pool.set_machines(machines)
    return pool


async def lease_all(pool: WorkerPool, client: BreakThenRefuse) -> None:
    for machine in pool.table.machines():
        report = await client.report(machine.address)
        pool.table.record_report(machine.machine_id, report, anyio.current_time())


def test_a_completion_that_may_have_begun_is_not_reported_as_not_run() -> None:
    async def main() -> None:
        client = BreakThenRefuse()
        pool = pool_of(client, MachineRole.ENGINE)
        await lease_all(pool, client)
        request = GenerateRequest("r", "model", "prompt", 8)
        with pytest.raises(InterruptedStepError):
            async for _ in generate_resumable(pool, client, request, GenerationPolicy(), RetryBudget()):
                pass
        assert client.num_calls > 1

    anyio.run(main)


def test_a_call_that_may_have_begun_is_not_reported_as_not_run() -> None:
    async def main() -> None:
        client = BreakThenRefuse()
        pool = pool_of(client, MachineRole.APPLICATION)
        await lease_all(pool, client)
        platform = Platform(LogCore(), client, client, WeightStoreCore(), ScorerCore(), MachineListCore())
        live = LiveTraffic(platform, lambda role, name: pool, lambda tenant: 8)
        request = ApplicationRequest("r", "GET", "/")
        with pytest.raises(InterruptedStepError):
            await live.call_application("group", request, is_safe=True)
        assert client.num_calls > 1

    anyio.run(main)


def test_a_refusal_carries_a_retry_after_time() -> None:
    async def main() -> None:
        client = BreakThenRefuse()
        pool = pool_of(client, MachineRole.ENGINE)
        request = GenerateRequest("r", "model", "prompt", 8)
        with pytest.raises(NotStartedError) as caught:
            async for _ in generate_resumable(pool, client, request, GenerationPolicy(), RetryBudget()):
                pass
        assert caught.value.retry_after_seconds

    anyio.run(main)
