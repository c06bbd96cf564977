"""Writes changed copies of a site file: deployments of the same kinds that nobody has shown.

    python deploy/variants.py SITE_FILE FOLDER

Each recipe changes the text of the file; a recipe that finds nothing to change says so and writes nothing.
The copies are for trials and belong outside the repository.
"""

import re
import sys
from collections.abc import Callable
from pathlib import Path

Recipe = Callable[[str], str]


def one_version(text: str) -> str:
    """All text of an item must come from one version."""
    return text.replace("pure = false", "pure = true")


def unsafe_requests(text: str) -> str:
    """Live requests may not be repeated."""
    return re.sub(r'(\{ name = "[^"]+", aim_ms = 150\.0,)', r'\1 kind = "unsafe",', text)


def more_machines(text: str) -> str:
    """About 60 machines instead of ten."""
    return re.sub(
        r"(link_mbps = 1000\.0, zone = \"[^\"]+\"), count = \d+, spare = \d+",
        r"\1, count = 20, spare = 3",
        text,
    )


def few_machines(text: str) -> str:
    """One machine a zone."""
    return re.sub(
        r"(link_mbps = 1000\.0, zone = \"[^\"]+\"), count = \d+, spare = \d+",
        r"\1, count = 1, spare = 1",
        text,
    )


def sixth_of_machines(text: str) -> str:
    """A sixth of the machines before the same workers and load: what size alone costs."""

    def fewer(match: re.Match[str]) -> str:
        count, spare = int(match[2]), int(match[3])
        return f"{match[1]}count = {max(1, round(count / 6))}, spare = {max(1, round(spare / 6))}"

    machine = r"^(  \{ class = \"front\", .*?)count = (\d+), spare = (\d+)"
    return re.sub(machine, fewer, text, flags=re.M)


def small_slots(text: str) -> str:
    """Workers run fewer requests at once."""
    return re.sub(r"slots = 1[26], queue = \d+", "slots = 6, queue = 12", text).replace(
        "batch = 16", "batch = 6"
    )


def one_partition(text: str) -> str:
    """Topics have a single partition."""
    return re.sub(r"^parts = \d+", "parts = 1", text, flags=re.M)


def slow_store(text: str) -> str:
    """Each append takes its partition 20 ms."""
    return re.sub(r"^append_ms = [\d.]+", "append_ms = 20.0", text, flags=re.M)


def long_ahead(text: str) -> str:
    """Trainers ask ahead, so that several batches of each are open."""
    return text.replace("ahead = 1,", "ahead = 2,")


RECIPES: dict[str, Recipe] = {
    recipe.__name__: recipe
    for recipe in (
        one_version,
        unsafe_requests,
        more_machines,
        few_machines,
        sixth_of_machines,
        small_slots,
        one_partition,
        slow_store,
        long_ahead,
    )
}


def main() -> None:
    """Write all variants of a site file."""
    site, folder = Path(sys.argv[1]), Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text(encoding="utf-8")
    for helper in ("wire.json",):
        (folder / helper).write_bytes((site.parent / helper).read_bytes())
    for name, recipe in RECIPES.items():
        changed = recipe(text)
        if changed == text:
            print(f"{name}: nothing to change in {site.name}")
            continue
        target = folder / f"{site.stem}-{name.replace('_', '-')}.toml"
        target.write_text(changed, encoding="utf-8")
        print(target)


if __name__ == "__main__":
    main()
