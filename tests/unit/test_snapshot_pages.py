"""A snapshot stream of the gateway role that has an end, but does not give its last record."""

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from worksramp.coordination.configuration_service import ConfigurationService
from worksramp.coordination.replica import StreamReplica


class EmptyPageLog:
    """Log whose snapshot stream has an end, but gives no record."""

    async def read(self, stream: str, start: int, max_records: int, wait_seconds: float) -> Any:
        return SimpleNamespace(start=start, records=(), end_offset=5)


@pytest.mark.parametrize("module", ["replica", "configuration"])
def test_a_snapshot_that_the_log_does_not_give_ends_no_node(module: str) -> None:
    # The first record of an empty page was looked up, and the error ended the process.
    async def main() -> None:
        owner: Any = SimpleNamespace(_log=EmptyPageLog(), stream="s")
        if module == "replica":
            assert await StreamReplica._read_last_snapshot(owner) is None
        else:
            await ConfigurationService._restore_from_log(owner)

    anyio.run(main)
