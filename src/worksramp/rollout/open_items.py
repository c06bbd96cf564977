"""Holds the open items of an owner and builds the views that scheduling decisions are made from."""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio
import structlog

from worksramp.mechanisms import mechanism
from worksramp.rollout.fair_shares import Party
from worksramp.rollout.item_work import ItemKey, ItemWork
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.pace import PaceTracker
from worksramp.rollout.schedule_views import WaitingItem, WorkerView
from worksramp.rollout.stale_texts import is_stale
from worksramp.rollout.text_length import TextLengths
from worksramp.rollout.worker_memory import MemoryShares, RunMemory, is_dropped, is_too_large
from worksramp.routing.failure_tracker import FailureTracker
from worksramp.routing.fleet_view import FleetView, ModelWork
from worksramp.routing.table import RouteTable
from worksramp.routing.workers import WorkerState

#: The largest of this many latest steps is the estimate of the next step's size.
NUM_REMEMBERED_STEPS = 3
#: Estimates of texts that are no longer open are kept up to this many more than twice the open items.
MIN_REMEMBERED_ESTIMATES = 64

logger = structlog.get_logger()


@dataclass(slots=True)
class _Load:
    """Load of one worker by the runs of this owner."""

    num_runs: int = 0
    num_tokens: int = 0
    num_events: float = 0.0
    memory: list[RunMemory] = field(default_factory=list)


