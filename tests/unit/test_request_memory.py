"""Room for the bytes of requests, which is limited for all of them together."""

import gc

import anyio
import pytest

from worksramp.serving.request_memory import (
    ByteBudget,
    NoRoomError,
    RequestHolding,
    RequestMemory,
    max_request_bytes,
)
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
    async def main() -> None:
        memory = RequestMemory(ByteBudget(100))
        with memory.hold() as other, memory.hold(copies=3) as holding:
            await other.grow(40, 0)
            await holding.grow(20, 0)
            with pytest.raises(NoRoomError):
                await holding.grow(21, 0)
            assert memory.budget.used_b == 100
        assert memory.budget.used_b == 0

    run_simulated(main, 1)


def test_the_only_request_may_be_larger_than_all_together() -> None:
    async def main() -> None:
        memory = RequestMemory(ByteBudget(100))
        with memory.hold() as holding:
            await holding.grow(90, 0)
            await holding.grow(400, 0)
            with memory.hold() as other, pytest.raises(NoRoomError):
                await other.grow(1, 0)

    run_simulated(main, 1)


async def send_steps(holding: RequestHolding, size_b: int, pauses_s: list[float]) -> None:
    """Read a body of this size in equal parts, with a pause before each."""
    await holding.reserve(size_b)
    with holding.reading():
        for number, pause_s in enumerate(pauses_s, 1):
            await anyio.sleep(pause_s)
            await holding.grow(size_b * number // len(pauses_s), size_b)


# Clients that stop short of the end of their bodies held the room of all others for as long as they stayed.
def test_bodies_without_progress_give_way_to_others_the_longest_stalled_first() -> None:
    ended: list[str] = []

    async def main() -> None:
        memory = RequestMemory(ByteBudget(100))

        async def stall(name: str) -> None:
            with memory.hold() as holding:
                try:
                    await send_steps(holding, 50, [60.0])
                except NoRoomError:
                    ended.append(name)

        async with anyio.create_task_group() as group:
            for name in ("first", "second"):
                group.start_soon(stall, name)
                await anyio.sleep(0.5)
            with memory.hold() as holding:
                await holding.reserve(40)
            assert ended == ["first"] and memory.num_displaced == 1
            group.cancel_scope.cancel()
        assert memory.budget.used_b == 0

    run_simulated(main, 1)


def test_single_bytes_that_keep_a_body_alive_are_no_progress() -> None:
    async def main() -> None:
        memory = RequestMemory(ByteBudget(1600))

        async def trickle() -> None:
            with memory.hold() as holding, pytest.raises(NoRoomError):
                await holding.reserve(1600)
                with holding.reading():
                    for received_b in range(1, 1600):
                        await holding.grow(received_b, 1600)
                        await anyio.sleep(0.2)

        async with anyio.create_task_group() as group:
            group.start_soon(trickle)
            await anyio.sleep(5.0)
            with memory.hold() as holding:
                await holding.reserve(10)
        assert memory.num_displaced == 1

    run_simulated(main, 1)


def test_a_slow_body_that_comes_on_keeps_its_room() -> None:
    async def main() -> None:
        memory = RequestMemory(ByteBudget(100))
        with memory.hold() as slow:

            async def press() -> None:
                for _ in range(4):
                    with memory.hold() as other, pytest.raises(NoRoomError):
                        await other.reserve(50)

            async with anyio.create_task_group() as group:
                group.start_soon(press)
                await send_steps(slow, 80, [0.25] * 16)
        assert (memory.num_displaced, memory.num_refused) == (0, 4)

    run_simulated(main, 1)


def test_a_slow_body_is_read_to_its_end_where_nobody_needs_its_room() -> None:
    async def main() -> None:
        memory = RequestMemory(ByteBudget(100))
        with memory.hold() as holding:
            await send_steps(holding, 80, [14.0] * 4)
        assert memory.num_displaced == 0

    run_simulated(main, 1)


def test_a_small_body_needs_no_room() -> None:
    async def main() -> None:
        memory = RequestMemory(ByteBudget(100), uncounted_b=10)
        with memory.hold() as other, memory.hold(copies=3) as small:
            await other.reserve(100)
            await small.reserve(10)
            await small.grow(10, 0)
            assert memory.budget.used_b == 100
            with pytest.raises(NoRoomError):
                await small.grow(11, 0)

    run_simulated(main, 1)


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
