"""Ids and names whose keys the store cannot hold: the length of a key is one byte.

A record is encoded in the task that appends it. For an owner's records that is a task whose error ends the
process, at each node that becomes the owner, for as long as the batch is open.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from worksramp_platform.store import encode_records

from tests.platform.test_callers import Deployment, lot, run_scenario
from worksramp.coordination.shared_log import AppendOutcome, Fence, KeyedRecord, Partition
from worksramp_emulator.shared_log import LogClient

#: 200 characters, 400 bytes.
LONG_ID = "é" * 200


@pytest.fixture(autouse=True)
def _encode(monkeypatch: pytest.MonkeyPatch) -> None:
    append: Callable[..., Awaitable[AppendOutcome]] = LogClient.append

    async def encode_and_append(
        self: LogClient,
        partition: Partition,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> AppendOutcome:
        encode_records(records)
        return await append(self, partition, records, fence, expected_end)

    monkeypatch.setattr(LogClient, "append", encode_and_append)


async def is_still_owner_after_checkpoints(deployment: Deployment) -> bool:
    with anyio.fail_after(5):
        while not deployment.fleet.runs:
            await anyio.sleep(0.01)
    await anyio.sleep(0.6)
    return deployment.node.shard.is_owner


# The checkpoint of such an item's text ended every owner, as long as the batch was open.
def test_an_item_whose_key_would_be_too_long_is_refused_and_ends_no_owner() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.fleet.workers["w-1"].seconds_per_event = 0.1
        client = deployment.client()
        answer = await client.post("/drafts/x", headers={"X-Worksramp-Attempt-Id": "b0"}, json=lot(LONG_ID))
        if answer.status_code == 202:
            await is_still_owner_after_checkpoints(deployment)
        assert (answer.status_code, answer.json()["field"]) == (400, "items[0].id")
        answer = await client.post("/drafts/x", headers={"X-Worksramp-Attempt-Id": "b1"}, json=lot("é" * 100))
        assert answer.status_code == 202
        assert await is_still_owner_after_checkpoints(deployment)

    run_scenario(scenario)


@pytest.mark.parametrize("name", [b"\xe9" * 200, b"b" * 201, b"\xe9" * 101])
def test_a_batch_whose_key_would_be_too_long_is_refused(name: bytes) -> None:
    async def scenario(deployment: Deployment) -> None:
        headers: Any = {b"x-worksramp-attempt-id": name}
        answer = await deployment.client().post("/drafts/x", headers=headers, json=lot("i1"))
        assert (answer.status_code, answer.json()["field"]) == (400, "x-worksramp-attempt-id")

    run_scenario(scenario)


# Records hold integers of 64 bits; a larger one of a batch raised an error while the batch was stored.
@pytest.mark.parametrize("value", [10**400, 2**64, -1], ids=["400_digits", "65_bits", "negative"])
@pytest.mark.parametrize("field", ["step", "minVersion", "desired", "tokens"])
def test_a_batch_with_a_number_out_of_range_is_refused(field: str, value: int) -> None:
    async def scenario(deployment: Deployment) -> None:
        submission = lot("i1")
        (submission["items"][0] if field == "tokens" else submission)[field] = value
        answer = await deployment.client().post(
            "/drafts/x", headers={"X-Worksramp-Attempt-Id": "b1"}, json=submission
        )
        assert (answer.status_code, answer.json()["field"]) == (400, "body")
        assert field in answer.json()["error"]

    run_scenario(scenario)
