"""What an emulated model says: a pure function of prompt, seed and place, whatever weights produce it.

So a checker can tell whether an answer is whole, and whose it is, without having watched it.
"""

import math

import xxhash

MEDIAN_TOKENS = 40.0
SIGMA = 1.0
MIN_TOKENS = 4
HASH_RANGE = 2**64


def _unit(key: str) -> float:
    """Return a number between 0 and 1 that depends on the key alone."""
    return (xxhash.xxh64_intdigest(key.encode()) + 1) / (HASH_RANGE + 2)


def completion_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Return how many tokens the completion has: log-normal, so that a few are far longer than the rest.

    Log-normal since the brief tells of a few samples that run far longer than the rest; the median and
    sigma are assumptions, and may be scaled by ``max_tokens``.
    """
    first = _unit(f"length-a|{prompt}|{seed}")
    second = _unit(f"length-b|{prompt}|{seed}")
    normal = math.sqrt(-2.0 * math.log(first)) * math.cos(2.0 * math.pi * second)
    length = round(MEDIAN_TOKENS * math.exp(SIGMA * normal))
    return max(MIN_TOKENS, min(max_tokens, length))


def token_at(prompt: str, seed: int, index: int) -> str:
    """Return one token of the completion."""
    return f"w{xxhash.xxh32_intdigest(f'{prompt}|{seed}|{index}'.encode()):08x} "


def expected_completion(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the completion that the emulated model gives."""
    length = completion_length(prompt, seed, max_tokens)
    return "".join(token_at(prompt, seed, index) for index in range(length))
