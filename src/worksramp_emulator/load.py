"""Load generator: sends live completions and keyed calls to gateways, and checks or records the responses."""

import secrets
import time
import uuid
from dataclasses import dataclass, field

import anyio
import httpx
import msgspec

from worksramp.gateway.callers import Completion
from worksramp_emulator.text import expected_completion

TIMEOUT_SECONDS = 60.0
OK = 200
MILLISECONDS = 1000
UUID7_RANDOM_BITS = 74


def new_key(unix_ms: int | None = None) -> str:
    """Return a version 7 UUID, which the standard library of Python 3.11 cannot generate.

    Args:
        unix_ms: time in the UUID, in milliseconds since 1970; None for now.

    Source: RFC 9562, section 5.7.
    """
    at = unix_ms if unix_ms is not None else int(time.time() * MILLISECONDS)
    random_bits = secrets.randbits(UUID7_RANDOM_BITS)
    value = at << 80 | 0x7 << 76 | (random_bits >> 62) << 64 | 0b10 << 62 | random_bits & (2**62 - 1)
    return str(uuid.UUID(int=value))


@dataclass(slots=True)
class LoadRecord:
    """Results of the completions of a load run.

    Attributes:
        seconds: latency of each response with status 200.
        num_wrong: responses with status 200 whose text was not the complete text for their request.
        refusals: bodies of responses with another status, and descriptions of transport errors.
    """

    seconds: list[float] = field(default_factory=list)
    num_wrong: int = 0
    refusals: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LoadTarget:
    """Gateway addresses, API key and parameters of live requests."""

    addresses: tuple[str, ...]
    key: str
    model: str
    max_tokens: int = 32


async def run_completions(target: LoadTarget, num_requests: int, concurrency: int) -> LoadRecord:
    """Send completions that are not streamed, round robin to the gateways, and check each response's text.

    Args:
        concurrency: maximum number of requests in flight.
    """
    record = LoadRecord()
    limiter = anyio.CapacityLimiter(concurrency)
    async with (
        httpx.AsyncClient(timeout=TIMEOUT_SECONDS, trust_env=False) as client,
        anyio.create_task_group() as group,
    ):
        for number in range(num_requests):
            await limiter.acquire_on_behalf_of(number)
            group.start_soon(_send_completion, client, target, number, record, limiter)
    return record


async def _send_completion(
    client: httpx.AsyncClient,
    target: LoadTarget,
    number: int,
    record: LoadRecord,
    limiter: anyio.CapacityLimiter,
) -> None:
    prompt = f"Live question {number % 16} of a customer"
    body = {"model": target.model, "prompt": prompt, "max_tokens": target.max_tokens, "seed": number}
    address = target.addresses[number % len(target.addresses)]
    headers = {"authorization": f"Bearer {target.key}"}
    started_at = anyio.current_time()
    try:
        response = await client.post(f"http://{address}/v1/completions", json=body, headers=headers)
    except httpx.HTTPError as error:
        record.refusals.append(repr(error))
        return
    finally:
        limiter.release_on_behalf_of(number)
    if response.status_code != OK:
        record.refusals.append(response.text)
        return
    record.seconds.append(anyio.current_time() - started_at)
    completion = msgspec.json.decode(response.content, type=Completion)
    if completion.choices[0].text != expected_completion(prompt, number, target.max_tokens):
        record.num_wrong += 1


@dataclass(slots=True)
class KeyedLoadRecord:
    """Outcomes of the keyed requests of a load run.

    Attributes:
        outcomes: ``completed`` if a response had status 200, otherwise the first error, by idempotency key.
    """

    outcomes: dict[str, str] = field(default_factory=dict)


async def run_keyed_calls(
    addresses: tuple[str, ...], key: str, application: str, num_requests: int
) -> KeyedLoadRecord:
    """Send each keyed request twice at the same time, through two gateways, and return the outcomes.

    Args:
        key: API key of the caller.
    """
    record = KeyedLoadRecord()
    async with httpx.AsyncClient(timeout=TIMEOUT_SECONDS, trust_env=False) as client:
        for number in range(num_requests):
            idempotency_key = new_key()
            first = addresses[number % len(addresses)]
            second = addresses[(number + 1) % len(addresses)]
            async with anyio.create_task_group() as group:
                for address in (first, second):
                    group.start_soon(
                        _send_keyed_call, client, address, key, application, idempotency_key, record
                    )
    return record


async def count_runs(applications: list[str]) -> dict[str, int]:
    """Return how often each keyed request ran at all application workers together, by request id."""
    runs: dict[str, int] = {}
    async with httpx.AsyncClient(trust_env=False) as client:
        for address in applications:
            for request_id, count in (await client.get(f"http://{address}/runs")).json().items():
                runs[request_id] = runs.get(request_id, 0) + count
    return runs


async def _send_keyed_call(
    client: httpx.AsyncClient,
    address: str,
    key: str,
    application: str,
    idempotency_key: str,
    record: KeyedLoadRecord,
) -> None:
    headers = {"authorization": f"Bearer {key}", "idempotency-key": idempotency_key}
    url = f"http://{address}/v1/applications/{application}/confirm"
    try:
        response = await client.post(url, json={"key": idempotency_key}, headers=headers)
    except httpx.HTTPError as error:
        record.outcomes.setdefault(idempotency_key, repr(error))
        return
    if response.status_code == OK:
        record.outcomes[idempotency_key] = "completed"
    else:
        record.outcomes.setdefault(idempotency_key, response.text)
