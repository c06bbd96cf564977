"""Experiments on the virtual clock that compare trainer idle share and staleness of several policies.

All policies run with the same engines, sample lengths, live traffic and trainer. Lengths are log-normal,
since the users report that a few samples run far longer than the rest.

See Also:
    docs/EXPERIMENTS.md: assumptions and results.
"""

import csv
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from unittest import mock

import anyio
import anyio.abc
import msgspec

from worksramp.logs import configure_logs
from worksramp.rollout.document import Preference
from worksramp.rollout.job_service import sample_seed
from worksramp.routing import pool
from worksramp.routing.choice import RouteRequest
from worksramp.routing.leases import Worker
from worksramp_emulator.baselines import run_baseline, run_live_only, run_naive, run_synchronous
from worksramp_emulator.experiment_spec import (
    LIVE_DEADLINE_SECONDS,
    ExperimentSpec,
    PolicyResult,
    RunMeasurements,
    engine_profile,
    live_traffic,
    sample_prompt,
)
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.history import LiveAnswered
from worksramp_emulator.simulation.network import NetworkProfile
from worksramp_emulator.simulation.world import World
from worksramp_emulator.simulation.world_spec import WorldSpec
from worksramp_emulator.text import completion_length
from worksramp_emulator.trainer import TrainerRecord


def run_worksramp(
    spec: ExperimentSpec, seed: int, preference: Preference, has_affinity: bool
) -> RunMeasurements:
    """Run simulated worksramp nodes and return the measurements.

    Args:
        has_affinity: whether workers are chosen by prompt prefix affinity, or else by least load.
    """
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
        network=NetworkProfile(loss_share=0.0, duplication_share=0.0, chunk_fault_share=0.0),
    )

    async def main() -> RunMeasurements:
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
            measurements = world_measurements(world, world.trainer)
            group.cancel_scope.cancel()
        return measurements

    with ExitStack() as stack:
        if not has_affinity:
            stack.enter_context(mock.patch.object(pool, "choose_worker", choose_least_loaded))
        return run_simulated(main, seed)


def choose_least_loaded(
    workers: tuple[Worker, ...], request: RouteRequest, rng: random.Random
) -> Worker | None:
    """Return the usable worker with the fewest requests in flight, or None, whatever the prompt."""
    allowed = [
        worker
        for worker in workers
        if not worker.report.is_loading
        and worker.machine.machine_id not in request.excluded
        and worker.num_in_flight < worker.report.max_num_seqs * (1.0 - request.reserved_share)
    ]
    return min(allowed, key=lambda worker: worker.num_in_flight, default=None)


def world_measurements(world: World, record: TrainerRecord) -> RunMeasurements:
    """Return the measurements of a run of simulated worksramp nodes."""
    samples = [sample for batch in record.batches for sample in batch.samples]
    answered = [event for event in world.history.events if isinstance(event, LiveAnswered)]
    return RunMeasurements(
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


POLICIES: dict[str, Callable[[ExperimentSpec, int], RunMeasurements]] = {
    "no_rollout": lambda spec, seed: run_baseline(spec, seed, run_live_only),
    "synchronous": lambda spec, seed: run_baseline(spec, seed, run_synchronous),
    "naive_asynchronous": lambda spec, seed: run_baseline(spec, seed, run_naive),
    "worksramp_idle_time": lambda spec, seed: run_worksramp(spec, seed, Preference.IDLE_TIME, True),
    "worksramp_staleness": lambda spec, seed: run_worksramp(spec, seed, Preference.STALENESS, True),
    "worksramp_without_affinity": lambda spec, seed: run_worksramp(spec, seed, Preference.IDLE_TIME, False),
}


def run_policy(spec: ExperimentSpec, policy: str, seed: int) -> PolicyResult:
    """Run one policy with one seed and return its metrics."""
    configure_logs("error")
    return POLICIES[policy](spec, seed).result(spec.name, policy, seed)


def run_experiments(experiments: tuple[ExperimentSpec, ...], num_processes: int) -> list[PolicyResult]:
    """Run every policy with every seed of every experiment, in ``num_processes`` processes."""
    runs = [(spec, policy, seed) for spec in experiments for policy in POLICIES for seed in spec.seeds]
    with ProcessPoolExecutor(num_processes) as processes:
        return list(processes.map(run_policy, *zip(*runs, strict=True)))


def write_csv(file: Path, results: list[PolicyResult]) -> None:
    """Write the results as CSV, with one row per run."""
    with file.open("w", newline="", encoding="utf-8") as output:
        writer = csv.writer(output)
        writer.writerow(PolicyResult.__struct_fields__)
        for result in results:
            writer.writerow(
                f"{value:.4g}" if isinstance(value, float) else value
                for value in msgspec.structs.astuple(result)
            )


def plot(file: Path, results: list[PolicyResult]) -> None:
    """Plot idle share against mean staleness, with one point per run; needs the extra ``plots``."""
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
