"""Wire names of the platform appear only in its adapter, in deploy files and in their tests."""

import re
import subprocess
from pathlib import Path

ROOT = Path(__file__).parents[2]
WIRE_NAMES = re.compile(
    r"X-Worksramp-|x-worksramp-|keyed\.(op|servers|status)\b|log-(append|read|newest|join|leave|commit|owners|trim)"
    r"|kvUsed|kvCapacity|minVersion|runTargetMs|pathPrefix|maxAttempts|afterRev|WORKSRAMP_CONFIG|/api/(lots|items|readyz)"
)
ALLOWED = ("platform/", "deploy/", "tests/platform/", "journal/")


def tracked_files() -> list[str]:
    command = ["git", "ls-files", "--cached", "--others", "--exclude-standard"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, check=True, text=True).stdout.splitlines()


def test_no_other_file_contains_wire_names_of_the_platform() -> None:
    found = [
        name
        for name in tracked_files()
        if not name.startswith(ALLOWED)
        and (ROOT / name).suffix in (".py", ".toml", ".feature", ".yaml")
        and WIRE_NAMES.search((ROOT / name).read_text(encoding="utf-8"))
    ]
    assert found == []


def test_the_adapter_has_less_than_a_tenth_of_the_lines_of_worksramp() -> None:
    def num_lines(folder: str) -> int:
        return sum(len(path.read_text().splitlines()) for path in (ROOT / folder).rglob("*.py"))

    assert num_lines("platform") * 10 < num_lines("src/worksramp")
