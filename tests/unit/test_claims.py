"""Concurrent claims of a lease: at most one succeeds, also when answers of the store are lost."""

import random
from typing import Any

import anyio
import pytest

from worksramp.coordination.lease_claim import HeldLease
from worksramp.coordination.log_lease import OwnerRecord
from worksramp.logs import configure_logs
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated


def run_concurrent_claims(lost_answers: float, seed: int) -> tuple[list[str], str]:
    """Make four nodes claim at once; return those whose claim reported success, and the owner in the log."""
    configure_logs("error")

    async def main() -> tuple[list[str], str]:
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(num_workers=1), seed, group)
            random.seed(seed)
            winners: list[str] = []

            async def claim(shard: Any, name: str) -> None:
                if isinstance(await shard._claim(OwnerRecord(name, name, 1)), HeldLease):
                    winners.append(name)

            for slot in world.slots:
                world.start_node(slot)
                assert slot.node is not None
                await slot.node.shard.replica.wait_loaded()
            # No node has a configuration, so none claims on its own.
            world.store.faults.lost_answers = lost_answers
            async with anyio.create_task_group() as claims:
                for slot in world.slots:
                    assert slot.node is not None
                    claims.start_soon(claim, slot.node.shard, slot.name)
            shard = world.slots[0].node.shard if world.slots[0].node else None
            assert shard is not None
            world.store.faults.lost_answers = 0.0
            await shard.replica.barrier(2.0)
            assert shard.owner_record is not None
            owner = shard.owner_record.node
            group.cancel_scope.cancel()
        return winners, owner

    return run_simulated(main, seed)


@pytest.mark.parametrize("seed", range(5))
def test_one_of_several_claims_wins(seed: int) -> None:
    winners, owner = run_concurrent_claims(0.0, seed)
    assert winners == [owner]


@pytest.mark.parametrize("seed", range(5))
def test_a_claim_whose_answer_is_lost_succeeds_only_if_it_is_in_the_log(seed: int) -> None:
    winners, owner = run_concurrent_claims(0.6, seed)
    assert set(winners) <= {owner}
