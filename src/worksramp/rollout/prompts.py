"""Prompt sets: immutable streams of prompts, named by their content.

A set is appended once; a copy appended twice does no harm, since the first prompt at each index counts.
"""

import msgspec
import xxhash

from worksramp.backends.base import LogClient
from worksramp.outcomes import StepError

PAGE_RECORDS = 512


class Prompt(msgspec.Struct, frozen=True, array_like=True):
    """One prompt of a set."""

    index: int
    text: str


def prompt_set_name(prompts: tuple[str, ...]) -> str:
    """Return the name of a prompt set, a digest of its content."""
    return xxhash.xxh3_128_hexdigest("\x00".join(prompts).encode())


def prompt_stream(tenant: str, name: str) -> str:
    """Return the stream of a tenant's prompt set; no tenant can name another's."""
    return f"prompts.{tenant}.{name}"


async def write_prompts(log: LogClient, stream: str, prompts: tuple[str, ...]) -> None:
    """Append a prompt set."""
    for index, text in enumerate(prompts):
        await log.append(stream, msgspec.msgpack.encode(Prompt(index, text)))


async def read_prompts(log: LogClient, stream: str, num_prompts: int) -> tuple[str, ...]:
    """Read a whole prompt set.

    Raises:
        StepError: the log failed, or the set is not complete.
    """
    found: dict[int, str] = {}
    start = 0
    while len(found) < num_prompts:
        page = await log.read(stream, start, PAGE_RECORDS, 0.0)
        if not page.records:
            raise StepError("prompts.read", stream, f"{len(found)} of {num_prompts} prompts are there")
        for record in page.records:
            prompt = msgspec.msgpack.decode(record, type=Prompt)
            found.setdefault(prompt.index, prompt.text)
        start = page.start + len(page.records)
    return tuple(found[index] for index in range(num_prompts))
