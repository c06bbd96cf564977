"""What workers and callers saw during a soak."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

import anyio

from worksramp_emulator.soak.plan import Kind

NO_ANSWER = 0


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """The first answer that a worker gave to a send."""

    status: int
    stamp: str
    body: bytes


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """What a caller got for one send.

    Attributes:
        serial: number of the send, which no other send has.
        status: `NO_ANSWER` if the connection ended before a head.
        is_whole: whether its end came.
    """

    serial: str
    kind: Kind
    request_id: str
    node: str
    at_s: float
    status: int
    stamp: str
    body: bytes
    is_whole: bool


@dataclass(slots=True)
class ItemRun:
    """A run of an item at a worker; ``ended_s`` is infinite while it goes on."""

    item_id: str
    worker: str
    began_s: float
    ended_s: float = float("inf")
    versions: set[int] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class ItemResult:
    """A result of an item as it was listed; ``score`` is the stamp of the scoring call's answer."""

    item_id: str
    text: str
    state: str
    versions: tuple[int, ...]
    score: str


def scoring_call_id(item_id: str) -> str:
    """Return the id of an item's scoring call."""
    return f"score-{item_id}"


@dataclass(slots=True)
class BatchSeen:
    """What was read of a batch.

    Attributes:
        results: results at each position, as first read.
        is_ended: whether it was read to its end.
    """

    batch_id: str
    item_ids: tuple[str, ...]
    results: list[ItemResult] = field(default_factory=list)
    is_ended: bool = False


@dataclass(slots=True)
class Record:
    """Everything that the checks read.

    Attributes:
        answers_made: first answers of workers, by send.
        num_runs: how often workers began to run a send.
        item_runs: runs of items, in the order in which they began.
        orders: holders of the orders that reached the workers, by worker and fence.
        surpluses: number of second answers written, by what they followed.
        changed: results that were read otherwise before.
        faults: further violations, in words, as they were seen.
        pauses: times of signals to nodes: from, to.
        stalls: times in which the process of the stand-ins did not run: from, to.
    """

    started_s: float = field(default_factory=anyio.current_time)
    answers_made: defaultdict[str, list[WorkerAnswer]] = field(default_factory=lambda: defaultdict(list))
    num_runs: Counter[str] = field(default_factory=Counter)
    answers: list[CallerAnswer] = field(default_factory=list)
    item_runs: list[ItemRun] = field(default_factory=list)
    orders: defaultdict[tuple[str, int], set[str]] = field(default_factory=lambda: defaultdict(set))
    surpluses: Counter[str] = field(default_factory=Counter)
    batches: list[BatchSeen] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    pauses: list[tuple[float, float]] = field(default_factory=list)
    stalls: list[tuple[float, float]] = field(default_factory=list)
    log: list[str] = field(default_factory=list)

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return anyio.current_time() - self.started_s

    def stalled_s(self, since: float, until: float) -> float:
        """Return for how long the stand-ins did not run between two times."""
        return sum(max(0.0, min(until, end) - max(since, begin)) for begin, end in self.stalls)

    def note(self, who: str, what: str) -> None:
        """Add a line to the log of the run."""
        self.log.append(f"{self.now_s():8.3f} {who:<10} {what}")
