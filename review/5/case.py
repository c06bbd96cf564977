"""A writer that is no worker writes entries without `born` under one new id after the other."""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from world import (  # noqa: E402
    FIELDS,
    HEADERS,
    MODEL,
    TOPICS,
    World,
    batch_route,
    call,
    config,
    engine_service,
    free_port,
    run_case,
)

BATCH_ID = "7c41e09b52d6a3f8"
HOST = {"Host": "batch.example"}
LIVE = {"Host": "live.example", HEADERS["deadline_ms"]: "2000"}
NUM_ITEMS, NUM_FOREIGN_IDS = 48, 7
#: Pause between two ids of the foreign writer; the entry before goes first.
FOREIGN_PAUSE_S = 1.2
#: The trainer gives a step up after its deadline of 12 s.
STEP_ENDS_S, AT_NO_WORKER_S = 12.0, 5.0


def batch() -> bytes:
    """Return the body of the submission."""
    items = [
        {
            "id": f"e5b2907c14da{number:04x}",
            "path": f"/draft/3/{number:x}",
            "headers": {HEADERS["model"]: MODEL, HEADERS["token_count"]: "540,400"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 940,
            "group": f"g{number // 4}",
        }
        for number in range(NUM_ITEMS)
    ]
    return json.dumps(
        {"step": 0, "model": MODEL, FIELDS["min_version"]: 1, "desired": 12, "items": items}
    ).encode()


def foreign_entry() -> bytes:
    """Return an entry of a service that isn't named here; it lacks `born` as well."""
    entry: dict[str, Any] = {
        "service": "thumbnailer",
        "address": f"127.0.0.1:{free_port()}",
        "zone": "z1",
        "version": "1",
        "slots": 4,
        "state": "ready",
        "coldLeftMs": 0,
        "models": [{"name": MODEL, "version": 1, "adapters": []}],
        "seq": 1,
    }
    return json.dumps(entry).encode()


async def write_foreign(world: World) -> None:
    """Write the foreign entries, one at a time, each under a new id."""
    before = ""
    for number in range(NUM_FOREIGN_IDS):
        if before:
            world.store.put(TOPICS["workers"], before, b"")
        before = f"x-{number:04x}"
        world.store.put(TOPICS["workers"], before, foreign_entry())
        world.record.add(f"foreign entry {before}; the one before has gone")
        await asyncio.sleep(FOREIGN_PAUSE_S)


async def call_live(world: World) -> None:
    """Send a live request each second."""
    for number in range(1000):
        attempt_id = f"9c41d07be2a3{number:04x}"
        headers = {**LIVE, HEADERS["attempt_id"]: attempt_id}
        node = world.nodes[number % len(world.nodes)]
        reply = await call(node.address, "POST", "/check/1", headers, b"receipt")
        world.record.add(f"live request {attempt_id}: {reply.status}")
        await asyncio.sleep(1.0)


async def case(is_troubled: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    world = World(HERE)
    record = world.record
    born_ms = int(time.time() * 1000)
    engines = [
        world.add_worker(
            f"i-engine{number}",
            "tagger",
            slots=4,
            work_s=0.07,
            num_events=16,
            is_engine=True,
            born_ms=born_ms,
        )
        for number in range(2)
    ]
    world.add_worker("i-app0", "ledger", slots=6, work_s=0.03, born_ms=born_ms)
    live_route = {
        "name": "check",
        "host": "live.example",
        FIELDS["prefix"]: "/check/",
        "type": "idempotent",
        "service": "ledger",
        "timeoutMs": 2000,
        "sloMs": 192,
        FIELDS["attempts"]: 2,
        "priority": 2,
    }
    services = [engine_service("tagger", 4), {"name": "ledger", "maxConns": 96}]
    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start(3, config([batch_route("tagger"), live_route], services))
        tasks.append(asyncio.ensure_future(call_live(world)))
        if is_troubled:
            tasks.append(asyncio.ensure_future(write_foreign(world)))
            await asyncio.sleep((NUM_FOREIGN_IDS - 2) * FOREIGN_PAUSE_S)
        headers = {**HOST, HEADERS["attempt_id"]: BATCH_ID, "Content-Type": "application/json"}
        reply = await call(world.nodes[0].address, "POST", "/draft/7c41e0", headers, batch())
        record.add(f"step sent: {reply.status}")
        if reply.status != 202:
            raise RuntimeError(f"not accepted: {reply}")
        began = time.monotonic()
        most_running = 0
        while (age_s := time.monotonic() - began) < STEP_ENDS_S:
            if age_s < STEP_ENDS_S - AT_NO_WORKER_S:
                most_running = 0
            most_running = max(most_running, sum(engine.num_running for engine in engines))
            await asyncio.sleep(0.05)
        begun = {run.attempt_id for engine in engines for run in engine.runs}
        num_begun, num_slots = len(begun), sum(engine.slots for engine in engines)
        record.add(f"the step's time is out: {num_begun} of {NUM_ITEMS} items have begun")
        record.add(f"in its last {AT_NO_WORKER_S} s at most {most_running} of {num_slots} slots were taken")
        for node in world.nodes:
            for line in node.log_lines("entry_refused")[-6:]:
                record.add(f"{node.name} logs: {line}")
        # An item that has not begun has been at no worker through these 5 s.
        return 0 < num_begun < NUM_ITEMS and most_running < num_slots / 2
    finally:
        for task in tasks:
            task.cancel()
        await world.end()


if __name__ == "__main__":
    run_case(HERE, case)
