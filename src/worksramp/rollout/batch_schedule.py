"""Assigns waiting items of batches to workers: pure functions of one view of items and workers.

Load pattern: all items of a step arrive at once. Most are short, a few are ten times as long, and the step
ends with the last of those. Some workers are slow, or were slow when last measured and may have recovered.
Where a part of the workers is of a faster kind, the long items of all steps need its slots, which short items
leave many times per second. A worker's memory holds as many usual items as it has slots, but not as many long
ones.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from worksramp.mechanisms import mechanism
from worksramp.rollout.fair_shares import Party, order_by_shares
from worksramp.rollout.fast_slots import FastSlots, SlotUse, fast_slots, gain_of_waiting_s
from worksramp.rollout.schedule_views import Needs, WaitingItem, WorkerView, may_run
from worksramp.rollout.worker_memory import RunMemory, fits

#: Workers whose seconds per event differ by less than this ratio count as equally fast.
PACE_TIER_RATIO = 1.15
#: Items of batches older than this go before longer items of younger batches.
OLD_BATCH_SECONDS = 2.5
#: An item that would wait longer starts where a slot is free, and moves once a slot of a fast worker is.
MAX_WAIT_FOR_FAST_S = 0.25
MIN_GAIN_OF_WAIT_S = 0.25
#: Longest estimated run time of an item that probes whether a slow worker has recovered.
MAX_PROBE_S = 1.0


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
    memory: list[RunMemory]

    def can_take(self, item: WaitingItem) -> bool:
        """Return whether the worker has a free slot and, for a while, memory for an item."""
        if self.num_running >= self.worker.num_slots:
            return False
        return item.batch_age_seconds >= OLD_BATCH_SECONDS or fits(
            item.memory, self.memory, self.worker.num_memory_tokens
        )

    def slot_use(self, item: WaitingItem) -> SlotUse:
        """Return the slots of the worker after the assignments so far, free ones only where the item fits."""
        worker = self.worker
        return SlotUse(
            max(0, worker.num_slots - self.num_running) if self.can_take(item) else 0,
            worker.num_running,
            worker.num_expected_events,
            worker.seconds_per_event,
        )

    def add_run(self, item: WaitingItem) -> Assignment:
        """Assign an item to a free slot of the worker."""
        self.num_running += 1
        self.num_expected_tokens += item.num_expected_tokens
        self.memory.append(item.memory)
        return Assignment(item.key, self.worker.worker_id)


class _FastSlotQueue:
    """Items that wait for slots of fast workers although other workers have free slots."""

    def __init__(self, loads: list[_WorkerLoad]) -> None:
        self._loads = loads
        self._num_waiting: dict[Needs, int] = {}
        self._slots: dict[Needs, FastSlots | None] = {}

    def should_wait(self, item: WaitingItem, worker: WorkerView) -> bool:
        """Return whether an item ends sooner at a fast worker than at one with a free slot."""
        if item.needs not in self._slots:
            self._slots[item.needs] = fast_slots(
                [
                    load.slot_use(item)
                    for load in self._loads
                    if may_run(item, load.worker) and not load.worker.is_failing
                ]
            )
        slots = self._slots[item.needs]
        num_ahead = self._num_waiting.get(item.needs, 0)
        if slots is None or not _should_wait(item, worker.seconds_per_event, slots, num_ahead):
            return False
        self._num_waiting[item.needs] = num_ahead + 1
        return True


@mechanism("waits_for_fast_slots", without=lambda item, pace_here_s, slots, num_ahead: False)
def _should_wait(item: WaitingItem, pace_here_s: float | None, slots: FastSlots, num_ahead: int) -> bool:
    """Keep a long item back for a moment if a slot of a fast worker becomes free soon."""
    if slots.num_free > num_ahead or slots.wait_s(num_ahead) > MAX_WAIT_FOR_FAST_S:
        return False
    return gain_of_waiting_s(item.num_expected_events, pace_here_s, slots, num_ahead) > MIN_GAIN_OF_WAIT_S


def assign(
    waiting: list[WaitingItem],
    workers: list[WorkerView],
    num_running_by_party: Mapping[Party, int] | None = None,
) -> list[Assignment]:
    """Return assignments of waiting items to free slots.

    While slots are too few, parties share them. Of each party, items of old batches go first, then longer
    items before shorter ones, as a step ends with its last item. Each item goes to the fastest worker that
    may run it; among about equally fast ones, to the least loaded.
    """
    fastest = min((worker.seconds_per_event for worker in workers if worker.seconds_per_event), default=None)
    loads = [
        _WorkerLoad(worker, worker.num_running, worker.num_expected_tokens, list(worker.memory))
        for worker in workers
    ]
    ranked = sorted(waiting, key=rank)
    assignments = _assign_reserved(ranked, workers)
    reserved_keys = {assignment.key for assignment in assignments}
    num_free = sum(max(0, worker.num_slots - worker.num_running) for worker in workers)
    ranked = order_by_shares(
        [item for item in ranked if item.key not in reserved_keys], num_running_by_party or {}, num_free
    )
    assignments += _assign_probes(ranked, loads)
    assigned_keys = {assignment.key for assignment in assignments}
    queue = _FastSlotQueue(loads)
    for item in ranked:
        load = None if item.key in assigned_keys else _choose_worker(item, loads, fastest)
        if load is not None and not queue.should_wait(item, load.worker):
            assignments.append(load.add_run(item))
    return assignments


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


def _assign_reserved(ranked: list[WaitingItem], workers: list[WorkerView]) -> list[Assignment]:
    """Assign items to the slots that are kept for them, which count as taken already."""
    by_id = {worker.worker_id: worker for worker in workers}
    return [
        Assignment(item.key, item.reserved_worker)
        for item in ranked
        if item.reserved_worker in by_id and may_run(item, by_id[item.reserved_worker])
    ]


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
    candidates.sort(
        key=lambda load: (
            _is_failing(load.worker),
            load.worker.is_slow,
            pace_tier(load.worker.seconds_per_event, fastest),
            load.num_running / load.worker.num_slots,
            load.num_expected_tokens,
            load.worker.worker_id,
        )
    )
    return next((load for load in candidates if load.can_take(item)), None)


@mechanism("fast_workers_first", without=lambda seconds_per_event, fastest: 0)
def pace_tier(seconds_per_event: float | None, fastest: float | None) -> int:
    """Return 0 for a worker about as fast as the fastest, and a higher number the slower it is.

    A worker that has not been measured counts as fast, so that it gets runs and is measured.
    """
    if not seconds_per_event or not fastest:
        return 0
    return int(math.log(max(1.0, seconds_per_event / fastest), PACE_TIER_RATIO))
