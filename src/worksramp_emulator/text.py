"""Text of the emulated model: a pure function of prompt, seed and token index, whatever the weights.

A checker can therefore tell whether an answer is complete and which request it belongs to, without having
observed the generation.
"""

import math

import xxhash

MEDIAN_TOKENS = 40.0
SIGMA = 1.0
MIN_TOKENS = 4
HASH_RANGE = 2**64


def _hash_to_unit_interval(key: str) -> float:
    """Return a number between 0 and 1, both excluded, that depends only on the key."""
    return (xxhash.xxh64_intdigest(key.encode()) + 1) / (HASH_RANGE + 2)


def completion_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Return the number of tokens of a completion, which has a log-normal distribution.

    The distribution is log-normal since the users report that a few samples run far longer than the rest.
    The median and sigma are assumptions, and may be scaled by ``max_tokens``.
    """
    first = _hash_to_unit_interval(f"length-a|{prompt}|{seed}")
    second = _hash_to_unit_interval(f"length-b|{prompt}|{seed}")
    normal = math.sqrt(-2.0 * math.log(first)) * math.cos(2.0 * math.pi * second)
    length = round(MEDIAN_TOKENS * math.exp(SIGMA * normal))
    return max(MIN_TOKENS, min(max_tokens, length))


def token_at(prompt: str, seed: int, index: int) -> str:
    """Return the token of a completion at an index from 0."""
    return f"w{xxhash.xxh32_intdigest(f'{prompt}|{seed}|{index}'.encode()):08x} "


def expected_completion(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the complete text that the emulated model generates for a prompt."""
    length = completion_length(prompt, seed, max_tokens)
    return "".join(token_at(prompt, seed, index) for index in range(length))
