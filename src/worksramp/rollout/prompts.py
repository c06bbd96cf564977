"""Prompt sets: immutable log streams of prompts, named by a digest of their content.

Appending a set twice is harmless, because only the first prompt at each index counts.
"""

import msgspec
import xxhash

from worksramp.backends.base import LogClient
from worksramp.outcomes import StepError

READ_MAX_RECORDS = 512


class Prompt(msgspec.Struct, frozen=True, array_like=True):
    """One prompt of a set."""

    index: int
    text: str


def prompt_set_name(prompts: tuple[str, ...]) -> str:
    """Return the name of a prompt set: the XXH3 128-bit digest of its content in hexadecimal."""
    return xxhash.xxh3_128_hexdigest("\x00".join(prompts).encode())


def prompt_stream(tenant: str, name: str) -> str:
    """Return the log stream of a tenant's prompt set; the tenant prefix keeps sets of tenants apart."""
    return f"prompts.{tenant}.{name}"


async def write_prompts(log: LogClient, stream: str, prompts: tuple[str, ...]) -> None:
    """Append a prompt set to its stream.

    Raises:
        StepError: the log failed; the set can be appended again.
    """
    for index, text in enumerate(prompts):
        await log.append(stream, msgspec.msgpack.encode(Prompt(index, text)))


async def read_prompts(log: LogClient, stream: str, num_prompts: int) -> tuple[str, ...]:
    """Read a complete prompt set.

    Returns:
        The prompts in the order of their indices.

    Raises:
        StepError: the log failed, or the stream contains fewer than ``num_prompts`` prompts.
    """
    found: dict[int, str] = {}
    start = 0
    while len(found) < num_prompts:
        page = await log.read(stream, start, READ_MAX_RECORDS, 0.0)
        if not page.records:
            raise StepError(
                "prompts.read", stream, f"{len(found)} of {num_prompts} prompts are in the stream"
            )
        for record in page.records:
            prompt = msgspec.msgpack.decode(record, type=Prompt)
            found.setdefault(prompt.index, prompt.text)
        start = page.start + len(page.records)
    return tuple(found[index] for index in range(num_prompts))
