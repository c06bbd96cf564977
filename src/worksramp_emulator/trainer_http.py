"""Emulated trainer that uses the trainers' HTTP API, for a process of its own."""

from pathlib import Path

import anyio
import httpx
import msgspec

from worksramp_emulator.trainer import (
    RETRY_SECONDS,
    FetchResult,
    TrainerRecord,
    decode_batch,
    run_trainer,
)

TIMEOUT_SECONDS = 30.0
OK = 200


async def run_http_trainer(
    nodes: tuple[str, ...],
    key: str,
    job: str,
    store: str,
    model: str,
    num_steps: int,
    train_seconds: float,
    record_file: str,
) -> None:
    """Run a trainer for ``num_steps`` steps and write its record as JSON.

    Args:
        nodes: addresses of gateways.
        key: API key of the trainer.
        store: address of the weight store.
        record_file: path of the file to write.
    """
    record = TrainerRecord()
    headers = {"authorization": f"Bearer {key}"}
    async with httpx.AsyncClient(timeout=TIMEOUT_SECONDS, headers=headers, trust_env=False) as client:
        num_tries = 0

        async def fetch(cursor: int, weight_version: int) -> FetchResult:
            nonlocal num_tries
            # Use the next gateway after each failure, since every gateway can reach the job's owner.
            node = nodes[num_tries % len(nodes)]
            url = f"http://{node}/v1/jobs/{job}/batches/{cursor}"
            try:
                response = await client.get(url, params={"trainer_version": weight_version})
            except httpx.HTTPError:
                num_tries += 1
                return FetchResult(None)
            if response.status_code == OK:
                return FetchResult(decode_batch(response.content))
            if b"not_ready" not in response.content:
                num_tries += 1
            return FetchResult(None, RETRY_SECONDS)

        async def publish(weight_version: int) -> None:
            url = f"http://{store}/v1/models/{model}/newest"
            await client.put(url, json={"weight_version": weight_version})

        await run_trainer(fetch, publish, record, num_steps, train_seconds)
    await anyio.Path(record_file).write_bytes(msgspec.json.encode(record))


def read_record(record_file: str) -> TrainerRecord:
    """Read the record that `run_http_trainer` wrote."""
    return msgspec.json.decode(Path(record_file).read_bytes(), type=TrainerRecord)
