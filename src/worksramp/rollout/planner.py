"""Pure plans of a rollout job: which samples to start, and which a batch takes.

See Also:
    docs/design/delivery.md, "Which samples a batch takes"
"""

import math
from collections.abc import Set
from dataclasses import dataclass

from worksramp.rollout.document import JobSpec, Preference
from worksramp.rollout.job import JobState

MAX_ATTEMPTS_BEFORE_HOLD = 2
SPARE_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class NotEnoughSamples:
    """The batch cannot be planned yet."""

    num_missing: int


@dataclass(frozen=True, slots=True)
class BatchPlan:
    """Samples for one batch, oldest first."""

    indices: tuple[int, ...]


def plan_batch(
    state: JobState, spec: JobSpec, trainer_version: int, is_replan: bool = False
) -> BatchPlan | NotEnoughSamples:
    """Plan a batch from whole groups of finished samples that are fresh enough.

    Groups go by index, so the plan favours samples started first. A group that has been regenerated
    more than `MAX_ATTEMPTS_BEFORE_HOLD` times is waited for: while the trainer waits its version stands
    still, so the group cannot become too old again and no long sample is put off for ever.

    Args:
        state: the job; not changed.
        spec: the job's settings.
        trainer_version: weights that the trainer holds now.
        is_replan: whether the plan is for a further attempt of the last batch, which may then use the
            last batch's own samples again.
    """
    fresh = fresh_indices(state, spec, trainer_version, is_replan)
    size = spec.group_size
    groups = sorted({index // size for index in fresh})
    whole = [group for group in groups if all(group * size + member in fresh for member in range(size))]
    num_groups = spec.samples_per_step // size
    held = _held_groups(state, spec)
    missing_held = [group for group in held if group not in whole]
    if missing_held:
        return NotEnoughSamples(num_missing=len(missing_held) * size)
    if len(whole) < num_groups:
        return NotEnoughSamples(num_missing=(num_groups - len(whole)) * size)
    chosen = [*held, *(group for group in whole if group not in held)][:num_groups]
    return BatchPlan(tuple(group * size + member for group in sorted(chosen) for member in range(size)))


def fresh_indices(
    state: JobState, spec: JobSpec, trainer_version: int, is_batch_included: bool = False
) -> set[int]:
    """Return finished samples within the staleness bound, by default without the last batch's."""
    in_batch = set(state.batch.indices) if state.batch and not is_batch_included else set()
    return {
        index
        for index, sample in state.finished.items()
        if index not in in_batch and trainer_version - sample.oldest_version <= spec.max_staleness
    }


def is_batch_fresh(state: JobState, spec: JobSpec, trainer_version: int) -> bool:
    """Return whether the last batch may still be sent to a trainer of this version."""
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
    num_room: int,
) -> list[int]:
    """Return indices to start now, first come first.

    The window ahead of the trainer decides between idle time and staleness: one batch ahead keeps
    samples fresh; as many batches as the bound allows keeps the trainer busy.

    Args:
        num_room: how many samples may start now, from the job's throttle.
    """
    fresh = fresh_indices(state, spec, trainer_version)
    num_wanted = _window(spec, preference) - len(fresh) - len(in_flight)
    num_to_start = min(num_room, num_wanted)
    chosen: list[int] = []
    index = state.floor
    while len(chosen) < num_to_start:
        is_open = not state.is_taken(index) and not state.is_in_batch(index)
        if is_open and index not in in_flight and index not in fresh:
            chosen.append(index)
        index += 1
    return chosen


def _window(spec: JobSpec, preference: Preference) -> int:
    if preference is Preference.IDLE_TIME:
        return spec.samples_per_step * max(1, spec.max_staleness)
    # A little more than one batch, so that a batch need not wait for the longest sample started.
    num_spare_groups = math.ceil(spec.samples_per_step * SPARE_SHARE / spec.group_size)
    return spec.samples_per_step + num_spare_groups * spec.group_size


def _held_groups(state: JobState, spec: JobSpec) -> list[int]:
    """Return groups that were regenerated so often that the batch must wait for them."""
    often = {
        index // spec.group_size
        for index, sample in state.finished.items()
        if sample.attempt > MAX_ATTEMPTS_BEFORE_HOLD and not state.is_in_batch(index)
    }
    return sorted(often)[: spec.samples_per_step // spec.group_size]
