"""Measure the costs of worksramp, and the slopes from which docs/CAPACITY.md is computed.

Real nodes are separate processes; hollow ones share a process. All traffic stays on loopback, and every
part is bounded in time and count. Raw results go to docs/results/.
"""

import json
import platform
import statistics
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import date
from pathlib import Path

import anyio
import httpx
import msgspec
from bench_deciders import measure_decisions
from deployment import API_KEYS, ROOT, Deployment, free_addresses, load_example
from prometheus_client.parser import text_string_to_metric_families

from worksramp.backends.base import Machine, MachineRole
from worksramp.settings import NodeSettings, PlatformSettings, Role
from worksramp_emulator.load import LoadTarget, run_completions, run_keyed_calls

RUN_DIRECTORY = Path("run/bench")
NUM_HOLLOW_NODES = (0, 60, 120, 240)
HOLLOW_NODES_PER_PROCESS = 60
NUM_ENGINES = (8, 24, 48)
SETTLE_SECONDS = 12.0
WINDOW_SECONDS = 15.0
NUM_CHANGES = 10
LIVE_TOKENS = (16, 128)
NUM_LIVE = 300
NUM_KEYED = 150
PERCENT = 100.0
MIB = 1024.0 * 1024.0
PLATFORM_BYTES = "worksramp_platform_bytes_total"
Metrics = dict[str, float]


async def read_metrics(address: str) -> Metrics:
    """Return the metrics of a node by name; the values of the labels are appended to the name."""
    async with httpx.AsyncClient(trust_env=False) as client:
        text = (await client.get(f"http://{address}/metrics")).text
    metrics: Metrics = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            label = ".".join(sample.labels.values())
            metrics[f"{sample.name}.{label}".rstrip(".")] = sample.value
    return metrics


async def measure_window(addresses: list[str], seconds: float) -> list[Metrics]:
    """Return, for each node, the increase of its metrics per second over a window, and its memory."""
    before = [await read_metrics(address) for address in addresses]
    started_at = time.monotonic()
    await anyio.sleep(seconds)
    after = [await read_metrics(address) for address in addresses]
    elapsed = time.monotonic() - started_at
    rates = []
    for first, second in zip(before, after, strict=True):
        rate = {key: (value - first.get(key, 0.0)) / elapsed for key, value in second.items()}
        rate["memory_mib"] = second["process_resident_memory_bytes"] / MIB
        rates.append(rate)
    return rates


def total(metrics: Metrics, prefix: str) -> float:
    """Return the sum of the metrics whose names start with a prefix."""
    return sum(value for key, value in metrics.items() if key.startswith(prefix))


def summarize(rates: list[Metrics]) -> Metrics:
    """Return the control cost per node: means over the nodes, and the range of the CPU."""
    cpu = [rate["process_cpu_seconds_total"] * PERCENT for rate in rates]

    def mean(prefix: str) -> float:
        return statistics.mean(total(rate, prefix) for rate in rates)

    return {
        "cpu_percent": statistics.mean(cpu),
        "cpu_percent_min": min(cpu),
        "cpu_percent_max": max(cpu),
        "memory_mib": statistics.mean(rate["memory_mib"] for rate in rates),
        "node_bytes_per_second": mean("worksramp_transport_sent_bytes_total"),
        "platform_bytes_per_second": mean(PLATFORM_BYTES),
        "platform_requests_per_second": mean("worksramp_platform_requests_total"),
    }


def hollow_settings(deployment: Deployment, count: int) -> list[NodeSettings]:
    """Return settings of hollow nodes, which are only gateways, so that real nodes own all shards."""
    peers = free_addresses(count)
    return [
        NodeSettings(
            node_id=f"hollow-{index}",
            zone=deployment.example.zones[index % len(deployment.example.zones)],
            listen="127.0.0.1:1",
            peer_listen=peer,
            platform=PlatformSettings(deployment.log, deployment.platform, deployment.platform),
            roles=(Role.GATEWAY,),
        )
        for index, peer in enumerate(peers)
    ]


@asynccontextmanager
async def running_deployment(
    num_hollow: int = 0, num_engines: int | None = None
) -> AsyncIterator[Deployment]:
    """Run the Zwrotka example with more nodes or other engines, and stop it afterwards.

    Args:
        num_hollow: number of hollow nodes that are added.
        num_engines: number of hollow engines instead of the example's engines, or None for these.
    """
    example = load_example("zwrotka")
    if num_engines is not None:
        example = msgspec.structs.replace(example, num_engines=num_engines)
    deployment = Deployment.plan("zwrotka", RUN_DIRECTORY, example)
    deployment.are_engines_hollow = num_engines is not None
    settings = hollow_settings(deployment, num_hollow)
    deployment.extra_machines = tuple(
        Machine(item.node_id, MachineRole.NODE, item.peer_listen, item.zone) for item in settings
    )
    try:
        deployment.start_platform()
        for start in range(0, len(settings), HOLLOW_NODES_PER_PROCESS):
            file = deployment.directory / f"hollow-{start}.json"
            file.write_bytes(msgspec.json.encode(settings[start : start + HOLLOW_NODES_PER_PROCESS]))
            deployment.emulator(f"hollow-{start}", "hollow_nodes", settings_file=str(file))
        for index in range(len(deployment.nodes)):
            deployment.start_node(index)
        for index in range(len(deployment.nodes)):
            await deployment.wait_ready(index)
        await wait_members(deployment, len(deployment.nodes) + num_hollow)
        yield deployment
    finally:
        deployment.stop()


