"""A step of twice the usual items, all with long prompts, after one of the usual size."""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from world import (  # noqa: E402
    FIELDS,
    HEADERS,
    MODEL,
    PATHS,
    TOPICS,
    Reply,
    Worker,
    World,
    batch_route,
    call,
    config,
    engine_service,
    run_case,
)

HOST = {"Host": "batch.example"}
BODY_B, GROUP_SIZE = 130_000, 4
#: Groups of a step, and of them those that the trainer waits for and those that may come back from before.
NUM_GROUPS, NUM_WANTED, NUM_RETURNED = 6, 4, 2
#: `burst`: this many times the new groups of a step.
BURST_X = 2
TRAIN_S = 0.5
#: The trainer gives a step up after its deadline of 12 s.
STEP_ENDS_S, AT_NO_WORKER_S = 12.0, 5.0


def item_id(step: int, number: int) -> str:
    """Return the id of an item that is new in a step."""
    return f"e5b2907c{step:04x}{number:04x}"


class Trainer:
    """Submits steps, reads their results at all nodes in turn, and ends them."""

    def __init__(self, world: World) -> None:
        self.world = world
        self._num_calls = 0

    async def send(self, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> Reply:
        """Make one call, at the next node."""
        self._num_calls += 1
        node = self.world.nodes[self._num_calls % len(self.world.nodes)]
        return await call(node.address, method, target, {**HOST, **headers}, body)

    async def submit(self, step: int, groups: list[list[str]]) -> None:
        """Submit a step until it is accepted."""
        items = [
            {
                "id": each,
                "path": f"/draft/{step}/{each}",
                "headers": {HEADERS["model"]: MODEL, HEADERS["token_count"]: "32500,400"},
                "body": base64.b64encode(each.encode() * (BODY_B // len(each))).decode(),
                "tokens": 32_900,
                "group": f"g{group[0]}",
            }
            for group in groups
            for each in group
        ]
        lot = {"step": step, "model": MODEL, "desired": NUM_WANTED, "items": items}
        body = json.dumps({**lot, FIELDS["min_version"]: step - 1}).encode()
        for _ in range(5):
            headers = {HEADERS["attempt_id"]: batch_id(step), "Content-Type": "application/json"}
            reply = await self.send("POST", f"/draft/{step}", headers, body)
            self.world.record.add(f"step {step}: {len(items)} items, {len(body)} bytes: {reply.status}")
            if reply.status == 202:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError(f"step {step} was not accepted")

    async def listed(self, step: int) -> set[str]:
        """Return the ids of the items that are listed."""
        reply = await self.send("GET", f"{PATHS['batch_job']}{batch_id(step)}?{FIELDS['after']}=0", {})
        if reply.status != 200:
            return set()
        return {result["id"] for result in json.loads(reply.body)["results"]}

    async def end(self, step: int) -> None:
        """End a step."""
        reply = await self.send("DELETE", f"{PATHS['batch_job']}{batch_id(step)}", {})
        self.world.record.add(f"end of step {step}: {reply.status}")

    def name(self, version: int) -> None:
        """Name a version."""
        value = json.dumps({"model": MODEL, "version": version}).encode()
        self.world.store.put(TOPICS["operator"], f"version/{MODEL}", value)
        self.world.record.add(f"version {version} is named")


def batch_id(step: int) -> str:
    """Return the id of a step's batch job."""
    return f"7c41e09b52d6{step:04x}"


def new_groups(step: int, num: int) -> list[list[str]]:
    """Return new groups of a step."""
    return [[item_id(step, group * GROUP_SIZE + each) for each in range(GROUP_SIZE)] for group in range(num)]


async def watch_step(
    trainer: Trainer, step: int, engines: list[Worker], began: float
) -> tuple[set[str], int]:
    """Read a step until all is listed or its time is out.

    Returns:
        The ids listed, and the most slots that were taken in the last 5 s of its time.
    """
    listed: set[str] = set()
    most_running = 0
    while (age_s := time.monotonic() - began) < STEP_ENDS_S:
        if age_s < STEP_ENDS_S - AT_NO_WORKER_S:
            most_running = 0
        most_running = max(most_running, sum(engine.num_running for engine in engines))
        listed = await trainer.listed(step)
        await asyncio.sleep(0.25)
    trainer.world.record.add(
        f"step {step}, {STEP_ENDS_S:.0f} s after it was sent: {len(listed)} items listed"
    )
    return listed, most_running


async def case(is_troubled: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    world = World(HERE)
    engines = [
        world.add_worker(f"i-engine{number}", "tagger", slots=4, work_s=0.1, num_events=16, is_engine=True)
        for number in range(3)
    ]
    try:
        await world.start(3, config([batch_route("tagger")], [engine_service("tagger", 4)]))
        trainer = Trainer(world)
        trainer.name(2)
        await asyncio.sleep(4.0)
        first = new_groups(2, NUM_GROUPS)
        await trainer.submit(2, first)
        listed: set[str] = set()
        while sum(set(group) <= listed for group in first) < NUM_WANTED:
            await asyncio.sleep(0.1)
            listed = await trainer.listed(2)
        await trainer.end(2)
        returned = [group for group in first if not set(group) <= listed][:NUM_RETURNED]
        await asyncio.sleep(TRAIN_S)
        trainer.name(3)
        num_new = (NUM_GROUPS - NUM_RETURNED) * (BURST_X if is_troubled else 1)
        groups = returned + new_groups(3, num_new)
        await trainer.submit(3, groups)
        began = time.monotonic()
        listed, most_running = await watch_step(trainer, 3, engines, began)
        step_items = {each for group in groups for each in group}
        begun = {run.attempt_id for engine in engines for run in engine.runs} & step_items
        num_slots = sum(engine.slots for engine in engines)
        world.record.add(
            f"{len(begun)} of its {len(step_items)} items have begun, some before they came back"
        )
        world.record.add(
            f"in its last {AT_NO_WORKER_S} s at most {most_running} of {num_slots} slots were taken"
        )
        for node in world.nodes:
            for line in node.log_lines("items_not_read")[-1:]:
                world.record.add(f"{node.name} logs: {line}")
        # An item that has not begun has been at no worker through these 5 s.
        return 0 < len(begun) < len(step_items) and most_running < num_slots / 2
    finally:
        await world.end()


if __name__ == "__main__":
    run_case(HERE, case)
