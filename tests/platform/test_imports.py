"""Modules that a node of the edge role imports. Each costs memory in every process of a fleet."""

import subprocess
import sys

#: Prefixes of modules that the role must not import: other roles, the emulator, and what only command lines
#: or tests need. (structlog imports rich and httpcore imports trio where they are installed, but they are not
#: installed next to a deployed node.)
UNWANTED = (
    "click",
    "fire",
    "httpx",
    "starlette",
    "worksramp.backends",
    "worksramp.cli",
    "worksramp.gateway",
    "worksramp.node",
    "worksramp.transport",
    "worksramp_emulator",
)
LIST_MODULES = "import sys, worksramp_platform.process; print(*sys.modules)"


def test_the_edge_role_imports_no_unwanted_module() -> None:
    result = subprocess.run(
        [sys.executable, "-c", LIST_MODULES],
        env={"PYTHONPATH": "platform"},
        capture_output=True,
        text=True,
        check=True,
    )
    modules = result.stdout.split()
    assert "worksramp.edge.node" in modules
    assert [name for name in modules if name.startswith(UNWANTED)] == []
