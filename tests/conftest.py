"""Deselects the tests listed in KNOWN-RED.txt, which are known to fail, and prints the list at the end.

The option ``--known-red`` runs them too. Each line of the list is
``test | cause | issue | command and seed``.
"""

from pathlib import Path

import pytest

PLATFORM_TESTS = Path(__file__).parent / "platform"
KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
NUM_FIELDS = 4
LINES_KEY = pytest.StashKey[list[str]]()


def known_red_lines(text: str) -> list[str]:
    """Return the entries of a list of known failures.

    Raises:
        pytest.UsageError: an entry lacks a field, or there are too many entries.
    """
    lines = [line.strip() for line in text.splitlines() if line.strip() and not line.startswith("#")]
    for line in lines:
        if len([part for part in line.split("|") if part.strip()]) != NUM_FIELDS:
            raise pytest.UsageError(f"KNOWN-RED.txt: not 'test | cause | issue | command and seed': {line}")
    if len(lines) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(lines)} entries, at most {MAX_KNOWN_RED} are allowed")
    return lines


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        # These tests open sockets and start processes. One after the other, none takes another's free port.
        if PLATFORM_TESTS in item.path.parents:
            item.add_marker(pytest.mark.xdist_group("platform"))
    lines = known_red_lines(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []
    config.stash[LINES_KEY] = lines
    if config.getoption("--known-red"):
        return
    names = {line.split("|")[0].strip() for line in lines}
    red = [item for item in items if item.nodeid in names]
    items[:] = [item for item in items if item.nodeid not in names]
    config.hook.pytest_deselected(items=red)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    # A process that hands its tests to others collects none itself.
    for line in config.stash.get(LINES_KEY, None) or known_red_lines(KNOWN_RED_FILE.read_text()):
        terminalreporter.write_line(f"known red: {line}")
