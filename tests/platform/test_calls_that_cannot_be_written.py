"""A request that HTTP cannot hold: nothing of it is sent, and no worker is blamed for it."""

import json

import anyio
import pytest
from worksramp_platform.lots import decode_lot, validate_lot
from worksramp_platform.workers import PlatformWorkers

from tests.platform.stuttering_worker import stuttering_worker
from worksramp.rollout.batch_run import RunBroken, RunOutcome, RunSpec, TextBuilder, run_item
from worksramp.rollout.batches import BatchItem


@pytest.mark.parametrize(("item_id", "target"), [("a ", "/x"), ("a", "/x y"), ("a\nb", "/x"), ("a", "/é")])
def test_an_item_that_cannot_be_written_is_not_taken_for_a_lost_connection(item_id: str, target: str) -> None:
    # Such an item would be sent again and again, each time as a failure of its worker.
    async def main() -> RunOutcome:
        async with stuttering_worker() as worker:
            item = BatchItem(item_id=item_id, target=target, headers=(), body=b"p", num_tokens=10)
            spec = RunSpec(item, "h", min_version=0, needs_one_version=False)
            text = TextBuilder()
            outcome = await run_item(PlatformWorkers(), worker.entry, spec, text, lambda: None)
            assert not worker.runs
            return outcome

    outcome = anyio.run(main)
    assert not (isinstance(outcome, RunBroken) and outcome.is_connection_lost), outcome


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("id", "a "),
        ("id", "a\nb"),
        ("path", "/x y"),
        ("path", "/\u00e9"),
        ("headers", {"x-a": "b\r\nx-c: d"}),
        ("headers", {"x a": "b"}),
        ("scoringCall", {"id": "c", "host": "h", "path": "/s t", "body": ""}),
    ],
)
def test_a_batch_with_an_item_that_cannot_be_written_is_refused_by_field(field: str, value: object) -> None:
    # Such an item was accepted and could reach no worker.
    item = {"id": "i", "path": "/x", "headers": {"x-a": "b"}, "tokens": 1, field: value}
    problem = validate_lot(decode_lot(json.dumps({"items": [item]}).encode()))
    assert problem is not None
    assert problem[1].startswith(f"items[0].{field}")
