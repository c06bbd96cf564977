"""Holds the open items of an owner and builds the views that scheduling decisions are made from."""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass

import anyio

from worksramp.mechanisms import mechanism
from worksramp.rollout.batch_schedule import WaitingItem, WorkerView
from worksramp.rollout.item_work import ItemKey, ItemWork
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.pace import PaceTracker
from worksramp.routing.failure_tracker import FailureTracker
from worksramp.routing.fleet_view import FleetView, ModelWork
from worksramp.routing.workers import WorkerState

#: The largest of this many latest steps is the estimate of the next step's size.
NUM_REMEMBERED_STEPS = 3


@dataclass(slots=True)
class _Load:
    """Load of one worker by the runs of this owner."""

    num_runs: int = 0
    num_tokens: int = 0
    num_events: float = 0.0


class OpenItems:
    """All items of an owner's batches that are not listed as results yet.

    Attributes:
        works: open items by key.
        loading: model whose weights are being loaded, by worker.
    """

    def __init__(self, context: OwnerContext, pace: PaceTracker, failures: FailureTracker) -> None:
        self._context = context
        self._pace = pace
        self._failures = failures
        self.works: dict[ItemKey, ItemWork] = {}
        self.loading: dict[str, str] = {}
        self._step_sizes: dict[str, deque[int]] = {}

    def of_batch(self, batch_id: str) -> list[ItemWork]:
        """Return the open items of a batch."""
        return [work for key, work in self.works.items() if key[0] == batch_id]

    def waiting(self) -> list[ItemWork]:
        """Return the items of open batches that no worker runs."""
        return [work for work in self.works.values() if work.needs_run and not work.is_carried]

    def carried_waiting(self, now: float) -> list[ItemWork]:
        """Return the items of ended batches that no worker runs and whose runs may still start."""
        return [
            work
            for work in self.works.values()
            if work.needs_run and work.carried_until is not None and now < work.carried_until
        ]

    def unscored(self) -> list[ItemWork]:
        """Return the items whose texts are complete and that wait for their scores."""
        return [work for work in self.works.values() if work.needs_score]

    def num_left_by_group(self) -> Counter[tuple[str, str]]:
        """Return how many items of each batch and group are not listed as results yet."""
        return Counter((batch_id, self.group(work)) for (batch_id, _), work in self.works.items())

    def group(self, work: ItemWork) -> str:
        """Return the group of an item, an empty string if it has none."""
        batch_id, idx = work.key
        return self._context.ledger.batches[batch_id].header.groups[idx]

    def host(self, work: ItemWork) -> str:
        """Return the host that the batch of an item was submitted to."""
        return self._context.ledger.batches[work.key[0]].header.host

    def tokens_per_event(self, work: ItemWork) -> int:
        """Return how many tokens one event of an item holds, 1 if its service is not configured."""
        table = self._context.table.current
        spec = None if table is None else table.services.get(work.route.parts[0].service)
        return spec.tokens_per_event if spec else 1

    def record_step_size(self, model: str, num_items: int) -> None:
        """Record the number of items of a new batch."""
        self._step_sizes.setdefault(model, deque(maxlen=NUM_REMEMBERED_STEPS)).append(num_items)

    def view(self) -> FleetView:
        """Return a view of the open work and of the slow and failing workers."""
        now = anyio.current_time()
        works: dict[str, list[ItemWork]] = {model: [] for model in self._step_sizes}
        num_runs: dict[tuple[str, str], int] = {}
        num_taken_slots: dict[str, int] = {}
        for work in self.works.values():
            works.setdefault(work.model, []).append(work)
            if work.run is not None:
                worker_id = work.run.worker_id
                num_runs[worker_id, work.model] = num_runs.get((worker_id, work.model), 0) + 1
                num_taken_slots[worker_id] = num_taken_slots.get(worker_id, 0) + 1
        return FleetView(
            {model: self._model_work(model, of_model) for model, of_model in works.items()},
            num_runs,
            num_taken_slots,
            self._pace.slow_workers(now) | self._failures.failing_workers(now),
        )

    def _model_work(self, model: str, works: list[ItemWork]) -> ModelWork:
        open_works = [work for work in works if not work.is_carried]
        return ModelWork(
            num_waiting=sum(1 for work in open_works if work.needs_run),
            min_version=max((work.min_version for work in open_works if not work.text.is_whole), default=0),
            has_one_version_work=any(work.route.needs_one_version for work in works),
            num_step_items=max(len(works), *self._step_sizes.get(model, ()), 0),
        )

    def waiting_items(self, works: Iterable[ItemWork], now: float) -> list[WaitingItem]:
        """Return items as scheduler input, without those that must still wait or have no route."""
        table = self._context.table.current
        items: list[WaitingItem] = []
        failing = self._failures.failing_workers(now)
        for work in works:
            if work.wait_until > now or table is None:
                continue
            route = table.match(self.host(work), work.item.target)
            if route is None:
                continue
            service = route.parts[0].service
            spec = table.services.get(service)
            tokens_per_event = spec.tokens_per_event if spec else 1
            only = work.text.versions[0] if work.route.needs_one_version and work.text.versions else None
            items.append(
                WaitingItem(
                    key=work.key,
                    service=service,
                    model=work.model,
                    batch_age_seconds=self._context.time_of_day() - work.submitted_at,
                    num_expected_tokens=work.num_expected_tokens(tokens_per_event),
                    num_memory_tokens=work.item.num_tokens,
                    min_version=work.min_version,
                    only_version=only,
                    avoided=_avoided(work, failing, now),
                    tokens_per_event=tokens_per_event,
                )
            )
        return items

    def worker_views(self, now: float) -> list[WorkerView]:
        """Return the workers that may get runs now, as scheduler input."""
        table = self._context.table.current
        if table is None:
            return []
        load_by_worker = self._loads()
        slow, failing = self._pace.last_known_slow(now), self._failures.failing_workers(now)
        return [
            self._worker_view(state, load_by_worker.get(state.entry.worker_id, _Load()), slow, failing, now)
            for service in table.services
            for state in self._context.directory.usable(service)
            if state.avoid_until <= now
        ]

    def _loads(self) -> dict[str, _Load]:
        """Return the load of each worker that runs items, as counted by this owner."""
        loads: dict[str, _Load] = {}
        for work in self.works.values():
            if work.run is None:
                continue
            load = loads.setdefault(work.run.worker_id, _Load())
            tokens_per_event = self.tokens_per_event(work)
            num_tokens = work.num_expected_tokens(tokens_per_event)
            load.num_runs += 1
            load.num_tokens += num_tokens
            load.num_events += num_tokens / tokens_per_event
        return loads

    def _worker_view(
        self,
        state: WorkerState,
        load: _Load,
        slow: frozenset[str],
        failing: frozenset[str],
        now: float,
    ) -> WorkerView:
        worker_id = state.entry.worker_id
        loading = self.loading.get(worker_id)
        pace = self._pace.last_known(worker_id, now)
        is_slow = worker_id in slow
        return WorkerView(
            worker_id=worker_id,
            service=state.entry.service,
            num_slots=state.entry.num_slots,
            num_running=load.num_runs,
            num_expected_tokens=load.num_tokens,
            versions=state.versions,
            loading=frozenset() if loading is None else frozenset([loading]),
            seconds_per_event=None if pace is None else pace.seconds_per_event,
            is_slow=is_slow,
            is_failing=worker_id in failing,
            may_have_recovered=is_slow and pace is not None and pace.is_old,
            num_expected_events=load.num_events,
        )


@mechanism("careful_items", without=lambda work, failing, now: work.avoided_now(now))
def _avoided(work: ItemWork, failing: frozenset[str], now: float) -> frozenset[str]:
    """Keep an item that has failed often from workers that fail a large share of their runs.

    Load pattern: most workers fail most of their runs, and the healthy ones have no free slots. Without this
    rule, an item that is assigned to failing workers repeatedly is given up although it is not the cause.
    """
    avoided = work.avoided_now(now)
    return avoided | failing if now < work.avoid_failing_until else avoided
