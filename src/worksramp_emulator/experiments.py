"""Experiments on the virtual clock: trainer idle share and staleness of several policies side by side.

Every policy meets the same engines, the same sample lengths, the same live traffic and the same trainer.
Lengths are log-normal, since the users tell of a few samples that run far longer than the rest.

See Also:
    docs/EXPERIMENTS.md: what was assumed, and the results.
"""

import csv
import random
import statistics
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, aclosing
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import anyio.abc
import msgspec

from worksramp.logs import configure_logs
from worksramp.platform.base import GenerateRequest, LoadOrder
from worksramp.rollout.document import Preference
from worksramp.rollout.job_service import sample_seed
from worksramp.routing import pool
from worksramp.routing.choice import RouteRequest
from worksramp.routing.leases import Worker
from worksramp_emulator.engine import EngineCore, EngineProfile
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.history import LiveAnswered
from worksramp_emulator.simulation.network import NetworkProfile
from worksramp_emulator.simulation.world import LIVE_MAX_TOKENS, World
from worksramp_emulator.simulation.world_spec import WorldSpec
from worksramp_emulator.text import completion_length
from worksramp_emulator.trainer import TrainerRecord

MODEL = "model"
ROLLOUT_PRIORITY = 10
NUM_PROMPTS = 8
P50, P95, P99 = 0.50, 0.95, 0.99
LIVE_DEADLINE_SECONDS = 300.0
POLL_SECONDS = 0.05


class ExperimentSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One deployment under one load.

    Attributes:
        step_base_seconds: decode step; a token here stands for a run of real tokens.
        train_seconds: time of a training step.
        live_period_seconds: mean time between live requests; a third of it during the peak.
        seeds: each policy runs once a seed.
    """

    name: str
    num_engines: int
    samples_per_step: int
    group_size: int
    max_staleness: int
    num_steps: int
    train_seconds: float
    max_tokens: int = 384
    max_num_seqs: int = 16
    step_base_seconds: float = 0.1
    step_per_sequence_seconds: float = 0.002
    load_seconds: float = 1.0
    live_period_seconds: float = 0.4
    seeds: tuple[int, ...] = (1, 2, 3)


class ExperimentFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The TOML file of an experiment run."""

    experiments: tuple[ExperimentSpec, ...]


class PolicyResult(msgspec.Struct, frozen=True):
    """Figures of one policy in one run; shares are between 0 and 1, times in seconds."""

    experiment: str
    policy: str
    seed: int
    idle_share: float
    staleness_mean: float
    staleness_p95: int
    staleness_max: int
    wasted_token_share: float
    prefix_hit_share: float
    engine_utilisation: float
    live_p50_seconds: float
    live_p99_seconds: float
    length_bias: float


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, 0.0 of no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def engine_profile(spec: ExperimentSpec) -> EngineProfile:
    """Return the engines' speed."""
    return EngineProfile(
        max_num_seqs=spec.max_num_seqs,
        step_base_seconds=spec.step_base_seconds,
        step_per_sequence_seconds=spec.step_per_sequence_seconds,
        steps_per_round=4,
        prefill_seconds=2 * spec.step_base_seconds,
        load_seconds=spec.load_seconds,
        max_queued=1024,
    )


@dataclass(slots=True)
class RunFigures:
    """What a run leaves for its result."""

    engines: list[EngineCore]
    delivered_lengths: list[int]
    staleness: list[int]
    idle_share: float
    live_seconds: list[float]
    elapsed_seconds: float
    planned_lengths: list[int] = field(default_factory=list)

    def result(self, experiment: str, policy: str, seed: int) -> PolicyResult:
        """Work the figures out."""
        num_tokens = sum(engine.statistics.num_tokens for engine in self.engines)
        num_live_tokens = sum(
            run.end - run.start
            for engine in self.engines
            for run in engine.token_runs
            if run.request_id.startswith("live")
        )
        num_rollout = max(1, num_tokens - num_live_tokens)
        num_hits = sum(engine.statistics.num_prefix_hits for engine in self.engines)
        num_accepted = max(1, sum(engine.statistics.num_accepted for engine in self.engines))
        busy = sum(engine.statistics.busy_seconds for engine in self.engines)
        ages = [float(age) for age in self.staleness] or [0.0]
        planned = statistics.mean(self.planned_lengths or [1])
        return PolicyResult(
            experiment=experiment,
            policy=policy,
            seed=seed,
            idle_share=self.idle_share,
            staleness_mean=statistics.mean(ages),
            staleness_p95=int(percentile(ages, P95)),
            staleness_max=int(max(ages)),
            wasted_token_share=1.0 - min(1.0, sum(self.delivered_lengths) / num_rollout),
            prefix_hit_share=num_hits / num_accepted,
            engine_utilisation=busy / (self.elapsed_seconds * len(self.engines)),
            live_p50_seconds=percentile(self.live_seconds, P50),
            live_p99_seconds=percentile(self.live_seconds, P99),
            length_bias=statistics.mean(self.delivered_lengths or [0]) / planned,
        )


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


def sample_prompt(group_size: int, index: int) -> str:
    """Return the prompt of a sample, as the simulated world has it too."""
    return f"Prompt number {(index // group_size) % NUM_PROMPTS} of the job"


async def live_traffic(
    spec: ExperimentSpec, rng: random.Random, ask: Callable[[int], Coroutine[Any, Any, None]]
) -> None:
    """Ask live requests for ever: Poisson arrivals, three times as dense in the middle third of the run."""
    expected_seconds = spec.num_steps * spec.train_seconds
    number = 0
    async with anyio.create_task_group() as group:
        while True:
            is_peak = expected_seconds / 3 < anyio.current_time() < expected_seconds * 2 / 3
            mean = spec.live_period_seconds / (3 if is_peak else 1)
            await anyio.sleep(rng.expovariate(1.0 / mean))
            group.start_soon(ask, number)
            number += 1


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


