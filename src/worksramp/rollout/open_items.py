"""Open items of an owner, and the views of them that decisions are made from."""

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

#: Steps whose size says how large the next may be.
NUM_REMEMBERED_STEPS = 3


@dataclass(slots=True)
class _Load:
    """What the owner has at one worker."""

    num_runs: int = 0
    num_tokens: int = 0
    num_events: float = 0.0


class OpenItems:
    """All items of an owner's batches that are not listed yet.

    Attributes:
        loading: model whose weights are on their way, by worker.
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
        """Return the items of ended batches that no worker runs and that may still begin."""
        return [
            work
            for work in self.works.values()
            if work.needs_run and work.carried_until is not None and now < work.carried_until
        ]

    def unscored(self) -> list[ItemWork]:
        """Return the items whose texts are whole and wait for their scores."""
        return [work for work in self.works.values() if work.needs_score]

    def num_left_by_group(self) -> Counter[tuple[str, str]]:
        """Return how many items of each batch and group are not listed yet."""
        return Counter((batch_id, self.group(work)) for (batch_id, _), work in self.works.items())

    def group(self, work: ItemWork) -> str:
        """Return an item's group, empty text for none."""
        batch_id, idx = work.key
        return self._context.ledger.batches[batch_id].header.groups[idx]

    def host(self, work: ItemWork) -> str:
        """Return the host that an item's batch was sent to."""
        return self._context.ledger.batches[work.key[0]].header.host

    def tokens_per_event(self, work: ItemWork) -> int:
        """Return how many tokens one event of an item holds."""
        table = self._context.table.current
        spec = None if table is None else table.services.get(work.route.parts[0].service)
        return spec.tokens_per_event if spec else 1

    def note_step(self, model: str, num_items: int) -> None:
        """Take in that a batch with so many items has come."""
        self._step_sizes.setdefault(model, deque(maxlen=NUM_REMEMBERED_STEPS)).append(num_items)

    def view(self) -> FleetView:
        """Return what the fleet is at now."""
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
            self._pace.slow_workers(now) | self._failures.suspects(now),
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
        """Return items as the scheduler sees them; those that must wait, or have no route, are left out."""
        table = self._context.table.current
        items: list[WaitingItem] = []
        suspects = self._failures.suspects(now)
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
                    avoided=_avoided(work, suspects, now),
                    tokens_per_event=tokens_per_event,
                )
            )
        return items

    def places(self, now: float) -> list[WorkerView]:
        """Return the workers that may be given work, as the scheduler sees them."""
        table = self._context.table.current
        if table is None:
            return []
        load = self._load()
        slow, suspects = self._pace.believed_slow(now), self._failures.suspects(now)
        return [
            self._place(state, load.get(state.entry.worker_id, _Load()), slow, suspects, now)
            for service in table.services
            for state in self._context.directory.usable(service)
            if state.avoid_until <= now
        ]

    def _load(self) -> dict[str, _Load]:
        """Return the load of each worker that runs items, in the owner's own count."""
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

    def _place(
        self,
        state: WorkerState,
        load: _Load,
        slow: frozenset[str],
        suspects: frozenset[str],
        now: float,
    ) -> WorkerView:
        worker_id = state.entry.worker_id
        loading = self.loading.get(worker_id)
        pace = self._pace.believed(worker_id, now)
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
            is_failing=worker_id in suspects,
            may_have_recovered=is_slow and pace is not None and pace.is_old,
            num_expected_events=load.num_events,
        )


@mechanism("careful_items", without=lambda work, suspects, now: work.avoided_now(now))
def _avoided(work: ItemWork, suspects: frozenset[str], now: float) -> frozenset[str]:
    """Keep an item that has failed often from workers that fail a large share of their runs.

    Load pattern: most workers fail most of what they get, and the sound ones are full. An item that goes to
    the failing ones again and again is given up, though nothing is wrong with it.
    """
    avoided = work.avoided_now(now)
    return avoided | suspects if now < work.careful_until else avoided
