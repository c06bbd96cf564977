"""Decides which samples a rollout job starts and which samples a batch contains, as pure functions.

See Also:
    docs/design/delivery.md, "Which samples a batch takes"
"""

import math
from collections.abc import Set
from dataclasses import dataclass

from worksramp.rollout.document import JobSpec, Preference
from worksramp.rollout.job import JobState

MAX_ATTEMPTS_BEFORE_WAIT = 2
SPARE_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class NotEnoughSamples:
    """There are not enough fresh samples for a batch yet.

    Attributes:
        num_missing: number of samples that are missing.
    """

    num_missing: int


@dataclass(frozen=True, slots=True)
class BatchPlan:
    """Sample indices of one batch in ascending order."""

    indices: tuple[int, ...]


def plan_batch(
    state: JobState, spec: JobSpec, trainer_version: int, is_replan: bool = False
) -> BatchPlan | NotEnoughSamples:
    """Plan a batch from complete groups of finished samples within the staleness bound.

    Groups are chosen by index, so samples that were started first are preferred. A group with a sample of
    more than `MAX_ATTEMPTS_BEFORE_WAIT` attempts must be part of the batch, which waits for it. The trainer's
    version does not change while the trainer waits, so the group cannot become too old again, and no long
    sample is postponed forever.

    Args:
        state: state of the job, not modified.
        spec: settings of the job.
        trainer_version: weight version that the trainer holds now.
        is_replan: whether this is another attempt of the last batch, which may use the samples of that batch
            again.
    """
    fresh = fresh_indices(state, spec, trainer_version, is_replan)
    size = spec.group_size
    groups = sorted({index // size for index in fresh})
    complete = [group for group in groups if all(group * size + member in fresh for member in range(size))]
    num_groups = spec.samples_per_step // size
    required = _required_groups(state, spec)
    missing_required = [group for group in required if group not in complete]
    if missing_required:
        return NotEnoughSamples(num_missing=len(missing_required) * size)
    if len(complete) < num_groups:
        return NotEnoughSamples(num_missing=(num_groups - len(complete)) * size)
    chosen = [*required, *(group for group in complete if group not in required)][:num_groups]
    return BatchPlan(tuple(group * size + member for group in sorted(chosen) for member in range(size)))


def fresh_indices(
    state: JobState, spec: JobSpec, trainer_version: int, is_batch_included: bool = False
) -> set[int]:
    """Return the indices of finished samples within the staleness bound.

    Args:
        trainer_version: weight version that the trainer holds now.
        is_batch_included: whether to include samples of the last committed batch.
    """
    in_batch = set(state.batch.indices) if state.batch and not is_batch_included else set()
    return {
        index
        for index, sample in state.finished.items()
        if index not in in_batch and trainer_version - sample.oldest_version <= spec.max_staleness
    }


def is_batch_fresh(state: JobState, spec: JobSpec, trainer_version: int) -> bool:
    """Return whether there is a last batch whose samples are all within the staleness bound."""
    if state.batch is None:
        return False
    return all(
        trainer_version - state.finished[index].oldest_version <= spec.max_staleness
        for index in state.batch.indices
    )


def plan_sampling(
    state: JobState,
    spec: JobSpec,
    preference: Preference,
    in_flight: Set[int],
    trainer_version: int,
    max_new: int,
) -> list[int]:
    """Return the indices of samples to start now, in ascending order.

    The number of samples generated ahead of the trainer trades idle time for staleness. One batch ahead keeps
    samples fresh, as many batches as the staleness bound allows keep the trainer busy.

    Args:
        preference: whether idle time or staleness is to be minimised.
        in_flight: indices of the samples that are being generated.
        trainer_version: weight version that the trainer holds now.
        max_new: maximum number of samples to start, from the job's throttle.
    """
    fresh = fresh_indices(state, spec, trainer_version)
    num_wanted = _window_size(spec, preference) - len(fresh) - len(in_flight)
    num_to_start = min(max_new, num_wanted)
    chosen: list[int] = []
    index = state.floor
    while len(chosen) < num_to_start:
        is_open = not state.is_acknowledged(index) and not state.is_in_batch(index)
        if is_open and index not in in_flight and index not in fresh:
            chosen.append(index)
        index += 1
    return chosen


def _window_size(spec: JobSpec, preference: Preference) -> int:
    if preference is Preference.IDLE_TIME:
        return spec.samples_per_step * max(1, spec.max_staleness)
    # Slightly more than one batch, so that a batch does not wait for the longest sample in flight.
    num_spare_groups = math.ceil(spec.samples_per_step * SPARE_SHARE / spec.group_size)
    return spec.samples_per_step + num_spare_groups * spec.group_size


def _required_groups(state: JobState, spec: JobSpec) -> list[int]:
    """Return groups that were regenerated so often that the next batch must contain them."""
    frequently_regenerated = {
        index // spec.group_size
        for index, sample in state.finished.items()
        if sample.attempt > MAX_ATTEMPTS_BEFORE_WAIT and not state.is_in_batch(index)
    }
    return sorted(frequently_regenerated)[: spec.samples_per_step // spec.group_size]
