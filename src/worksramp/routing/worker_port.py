"""Port to the workers: requests, orders and reports."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum

from worksramp.routing.workers import WorkerEntry

HeaderList = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """One request as it goes to a worker.

    Attributes:
        request_id: id that the answer must name.
        target: path and query, byte for byte.
        headers: the caller's, without those of the connection and those below.
        deadline_seconds: what is left for the worker, None when unbounded.
        resume_after: id of the last event already received, None from the start.
        urgency: 0 (first) to 9, None for the worker's default.
    """

    request_id: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    deadline_seconds: float | None = None
    resume_after: str | None = None
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an answer told."""

    num_running: int
    num_waiting: int
    num_slots: int


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """Head of a worker's answer.

    Attributes:
        headers: for the caller, without those of the connection.
        is_not_run: the worker says that it has not run the request.
        is_other_worker: another worker has the address now.
        is_leaving: the worker said that it takes no more.
        signature: the worker's, None when the answer carries none.
        weight_version: version that makes the first events, None when not told.
    """

    status: int
    headers: HeaderList
    is_not_run: bool
    is_other_worker: bool
    is_leaving: bool
    signature: str | None
    load: ReportedLoad | None
    weight_version: int | None
    body: AsyncIterator[bytes]

    @property
    def is_signed(self) -> bool:
        """Whether a worker made the answer."""
        return self.signature is not None


class WorkerUnreachableError(Exception):
    """No connection came up: not a byte of the request was sent.

    Attributes:
        is_refusal: the worker's machine refused it at once, as it does once the worker has ended.
    """

    def __init__(self, reason: str, is_refusal: bool = False) -> None:
        super().__init__(reason)
        self.is_refusal = is_refusal


class WorkerAnswerBrokenError(Exception):
    """The answer ended early or was not an answer to this request; it may have run."""


class ListenerState(StrEnum):
    """What became of a new connection to a worker that no request was sent on."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"


class RunsDuringLoad(StrEnum):
    """What becomes of a worker's runs when it takes other weights."""

    FINISH_FIRST = "finish_first"
    CONTINUE = "continue"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order to take other weights.

    Attributes:
        runs: what becomes of requests that run.
        holder: name of the machine that orders.
        fence: token that only rises.
        expected_sequence: orders the worker must have taken before, None for any.
    """

    model: str
    version: int
    runs: RunsDuringLoad
    holder: str
    fence: int
    expected_sequence: int | None


@dataclass(frozen=True, slots=True)
class OrderTaken:
    """The worker is at it."""


@dataclass(frozen=True, slots=True)
class OrderHeldAlready:
    """The worker has that version."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The worker refused.

    Attributes:
        is_fenced: a higher fence has been seen.
        is_conflict: another order is under way, or the sequence does not match.
    """

    reason: str
    is_fenced: bool = False
    is_conflict: bool = False


@dataclass(frozen=True, slots=True)
class OrderOpen:
    """No answer: the order may have been taken, or may be carried out seconds later."""

    reason: str


OrderOutcome = OrderTaken | OrderHeldAlready | OrderRefused | OrderOpen


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's state as it was a moment ago."""

    model_versions: dict[str, int]
    is_busy: bool
    order_sequence: int
    num_waiting: int
    num_running: int


class WorkerPort(ABC):
    """Calls to workers."""

    #: Name of the field of an event that tells the version of the weights from that event on.
    version_field: str

    @abstractmethod
    def send(self, worker: WorkerEntry, request: WorkerRequest) -> AbstractAsyncContextManager[WorkerAnswer]:
        """Send a request; leaving the context early closes its connection.

        Raises:
            WorkerUnreachableError: nothing was sent.
            WorkerAnswerBrokenError: no whole answer to this request, when entering or from the body.
        """

    @abstractmethod
    async def listener_state(self, worker: WorkerEntry) -> ListenerState:
        """Return whether a worker takes connections now, well within a second."""

    @abstractmethod
    async def order_version(self, worker: WorkerEntry, order: VersionOrder) -> OrderOutcome:
        """Order a worker to take a version."""

    @abstractmethod
    async def report(self, worker: WorkerEntry) -> WorkerReport | None:
        """Return a worker's report, None when it gave none."""