def run_worksramp(spec: ExperimentSpec, seed: int, preference: Preference, is_affine: bool) -> RunFigures:
    """Run worksramp's own nodes; without affinity, workers are chosen in turn."""
    world_spec = WorldSpec(
        num_engines=spec.num_engines,
        num_steps=spec.num_steps,
        train_seconds=spec.train_seconds,
        max_staleness=spec.max_staleness,
        samples_per_step=spec.samples_per_step,
        group_size=spec.group_size,
        max_tokens=spec.max_tokens,
        preference=preference,
        engine=engine_profile(spec),
        network=NetworkProfile(loss_share=0.0, duplication_share=0.0, chunk_trouble_share=0.0),
    )

    async def main() -> RunFigures:
        async with anyio.create_task_group() as group:
            world = World(world_spec, seed, group)
            await world.start()
            group.start_soon(
                live_traffic,
                spec,
                world.rng,
                lambda number: world.ask_live(number, LIVE_DEADLINE_SECONDS),
            )
            await world.run_trainer()
            figures = world_figures(world, world.trainer)
            group.cancel_scope.cancel()
        return figures

    with ExitStack() as stack:
        if not is_affine:
            stack.enter_context(mock.patch.object(pool, "choose_worker", choose_in_turn))
        return run_simulated(main, seed)


def choose_in_turn(workers: tuple[Worker, ...], request: RouteRequest, rng: random.Random) -> Worker | None:
    """Choose workers in turn, whatever the prompt."""
    allowed = [
        worker
        for worker in workers
        if not worker.report.is_loading
        and worker.machine.machine_id not in request.excluded
        and worker.num_in_flight < worker.report.max_num_seqs * (1.0 - request.reserved_share)
    ]
    return min(allowed, key=lambda worker: worker.num_in_flight, default=None)


def world_figures(world: World, record: TrainerRecord) -> RunFigures:
    """Return the figures of a run of worksramp's nodes."""
    samples = [sample for batch in record.batches for sample in batch.samples]
    answered = [event for event in world.history.events if isinstance(event, LiveAnswered)]
    return RunFigures(
        engines=list(world.cores.engines.values()),
        delivered_lengths=[len(sample.tokens) for sample in samples],
        staleness=record.staleness(),
        idle_share=record.idle_share,
        live_seconds=[event.seconds for event in answered if event.outcome == "completed"],
        elapsed_seconds=anyio.current_time(),
        planned_lengths=[
            completion_length(
                sample_prompt(world.spec.group_size, index), sample_seed(index, 1), world.spec.max_tokens
            )
            for index in range(len(samples))
        ],
    )


POLICIES: dict[str, Callable[[ExperimentSpec, int], RunFigures]] = {
    "no_rollout": lambda spec, seed: run_baseline(spec, seed, run_nothing),
    "synchronous": lambda spec, seed: run_baseline(spec, seed, run_synchronous),
    "naive_asynchronous": lambda spec, seed: run_baseline(spec, seed, run_naive),
    "worksramp_idle_time": lambda spec, seed: run_worksramp(spec, seed, Preference.IDLE_TIME, True),
    "worksramp_staleness": lambda spec, seed: run_worksramp(spec, seed, Preference.STALENESS, True),
    "worksramp_without_affinity": lambda spec, seed: run_worksramp(spec, seed, Preference.IDLE_TIME, False),
}


def load_experiments(file: str) -> ExperimentFile:
    """Read an experiment file.

    Raises:
        msgspec.ValidationError: a field is missing, unknown or of the wrong type.
    """
    return msgspec.convert(tomllib.loads(Path(file).read_text(encoding="utf-8")), ExperimentFile)


def run_policy(spec: ExperimentSpec, policy: str, seed: int) -> PolicyResult:
    """Run one policy once."""
    configure_logs("error")
    return POLICIES[policy](spec, seed).result(spec.name, policy, seed)


def run_experiments(experiments: tuple[ExperimentSpec, ...], num_processes: int) -> list[PolicyResult]:
    """Run every policy with every seed of every experiment, in some processes."""
    runs = [(spec, policy, seed) for spec in experiments for policy in POLICIES for seed in spec.seeds]
    with ProcessPoolExecutor(num_processes) as processes:
        return list(processes.map(run_policy, *zip(*runs, strict=True)))


def write_csv(file: Path, results: list[PolicyResult]) -> None:
    """Write results, a row a run."""
    with file.open("w", newline="", encoding="utf-8") as output:
        writer = csv.writer(output)
        writer.writerow(PolicyResult.__struct_fields__)
        for result in results:
            writer.writerow(
                f"{value:.4g}" if isinstance(value, float) else value
                for value in msgspec.structs.astuple(result)
            )


def plot(file: Path, results: list[PolicyResult]) -> None:
    """Plot idle share against mean staleness, a point a run. Needs the extra ``plots``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 5))
    for policy in POLICIES:
        if policy == "no_rollout":
            continue
        chosen = [result for result in results if result.policy == policy]
        axes.scatter(
            [result.staleness_mean for result in chosen],
            [result.idle_share for result in chosen],
            label=policy,
        )
    axes.set_xlabel("mean staleness (weight versions)")
    axes.set_ylabel("trainer idle share")
    axes.legend()
    figure.savefig(file, dpi=100)
