"""Room for the bytes of requests, which is limited for all of them together."""

import gc

import anyio
import pytest

from worksramp.edge.request_memory import ByteBudget, NoRoomError, RequestMemory, max_request_bytes
from worksramp_emulator.simulation.clock import run_simulated


def test_a_request_waits_for_room_and_is_refused_after_a_short_time() -> None:
    waits: list[float] = []

    async def main() -> None:
        memory = RequestMemory(ByteBudget(100))

        async def hold(seconds: float) -> None:
            with memory.hold() as holding:
                await holding.reserve(80)
                await anyio.sleep(seconds)

        async def ask() -> None:
            began = anyio.current_time()
            with memory.hold() as holding:
                await holding.reserve(60)
                waits.append(anyio.current_time() - began)

        async with anyio.create_task_group() as group:
            group.start_soon(hold, 0.2)
            await anyio.sleep(0.01)
            await ask()
            group.start_soon(hold, 5.0)
            await anyio.sleep(0.01)
            with pytest.raises(NoRoomError):
                await ask()
        assert (memory.budget.used_b, memory.num_refused) == (0, 1)

    run_simulated(main, 1)
    assert len(waits) == 1 and 0.15 < waits[0] < 0.25


def test_a_body_of_unknown_size_is_refused_once_it_has_outgrown_the_room() -> None:
    memory = RequestMemory(ByteBudget(100))
    with memory.hold() as other, memory.hold(copies=3) as holding:
        other.cover(40)
        holding.cover(20)
        with pytest.raises(NoRoomError):
            holding.cover(21)
        assert memory.budget.used_b == 100
    assert memory.budget.used_b == 0


def test_the_only_request_may_be_larger_than_all_together() -> None:
    memory = RequestMemory(ByteBudget(100))
    with memory.hold() as holding:
        holding.cover(90)
        holding.cover(400)
        with memory.hold() as other, pytest.raises(NoRoomError):
            other.cover(1)


# Requests that had ended stayed in memory, in the tracebacks of cancelled tasks: 13 of 20 MB at a time.
def test_bytes_in_cycles_are_collected_before_others_take_their_room() -> None:
    class Cycle:
        num_alive = 0

        def __init__(self) -> None:
            Cycle.num_alive += 1
            self.body, self.itself = bytes(60), self

        def __del__(self) -> None:
            Cycle.num_alive -= 1

    budget = ByteBudget(100)
    gc.disable()
    try:
        for _ in range(10):
            assert budget.has_room(60)
            budget.use(60)
            Cycle()
            budget.give_up(60)
        assert Cycle.num_alive <= 1
    finally:
        gc.enable()


def test_a_machine_with_little_memory_still_takes_requests() -> None:
    assert 0 < max_request_bytes(64) < max_request_bytes(128) < max_request_bytes(330) < 150_000_000
