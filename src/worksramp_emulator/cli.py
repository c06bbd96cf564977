"""Console command of the emulator: one stand-in a process."""

from pathlib import Path

import anyio
import fire
import msgspec

from worksramp.platform.base import Machine
from worksramp_emulator.engine import EngineCore, EngineProfile
from worksramp_emulator.http_apps import (
    application_application,
    engine_application,
    log_application,
    platform_application,
    serve_application,
)
from worksramp_emulator.platform import (
    ApplicationCore,
    LogCore,
    MachineListCore,
    ScorerCore,
    WeightStoreCore,
)
from worksramp_emulator.trainer_http import run_http_trainer


class EmulatorCommands:
    """Stand-ins for the systems that worksramp serves. Each runs until it is killed."""

    def log(self, listen: str) -> None:
        """Serve the append-only log, for example ``worksramp-emulator log --listen 127.0.0.1:7101``."""
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
        """Serve a model engine."""
        profile = EngineProfile(
            max_num_seqs=max_num_seqs,
            step_base_seconds=step_base_seconds,
            step_per_sequence_seconds=step_per_sequence_seconds,
            load_seconds=load_seconds,
        )
        anyio.run(_serve_engine, listen, engine_id, profile)

    def application(self, listen: str, worker_id: str, service_seconds: float = 0.02) -> None:
        """Serve an application worker."""
        core = ApplicationCore(worker_id, service_seconds)
        anyio.run(serve_application, application_application(core), listen)

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
        """Run a trainer for some steps; ``nodes`` are gateways, separated by spaces."""
        addresses = tuple(nodes.split())
        anyio.run(run_http_trainer, addresses, key, job, store, model, num_steps, train_seconds, record_file)


async def _serve_log(listen: str) -> None:
    await serve_application(log_application(LogCore()), listen)


async def _serve_platform(listen: str, machines_file: str, lag_seconds: float) -> None:
    machine_list = MachineListCore(lag_seconds)
    raw = Path(machines_file).read_bytes()
    machine_list.set_machines(msgspec.json.decode(raw, type=tuple[Machine, ...]))
    application = platform_application(WeightStoreCore(), machine_list, ScorerCore())
    await serve_application(application, listen)


async def _serve_engine(listen: str, engine_id: str, profile: EngineProfile) -> None:
    core = EngineCore(engine_id, profile)
    async with anyio.create_task_group() as group:
        group.start_soon(core.run)
        await serve_application(engine_application(core), listen)


def main() -> None:
    """Run the console command."""
    fire.Fire(EmulatorCommands, name="worksramp-emulator")
