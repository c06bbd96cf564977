"""Requests at a node that stops: refused, answered or given up in time, never cut."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from worksramp.edge.node_stop import TAKE_ALL_S, NodeStop
from worksramp_emulator.simulation.batch_world import BatchWorld, BatchWorldSpec
from worksramp_emulator.simulation.clock import run_simulated

GRACE_S = 8.0


@pytest.mark.parametrize(
    ("at", "lasts_s", "may_begin"),
    [
        (0.0, 30.0, True),
        (2.7, 30.0, True),
        (2.9, 30.0, False),
        (2.9, 3.8, True),
        (3.05, 30.0, False),
        (3.19, 4.0, False),
        (3.3, 30.0, False),
        (3.3, 3.0, True),
        (6.7, 0.2, False),
    ],
)
def test_a_request_that_may_not_be_cut_must_end_before_the_node(
    at: float, lasts_s: float, may_begin: bool
) -> None:
    # Streams that were sent 3.06 to 3.2 s after SIGTERM were taken whatever their length, and cut.
    # A request sent over 3 s after SIGTERM on a kept connection got a 500 of the node's own.
    stopping = NodeStop()
    assert stopping.may_begin(100.0, 1000.0)
    stopping.begin(100.0, GRACE_S)
    assert stopping.may_begin(100.0 + at, 100.0 + at + lasts_s) == may_begin


def in_simulation(work: Callable[[NodeStop], Awaitable[float]]) -> float:
    async def main() -> float:
        stopping = NodeStop()
        async with anyio.create_task_group() as group:

            async def begin_later() -> None:
                await anyio.sleep(1.0)
                stopping.begin(anyio.current_time(), GRACE_S)

            group.start_soon(begin_later)
            started_at = anyio.current_time()
            await work(stopping)
            ended_at = anyio.current_time()
            group.cancel_scope.cancel()
        return ended_at - started_at

    return run_simulated(main, 1)


def test_requests_in_flight_are_given_up_while_their_answers_can_still_be_sent() -> None:
    async def request_before_the_stop(stopping: NodeStop) -> float:
        with stopping.limit():
            await anyio.sleep(60.0)
        return 0.0

    async def request_during_the_stop(stopping: NodeStop) -> float:
        await anyio.sleep(2.0)
        with stopping.limit():
            await anyio.sleep(60.0)
        return 0.0

    assert in_simulation(request_before_the_stop) == pytest.approx(1.0 + 0.85 * GRACE_S)
    assert in_simulation(request_during_the_stop) == pytest.approx(1.0 + 0.85 * GRACE_S)


def test_a_node_that_does_not_stop_limits_nothing() -> None:
    async def request(stopping: NodeStop) -> None:
        assert not stopping.is_begun
        with stopping.limit():
            await anyio.sleep(600.0)

    async def main() -> float:
        started_at = anyio.current_time()
        await request(NodeStop())
        return anyio.current_time() - started_at

    assert run_simulated(main, 1) == pytest.approx(600.0)


def test_the_times_of_a_stop_count_from_its_signal() -> None:
    # Requests of any length were taken until 2.8 s after the signal had been handled, however late that was.
    async def main() -> tuple[float, float, float]:
        async with anyio.create_task_group() as group:
            world = BatchWorld(BatchWorldSpec(num_nodes=1), 1, group)
            await world.start()
            node = world.slots[0].node
            assert node is not None
            arrived_at = anyio.current_time()
            await anyio.sleep(1.5)
            await node.stop(anyio.current_time() - arrived_at)
            stopping, grace_s = node.stopping, node.settings.bounds.grace
            group.cancel_scope.cancel()
        return stopping.takes_all_until - arrived_at, stopping.ends_at - arrived_at, grace_s

    takes_all_s, ends_s, grace_s = run_simulated(main, 1)
    assert takes_all_s == pytest.approx(min(TAKE_ALL_S, grace_s / 2))
    assert ends_s == pytest.approx(0.85 * grace_s)
