"""Runs a scenario with many seeds, with its mechanism on or off, and reports the seeds that fail."""

import random
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import nullcontext
from dataclasses import dataclass

from worksramp_emulator.simulation.checkers import Violation
from worksramp_emulator.simulation.mutations import MUTATIONS
from worksramp_emulator.simulation.runner import RunResult, run_faults, run_seed
from worksramp_emulator.simulation.scenarios import SCENARIOS

CHAOS = "chaos"
CHAOS_NUM_FAULTS = 6


@dataclass(frozen=True, slots=True)
class ProofReport:
    """Result of running a scenario with a number of seeds.

    Attributes:
        without: mechanism that was switched off, empty for none.
        failed: results of the failing seeds, in order of the seeds.
    """

    scenario: str
    without: str
    num_seeds: int
    failed: tuple[RunResult, ...]

    def violations_of(self, checker: str) -> list[Violation]:
        """Return the violations that one checker found, over all seeds."""
        return [item for result in self.failed for item in result.violations if item.checker == checker]


def run_scenario(name: str, seed: int, without: str = "") -> RunResult:
    """Run a scenario with one seed.

    Args:
        name: name of the scenario, or `CHAOS` for random faults.
        seed: determines the run.
        without: mechanism to switch off, by its name in `MUTATIONS`; empty for none.
    """
    with MUTATIONS[without]() if without else nullcontext():
        if name == CHAOS:
            return run_seed(seed, CHAOS_NUM_FAULTS)
        scenario = SCENARIOS[name]
        return run_faults(seed, scenario.draw(random.Random(seed)), scenario.spec)


def prove(name: str, seeds: range, without: str = "", num_processes: int = 4) -> ProofReport:
    """Run a scenario with many seeds, in parallel processes.

    Raises:
        KeyError: there is no such scenario or mechanism.
    """
    if name != CHAOS:
        SCENARIOS[name]
    if without:
        MUTATIONS[without]
    failed = tuple(result for result in _run_all(name, seeds, without, num_processes) if result.violations)
    return ProofReport(name, without, len(seeds), failed)


def _run_all(name: str, seeds: range, without: str, num_processes: int) -> Iterator[RunResult]:
    with ProcessPoolExecutor(num_processes) as pool:
        yield from pool.map(run_scenario, [name] * len(seeds), seeds, [without] * len(seeds))
