"""Decides whether one more run fits into a worker's memory until the runs there have ended.

Load pattern: a few texts become many times as long as the others. A worker's memory holds as many usual runs
as the worker has slots, but not as many long ones. Once it is full, the worker drops its newest run in the
middle of the text, and reads prompt and text anew when others have ended.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Share of a worker's memory that runs are expected to fill at most, before any run was dropped.
INITIAL_SHARE = 0.95
MIN_SHARE = 0.6
#: How much less is used after a dropped run, and more after each time without one.
SHARE_STEP = 0.02
STEP_UP_AFTER_S = 10.0
#: A silent run counts as dropped only at a worker whose runs hold at least this share of its memory.
FULL_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class RunMemory:
    """Memory that a run takes at a worker.

    Attributes:
        num_held_tokens: tokens that it holds now.
        num_left_tokens: tokens that it is expected to add until it ends.
    """

    num_held_tokens: float
    num_left_tokens: float


def expected_peak_tokens(runs: Iterable[RunMemory]) -> float:
    """Return the most tokens that runs are expected to hold together.

    All runs grow equally fast, and each frees its memory at its end, so that the most is held just before one
    of them ends.
    """
    peak = num_held = 0.0
    longest_first = sorted(runs, key=lambda run: run.num_left_tokens, reverse=True)
    for num_running, run in enumerate(longest_first, start=1):
        num_held += run.num_held_tokens
        peak = max(peak, num_held + num_running * run.num_left_tokens)
    return peak


@mechanism("memory_admission", without=lambda run, others, num_memory_tokens: True)
def fits(run: RunMemory, others: Iterable[RunMemory], num_memory_tokens: float | None) -> bool:
    """Start a run only where it is expected to fit beside the others until they end.

    A run always fits at a worker without others: it cannot fit better anywhere.

    Args:
        num_memory_tokens: tokens that the runs of the worker may hold together, None if not known.
    """
    others = tuple(others)
    if num_memory_tokens is None or not others:
        return True
    return expected_peak_tokens((run, *others)) <= num_memory_tokens


class MemoryShares:
    """Share of the workers' memory that runs may fill, by service; dropped runs lower it for a while."""

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}

    def share(self, service: str, now: float) -> float:
        """Return the share of a worker's memory that its runs may be expected to fill."""
        share = self._shares.get(service, INITIAL_SHARE)
        num_steps = int((now - self._changed_at.get(service, now)) / STEP_UP_AFTER_S)
        return min(INITIAL_SHARE, share + num_steps * SHARE_STEP)

    def record_dropped_run(self, service: str, now: float) -> None:
        """Record that a worker of a service has dropped a run because its memory was full."""
        self._shares[service] = max(MIN_SHARE, self.share(service, now) - SHARE_STEP)
        self._changed_at[service] = now


def is_dropped(run: RunMemory, others: Iterable[RunMemory], num_memory_tokens: float | None) -> bool:
    """Return whether a silent run was probably dropped by its worker because the memory is full.

    Args:
        num_memory_tokens: size of the worker's memory, None if not known.
    """
    if num_memory_tokens is None:
        return False
    others = tuple(others)
    num_held = run.num_held_tokens + sum(other.num_held_tokens for other in others)
    return bool(others) and num_held >= FULL_SHARE * num_memory_tokens


def is_too_large(num_prompt_tokens: int, tokens_per_event: int, num_memory_tokens: float | None) -> bool:
    """Return whether a prompt leaves no room for a first event, so that no worker can ever run the item.

    Args:
        num_memory_tokens: size of the memory of each worker, None if not known.
    """
    return num_memory_tokens is not None and num_prompt_tokens + tokens_per_event > num_memory_tokens
