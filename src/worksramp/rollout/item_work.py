"""Defines the state of an open item: its text so far, its run, its scoring calls and its failures."""

from dataclasses import dataclass, field

import anyio

from worksramp.rollout.batch_run import TextBuilder
from worksramp.rollout.batches import Batch, BatchHeader, BatchItem, GeneratedText
from worksramp.rollout.stage_clock import StageClock
from worksramp.routing.identity import scoped_id
from worksramp.routing.table import Route

ItemKey = tuple[str, int]
AVOID_AFTER_BREAK_SECONDS = 0.6
AVOID_AFTER_REFUSAL_SECONDS = 0.15
#: An item must not be kept from all workers for longer than this, however often it has failed.
AVOID_FAILING_S = 2.0


@dataclass(slots=True)
class Run:
    """A run in progress.

    Attributes:
        last_event_at: when its last event arrived, or when it was sent if there is none.
        num_events: events received from it.
        longest_gap: longest time in seconds between two of its events.
        is_moving: it is being closed so that another worker can resume the item.
    """

    worker_id: str
    scope: anyio.CancelScope
    started_at: float
    last_event_at: float
    num_events: int = 0
    first_event_at: float | None = None
    longest_gap: float = 0.0
    is_moving: bool = False

    def record_event(self, now: float) -> None:
        """Record that an event has arrived."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.num_events += 1
        self.last_event_at = now


@dataclass(frozen=True, slots=True)
class Reservation:
    """A slot of a worker that is kept for an item until a time."""

    worker_id: str
    until: float


@dataclass(slots=True)
class ScorerCall:
    """A scoring call in progress.

    Attributes:
        is_late: it takes longer than usual, so that a second worker may be called.
    """

    worker_id: str
    scope: anyio.CancelScope
    started_at: float
    is_late: bool = False


@dataclass(slots=True)
class Scoring:
    """State of the scoring of one item.

    Attributes:
        completed_at: when its text became complete, None before.
        calls: calls in progress.
        last_resorts: workers to be called after all others, each until a time.
        wait_until: no call is sent before this time.
        failed_workers: workers that answered with an error of their own.
        ends_at: deadline sent to workers; all calls share it until it has passed.
        num_calls: calls sent so far.
    """

    completed_at: float | None = None
    calls: list[ScorerCall] = field(default_factory=list)
    last_resorts: dict[str, float] = field(default_factory=dict)
    wait_until: float = float("-inf")
    failed_workers: set[str] = field(default_factory=set)
    ends_at: float = float("-inf")
    num_calls: int = 0

    def last_resorts_now(self, now: float) -> frozenset[str]:
        """Return the workers that are to be called after all others now."""
        return frozenset(worker_id for worker_id, until in self.last_resorts.items() if until > now)

    def called_workers(self) -> frozenset[str]:
        """Return the workers that have a call in progress."""
        return frozenset(call.worker_id for call in self.calls)

    def cancel(self) -> None:
        """Cancel all calls in progress."""
        for call in self.calls:
            call.scope.cancel()


@dataclass(slots=True)
class ItemWork:
    """One item that is not listed as a result yet, and all that its owner records of it.

    Attributes:
        tenant: tenant whose batch holds the item, empty for none.
        host: host that its batch was submitted to.
        group: its group in its batch, empty if it has none.
        stored_in: header of its batch if its body is in the store alone, None if it is in memory.
        min_version: oldest weight version that may generate its text.
        avoided: workers that it must not be assigned to, each until a time.
        wait_until: it is not assigned to a worker before this time.
        avoid_failing_until: until then, it is kept from workers that fail a large share of their runs.
        failed_workers: workers that ended a run with an error of their own.
        num_checkpointed: events in the latest checkpoint of the text, -1 to have a checkpoint written soon.
        is_done: it needs no further run or call, since it is listed, given up or dropped.
        num_runs: runs started so far.
        clock: time spent in each stage.
        reserved: slot that is kept for it while its run at another worker is closed.
        carried_until: no run of a carried item starts after this time; None while its batch is open.
    """

    key: ItemKey
    item: BatchItem
    model: str
    route: Route
    submitted_at: float
    min_version: int
    text: TextBuilder
    tenant: str = ""
    host: str = ""
    group: str = ""
    stored_in: BatchHeader | None = None
    run: Run | None = None
    avoided: dict[str, float] = field(default_factory=dict)
    wait_until: float = float("-inf")
    avoid_failing_until: float = float("-inf")
    failed_workers: set[str] = field(default_factory=set)
    num_checkpointed: int = 0
    is_done: bool = False
    scoring: Scoring = field(default_factory=Scoring)
    num_runs: int = 0
    clock: StageClock = field(default_factory=StageClock)
    reserved: Reservation | None = None
    carried_until: float | None = None

    @property
    def text_id(self) -> str:
        """Id under which its text is kept; an item of another tenant has another one."""
        return scoped_id(self.tenant, self.item.item_id)

    @property
    def is_carried(self) -> bool:
        """Whether the item runs on after the end of its batch."""
        return self.carried_until is not None

    @property
    def needs_run(self) -> bool:
        """Whether the item waits for a slot at a worker."""
        return self.run is None and not self.is_done and not self.text.is_whole

    @property
    def needs_score(self) -> bool:
        """Whether the text is complete and only the score is missing."""
        return self.text.is_whole and not self.is_done and not self.is_scored and not self.is_carried

    @property
    def is_scored(self) -> bool:
        """Whether the text has the score that the item requires, or requires none."""
        call = self.item.scoring_call
        return call is None or (self.text.score is not None and self.text.score.call_id == call.call_id)

    def has_scoring_failed_for_good(self, max_attempts: int) -> bool:
        """Return whether the failures are attributed to the call and not to the scorers."""
        num_failures = self.text.num_scoring_failures
        return num_failures >= max_attempts and (
            len(self.scoring.failed_workers) >= max_attempts or num_failures >= 2 * max_attempts
        )

    def log_fields(self, now: float) -> dict[str, str | int | float]:
        """Return the fields that describe the item's progress in a log event."""
        return {
            "item_id": self.item.item_id,
            "batch_id": self.key[0],
            "num_events": len(self.text.pieces),
            "num_runs": self.num_runs,
            "num_calls": self.scoring.num_calls,
            **self.clock.as_log_fields(now),
        }

    def stop(self) -> None:
        """Cancel the run and all scoring calls."""
        if self.run is not None:
            self.run.scope.cancel()
        self.scoring.cancel()

    def has_failed_for_good(self) -> bool:
        """Return whether the failures are attributed to the item and not to the workers.

        A worker may fail a part of all runs, so ``max_attempts`` failures are enough only if each came from
        a different worker. From the same workers, twice as many are needed; the users do not allow three
        times as many.
        """
        max_attempts = self.route.max_attempts
        return len(self.failed_workers) >= max_attempts or self.text.num_failures >= 2 * max_attempts

    def reserved_worker(self, now: float) -> str:
        """Return the worker that keeps a slot for it now, an empty string if none does."""
        return self.reserved.worker_id if self.reserved is not None and now < self.reserved.until else ""

    def avoid(self, worker_id: str, until: float) -> None:
        """Keep the item from a worker until a time."""
        self.avoided[worker_id] = until

    def avoided_now(self, now: float) -> frozenset[str]:
        """Return the workers that the item must not be assigned to now."""
        return frozenset(worker_id for worker_id, until in self.avoided.items() if until > now)

    def num_held_tokens(self, tokens_per_event: int) -> int:
        """Return the tokens of its prompt and its text so far, which a run holds in a worker's memory."""
        return self.item.num_prompt_tokens + len(self.text.pieces) * tokens_per_event

    def num_hinted_events(self, tokens_per_event: int) -> float:
        """Return the length of the text by the submitter's hint, in events."""
        return (self.item.num_expected_tokens or self.item.num_tokens // 2) / tokens_per_event


def text_to_start_from(kept: GeneratedText | None, batch: Batch, route: Route) -> TextBuilder:
    """Return the kept text of an item if the batch may use it, else an empty one.

    Failures that were counted in another batch are reset.
    """
    if kept is None:
        return TextBuilder()
    text = TextBuilder.from_text(kept)
    if kept.batch_id != batch.header.batch_id:
        text.num_failures, text.num_scoring_failures = 0, 0
    is_too_old = any(version < batch.header.min_version for version in text.versions)
    if is_too_old or (route.needs_one_version and len(text.versions) > 1):
        text.clear()
    return text


def longer_text(one: TextBuilder, other: TextBuilder) -> TextBuilder:
    """Return the text with more events, with the failure counts of the first."""
    if len(other.pieces) <= len(one.pieces):
        return one
    other.num_failures, other.num_scoring_failures = one.num_failures, one.num_scoring_failures
    return other
