"""Open items of an owner, and the views of them that decisions are made from."""

from collections.abc import Iterable

from worksramp.rollout.batch_schedule import Place, WaitingItem
from worksramp.rollout.item_work import ItemKey, ItemWork
from worksramp.rollout.owner_context import OwnerContext
from worksramp.rollout.pace import PaceTracker
from worksramp.routing.workers import WorkerState


class OpenItems:
    """All items of an owner's batches that are not listed yet.

    Attributes:
        loading: model whose weights are on their way, by worker.
    """

    def __init__(self, context: OwnerContext, pace: PaceTracker) -> None:
        self._context = context
        self._pace = pace
        self.works: dict[ItemKey, ItemWork] = {}
        self.loading: dict[str, str] = {}

    def of_batch(self, batch_id: str) -> list[ItemWork]:
        """Return the open items of a batch."""
        return [work for key, work in self.works.items() if key[0] == batch_id]

    def waiting(self) -> list[ItemWork]:
        """Return the items that no worker runs."""
        return [work for work in self.works.values() if work.run is None and not work.is_done]

    def host(self, work: ItemWork) -> str:
        """Return the host that an item's batch was sent to."""
        return self._context.ledger.batches[work.key[0]].header.host

    def tokens_per_event(self, work: ItemWork) -> int:
        """Return how many tokens one event of an item holds."""
        table = self._context.table.current
        spec = None if table is None else table.services.get(work.route.parts[0].service)
        return spec.tokens_per_event if spec else 1

    def num_running(self, worker_id: str, model: str) -> int:
        """Return the runs of a model at a worker."""
        return sum(
            1
            for work in self.works.values()
            if work.run is not None and work.run.worker_id == worker_id and work.model == model
        )

    def num_waiting(self, model: str) -> int:
        """Return the items of a model that wait for a place."""
        return sum(1 for work in self.works.values() if work.run is None and work.model == model)

    def min_version(self, model: str) -> int:
        """Return the oldest version that any open item may use, 0 when none is open."""
        return max((work.min_version for work in self.works.values() if work.model == model), default=0)

    def has_one_version_work(self, model: str) -> bool:
        """Return whether any open item needs one version for all its text."""
        return any(work.route.needs_one_version for work in self.works.values() if work.model == model)

    def waiting_items(self, works: Iterable[ItemWork], now: float) -> list[WaitingItem]:
        """Return items as the scheduler sees them; those that must wait, or have no route, are left out."""
        table = self._context.table.current
        items: list[WaitingItem] = []
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
                    avoided=work.avoided_now(now),
                )
            )
        return items

    def places(self, now: float) -> list[Place]:
        """Return the workers that may be given work, as the scheduler sees them."""
        counts: dict[str, int] = {}
        tokens: dict[str, int] = {}
        for work in self.works.values():
            if work.run is not None:
                worker_id = work.run.worker_id
                counts[worker_id] = counts.get(worker_id, 0) + 1
                tokens[worker_id] = tokens.get(worker_id, 0) + work.num_expected_tokens(1)
        table = self._context.table.current
        if table is None:
            return []
        return [
            self._place(state, counts, tokens, now)
            for service in table.services
            for state in self._context.directory.usable(service)
            if state.avoid_until <= now
        ]

    def _place(self, state: WorkerState, counts: dict[str, int], tokens: dict[str, int], now: float) -> Place:
        worker_id = state.entry.worker_id
        loading = self.loading.get(worker_id)
        return Place(
            worker_id=worker_id,
            service=state.entry.service,
            num_slots=state.entry.num_slots,
            num_running=counts.get(worker_id, 0),
            num_expected_tokens=tokens.get(worker_id, 0),
            versions=state.versions,
            loading=frozenset() if loading is None else frozenset([loading]),
            seconds_per_event=self._pace.seconds_per_event(worker_id, now),
            is_slow=self._pace.is_slow(worker_id, now),
        )
