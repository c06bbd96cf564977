"""Prompt sets: immutable streams of prompts, named by their content.

A set is appended once; a copy appended twice does no harm, since the first prompt at each index counts.
"""

import msgspec
import xxhash

from worksramp.outcomes import StepError
from worksramp.platform.base import LogClient

PAGE_RECORDS = 512


class Prompt(msgspec.Struct, frozen=True, array_like=True):
    """One prompt of a set."""

    index: int
    text: str


def prompt_set_name(tenant: str, prompts: tuple[str, ...]) -> str:
    """Return the stream name of a prompt set."""
    digest = xxhash.xxh3_128_hexdigest("\x00".join(prompts).encode())
    return f"prompts.{tenant}.{digest}"


async def write_prompts(log: LogClient, name: str, prompts: tuple[str, ...]) -> None:
    """Append a prompt set."""
    for index, text in enumerate(prompts):
        await log.append(name, msgspec.msgpack.encode(Prompt(index, text)))


async def read_prompts(log: LogClient, name: str, num_prompts: int) -> tuple[str, ...]:
    """Read a whole prompt set.

    Raises:
        StepError: the log failed, or the set is not complete.
    """
    found: dict[int, str] = {}
    start = 0
    while len(found) < num_prompts:
        page = await log.read(name, start, PAGE_RECORDS, 0.0)
        if not page.records:
            raise StepError("prompts.read", name, f"{len(found)} of {num_prompts} prompts are there")
        for record in page.records:
            prompt = msgspec.msgpack.decode(record, type=Prompt)
            found.setdefault(prompt.index, prompt.text)
        start = page.start + len(page.records)
    return tuple(found[index] for index in range(num_prompts))
