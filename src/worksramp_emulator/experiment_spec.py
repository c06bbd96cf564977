"""Specification of an experiment, and the metrics that are computed from a run.

See Also:
    docs/EXPERIMENTS.md: assumptions.
"""

import random
import statistics
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import msgspec

from worksramp_emulator.engine import EngineCore, EngineProfile

MODEL = "model"
ROLLOUT_PRIORITY = 10
NUM_PROMPTS = 8
P50, P95, P99 = 0.50, 0.95, 0.99
LIVE_DEADLINE_SECONDS = 300.0
POLL_SECONDS = 0.05


class ExperimentSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment and its load.

    Attributes:
        step_base_seconds: base time of a decode step; a token here stands for a sequence of real tokens.
        train_seconds: time of a training step.
        live_period_seconds: mean time between live requests; a third of it during the peak.
        seeds: seeds with each of which every policy runs once.
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
    """Contents of an experiment file, which is TOML."""

    experiments: tuple[ExperimentSpec, ...]


class PolicyResult(msgspec.Struct, frozen=True):
    """Metrics of one run of a policy; shares are between 0 and 1, times in seconds.

    Attributes:
        idle_share: share of the trainer's time that it waited.
        staleness_mean: mean number of versions by which a delivered sample was behind the trainer.
        wasted_token_share: share of the rollout tokens that were generated but not delivered.
        prefix_hit_share: share of the accepted requests whose prompt prefix was cached.
        engine_utilisation: share of the engines' time that they spent on prefill and decoding.
        length_bias: mean length of delivered samples, divided by that of the planned samples.
    """

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
    """Return a percentile of values, or 0.0 if there are none; ``share`` is from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def engine_profile(spec: ExperimentSpec) -> EngineProfile:
    """Return the profile of an experiment's engines."""
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
class RunMeasurements:
    """Measurements of a run, from which its metrics are computed.

    Attributes:
        delivered_lengths: number of tokens of each delivered sample.
        staleness: number of versions by which each delivered sample was behind the trainer.
        idle_share: share of the trainer's time that it waited.
        live_seconds: latency of each completed live request.
        planned_lengths: number of tokens of the samples with the lowest indices, as many as the steps need.
    """

    engines: list[EngineCore]
    delivered_lengths: list[int]
    staleness: list[int]
    idle_share: float
    live_seconds: list[float]
    elapsed_seconds: float
    planned_lengths: list[int] = field(default_factory=list)

    def result(self, experiment: str, policy: str, seed: int) -> PolicyResult:
        """Compute the metrics of the run."""
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


def sample_prompt(group_size: int, index: int) -> str:
    """Return the prompt of a sample, the same as in the simulated world."""
    return f"Prompt number {(index // group_size) % NUM_PROMPTS} of the job"


async def live_traffic(
    spec: ExperimentSpec, rng: random.Random, send: Callable[[int], Coroutine[Any, Any, None]]
) -> None:
    """Send live requests until cancelled, with Poisson arrivals.

    The rate is three times as high in the middle third of the run.

    Args:
        send: sends the live request with a number, which counts from 0.
    """
    expected_seconds = spec.num_steps * spec.train_seconds
    number = 0
    async with anyio.create_task_group() as group:
        while True:
            is_peak = expected_seconds / 3 < anyio.current_time() < expected_seconds * 2 / 3
            mean = spec.live_period_seconds / (3 if is_peak else 1)
            await anyio.sleep(rng.expovariate(1.0 / mean))
            group.start_soon(send, number)
            number += 1


def load_experiments(file: str) -> ExperimentFile:
    """Read an experiment file.

    Raises:
        msgspec.ValidationError: a field is missing, unknown or of the wrong type.
    """
    return msgspec.convert(tomllib.loads(Path(file).read_text(encoding="utf-8")), ExperimentFile)
