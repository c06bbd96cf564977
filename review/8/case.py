"""Streams that are sent on kept connections a little more than 3 s after the SIGTERM of their machine."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from world import (  # noqa: E402
    FIELDS,
    HEADERS,
    Connection,
    Reply,
    World,
    config,
    engine_service,
    run_case,
)

HOST = {"Host": "live.example", HEADERS["deadline_ms"]: "12000"}
NUM_CLIENTS = 8
#: The rule excuses requests that were sent up to 3 s after the SIGTERM.
EXCUSED_S, FIRST_SENT_S, BETWEEN_S = 3.0, 3.06, 0.015
GRACE_S = 8.0


class Client:
    """A client with one kept connection."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.number = number
        self.connection = Connection(world.nodes[0].address)
        self.sent_at = 0.0

    async def send(self, path: str, attempt_id: str) -> Reply:
        """Send one request, and record it and its answer."""
        self.sent_at = time.monotonic()
        headers = {**HOST, HEADERS["attempt_id"]: attempt_id}
        self.world.record.add(f"client {self.number} sends {path} {attempt_id}")
        reply = await self.connection.call("POST", path, headers, b"prompt", timeout_s=11.5)
        text = f"{reply.status} {len(reply.body)} bytes {reply.reason}"
        self.world.record.add(f"client {self.number} got {attempt_id}: {text}")
        return reply


async def case(is_troubled: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    world = World(HERE)
    # A stream takes 5.2 s.
    engine = world.add_worker("i-engine0", "writer", slots=16, work_s=0.2, num_events=26, is_engine=True)
    world.add_worker("i-app0", "desk", slots=6, work_s=0.03)
    fields = {"host": "live.example", "timeoutMs": 12_000, "sloMs": 400, FIELDS["attempts"]: 2, "priority": 1}
    routes = [
        {"name": "text", FIELDS["prefix"]: "/text/", "type": "streaming", "service": "writer", **fields},
        {"name": "check", FIELDS["prefix"]: "/check/", "type": "idempotent", "service": "desk", **fields},
    ]
    services = [engine_service("writer", 16), {"name": "desk", "maxConns": 96}]
    try:
        await world.start(2, config(routes, services))
        clients = [Client(world, number) for number in range(NUM_CLIENTS)]
        for client in clients:
            reply = await client.send("/check/1", f"9c41d07be2a3{client.number:04x}")
            if reply.status != 200:
                raise RuntimeError(f"not served: {reply}")
        stopped_at = time.monotonic()
        if is_troubled:
            world.record.add(f"SIGTERM of {world.nodes[0].name}")
            world.nodes[0].signal(signal.SIGTERM)

        async def stream(client: Client) -> Reply:
            await asyncio.sleep(FIRST_SENT_S + client.number * BETWEEN_S)
            return await client.send("/text/1", f"5d07b8a1c2e3{client.number:04x}")

        replies = await asyncio.gather(*[stream(client) for client in clients])
        begun = {run.attempt_id for run in engine.runs}
        num_cut = 0
        for client, reply in zip(clients, replies, strict=True):
            after_s = client.sent_at - stopped_at
            is_passed_on = f"5d07b8a1c2e3{client.number:04x}" in begun
            is_ended = reply.status == 0 and "Timeout" not in reply.reason
            is_cut = is_ended and is_passed_on and EXCUSED_S < after_s < GRACE_S + 1.0
            num_cut += is_cut
            world.record.add(
                f"client {client.number}: sent {after_s:.3f} s after, passed on {is_passed_on}, cut {is_cut}"
            )
        for line in world.nodes[0].log_lines("stopp"):
            world.record.add(f"{world.nodes[0].name} logs: {line}")
        return num_cut > 0
    finally:
        await world.end()


if __name__ == "__main__":
    run_case(HERE, case)
