"""Open items of an owner's batches: what waits, what runs, what is scored, and the text so far."""

from dataclasses import dataclass, field

import anyio

from worksramp.rollout.batch_run import TextBuilder
from worksramp.rollout.batches import Batch, BatchItem, GeneratedText
from worksramp.rollout.stage_clock import StageClock
from worksramp.routing.table import Route

ItemKey = tuple[str, int]
AVOID_AFTER_BREAK_SECONDS = 0.6
AVOID_AFTER_REFUSAL_SECONDS = 0.15
#: An item must not be away from all workers for long, however often it has failed.
CAREFUL_S = 2.0


@dataclass(slots=True)
class Run:
    """A run under way.

    Attributes:
        last_event_at: when its last event came, or when it was sent.
        num_events: events it has made.
        longest_gap: longest time between two of its events.
    """

    worker_id: str
    scope: anyio.CancelScope
    started_at: float
    last_event_at: float
    num_events: int = 0
    first_event_at: float | None = None
    longest_gap: float = 0.0
    is_moving: bool = False

    def note_event(self, now: float) -> None:
        """Take in that an event has come."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.num_events += 1
        self.last_event_at = now


@dataclass(slots=True)
class ScorerCall:
    """A scoring call under way.

    Attributes:
        is_late: another worker has been asked meanwhile.
    """

    worker_id: str
    scope: anyio.CancelScope
    started_at: float
    is_late: bool = False


@dataclass(slots=True)
class Scoring:
    """What has become of an item's scoring so far.

    Attributes:
        whole_at: when its text was whole, None before.
        calls: those under way.
        last_resorts: workers to be asked after all others, each until a time.
        wait_until: no call goes out before.
        failed_workers: workers that answered with an error of their own.
        ends_at: what workers are told to keep to, one time for all calls until it has passed.
        num_calls: calls sent.
    """

    whole_at: float | None = None
    calls: list[ScorerCall] = field(default_factory=list)
    last_resorts: dict[str, float] = field(default_factory=dict)
    wait_until: float = float("-inf")
    failed_workers: set[str] = field(default_factory=set)
    ends_at: float = float("-inf")
    num_calls: int = 0

    def last_resorts_now(self, now: float) -> frozenset[str]:
        """Return the workers to be asked after all others."""
        return frozenset(worker_id for worker_id, until in self.last_resorts.items() if until > now)

    def called_workers(self) -> frozenset[str]:
        """Return the workers that have a call of the item."""
        return frozenset(call.worker_id for call in self.calls)

    def cancel(self) -> None:
        """Close all calls."""
        for call in self.calls:
            call.scope.cancel()


@dataclass(slots=True)
class ItemWork:
    """One item that is not listed yet.

    Attributes:
        avoided: workers it must not go to, each until a time.
        careful_until: it keeps from workers that fail a large share of their runs, until then.
        num_checkpointed: pieces of the text that are in the log.
        failed_workers: workers that ended a run with an error of their own.
        num_runs: runs begun.
        clock: times in its stages.
        carried_until: its batch has ended and it runs on; no run begins after this. None in an open batch.
    """

    key: ItemKey
    item: BatchItem
    model: str
    route: Route
    submitted_at: float
    min_version: int
    text: TextBuilder
    run: Run | None = None
    avoided: dict[str, float] = field(default_factory=dict)
    wait_until: float = float("-inf")
    careful_until: float = float("-inf")
    failed_workers: set[str] = field(default_factory=set)
    num_checkpointed: int = 0
    is_done: bool = False
    scoring: Scoring = field(default_factory=Scoring)
    num_runs: int = 0
    clock: StageClock = field(default_factory=StageClock)
    carried_until: float | None = None

    @property
    def is_carried(self) -> bool:
        """Whether the item's batch has ended."""
        return self.carried_until is not None

    @property
    def needs_run(self) -> bool:
        """Whether the item waits for a place at a worker."""
        return self.run is None and not self.is_done and not self.text.is_whole

    @property
    def needs_score(self) -> bool:
        """Whether the text is whole and the item waits for its score alone."""
        return self.text.is_whole and not self.is_done and not self.is_scored and not self.is_carried

    @property
    def is_scored(self) -> bool:
        """Whether the text has the score that the item asks for, or asks for none."""
        call = self.item.scoring_call
        return call is None or (self.text.score is not None and self.text.score.call_id == call.call_id)

    def has_scoring_failed_for_good(self, max_attempts: int) -> bool:
        """Return whether the call, rather than a scorer, is to blame for its failures."""
        num_failures = self.text.num_scoring_failures
        return num_failures >= max_attempts and (
            len(self.scoring.failed_workers) >= max_attempts or num_failures >= 2 * max_attempts
        )

    def log_fields(self, now: float) -> dict[str, str | int | float]:
        """Return what a log line tells of the item's way so far."""
        return {
            "item_id": self.item.item_id,
            "batch_id": self.key[0],
            "num_events": len(self.text.pieces),
            "num_runs": self.num_runs,
            "num_calls": self.scoring.num_calls,
            **self.clock.as_log_fields(now),
        }

    def stop(self) -> None:
        """Close the run and all scoring calls."""
        if self.run is not None:
            self.run.scope.cancel()
        self.scoring.cancel()

    def has_failed_for_good(self) -> bool:
        """Return whether the item, rather than a worker, is to blame for its failures.

        A worker may fail part of all that it is given, so that failures at different workers count; at the
        same ones only twice as many. Three times as many would be more than the users allow.
        """
        max_attempts = self.route.max_attempts
        return len(self.failed_workers) >= max_attempts or self.text.num_failures >= 2 * max_attempts

    def avoid(self, worker_id: str, until: float) -> None:
        """Keep the item from a worker for a while."""
        self.avoided[worker_id] = until

    def avoided_now(self, now: float) -> frozenset[str]:
        """Return the workers it must not go to."""
        return frozenset(worker_id for worker_id, until in self.avoided.items() if until > now)

    def num_expected_tokens(self, tokens_per_event: int) -> int:
        """Return how many tokens are still to be made, as estimated; longer than the estimate counts anew."""
        estimate = self.item.num_expected_tokens or self.item.num_tokens // 2
        return max(estimate - len(self.text.pieces) * tokens_per_event, tokens_per_event)


def text_to_start_from(kept: GeneratedText | None, batch: Batch, route: Route) -> TextBuilder:
    """Return the kept text of an item if this batch may use it, else an empty one."""
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
    """Return the text that has more; failures counted in the first stay counted."""
    if len(other.pieces) <= len(one.pieces):
        return one
    other.num_failures, other.num_scoring_failures = one.num_failures, one.num_scoring_failures
    return other
