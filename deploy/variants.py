"""Write variants of a site file: deployments of the same kinds that no given site file describes.

    python deploy/variants.py SITE_FILE FOLDER

Each recipe edits the text of the file. If a recipe changes nothing, this is reported and no file is written.
The variants are for trials and belong outside the repository.
"""

import re
import sys
from collections.abc import Callable
from pathlib import Path

Recipe = Callable[[str], str]


def one_version(text: str) -> str:
    """Require that all text of an item comes from one weight version."""
    return text.replace("pure = false", "pure = true")


def unsafe_requests(text: str) -> str:
    """Forbid repeating live requests."""
    return re.sub(r'(\{ name = "[^"]+", aim_ms = 150\.0,)', r'\1 kind = "unsafe",', text)


def more_machines(text: str) -> str:
    """Use about 60 machines instead of ten."""
    return re.sub(
        r"(link_mbps = 1000\.0, zone = \"[^\"]+\"), count = \d+, spare = \d+",
        r"\1, count = 20, spare = 3",
        text,
    )


def few_machines(text: str) -> str:
    """Use one machine per zone."""
    return re.sub(
        r"(link_mbps = 1000\.0, zone = \"[^\"]+\"), count = \d+, spare = \d+",
        r"\1, count = 1, spare = 1",
        text,
    )


def sixth_of_machines(text: str) -> str:
    """Use a sixth of the front machines for the same workers and load.

    The variant shows what the size of the deployment alone costs.
    """

    def reduce_counts(match: re.Match[str]) -> str:
        count, spare = int(match[2]), int(match[3])
        return f"{match[1]}count = {max(1, round(count / 6))}, spare = {max(1, round(spare / 6))}"

    pattern = r"^(  \{ class = \"front\", .*?)count = (\d+), spare = (\d+)"
    return re.sub(pattern, reduce_counts, text, flags=re.M)


def small_slots(text: str) -> str:
    """Give each worker fewer slots."""
    return re.sub(r"slots = 1[26], queue = \d+", "slots = 6, queue = 12", text).replace(
        "batch = 16", "batch = 6"
    )


def one_partition(text: str) -> str:
    """Use a single partition per topic."""
    return re.sub(r"^parts = \d+", "parts = 1", text, flags=re.M)


def slow_store(text: str) -> str:
    """Make each append occupy its partition for 20 ms."""
    return re.sub(r"^append_ms = [\d.]+", "append_ms = 20.0", text, flags=re.M)


def long_ahead(text: str) -> str:
    """Let trainers request batches ahead, so that several batches of each trainer are open."""
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
    """Write all variants of a site file and copy `wire.json` next to them."""
    site, folder = Path(sys.argv[1]), Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text(encoding="utf-8")
    for companion in ("wire.json",):
        (folder / companion).write_bytes((site.parent / companion).read_bytes())
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
