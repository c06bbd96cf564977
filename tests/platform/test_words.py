"""The platform's words stand in its adapter, its deploy files and their tests alone."""

import re
import subprocess
from pathlib import Path

ROOT = Path(__file__).parents[2]
WORDS = re.compile(
    r"X-Worksramp-|x-worksramp-|keyed\.(op|servers|status)\b|log-(append|read|newest|join|leave|commit|owners|trim)"
    r"|kvUsed|kvCapacity|minVersion|runTargetMs|pathPrefix|maxAttempts|afterRev|WORKSRAMP_CONFIG|/api/(lots|items|readyz)"
)
ALLOWED = ("platform/", "deploy/", "tests/platform/", "journal/")


def tracked_files() -> list[str]:
    command = ["git", "ls-files", "--cached", "--others", "--exclude-standard"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, check=True, text=True).stdout.splitlines()


def test_no_other_file_holds_the_platforms_words() -> None:
    found = [
        name
        for name in tracked_files()
        if not name.startswith(ALLOWED)
        and (ROOT / name).suffix in (".py", ".toml", ".feature", ".yaml")
        and WORDS.search((ROOT / name).read_text(encoding="utf-8"))
    ]
    assert found == []


def test_the_adapter_stays_small_beside_the_product() -> None:
    def num_lines(folder: str) -> int:
        return sum(len(path.read_text().splitlines()) for path in (ROOT / folder).rglob("*.py"))

    assert num_lines("platform") * 10 < num_lines("src/worksramp")
