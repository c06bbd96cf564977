"""Console command of the emulator: emulated services, simulations and experiments, one per process."""

import sys
import tomllib
from pathlib import Path

import anyio
import fire
import msgspec

from worksramp.backends.base import Machine
from worksramp_emulator.engine import EngineCore, EngineProfile
from worksramp_emulator.experiment_spec import load_experiments
from worksramp_emulator.experiments import plot, run_experiments, write_csv
from worksramp_emulator.hollow import read_addresses, run_hollow_engines, run_hollow_nodes
from worksramp_emulator.http_apps import (
    application_worker_app,
    engine_app,
    log_app,
    platform_app,
    serve_app,
)
from worksramp_emulator.platform import (
    ApplicationCore,
    LogCore,
    MachineListCore,
    ScorerCore,
    WeightStoreCore,
)
from worksramp_emulator.simulation.mutations import MUTATIONS
from worksramp_emulator.simulation.prove import CHAOS, prove
from worksramp_emulator.simulation.runner import RunResult
from worksramp_emulator.simulation.scenarios import SCENARIOS
from worksramp_emulator.soak.plan import Plan
from worksramp_emulator.soak.runner import run_soak
from worksramp_emulator.soak.words import load_words
from worksramp_emulator.trainer_http import run_http_trainer

EXIT_FAILED = 1
EXIT_USAGE = 2


