"""Views of waiting items and of workers, which the scheduling decisions take as input."""

from dataclasses import dataclass

from worksramp.rollout.fair_shares import NO_PARTY, Party
from worksramp.rollout.worker_memory import RunMemory, fits

#: What a worker must offer to run an item: service, model, oldest version and the one version allowed.
Needs = tuple[str, str, int, int | None]


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that no worker runs.

    Attributes:
        key: batch id and index of the item, copied into the assignment.
        num_expected_tokens: estimate of the tokens still to be generated.
        num_held_tokens: tokens that it occupies in a worker's memory once its run begins: its prompt and its
            text so far.
        min_version: oldest weight version that it may continue under.
        only_version: the one weight version that it may continue under, None for any.
        avoided: workers that it must not be assigned to now.
        tokens_per_event: tokens that one event holds.
        party: trainer, of one tenant where there are tenants, that the item is for.
        reserved_worker: worker that keeps a slot for it, counted among its runs; an empty string for none.
    """

    key: tuple[str, int]
    service: str
    model: str
    batch_age_seconds: float
    num_expected_tokens: int
    num_held_tokens: int
    min_version: int
    only_version: int | None = None
    avoided: frozenset[str] = frozenset()
    tokens_per_event: int = 1
    reserved_worker: str = ""
    party: Party = NO_PARTY

    @property
    def num_expected_events(self) -> float:
        """Estimate of the events still to be generated."""
        return self.num_expected_tokens / self.tokens_per_event

    @property
    def memory(self) -> RunMemory:
        """Memory that its run would take at a worker."""
        return RunMemory(self.num_held_tokens, self.num_expected_tokens)

    @property
    def needs(self) -> Needs:
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
        num_memory_tokens: tokens that its runs may hold together, None if not known.
        memory: memory of each of its runs.
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
    num_memory_tokens: float | None = None
    memory: tuple[RunMemory, ...] = ()

    def has_memory_for(self, item: WaitingItem) -> bool:
        """Return whether its runs and the item's are expected to fit into its memory until they end."""
        return fits(item.memory, self.memory, self.num_memory_tokens)


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