async def wait_members(deployment: Deployment, count: int) -> None:
    """Wait until the first node lists at least ``count`` live members."""
    with anyio.fail_after(90.0):
        while True:
            status = await read_status(deployment.nodes[0])
            if sum(1 for member in status["members"] if member["status"] == "alive") >= count:
                return
            await anyio.sleep(0.5)


async def read_status(address: str) -> dict[str, list[dict[str, str]]]:
    """Return the status of a node, as its HTTP API reports it."""
    headers = {"authorization": f"Bearer {API_KEYS['operator']}"}
    async with httpx.AsyncClient(headers=headers, trust_env=False, timeout=30.0) as client:
        response = await client.get(f"http://{address}/v1/status")
    return dict(response.json())


async def bench_nodes() -> list[Metrics]:
    """Measure the control cost of a real node and the time to apply a change, by number of nodes."""
    rows = []
    for num_hollow in NUM_HOLLOW_NODES:
        async with running_deployment(num_hollow) as deployment:
            await publish_without_jobs(deployment)
            await anyio.sleep(SETTLE_SECONDS)
            row = summarize(await measure_window(deployment.nodes, WINDOW_SECONDS))
            row["num_nodes"] = num_hollow + len(deployment.nodes)
            row |= await spread_changes(deployment)
        rows.append(row)
        report("nodes", row)
    return rows


async def spread_changes(deployment: Deployment) -> Metrics:
    """Publish configuration changes and measure the time until each is in force on all real nodes."""
    headers = {"authorization": f"Bearer {API_KEYS['operator']}"}
    seconds = []
    async with httpx.AsyncClient(headers=headers, trust_env=False, timeout=30.0) as client:
        for number in range(NUM_CHANGES):
            node = deployment.nodes[number % len(deployment.nodes)]
            current = (await client.get(f"http://{node}/v1/configuration")).json()
            document = current["document"] | {"max_live_concurrency": 100 + number}
            change = {
                "change_id": f"bench-{number}",
                "expected_revision": current["revision"],
                "document": document,
            }
            started_at = time.monotonic()
            (await client.put(f"http://{node}/v1/configuration", json=change)).raise_for_status()
            for other in deployment.nodes:
                while (await client.get(f"http://{other}/v1/configuration")).json()["revision"] <= current[
                    "revision"
                ]:
                    await anyio.sleep(0.01)
            seconds.append(time.monotonic() - started_at)
    return {"change_seconds_median": statistics.median(seconds), "change_seconds_max": max(seconds)}


async def bench_engines() -> list[Metrics]:
    """Measure the cost of a cell's owner and the time of a weight rollout, by number of engines."""
    rows = []
    for num_engines in NUM_ENGINES:
        async with running_deployment(0, num_engines) as deployment:
            await publish_without_jobs(deployment)
            await anyio.sleep(SETTLE_SECONDS)
            rates = await measure_window(deployment.nodes, WINDOW_SECONDS)
            cpu = [rate["process_cpu_seconds_total"] * PERCENT for rate in rates]
            row = {
                "num_engines": float(num_engines),
                "owner_cpu_percent": max(cpu),
                "other_cpu_percent": min(cpu),
                "owner_platform_bytes_per_second": max(
                    sum(v for k, v in rate.items() if k.startswith("worksramp_platform_bytes"))
                    for rate in rates
                ),
                "rollout_seconds": await time_rollout(deployment),
            }
        rows.append(row)
        report("engines", row)
    return rows


async def publish_without_jobs(deployment: Deployment) -> None:
    """Publish a configuration with a model but no job, so that only control costs are measured."""
    headers = {"authorization": f"Bearer {API_KEYS['operator']}"}
    document = {"models": {deployment.example.model: deployment.example.fleet}}
    change = {"change_id": "models", "expected_revision": 0, "document": document}
    async with httpx.AsyncClient(headers=headers, trust_env=False, timeout=30.0) as client:
        url = f"http://{deployment.nodes[0]}/v1/configuration"
        (await client.put(url, json=change)).raise_for_status()


