"""Calls to the owner of a shard, and to which peers configuration records are pushed first."""

import random
from dataclasses import dataclass
from typing import Any

import anyio
import pytest

from worksramp.coordination.peers import PeerCaller
from worksramp.coordination.replication import StagedRecords, peers_to_push_to
from worksramp.outcomes import NotStartedError
from worksramp.transport.messages import DescribeShard
from worksramp_emulator.simulation.clock import run_simulated

DEADLINE_S = 1.0
CALL_S = 0.7


@dataclass(frozen=True)
class Node:
    instance_id: str

    @property
    def address(self) -> str:
        return self.instance_id


class Nodes:
    """Membership of nodes that are all eligible."""

    def eligible(self, role: str) -> list[str]:
        return ["n1", "n2", "n3"]

    def member(self, instance_id: str) -> Node:
        return Node(instance_id)


class SlowRefusals:
    """Transport whose calls fail after a while, or at their timeout if that comes first."""

    def __init__(self) -> None:
        self.timeouts: list[float] = []

    async def call(self, address: str, payload: bytes, timeout_seconds: float) -> bytes:
        self.timeouts.append(timeout_seconds)
        await anyio.sleep(min(CALL_S, timeout_seconds))
        raise NotStartedError("call", address, "refused")


def test_a_call_to_the_owner_ends_by_the_deadline_of_its_caller() -> None:
    async def main() -> float:
        transport: Any = SlowRefusals()
        nodes: Any = Nodes()
        started = anyio.current_time()
        with pytest.raises(NotStartedError):
            await PeerCaller(transport, nodes).call_owner("s", DescribeShard("s"), DEADLINE_S)
        return anyio.current_time() - started

    assert run_simulated(main, 1) <= DEADLINE_S + 0.001


def test_peers_that_lack_the_newest_records_are_pushed_to_first() -> None:
    staged = StagedRecords(0, 10)
    staged.add(0, (b"a", b"b"))
    staged.note_held("has-all", 2)
    staged.note_held("has-one", 1)
    peers: list[Any] = [Node("has-all"), Node("has-none"), Node("has-one")]
    for seed in range(20):
        chosen = peers_to_push_to(peers, staged, 2, random.Random(seed))
        assert {peer.instance_id for peer in chosen} == {"has-none", "has-one"}
    assert len(peers_to_push_to(peers, staged, 3, random.Random(1))) == 3
