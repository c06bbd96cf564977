"""Run both example deployments end to end on loopback and check the results.

The exit status is 0 only if every check of the summary holds.
"""

import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx
import msgspec
from deployment import API_KEYS, Deployment

from worksramp.backends.base import GenerateRequest, GenerationChunk
from worksramp.backends.http import HttpEngineClient
from worksramp_emulator.engine import TokenRun
from worksramp_emulator.load import LoadTarget, count_runs, run_completions, run_keyed_calls
from worksramp_emulator.text import expected_completion
from worksramp_emulator.trainer import TrainerRecord
from worksramp_emulator.trainer_http import read_record

RUN_DIRECTORY = Path("run")
NUM_STEPS = 4
TRAIN_SECONDS = 1.0
NUM_LIVE_REQUESTS = 120
LIVE_CONCURRENCY = 8
NUM_KEYED_REQUESTS = 15
NUM_DIRECT_REQUESTS = 60
TRAINER_TIMEOUT_SECONDS = 120.0
MILLISECONDS = 1000


@dataclass(slots=True)
class Row:
    """Line of a summary.

    Attributes:
        is_good: whether the check of this line holds, or None if the line is only informative.
    """

    name: str
    value: str
    is_good: bool | None = None


@dataclass(slots=True)
class Summary:
    """Summary of one deployment."""

    deployment: str
    rows: list[Row] = field(default_factory=list)

    def check(self, name: str, value: object, is_good: bool) -> None:
        """Add a line with a check, which holds if ``is_good``."""
        self.rows.append(Row(name, str(value), is_good))

    def info(self, name: str, value: object) -> None:
        """Add a line without a check."""
        self.rows.append(Row(name, str(value)))

    @property
    def is_good(self) -> bool:
        """Whether all checks hold."""
        return all(row.is_good is not False for row in self.rows)

    def print(self) -> None:
        """Print the table."""
        print(f"\n{self.deployment}")
        for row in self.rows:
            verdict = {True: "ok", False: "FAILED", None: ""}[row.is_good]
            print(f"  {row.name:<48} {row.value:>24}  {verdict}")


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values, or 0.0 if there are none; ``share`` is from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def format_ms(seconds: float) -> str:
    """Return a time as text in milliseconds."""
    return f"{seconds * MILLISECONDS:.1f} ms"


async def run_deployment(name: str) -> Summary:
    """Run one deployment with its workload, stop it, and return the summary."""
    summary = Summary(name)
    deployment = Deployment.plan(name, RUN_DIRECTORY / name)
    started_at = time.monotonic()
    try:
        deployment.start_platform()
        for index in range(len(deployment.nodes)):
            deployment.start_node(index)
        for index in range(len(deployment.nodes)):
            await deployment.wait_ready(index)
        summary.info("start-up of all processes", f"{time.monotonic() - started_at:.1f} s")
        await deployment.configure()
        await run_workload(deployment, summary)
        memory = max(deployment.memory_mib(f"node-{index}") for index in range(len(deployment.nodes)))
        summary.info("resident memory of the largest node", f"{memory:.0f} MiB")
    finally:
        codes = deployment.stop()
    summary.check("nodes that stopped gracefully", len(codes), all(code == 0 for code in codes.values()))
    return summary


async def run_workload(deployment: Deployment, summary: Summary) -> None:
    """Run trainers, live and keyed requests, and add the checks of their results to the summary."""
    jobs = tuple(deployment.example.prompt_files)
    files = {job: deployment.start_trainer(job, NUM_STEPS, TRAIN_SECONDS) for job in jobs}
    target = LoadTarget(tuple(deployment.nodes), API_KEYS["caller"], deployment.example.model)
    await wait_routable(deployment)
    live = await run_completions(target, NUM_LIVE_REQUESTS, LIVE_CONCURRENCY)
    summary.check(
        "live requests answered completely",
        f"{len(live.seconds)} of {NUM_LIVE_REQUESTS}",
        len(live.seconds) == NUM_LIVE_REQUESTS and live.num_wrong == 0,
    )
    for refusal in live.refusals[:3]:
        summary.info("refusal", refusal)
    summary.info("live p50 beside rollout", format_ms(percentile(live.seconds, 0.5)))
    summary.info("live p99 beside rollout", format_ms(percentile(live.seconds, 0.99)))
    await check_keyed(deployment, summary)
    for job in jobs:
        await wait_process(deployment, f"trainer-{job}")
        await check_job(deployment, summary, job, read_record(str(files[job])), NUM_STEPS)
    await compare_latency(deployment, summary)


async def wait_routable(deployment: Deployment) -> None:
    """Wait until every gateway completes a request, for which it must first have load reports."""
    body = {"model": deployment.example.model, "prompt": "warm-up", "max_tokens": 4}
    headers = {"authorization": f"Bearer {API_KEYS['caller']}"}
    async with httpx.AsyncClient(headers=headers, trust_env=False) as client:
        for node in deployment.nodes:
            with anyio.fail_after(TRAINER_TIMEOUT_SECONDS):
                while True:
                    response = await client.post(f"http://{node}/v1/completions", json=body, timeout=30.0)
                    if response.is_success:
                        break
                    await anyio.sleep(0.2)