async def time_rollout(deployment: Deployment) -> float:
    """Publish weights and return the seconds until all engines report them, or about 120 if one does not."""
    async with httpx.AsyncClient(trust_env=False, timeout=30.0) as client:
        url = f"http://{deployment.platform}/v1/models/{deployment.example.model}/newest"
        started_at = time.monotonic()
        await client.put(url, json={"weight_version": 2})
        waiting = list(deployment.engines)
        while waiting and time.monotonic() - started_at < 120.0:
            for address in list(waiting):
                report_body = (await client.get(f"http://{address}/v1/load")).json()
                if report_body["weight_version"] >= 2:
                    waiting.remove(address)
            await anyio.sleep(0.05)
        return time.monotonic() - started_at


async def bench_requests() -> list[Metrics]:
    """Measure the CPU per live request at two lengths and per keyed request, summed over the nodes."""
    rows = []
    async with running_deployment() as deployment:
        await publish_without_jobs(deployment)
        await anyio.sleep(4.0)
        idle = await total_cpu(deployment, lambda: anyio.sleep(10.0))
        for num_tokens in LIVE_TOKENS:
            target = LoadTarget(
                tuple(deployment.nodes), API_KEYS["caller"], deployment.example.model, num_tokens
            )
            started_at = time.monotonic()
            cpu = await total_cpu(deployment, lambda target=target: run_completions(target, NUM_LIVE, 24))
            cpu -= idle / 10.0 * (time.monotonic() - started_at)
            rows.append({"max_tokens": float(num_tokens), "cpu_ms_per_request": cpu / NUM_LIVE * 1000})
            report("live", rows[-1])
        before = await log_bytes(deployment)
        started_at = time.monotonic()
        cpu = await total_cpu(
            deployment,
            lambda: run_keyed_calls(
                tuple(deployment.nodes), API_KEYS["caller"], deployment.example.application, NUM_KEYED
            ),
        )
        cpu -= idle / 10.0 * (time.monotonic() - started_at)
        row = {
            "cpu_ms_per_keyed_pair": cpu / NUM_KEYED * 1000,
            "log_bytes_per_keyed_request": (await log_bytes(deployment) - before) / NUM_KEYED,
        }
        rows.append(row)
        report("keyed", row)
    return rows


async def bench_samples() -> list[Metrics]:
    """Measure CPU and log bytes per delivered sample, summed over the nodes."""
    async with running_deployment() as deployment:
        await deployment.configure()
        await anyio.sleep(4.0)
        before = await log_bytes(deployment)
        jobs = tuple(deployment.example.prompt_files)

        async def train() -> None:
            for job in jobs:
                deployment.start_trainer(job, 8, 0.2)
            while any(deployment.processes[f"trainer-{job}"].poll() is None for job in jobs):
                await anyio.sleep(0.1)

        started_at = time.monotonic()
        cpu = await total_cpu(deployment, train)
        num_samples = 8 * 16 * len(jobs)
        row = {
            "num_samples": float(num_samples),
            "samples_per_second": num_samples / (time.monotonic() - started_at),
            "cpu_ms_per_sample": cpu / num_samples * 1000,
            "log_bytes_per_sample": (await log_bytes(deployment) - before) / num_samples,
        }
    report("samples", row)
    return [row]


async def total_cpu(deployment: Deployment, work) -> float:  # type: ignore[no-untyped-def]
    """Return the CPU seconds that all nodes use while ``work`` runs."""
    before = [await read_metrics(address) for address in deployment.nodes]
    await work()
    after = [await read_metrics(address) for address in deployment.nodes]
    name = "process_cpu_seconds_total"
    return sum(second[name] - first[name] for first, second in zip(before, after, strict=True))


async def log_bytes(deployment: Deployment) -> float:
    """Return the number of bytes in the log."""
    async with httpx.AsyncClient(trust_env=False) as client:
        return float((await client.get(f"http://{deployment.log}/size")).json()["num_bytes"])


def report(part: str, row: Metrics) -> None:
    """Print a row of results."""
    print(part, " ".join(f"{key}={value:.4g}" for key, value in row.items()), flush=True)


PARTS = {
    "requests": bench_requests,
    "samples": bench_samples,
    "engines": bench_engines,
    "nodes": bench_nodes,
}


async def run_parts(names: list[str]) -> None:
    """Run parts and write the raw results after each; results of parts that are not run are kept."""
    file = anyio.Path(ROOT / "docs" / "results" / "bench.json")
    results = json.loads(await file.read_text(encoding="utf-8")) if await file.exists() else {}
    results["machine"] = (
        f"{platform.machine()}, Python {platform.python_version()}, 8 cores shared with the load"
    )
    if "deciders" in names:
        results["deciders"] = {"date": date.today().isoformat(), "rows": measure_decisions(report)}
    for name in names:
        if name in PARTS:
            results[name] = {"date": date.today().isoformat(), "rows": await PARTS[name]()}
        await file.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    anyio.run(run_parts, sys.argv[1:] or ["deciders", *PARTS])
