"""Policies that worksramp is measured against: a trainer that drives engines directly."""

import random
from collections.abc import Awaitable, Callable
from contextlib import aclosing

import anyio
import anyio.abc

from worksramp.backends.base import GenerateRequest, LoadOrder
from worksramp_emulator.engine import EngineCore
from worksramp_emulator.experiment_spec import (
    MODEL,
    POLL_SECONDS,
    ROLLOUT_PRIORITY,
    ExperimentSpec,
    RunFigures,
    engine_profile,
    live_traffic,
    sample_prompt,
)
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.world import LIVE_MAX_TOKENS
from worksramp_emulator.text import completion_length


class Baseline:
    """A trainer that drives engines directly, for policies that worksramp is measured against."""

    def __init__(self, spec: ExperimentSpec, seed: int, group: anyio.abc.TaskGroup) -> None:
        self.spec = spec
        self.rng = random.Random(seed)
        self.seed = seed
        self.group = group
        profile = engine_profile(spec)
        self.engines = [EngineCore(f"engine-{index}", profile) for index in range(spec.num_engines)]
        self.version = 1
        self.idle_seconds = 0.0
        self.staleness: list[int] = []
        self.lengths: list[int] = []
        self.live_seconds: list[float] = []
        self._next_engine = 0

    def start(self) -> None:
        """Start the engines and the live traffic."""
        for engine in self.engines:
            self.group.start_soon(engine.run)
        self.group.start_soon(live_traffic, self.spec, self.rng, self.ask_live)

    async def generate(self, request: GenerateRequest) -> tuple[int, int, bool]:
        """Generate on the next engine in turn; return length, oldest version, and whether it swapped."""
        engine = self.engines[self._next_engine % len(self.engines)]
        self._next_engine += 1
        versions: list[int] = []
        length = 0
        async with aclosing(engine.generate(request)) as chunks:
            async for chunk in chunks:
                length += len(chunk.tokens)
                versions.append(chunk.weight_version)
                if versions[0] != versions[-1] and request.priority == ROLLOUT_PRIORITY:
                    return length, versions[0], True
        return length, min(versions), False

    async def ask_live(self, number: int) -> None:
        """Ask one live completion."""
        started_at = anyio.current_time()
        prompt = f"Live question {number % 5}"
        await self.generate(GenerateRequest(f"live-{number}", MODEL, prompt, LIVE_MAX_TOKENS, number))
        self.live_seconds.append(anyio.current_time() - started_at)

    def sample_request(self, index: int, attempt: int) -> GenerateRequest:
        """Return the request of one sample."""
        prompt = sample_prompt(self.spec.group_size, index)
        seed = self.seed * 1_000_003 + index
        request_id = f"sample-{index}-{attempt}"
        return GenerateRequest(request_id, MODEL, prompt, self.spec.max_tokens, seed, ROLLOUT_PRIORITY)

    def take(self, length: int, version: int) -> None:
        """Note a sample as delivered."""
        self.lengths.append(length)
        self.staleness.append(self.version - version)

    async def train_and_load(self, is_waiting: bool) -> None:
        """Train, publish, and have every engine load the new weights."""
        await anyio.sleep(self.spec.train_seconds)
        self.version += 1
        for engine in self.engines:
            await engine.order_load(LoadOrder(MODEL, self.version, 1))
        while is_waiting and any(engine.weight_version < self.version for engine in self.engines):
            self.idle_seconds += POLL_SECONDS
            await anyio.sleep(POLL_SECONDS)

    def figures(self) -> RunFigures:
        """Return the figures of the run."""
        elapsed = anyio.current_time()
        num_planned = self.spec.num_steps * self.spec.samples_per_step
        requests = [self.sample_request(index, 1) for index in range(num_planned)]
        planned = [completion_length(item.prompt, item.seed, item.max_tokens) for item in requests]
        total = self.idle_seconds + self.spec.train_seconds * self.spec.num_steps
        return RunFigures(
            self.engines,
            self.lengths,
            self.staleness,
            self.idle_seconds / total,
            self.live_seconds,
            elapsed,
            planned,
        )


async def run_synchronous(baseline: Baseline) -> None:
    """Generate a step's samples, wait for the last, train, load, and again."""
    spec = baseline.spec
    for step in range(spec.num_steps):
        asked_at = anyio.current_time()
        async with anyio.create_task_group() as group:

            async def one(index: int) -> None:
                length, version, _ = await baseline.generate(baseline.sample_request(index, 1))
                baseline.take(length, version)

            for index in range(step * spec.samples_per_step, (step + 1) * spec.samples_per_step):
                group.start_soon(one, index)
        baseline.idle_seconds += anyio.current_time() - asked_at
        await baseline.train_and_load(is_waiting=True)


async def run_naive(baseline: Baseline) -> None:
    """Generate all the time; drop what a swap interrupts; take the first finished that are fresh."""
    spec = baseline.spec
    finished: list[tuple[int, int]] = []
    num_started = [0]

    async def produce() -> None:
        while True:
            while len(finished) >= spec.max_staleness * spec.samples_per_step:
                await anyio.sleep(POLL_SECONDS)
            index = num_started[0]
            num_started[0] += 1
            is_cut, attempt = True, 0
            while is_cut:
                attempt += 1
                length, version, is_cut = await baseline.generate(baseline.sample_request(index, attempt))
            finished.append((length, version))

    async with anyio.create_task_group() as group:
        for _ in range(2 * spec.samples_per_step):
            group.start_soon(produce)
        for _ in range(spec.num_steps):
            asked_at = anyio.current_time()
            while True:
                finished[:] = [item for item in finished if baseline.version - item[1] <= spec.max_staleness]
                if len(finished) >= spec.samples_per_step:
                    break
                await anyio.sleep(POLL_SECONDS)
            baseline.idle_seconds += anyio.current_time() - asked_at
            for length, version in finished[: spec.samples_per_step]:
                baseline.take(length, version)
            del finished[: spec.samples_per_step]
            await baseline.train_and_load(is_waiting=False)
        group.cancel_scope.cancel()


def run_baseline(
    spec: ExperimentSpec, seed: int, policy: Callable[[Baseline], Awaitable[None]]
) -> RunFigures:
    """Run a baseline policy."""

    async def main() -> RunFigures:
        async with anyio.create_task_group() as group:
            baseline = Baseline(spec, seed, group)
            baseline.start()
            await policy(baseline)
            figures = baseline.figures()
            group.cancel_scope.cancel()
        return figures

    return run_simulated(main, seed)


async def run_nothing(baseline: Baseline) -> None:
    """Serve live traffic only."""
    baseline.idle_seconds = 1.0
    await anyio.sleep(baseline.spec.num_steps * baseline.spec.train_seconds)
