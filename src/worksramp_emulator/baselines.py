"""Baseline policies of the experiments, in which a trainer calls the engines without worksramp."""

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
    RunMeasurements,
    engine_profile,
    live_traffic,
    sample_prompt,
)
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.world import LIVE_MAX_TOKENS
from worksramp_emulator.text import completion_length


class Baseline:
    """Engines, live traffic and the trainer of a baseline run, for a policy to use.

    Attributes:
        version: newest weight version of the trainer.
        idle_seconds: time that the trainer waited for samples or for the engines' loads.
        staleness: number of versions by which each delivered sample was behind the trainer.
        lengths: number of tokens of each delivered sample.
        live_seconds: latency of each live request.
    """

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
        """Generate a completion on the next engine, round robin.

        Returns:
            Number of tokens, oldest weight version, and whether the completion was aborted. A rollout
            request is aborted once the engine has loaded other weights.
        """
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
        """Send a live request and record its latency."""
        started_at = anyio.current_time()
        prompt = f"Live question {number % 5}"
        await self.generate(GenerateRequest(f"live-{number}", MODEL, prompt, LIVE_MAX_TOKENS, number))
        self.live_seconds.append(anyio.current_time() - started_at)

    def sample_request(self, index: int, attempt: int) -> GenerateRequest:
        """Return the request for one sample."""
        prompt = sample_prompt(self.spec.group_size, index)
        seed = self.seed * 1_000_003 + index
        request_id = f"sample-{index}-{attempt}"
        return GenerateRequest(request_id, MODEL, prompt, self.spec.max_tokens, seed, ROLLOUT_PRIORITY)

    def record_delivery(self, length: int, version: int) -> None:
        """Record a delivered sample."""
        self.lengths.append(length)
        self.staleness.append(self.version - version)

    async def train_and_load(self, should_wait: bool) -> None:
        """Train a step and order every engine to load the new weights.

        Args:
            should_wait: whether the trainer stays idle until all engines have loaded them.
        """
        await anyio.sleep(self.spec.train_seconds)
        self.version += 1
        for engine in self.engines:
            await engine.order_load(LoadOrder(MODEL, self.version, 1))
        while should_wait and any(engine.weight_version < self.version for engine in self.engines):
            self.idle_seconds += POLL_SECONDS
            await anyio.sleep(POLL_SECONDS)

    def measurements(self) -> RunMeasurements:
        """Return the measurements of the run until now."""
        elapsed = anyio.current_time()
        num_planned = self.spec.num_steps * self.spec.samples_per_step
        requests = [self.sample_request(index, 1) for index in range(num_planned)]
        planned = [completion_length(item.prompt, item.seed, item.max_tokens) for item in requests]
        total = self.idle_seconds + self.spec.train_seconds * self.spec.num_steps
        return RunMeasurements(
            self.engines,
            self.lengths,
            self.staleness,
            self.idle_seconds / total,
            self.live_seconds,
            elapsed,
            planned,
        )


async def run_synchronous(baseline: Baseline) -> None:
    """Generate all samples of a step, train, load the weights everywhere, and go on to the next step."""
    spec = baseline.spec
    for step in range(spec.num_steps):
        requested_at = anyio.current_time()
        async with anyio.create_task_group() as group:

            async def generate_sample(index: int) -> None:
                length, version, _ = await baseline.generate(baseline.sample_request(index, 1))
                baseline.record_delivery(length, version)

            for index in range(step * spec.samples_per_step, (step + 1) * spec.samples_per_step):
                group.start_soon(generate_sample, index)
        baseline.idle_seconds += anyio.current_time() - requested_at
        await baseline.train_and_load(should_wait=True)


async def run_naive(baseline: Baseline) -> None:
    """Generate continuously, and train on the first finished samples that are fresh enough.

    A sample whose engine loads other weights meanwhile is discarded and generated again.
    """
    spec = baseline.spec
    finished: list[tuple[int, int]] = []
    num_started = [0]

    async def produce() -> None:
        while True:
            while len(finished) >= spec.max_staleness * spec.samples_per_step:
                await anyio.sleep(POLL_SECONDS)
            index = num_started[0]
            num_started[0] += 1
            is_aborted, attempt = True, 0
            while is_aborted:
                attempt += 1
                length, version, is_aborted = await baseline.generate(baseline.sample_request(index, attempt))
            finished.append((length, version))

    async with anyio.create_task_group() as group:
        for _ in range(2 * spec.samples_per_step):
            group.start_soon(produce)
        for _ in range(spec.num_steps):
            requested_at = anyio.current_time()
            while True:
                finished[:] = [item for item in finished if baseline.version - item[1] <= spec.max_staleness]
                if len(finished) >= spec.samples_per_step:
                    break
                await anyio.sleep(POLL_SECONDS)
            baseline.idle_seconds += anyio.current_time() - requested_at
            for length, version in finished[: spec.samples_per_step]:
                baseline.record_delivery(length, version)
            del finished[: spec.samples_per_step]
            await baseline.train_and_load(should_wait=False)
        group.cancel_scope.cancel()


def run_baseline(
    spec: ExperimentSpec, seed: int, policy: Callable[[Baseline], Awaitable[None]]
) -> RunMeasurements:
    """Run a baseline policy on the virtual clock and return its measurements."""

    async def main() -> RunMeasurements:
        async with anyio.create_task_group() as group:
            baseline = Baseline(spec, seed, group)
            baseline.start()
            await policy(baseline)
            measurements = baseline.measurements()
            group.cancel_scope.cancel()
        return measurements

    return run_simulated(main, seed)


async def run_live_only(baseline: Baseline) -> None:
    """Serve only live traffic, for as long as the training steps take."""
    baseline.idle_seconds = 1.0
    await anyio.sleep(baseline.spec.num_steps * baseline.spec.train_seconds)
