"""Steps of ``always_holds.feature``."""

from dataclasses import dataclass, field

from pytest_bdd import given, parsers, scenarios, then, when

from worksramp_emulator.simulation.checkers import Violation
from worksramp_emulator.simulation.prove import run_scenario

scenarios("always_holds.feature")


@dataclass
class Run:
    scenario: str
    mutation: str = ""
    violations: list[Violation] = field(default_factory=list)


@given(parsers.parse('the scenario "{name}"'), target_fixture="run")
def run(name: str) -> Run:
    return Run(name)


@given(parsers.parse('the mechanism is replaced by "{mutation}"'))
def replace_mechanism(run: Run, mutation: str) -> None:
    run.mutation = mutation


@when(parsers.parse("the seeds {seeds} are run"))
def run_seeds(run: Run, seeds: str) -> None:
    for seed in seeds.split(","):
        run.violations += run_scenario(run.scenario, int(seed), run.mutation).violations


@then("no property is broken")
def nothing_broken(run: Run) -> None:
    assert run.violations == []


@then(parsers.parse('one of the first {count:d} seeds breaks the property "{name}"'))
def is_broken(run: Run, count: int, name: str) -> None:
    # Which of the seeds fails depends on every detail of the code, so only require that one of them does.
    assert any(
        name in {violation.checker for violation in run_scenario(run.scenario, seed, run.mutation).violations}
        for seed in range(count)
    )