class EmulatorCommands:
    """Run emulations of the systems that worksramp serves, simulations or experiments.

    Emulated services run until they are killed.
    """

    def log(self, listen: str) -> None:
        """Serve the emulated append-only log.

        Example: ``worksramp-emulator log --listen 127.0.0.1:7101``
        """
        anyio.run(_serve_log, listen)

    def platform(self, listen: str, machines: str, lag_seconds: float = 2.0) -> None:
        """Serve weight store, machine list and scorer; ``machines`` is a JSON file of machines."""
        anyio.run(_serve_platform, listen, machines, lag_seconds)

    def engine(
        self,
        listen: str,
        engine_id: str,
        max_num_seqs: int = 16,
        step_base_seconds: float = 0.010,
        step_per_sequence_seconds: float = 0.0005,
        load_seconds: float = 1.0,
    ) -> None:
        """Serve an emulated model engine."""
        profile = EngineProfile(
            max_num_seqs=max_num_seqs,
            step_base_seconds=step_base_seconds,
            step_per_sequence_seconds=step_per_sequence_seconds,
            load_seconds=load_seconds,
        )
        anyio.run(_serve_engine, listen, engine_id, profile)

    def application(self, listen: str, worker_id: str, service_seconds: float = 0.02) -> None:
        """Serve an emulated application worker."""
        core = ApplicationCore(worker_id, service_seconds)
        anyio.run(serve_app, application_worker_app(core), listen)

    def trainer(
        self,
        nodes: str,
        key: str,
        job: str,
        store: str,
        model: str,
        num_steps: int,
        train_seconds: float,
        record_file: str,
    ) -> None:
        """Run a trainer for ``num_steps`` steps; ``nodes`` are gateway addresses, separated by spaces."""
        addresses = tuple(nodes.split())
        anyio.run(run_http_trainer, addresses, key, job, store, model, num_steps, train_seconds, record_file)

    def hollow_nodes(self, settings_file: str) -> None:
        """Run many nodes without an HTTP API in one process, from a JSON file with their settings."""
        anyio.run(run_hollow_nodes, settings_file)

    def hollow_engines(self, addresses_file: str, max_num_seqs: int = 16, load_seconds: float = 1.0) -> None:
        """Run many emulated engines in one process, one for each address in a file."""
        profile = EngineProfile(max_num_seqs=max_num_seqs, load_seconds=load_seconds)
        anyio.run(run_hollow_engines, read_addresses(addresses_file), profile)

    def simulate(
        self, scenario: str = "chaos", seeds: int = 20, first: int = 0, without: str = "", processes: int = 4
    ) -> None:
        """Run a scenario with several seeds and print the first failed run with its history.

        The exit code is 1 if a run fails. ``--without NAME`` switches a mechanism off.

        Example: ``worksramp-emulator simulate --scenario owner_troubles --seeds 200``
        """
        try:
            report = prove(scenario, range(first, first + seeds), without, processes)
        except KeyError as error:
            names = ", ".join([CHAOS, *SCENARIOS]) + "; mechanisms: " + ", ".join(MUTATIONS)
            print(f"no scenario or mechanism {error}; there are {names}", file=sys.stderr)
            raise SystemExit(EXIT_USAGE) from error
        mode = f"without {without}" if without else "as it is"
        print(f"{scenario}, {mode}: {len(report.failed)} of {report.num_seeds} seeds failed")
        if report.failed:
            print_result(report.failed[0])
            raise SystemExit(EXIT_FAILED)

    def soak(
        self,
        seed: int,
        seconds: float,
        out: str = "",
        trouble: str = "on",
        signals: bool = False,
        foreign: bool = False,
        words: str = "deploy/soak.toml",
    ) -> None:
        """Run real nodes on loopback before workers that answer twice, and check what all others saw.

        Logs, schedule and verdict go into the folder ``--out``, by default a folder of the seed under
        ``target/soak``. The exit code is 1 if a promise was broken. ``--trouble off`` is the baseline;
        ``--signals`` stops, kills and pauses nodes at random moments; ``--foreign`` leaves entries of another
        writer among those of the workers. ``words`` is a file of the platform's
        names in a folder below the root of the project.

        Example: ``worksramp-emulator soak --seed 7 --seconds 20``
        """
        file = Path(words).resolve()
        plan = Plan(
            seed, seconds, has_trouble=trouble != "off", has_signals=signals, has_foreign_entries=foreign
        )
        try:
            names = load_words(file)
        except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
            print(f"{words}: {error}", file=sys.stderr)
            raise SystemExit(EXIT_USAGE) from error
        root = file.parent.parent
        folder = Path(out) if out else root / "target" / "soak" / str(seed)
        verdict = anyio.run(run_soak, plan, names, root, folder.resolve())
        print(f"seed {seed} | {verdict.figures.row()}")
        if verdict.violations:
            print(verdict.violations[0])
            raise SystemExit(EXIT_FAILED)

    def experiment(self, file: str, out: str, plots: bool = False, processes: int = 4) -> None:
        """Run all policies on the experiments of a file and write ``experiments.csv`` into a folder.

        Example: ``worksramp-emulator experiment --file examples/experiments.toml --out docs/results``
        """
        try:
            experiments = load_experiments(file).experiments
        except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
            print(f"{file}: {error}", file=sys.stderr)
            raise SystemExit(EXIT_USAGE) from error
        results = run_experiments(experiments, processes)
        write_csv(Path(out) / "experiments.csv", results)
        if plots:
            plot(Path(out) / "experiments.png", results)


def print_result(result: RunResult) -> None:
    """Print the history and the violations of a failed run."""
    print(f"seed {result.seed}, digest {result.digest}")
    print("\n".join(result.history))
    for violation in result.violations:
        print(f"{violation.checker}: {violation.what}")


async def _serve_log(listen: str) -> None:
    await serve_app(log_app(LogCore()), listen)


async def _serve_platform(listen: str, machines_file: str, lag_seconds: float) -> None:
    machine_list = MachineListCore(lag_seconds)
    raw = Path(machines_file).read_bytes()
    machine_list.set_machines(msgspec.json.decode(raw, type=tuple[Machine, ...]))
    application = platform_app(WeightStoreCore(), machine_list, ScorerCore())
    await serve_app(application, listen)


async def _serve_engine(listen: str, engine_id: str, profile: EngineProfile) -> None:
    core = EngineCore(engine_id, profile)
    async with anyio.create_task_group() as group:
        group.start_soon(core.run)
        await serve_app(engine_app(core), listen)


def main() -> None:
    """Run the console command."""
    fire.Fire(EmulatorCommands, name="worksramp-emulator")
