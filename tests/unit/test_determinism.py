"""Guards against runs that depend on hash randomization: a seed gives the same history in every process."""

import os
import subprocess
import sys

PROGRAM = (
    "from worksramp_emulator.simulation.prove import run_scenario;print(run_scenario('chaos', {seed}).digest)"
)


def digest(seed: int, hash_seed: str) -> str:
    command = [sys.executable, "-c", PROGRAM.format(seed=seed)]
    environment = os.environ | {"PYTHONHASHSEED": hash_seed}
    return subprocess.run(command, env=environment, capture_output=True, check=True, text=True).stdout.strip()


def test_the_same_seed_gives_the_same_history_in_two_processes() -> None:
    assert digest(3, "1") == digest(3, "2")
    assert digest(3, "1") != digest(4, "1")
