"""One request ended nine workers of a service that has three.

Its body made each worker that began to run it crash. Every try was kept to two workers, as the route allows,
but that count lived in the memory of one node and ended with the try. The caller came back under another id
at another node, which knew nothing of the workers that had ended, and sent the request to two more. So
workers went down as fast as they came back, and the requests that ran beside it broke off with them.

What settled it were the lines of broken attempts, once they carried a fingerprint that all tries of a request
share. Played on six nodes before the mend, one fingerprint stood in 18 of 22 of them, under fourteen ids of
tries, and never more than twice under the same one:

    attempt_failed request_id=try-1 fingerprint=360ff5cfc2a5e3b1 worker=app-1 reason="broken: app-1"
    attempt_failed request_id=try-1 fingerprint=360ff5cfc2a5e3b1 worker=app-0 reason="broken: app-0"
    attempt_failed request_id=try-2 fingerprint=360ff5cfc2a5e3b1 worker=app-2 reason="broken: app-2"
    attempt_failed request_id=try-31 fingerprint=360ff5cfc2a5e3b1 worker=app-1#1 reason="broken: app-1#1"
"""

import anyio

from worksramp.logs import configure_logs
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.live_checkers import check_crash_bound
from worksramp_emulator.simulation.live_world import APPLICATION_PREFIX, LiveWorld

KILLING = f"{APPLICATION_PREFIX}kills".encode()
NUM_WORKERS, NUM_NODES = 3, 6
SETTLE_S = 0.5


def test_a_request_that_ends_workers_is_stopped_at_every_node() -> None:
    configure_logs("info")

    async def main() -> LiveWorld:
        async with anyio.create_task_group() as group:
            world = LiveWorld(NUM_WORKERS, NUM_NODES, 1, group)
            await world.start()
            await anyio.sleep(SETTLE_S)
            group.start_soon(world.ordinary_traffic, 3.0, 20.0)
            await world.come_again(KILLING, num_times=12, pause_s=1.5)
            group.cancel_scope.cancel()
        return world

    world = run_simulated(main, 1)
    assert check_crash_bound(world) == []
