"""Kill, pause and stop real nodes under load, and check the results.

The checks are those of the demo, with generous bounds. The exit status is 0 only if all hold.
"""

import signal
import sys

import anyio
from demo import RUN_DIRECTORY, Summary, check_job, wait_process, wait_routable
from deployment import API_KEYS, Deployment

from worksramp_emulator.load import LoadTarget, count_runs, run_completions, run_keyed_calls
from worksramp_emulator.trainer_http import read_record

NUM_LIVE_REQUESTS = 400
NUM_KEYED_REQUESTS = 120
LIVE_CONCURRENCY = 6
NUM_STEPS = 8
TRAIN_SECONDS = 2.0
PAUSE_SECONDS = 10.0
BETWEEN_SECONDS = 6.0


async def inject_faults(deployment: Deployment) -> None:
    """Kill one node, pause another and stop the third gracefully; each is started or continued again."""
    await anyio.sleep(BETWEEN_SECONDS)
    deployment.signal("node-0", signal.SIGKILL)
    deployment.processes["node-0"].wait()
    await anyio.sleep(BETWEEN_SECONDS)
    deployment.start_node(0)
    await deployment.wait_ready(0)
    deployment.signal("node-1", signal.SIGSTOP)
    await anyio.sleep(PAUSE_SECONDS)
    deployment.signal("node-1", signal.SIGCONT)
    await anyio.sleep(BETWEEN_SECONDS)
    deployment.signal("node-2", signal.SIGTERM)
    code = await anyio.to_thread.run_sync(deployment.processes["node-2"].wait)
    if code != 0:
        raise RuntimeError(f"node-2 ended with {code} on SIGTERM")
    deployment.start_node(2)
    await deployment.wait_ready(2)


async def run_faults() -> Summary:
    """Run the Litoral example while faults are injected, and return the summary."""
    summary = Summary("litoral, with nodes killed, paused and stopped")
    deployment = Deployment.plan("litoral", RUN_DIRECTORY / "faults")
    try:
        deployment.start_platform()
        for index in range(len(deployment.nodes)):
            deployment.start_node(index)
        for index in range(len(deployment.nodes)):
            await deployment.wait_ready(index)
        await deployment.configure()
        await wait_routable(deployment)
        await run_workload(deployment, summary)
    finally:
        deployment.stop()
    return summary


async def run_workload(deployment: Deployment, summary: Summary) -> None:
    """Run a trainer, live and keyed requests during the faults, and add the checks to the summary."""
    job = next(iter(deployment.example.prompt_files))
    file = deployment.start_trainer(job, NUM_STEPS, TRAIN_SECONDS)
    target = LoadTarget(tuple(deployment.nodes), API_KEYS["caller"], deployment.example.model)
    async with anyio.create_task_group() as group:
        group.start_soon(inject_faults, deployment)
        live = await run_completions(target, NUM_LIVE_REQUESTS, LIVE_CONCURRENCY)
        application = deployment.example.application
        keyed = await run_keyed_calls(
            tuple(deployment.nodes), API_KEYS["caller"], application, NUM_KEYED_REQUESTS
        )
    await wait_process(deployment, f"trainer-{job}")
    summary.info("live requests answered", f"{len(live.seconds)} of {NUM_LIVE_REQUESTS}")
    summary.check("live answers incomplete or of another request", live.num_wrong, live.num_wrong == 0)
    runs = await count_runs(deployment.applications)
    num_completed = sum(1 for outcome in keyed.outcomes.values() if outcome == "completed")
    summary.info("keyed requests completed", f"{num_completed} of {NUM_KEYED_REQUESTS}")
    num_twice = sum(1 for count in runs.values() if count > 1)
    summary.check("keyed requests run twice", num_twice, num_twice == 0)
    summary.check("completed keyed requests that ran", len(runs), len(runs) >= num_completed)
    await check_job(deployment, summary, job, read_record(str(file)), NUM_STEPS)


async def main() -> bool:
    """Run the deployment, print the summary and return whether all checks hold."""
    summary = await run_faults()
    summary.print()
    return summary.is_good


if __name__ == "__main__":
    sys.exit(0 if anyio.run(main) else 1)
