"""Checks of what workers and callers saw, and the figures of a soak."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import combinations

from worksramp_emulator.soak.model_workers import ModelWorker, item_text
from worksramp_emulator.soak.plan import Kind
from worksramp_emulator.soak.record import (
    NO_ANSWER,
    CallerAnswer,
    ItemResult,
    ItemRun,
    Record,
    WorkerAnswer,
    scoring_call_id,
)

#: Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
#: Time for which a run may go on at its worker after the item has begun at another one.
OVERLAP_S = 0.4
#: Time after a signal within which runs may go on that the node could not end.
SIGNAL_SETTLE_S = 4.0

Check = Callable[[Record], Iterator[str]]
CHECKS: list[Check] = []


def check(function: Check) -> Check:
    """Register a check, which yields violations in words."""
    CHECKS.append(function)
    return function


def violations(record: Record, workers: Iterable[ModelWorker], version: int) -> list[str]:
    """Return all violations.

    Args:
        version: version that model workers have to hold at the end.
    """
    found = list(record.faults)
    for function in CHECKS:
        found += function(record)
    for worker in workers:
        if worker.version != version:
            found.append(f"VERSION: {worker.worker_id} holds {worker.version} in place of {version}")
    return found


def is_foreign(record: Record, answer: CallerAnswer) -> bool:
    """Return whether an answer of a worker is none that a worker made for this send."""
    if answer.status == NO_ANSWER or (answer.stamp == "" and answer.status >= 300):
        # The node's own answer, or a refusal, of which only the promise counts.
        return False
    made = record.answers_made.get(answer.serial, [])
    if answer.is_whole:
        return WorkerAnswer(answer.status, answer.stamp, answer.body) not in made
    return not any(
        (one.status, one.stamp) == (answer.status, answer.stamp) and one.body.startswith(answer.body)
        for one in made
    )


@check
def _own_answers(record: Record) -> Iterator[str]:
    for answer in record.answers:
        if is_foreign(record, answer):
            made = [(one.status, one.stamp) for one in record.answers_made.get(answer.serial, [])]
            yield (
                f"MIXED: send {answer.serial} ({answer.kind}) under id {answer.request_id} at {answer.node}, "
                f"{answer.at_s:.3f} s: got {answer.status} {answer.stamp} {answer.body[:60]!r}, "
                f"workers made {made}"
            )


@check
def _run_once(record: Record) -> Iterator[str]:
    for answer in record.answers:
        if answer.kind is not Kind.IDEMPOTENT and record.num_runs[answer.serial] > 1:
            yield f"TWICE: send {answer.serial} ({answer.kind}) ran {record.num_runs[answer.serial]} times"


@check
def _not_run_is_true(record: Record) -> Iterator[str]:
    for answer in record.answers:
        if answer.status in NOT_RUN_STATUSES and record.num_runs[answer.serial]:
            yield (
                f"REFUSED: send {answer.serial} ({answer.kind}) at {answer.node}, {answer.at_s:.3f} s: "
                f"got {answer.status} and ran"
            )


def overlaps(record: Record) -> list[tuple[ItemRun, ItemRun]]:
    """Return pairs of runs of one item of which the earlier went on for too long beside the later.

    Pairs near a signal to a node are left out: a node that is stopped cannot end its runs.
    """
    runs_by_item: dict[str, list[ItemRun]] = {}
    for run in record.item_runs:
        runs_by_item.setdefault(run.item_id, []).append(run)
    pairs = (pair for runs in runs_by_item.values() for pair in combinations(runs, 2))
    return [
        (first, second)
        for first, second in pairs
        if _overlap_s(record, first, second) > OVERLAP_S
        and not any(since <= second.began_s <= until + SIGNAL_SETTLE_S for since, until in record.pauses)
    ]


def _overlap_s(record: Record, first: ItemRun, second: ItemRun) -> float:
    """Return for how long workers were at work on both; one that did not run saw no closed connection."""
    until = min(first.ended_s, second.ended_s)
    return until - second.began_s - record.stalled_s(second.began_s, until)


@check
def _items_at_one_worker(record: Record) -> Iterator[str]:
    for first, second in overlaps(record):
        yield (
            f"TWICE: item {first.item_id} ran at {first.worker} from {first.began_s:.3f} to "
            f"{first.ended_s:.3f} and at {second.worker} from {second.began_s:.3f} to {second.ended_s:.3f} s"
        )


@check
def _results(record: Record) -> Iterator[str]:
    versions: dict[str, set[int]] = {}
    for run in record.item_runs:
        versions.setdefault(run.item_id, set()).update(run.versions)
    for batch in record.batches:
        if not batch.is_ended:
            yield f"LOST: batch {batch.batch_id} was not read to its end, {len(batch.results)} results"
        ids = Counter(result.item_id for result in batch.results)
        if not set(ids) <= set(batch.item_ids) or max(ids.values(), default=0) > 1:
            yield f"TWICE: batch {batch.batch_id} lists {ids}"
        for result in batch.results:
            yield from _check_result(record, result, versions.get(result.item_id, set()))
    for what in record.changed:
        yield f"TWICE: {what}, read otherwise before"


def _check_result(record: Record, result: ItemResult, versions: set[int]) -> Iterator[str]:
    name = f"item {result.item_id}"
    if result.state != "completed" or result.text != "\n".join(item_text(result.item_id)):
        yield f"MIXED: {name} is {result.state} with {result.text[:80]!r}"
    if not result.versions or not set(result.versions) <= versions:
        yield f"VERSION: {name} names {result.versions}, was made by {versions}"
    made = record.answers_made.get(scoring_call_id(result.item_id), [])
    if result.score not in {answer.stamp for answer in made if answer.status == 200}:
        yield f"MIXED: {name} has the score {result.score!r}, workers made {made}"


@check
def _one_holder(record: Record) -> Iterator[str]:
    for (worker, fence), holders in record.orders.items():
        if len(holders) > 1:
            yield f"ONE: {worker} got orders under fence {fence} of {sorted(holders)}"


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of a soak.

    Attributes:
        num_once: requests that must not be repeated.
        num_foreign: requests answered with what no worker made for them.
        num_once_twice: requests that must not be repeated and ran more than once.
        num_lost_once: requests that must not be repeated and ended with 502.
        num_lost_repeatable: other requests that ended with 502.
        num_closed: requests whose connection ended before a whole answer.
        num_items_again: runs of items beyond the first run of each.
        num_items_twice: items run twice at once.
        num_connections: connections that the workers accepted.
        longest_stall_s: longest time in which the stand-ins did not run.
    """

    num_requests: int
    num_once: int
    num_foreign: int
    num_once_twice: int
    num_lost_once: int
    num_lost_repeatable: int
    num_closed: int
    num_items: int
    num_items_again: int
    num_items_twice: int
    num_connections: int
    longest_stall_s: float
    statuses: tuple[tuple[int, int], ...]
    surpluses: tuple[tuple[str, int], ...]

    def row(self) -> str:
        """Return the figures as cells of a table."""
        num_repeatable = self.num_requests - self.num_once
        return (
            f"{self.num_requests} | {sum(number for _, number in self.surpluses)} | {self.num_foreign} | "
            f"{self.num_once_twice} | "
            f"{self.num_lost_once} of {self.num_once} | {self.num_lost_repeatable} of {num_repeatable} | "
            f"{self.num_closed} | {self.num_items_again} of {self.num_items} | {self.num_items_twice} | "
            f"{self.num_connections} | {self.longest_stall_s}"
        )


def figures(record: Record, num_connections: int) -> Figures:
    """Count what happened."""
    once = [answer for answer in record.answers if answer.kind is not Kind.IDEMPOTENT]
    num_lost = sum(answer.status == 502 for answer in record.answers)
    num_lost_once = sum(answer.status == 502 for answer in once)
    return Figures(
        num_requests=len(record.answers),
        num_once=len(once),
        num_foreign=sum(is_foreign(record, answer) for answer in record.answers),
        num_once_twice=sum(record.num_runs[answer.serial] > 1 for answer in once),
        num_lost_once=num_lost_once,
        num_lost_repeatable=num_lost - num_lost_once,
        num_closed=sum(not answer.is_whole for answer in record.answers),
        num_items=(num_items := len({run.item_id for run in record.item_runs})),
        num_items_again=len(record.item_runs) - num_items,
        num_items_twice=len({first.item_id for first, _ in overlaps(record)}),
        num_connections=num_connections,
        longest_stall_s=round(max((end - begin for begin, end in record.stalls), default=0.0), 3),
        statuses=tuple(sorted(Counter(answer.status for answer in record.answers).items())),
        surpluses=tuple(sorted(record.surpluses.items())),
    )