async def wait_process(deployment: Deployment, name: str) -> None:
    """Wait until a process has ended."""
    with anyio.fail_after(TRAINER_TIMEOUT_SECONDS):
        while deployment.processes[name].poll() is None:
            await anyio.sleep(0.1)


async def check_keyed(deployment: Deployment, summary: Summary) -> None:
    """Send each keyed request twice and check that it ran once."""
    application = deployment.example.application
    keyed = await run_keyed_calls(
        tuple(deployment.nodes), API_KEYS["caller"], application, NUM_KEYED_REQUESTS
    )
    runs = await count_runs(deployment.applications)
    num_completed = sum(1 for outcome in keyed.outcomes.values() if outcome == "completed")
    num_twice = sum(1 for count in runs.values() if count > 1)
    summary.check(
        "keyed requests completed", f"{num_completed} of {NUM_KEYED_REQUESTS}", num_completed == len(runs)
    )
    summary.check("keyed requests run twice", num_twice, num_twice == 0 and len(runs) == NUM_KEYED_REQUESTS)


async def check_job(
    deployment: Deployment, summary: Summary, job: str, record: TrainerRecord, num_steps: int
) -> None:
    """Check the batches that a trainer received against the records of the engines."""
    samples = [sample for batch in record.batches for sample in batch.samples]
    bound = {"explanations": 2, "disputes": 1, "replies": 2}[job]
    duplicates = len(samples) - len({sample.index for sample in samples})
    staleness = record.staleness()
    token_versions = await read_token_versions(deployment)
    num_wrong = sum(
        1
        for sample in samples
        for segment in sample.segments
        for index in range(segment.start, segment.end)
        if segment.weight_version
        not in token_versions.get((sample.prompt, "".join(sample.tokens), index), set())
    )
    summary.check(f"{job}: steps delivered", len(record.batches), len(record.batches) == num_steps)
    summary.check(f"{job}: samples delivered", len(samples), len(samples) > 0)
    summary.check(f"{job}: duplicates", duplicates, duplicates == 0)
    summary.check(f"{job}: tokens with a wrong weight version", num_wrong, num_wrong == 0)
    num_stale = sum(1 for age in staleness if age > bound)
    summary.check(f"{job}: samples staler than {bound}", num_stale, num_stale == 0)
    summary.info(f"{job}: staleness mean / max", f"{sum(staleness) / len(staleness):.2f} / {max(staleness)}")
    summary.info(f"{job}: trainer idle share", f"{record.idle_share:.2f}")


async def read_token_versions(deployment: Deployment) -> dict[tuple[str, str, int], set[int]]:
    """Return the weight versions that generated each token, by prompt, complete text and token index."""
    token_versions: dict[tuple[str, str, int], set[int]] = {}
    async with httpx.AsyncClient(trust_env=False) as client:
        for address in deployment.engines:
            body = (await client.get(f"http://{address}/token_runs")).content
            for run in msgspec.json.decode(body, type=list[TokenRun]):
                text = expected_completion(run.prompt, run.seed, run.max_tokens)
                for index in range(run.start, run.end):
                    token_versions.setdefault((run.prompt, text, index), set()).add(run.weight_version)
    return token_versions


async def compare_latency(deployment: Deployment, summary: Summary) -> None:
    """Measure the latency of direct calls and of calls through a gateway, in alternation."""
    direct: list[float] = []
    through: list[float] = []
    target = LoadTarget((deployment.nodes[0],), API_KEYS["caller"], deployment.example.model, 8)
    async with httpx.AsyncClient(trust_env=False) as client:
        engines = HttpEngineClient(client)
        for number in range(NUM_DIRECT_REQUESTS):
            request = GenerateRequest(
                f"direct-{number}", target.model, "Live question 0 of a customer", 8, seed=0
            )
            address = deployment.engines[number % len(deployment.engines)]
            started_at = time.monotonic()
            _: list[GenerationChunk] = [chunk async for chunk in engines.generate(address, request)]
            direct.append(time.monotonic() - started_at)
            record = await run_completions(target, 1, 1)
            through += record.seconds
    for name, seconds in (("direct call", direct), ("through a gateway", through)):
        middle, high = format_ms(percentile(seconds, 0.5)), format_ms(percentile(seconds, 0.99))
        summary.info(f"{name} p50 / p99", f"{middle} / {high}")


async def run_all() -> bool:
    """Run the deployments one after the other and return whether all checks hold."""
    summaries = [await run_deployment(name) for name in ("zwrotka", "litoral")]
    for summary in summaries:
        summary.print()
    return all(summary.is_good for summary in summaries)


if __name__ == "__main__":
    sys.exit(0 if anyio.run(run_all) else 1)