class OpenItems:
    """All items of an owner's batches that are not listed as results yet.

    Attributes:
        works: open items by key.
        loading: model whose weights are being loaded, by worker.
        active_workers: workers of a large fleet that get runs, None if all do.
        lengths: estimates of the lengths of texts.
        memory_shares: share of the workers' memory that runs may fill.
    """

    def __init__(self, context: OwnerContext, pace: PaceTracker, failures: FailureTracker) -> None:
        self._context = context
        self._pace = pace
        self._failures = failures
        self.works: dict[ItemKey, ItemWork] = {}
        self.loading: dict[str, str] = {}
        self.active_workers: frozenset[str] | None = None
        self.lengths = TextLengths()
        #: Number of events at the last estimate of each text's rest, and that estimate.
        self._events_left: dict[ItemKey, tuple[int, float]] = {}
        self.memory_shares = MemoryShares()
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
        return Counter((batch_id, work.group) for (batch_id, _), work in self.works.items())

    def tokens_per_event(self, work: ItemWork) -> int:
        """Return how many tokens one event of an item holds, 1 if its service is not configured."""
        table = self._context.table.current
        spec = None if table is None else table.services.get(work.route.parts[0].service)
        return spec.tokens_per_event if spec else 1

    def events_left(self, work: ItemWork) -> float:
        """Return how many more events the text of an item is expected to have."""
        num_made = len(work.text.pieces)
        known = self._events_left.get(work.key)
        if known is not None and known[0] == num_made:
            return known[1]
        num_hinted = work.num_hinted_events(self.tokens_per_event(work))
        num_left = self.lengths.events_left(work.model, num_hinted, num_made)
        if len(self._events_left) > 2 * len(self.works) + MIN_REMEMBERED_ESTIMATES:
            self._events_left.clear()
        self._events_left[work.key] = (num_made, num_left)
        return num_left

    def most_events_left(self, work: ItemWork) -> float:
        """Return how many more events the text of an item has at most, but for rare cases."""
        num_hinted = work.num_hinted_events(self.tokens_per_event(work))
        return self.lengths.most_events_left(work.model, num_hinted, len(work.text.pieces))

    def record_length(self, work: ItemWork) -> None:
        """Learn from the length of a complete text."""
        num_hinted = work.num_hinted_events(self.tokens_per_event(work))
        self.lengths.record(work.model, num_hinted, len(work.text.pieces))

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
            self._pace.fast_workers(now),
        )

    def _model_work(self, model: str, works: list[ItemWork]) -> ModelWork:
        open_works = [work for work in works if not work.is_carried]
        return ModelWork(
            num_waiting=sum(1 for work in open_works if work.needs_run),
            min_version=max((work.min_version for work in open_works if not work.text.is_whole), default=0),
            has_one_version_work=any(work.route.needs_one_version for work in works),
            num_step_items=max(len(works), *self._step_sizes.get(model, ()), 0),
        )

    def discard_stale_texts(self) -> None:
        """Discard the texts of waiting items that no worker can continue, so that the items begin anew."""
        held: dict[tuple[str, str], set[int]] = {}
        for work in self.waiting():
            if not work.route.needs_one_version or not work.text.versions:
                continue
            service, version = work.route.parts[0].service, work.text.versions[0]
            if (service, work.model) not in held:
                held[service, work.model] = self._held_versions(service, work.model)
            if is_stale(version, work.min_version, held[service, work.model]):
                logger.info(
                    "stale_text_discarded",
                    item_id=work.item.item_id,
                    batch_id=work.key[0],
                    version=version,
                    num_events=len(work.text.pieces),
                )
                work.text.clear()

    def _held_versions(self, service: str, model: str) -> set[int]:
        """Return the versions of a model at the workers of a service that may get runs, now or soon."""
        return {
            state.versions.get(model, 0)
            for state in self._context.directory.usable(service)
            if self._is_active(state.entry.worker_id)
        }

    def waiting_items(self, works: Iterable[ItemWork], now: float) -> list[WaitingItem]:
        """Return items as scheduler input, without those that must still wait or have no route."""
        table = self._context.table.current
        items: list[WaitingItem] = []
        failing = self._failures.failing_workers(now)
        for work in works:
            if work.wait_until > now or table is None:
                continue
            route = table.match(work.host, work.item.target)
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
                    num_expected_tokens=round(self.events_left(work) * tokens_per_event),
                    num_held_tokens=work.num_held_tokens(tokens_per_event),
                    min_version=work.min_version,
                    only_version=only,
                    avoided=_avoided(work, failing, now),
                    tokens_per_event=tokens_per_event,
                    reserved_worker=work.reserved_worker(now),
                    party=self._party(work, table),
                )
            )
        return items

    def num_running_by_party(self) -> Counter[Party]:
        """Return how many slots each party uses."""
        table = self._context.table.current
        if table is None:
            return Counter()
        return Counter(self._party(work, table) for work in self.works.values() if work.run is not None)

    def _party(self, work: ItemWork, table: RouteTable) -> Party:
        tenant = table.tenants.by_name(work.tenant)
        return Party(work.tenant, work.model, (0 if tenant is None else tenant.priority, work.route.priority))

    def worker_views(self, now: float) -> list[WorkerView]:
        """Return the workers that may get runs now, as scheduler input."""
        table = self._context.table.current
        if table is None:
            return []
        load_by_worker = self._loads(now)
        slow, failing = self._pace.last_known_slow(now), self._failures.failing_workers(now)
        return [
            self._worker_view(state, load_by_worker.get(state.entry.worker_id, _Load()), slow, failing, now)
            for service in table.services
            for state in self._context.directory.usable(service)
            if state.avoid_until <= now and self._is_active(state.entry.worker_id)
        ]

    def _is_active(self, worker_id: str) -> bool:
        return self.active_workers is None or worker_id in self.active_workers

    def record_if_dropped(self, work: ItemWork, now: float) -> bool:
        """Return whether a silent run was probably dropped for want of memory; if so, learn from it."""
        assert work.run is not None
        worker_id, service = work.run.worker_id, work.route.parts[0].service
        others = [
            self._run_memory(other)
            for other in self.works.values()
            if other is not work and other.run is not None and other.run.worker_id == worker_id
        ]
        if not is_dropped(self._run_memory(work), others, self._memory_tokens(service)):
            return False
        self.memory_shares.record_dropped_run(service, now)
        return True

    def is_too_large(self, work: ItemWork) -> bool:
        """Return whether the prompt of an item alone fills the memory of each worker of its service."""
        num_memory_tokens = self._memory_tokens(work.route.parts[0].service)
        return is_too_large(work.item.num_prompt_tokens, self.tokens_per_event(work), num_memory_tokens)

    def _run_memory(self, work: ItemWork) -> RunMemory:
        tokens_per_event = self.tokens_per_event(work)
        return RunMemory(work.num_held_tokens(tokens_per_event), self.events_left(work) * tokens_per_event)

    def _memory_tokens(self, service: str) -> float | None:
        """Return the size of the memory of a service's workers in tokens, None if not configured."""
        table = self._context.table.current
        spec = None if table is None else table.services.get(service)
        return spec.num_memory_tokens if spec is not None and spec.num_memory_tokens > 0 else None

    def _usable_memory_tokens(self, service: str, now: float) -> float | None:
        size = self._memory_tokens(service)
        return None if size is None else self.memory_shares.share(service, now) * size

    def _loads(self, now: float) -> dict[str, _Load]:
        """Return the load of each worker by runs and reserved slots, as counted by this owner."""
        loads: dict[str, _Load] = {}
        for work in self.works.values():
            reserved = work.reserved_worker(now)
            for worker_id in (work.run.worker_id if work.run else "", reserved):
                if worker_id:
                    self._add_load(loads.setdefault(worker_id, _Load()), work)
        return loads

    def _add_load(self, load: _Load, work: ItemWork) -> None:
        num_events = self.events_left(work)
        load.num_runs += 1
        load.num_tokens += round(num_events * self.tokens_per_event(work))
        load.num_events += num_events
        load.memory.append(self._run_memory(work))

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
            num_memory_tokens=self._usable_memory_tokens(state.entry.service, now),
            memory=tuple(load.memory),
        )


@mechanism("careful_items", without=lambda work, failing, now: work.avoided_now(now))
def _avoided(work: ItemWork, failing: frozenset[str], now: float) -> frozenset[str]:
    """Keep an item that has failed often from workers that fail a large share of their runs.

    Load pattern: most workers fail most of their runs, and the healthy ones have no free slots. Without this
    rule, an item that is assigned to failing workers repeatedly is given up although it is not the cause.
    """
    avoided = work.avoided_now(now)
    return avoided | failing if now < work.avoid_failing_until else avoided
