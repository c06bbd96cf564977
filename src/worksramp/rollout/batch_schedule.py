"""Assigns waiting items of batches to workers: pure functions of one view of items and workers.

Load pattern: all items of a step arrive at once. Most are short, a few are ten times as long, and the step
ends with the last of those. Some workers are slow, or were slow when last measured and may have recovered.
"""

import math
from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Workers whose seconds per event differ by less than this ratio count as equally fast.
PACE_TIER_RATIO = 1.15
#: Items of batches older than this go before longer items of younger batches.
OLD_BATCH_SECONDS = 2.5
#: Longest estimated run time of an item that probes whether a slow worker has recovered.
MAX_PROBE_S = 1.0


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that no worker runs.

    Attributes:
        key: batch id and index of the item, copied into the assignment.
        num_expected_tokens: estimate of the tokens still to be generated.
        num_memory_tokens: most tokens that the item may occupy in a worker's memory.
        min_version: oldest weight version that it may continue under.
        only_version: the one weight version that it may continue under, None for any.
        avoided: workers that it must not be assigned to now.
        tokens_per_event: tokens that one event holds.
    """

    key: tuple[str, int]
    service: str
    model: str
    batch_age_seconds: float
    num_expected_tokens: int
    num_memory_tokens: int
    min_version: int
    only_version: int | None = None
    avoided: frozenset[str] = frozenset()
    tokens_per_event: int = 1

    @property
    def num_expected_events(self) -> float:
        """Estimate of the events still to be generated."""
        return self.num_expected_tokens / self.tokens_per_event

    @property
    def needs(self) -> tuple[str, str, int, int | None]:
        """What a worker must offer to run it; items with the same needs compete for the same slots."""
        return (self.service, self.model, self.min_version, self.only_version)


@dataclass(frozen=True, slots=True)
class WorkerView:
    """Last known state of a worker, as input of the scheduler.

    Attributes:
        num_running: runs at the worker, as counted by this owner.
        num_expected_tokens: estimate of the tokens that those runs will still generate.
        versions: last known weight version of each model.
        loading: models whose weights are being loaded; they get no new run.
        seconds_per_event: last known seconds per event, None before the first measurement.
        is_slow: far slower than the others; used after them.
        is_failing: fails a large share of its runs; used after all others.
        may_have_recovered: it was slow when last measured, but that measurement is old.
        num_expected_events: estimate of the events that its runs will still generate.
    """

    worker_id: str
    service: str
    num_slots: int
    num_running: int
    num_expected_tokens: int
    versions: dict[str, int]
    loading: frozenset[str] = frozenset()
    seconds_per_event: float | None = None
    is_slow: bool = False
    is_failing: bool = False
    may_have_recovered: bool = False
    num_expected_events: float = 0.0


@dataclass(frozen=True, slots=True)
class Assignment:
    """An item and the worker that is to run it."""

    key: tuple[str, int]
    worker_id: str


@dataclass(slots=True)
class _WorkerLoad:
    """A worker and its load, which grows with each assignment."""

    worker: WorkerView
    num_running: int
    num_expected_tokens: int

    def add_run(self, item: WaitingItem) -> Assignment:
        """Assign an item to a free slot of the worker."""
        self.num_running += 1
        self.num_expected_tokens += item.num_expected_tokens
        return Assignment(item.key, self.worker.worker_id)


def assign(waiting: list[WaitingItem], workers: list[WorkerView]) -> list[Assignment]:
    """Return assignments of waiting items to free slots.

    Items of old batches go first, then longer items before shorter ones, as a step ends with its last item.
    Each item goes to the fastest worker that may run it; among about equally fast ones, to the least loaded.
    """
    fastest = min((worker.seconds_per_event for worker in workers if worker.seconds_per_event), default=None)
    loads = [_WorkerLoad(worker, worker.num_running, worker.num_expected_tokens) for worker in workers]
    ranked = sorted(waiting, key=rank)
    assignments = _assign_probes(ranked, loads)
    probe_keys = {assignment.key for assignment in assignments}
    for item in ranked:
        load = None if item.key in probe_keys else _choose_worker(item, loads, fastest)
        if load is not None:
            assignments.append(load.add_run(item))
    return assignments


def may_run(item: WaitingItem, worker: WorkerView) -> bool:
    """Return whether a worker may run an item, regardless of free slots."""
    version = worker.versions.get(item.model, 0)
    return (
        worker.service == item.service
        and worker.worker_id not in item.avoided
        and item.model not in worker.loading
        and version >= item.min_version
        and (item.only_version is None or version == item.only_version)
    )


def rank(item: WaitingItem) -> tuple[bool, int, tuple[str, int]]:
    """Return the sort key of a waiting item; lower keys are assigned first."""
    return (_is_young(item), _length_rank(item), item.key)


@mechanism("old_batches_first", without=lambda item: False)
def _is_young(item: WaitingItem) -> bool:
    """Assign items of old batches before all others."""
    return item.batch_age_seconds < OLD_BATCH_SECONDS


@mechanism("longest_first", without=lambda item: 0)
def _length_rank(item: WaitingItem) -> int:
    """Assign items with more text left to generate before others."""
    return -item.num_expected_tokens


@mechanism("failing_workers_last", without=lambda worker: False)
def _is_failing(worker: WorkerView) -> bool:
    """Use workers that fail a large share of their runs after all others."""
    return worker.is_failing


@mechanism("probes", without=lambda ranked, loads: [])
def _assign_probes(ranked: list[WaitingItem], loads: list[_WorkerLoad]) -> list[Assignment]:
    """Assign the shortest items to idle workers that may have recovered, one to each.

    Without probes, such a worker would count as slow for a long time. If the longest item, which goes to the
    least loaded worker first, were the probe, it would delay the step wherever the worker is still slow.
    """
    unproven = [load for load in loads if load.worker.may_have_recovered and load.num_running == 0]
    assignments: list[Assignment] = []
    for item in reversed(ranked):
        if not unproven:
            break
        load = next((load for load in unproven if may_run(item, load.worker)), None)
        if load is None:
            continue
        if item.num_expected_events * (load.worker.seconds_per_event or 0.0) > MAX_PROBE_S:
            break
        unproven.remove(load)
        assignments.append(load.add_run(item))
    return assignments


def _choose_worker(item: WaitingItem, loads: list[_WorkerLoad], fastest: float | None) -> _WorkerLoad | None:
    candidates = [
        load for load in loads if load.num_running < load.worker.num_slots and may_run(item, load.worker)
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda load: (
            _is_failing(load.worker),
            load.worker.is_slow,
            pace_tier(load.worker.seconds_per_event, fastest),
            load.num_running / load.worker.num_slots,
            load.num_expected_tokens,
            load.worker.worker_id,
        ),
    )


@mechanism("fast_workers_first", without=lambda seconds_per_event, fastest: 0)
def pace_tier(seconds_per_event: float | None, fastest: float | None) -> int:
    """Return 0 for a worker about as fast as the fastest, and a higher number the slower it is.

    A worker that has not been measured counts as fast, so that it gets runs and is measured.
    """
    if not seconds_per_event or not fastest:
        return 0
    return int(math.log(max(1.0, seconds_per_event / fastest), PACE_TIER_RATIO))
