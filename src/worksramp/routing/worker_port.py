"""Port to the workers: sending requests, ordering weight versions and fetching reports."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum

from worksramp.routing.worker_load import ReportedLoad
from worksramp.routing.workers import WorkerEntry

HeaderList = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """One request to a worker.

    Attributes:
        request_id: id that the answer must carry.
        target: path and query, byte for byte.
        headers: headers of the caller, without connection headers and those set from the other fields.
        deadline_seconds: time left for the worker, None for no deadline.
        resume_after: id of the last event already received, None to start from the beginning.
        urgency: 0 (most urgent) to 9, None for the worker's default.
        tenant: tenant of the caller, empty for none.
    """

    request_id: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    deadline_seconds: float | None = None
    resume_after: str | None = None
    urgency: int | None = None
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """Status and headers of a worker's answer, with the body still to be read.

    Attributes:
        headers: headers for the caller, without connection headers.
        is_not_run: whether the worker states that it has not run the request.
        is_other_worker: whether another worker has the address now.
        is_leaving: whether the worker states that it is draining.
        signature: signature of the worker, None if the answer carries none.
        load: load of the worker, None if not stated.
        weight_version: weight version that produces the first events, None if not stated.
        connection: connection that carried the answer, and the number of answers on it; for the logs.
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
    connection: str = ""

    @property
    def is_signed(self) -> bool:
        """Whether the answer was produced by a worker."""
        return self.signature is not None


class WorkerUnreachableError(Exception):
    """No connection could be established, so no byte of the request was sent.

    Attributes:
        is_refusal: whether the connection was refused at once, as happens once the worker process has ended.
    """

    def __init__(self, reason: str, is_refusal: bool = False) -> None:
        super().__init__(reason)
        self.is_refusal = is_refusal


class WorkerRequestInvalidError(WorkerUnreachableError):
    """The request cannot be written as HTTP, so no byte of it can be sent to any worker."""


class WorkerAnswerBrokenError(Exception):
    """The answer ended early or did not belong to this request, which may have run."""


class ListenerState(StrEnum):
    """Result of opening a connection to a worker without sending a request."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"


class RunsDuringLoad(StrEnum):
    """What a worker does with running requests when it loads another weight version."""

    FINISH_FIRST = "finish_first"
    CONTINUE = "continue"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order to load a weight version.

    Attributes:
        runs: what to do with running requests.
        holder: name of the ordering node.
        fence: fencing token, which only increases.
        expected_sequence: number of orders the worker must have accepted before, None for any.
    """

    model: str
    version: int
    runs: RunsDuringLoad
    holder: str
    fence: int
    expected_sequence: int | None


@dataclass(frozen=True, slots=True)
class OrderTaken:
    """The worker accepted the order and is carrying it out."""


@dataclass(frozen=True, slots=True)
class OrderHeldAlready:
    """The worker already holds that version."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The worker refused the order.

    Attributes:
        is_fenced: whether the worker has seen a higher fence.
        is_conflict: whether another order is in progress, or the sequence does not match.
    """

    reason: str
    is_fenced: bool = False
    is_conflict: bool = False


@dataclass(frozen=True, slots=True)
class OrderOpen:
    """No answer arrived: the order may have been accepted, and may still be carried out seconds later."""

    reason: str


OrderOutcome = OrderTaken | OrderHeldAlready | OrderRefused | OrderOpen


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """State that a worker reported a moment ago.

    Attributes:
        model_versions: weight version of each model the worker holds.
        order_sequence: number of orders the worker has accepted.
    """

    model_versions: dict[str, int]
    is_busy: bool
    order_sequence: int
    num_waiting: int
    num_running: int

    @property
    def is_of_worker(self) -> bool:
        """Whether only a worker can have written it: one that names no model may be of any HTTP server."""
        return bool(self.model_versions)


class WorkerPort(ABC):
    """Interface for calls to workers."""

    #: Name of the event field that states the weight version from that event on.
    version_field: str

    @abstractmethod
    def send(self, worker: WorkerEntry, request: WorkerRequest) -> AbstractAsyncContextManager[WorkerAnswer]:
        """Send a request; leaving the context early closes its connection.

        Raises:
            WorkerUnreachableError: nothing was sent.
            WorkerAnswerBrokenError: no complete answer to this request arrived; raised when entering the
                context or while reading the body.
        """

    @abstractmethod
    async def listener_state(self, worker: WorkerEntry) -> ListenerState:
        """Open and close a connection to a worker, and return the result well within a second."""

    @abstractmethod
    async def order_version(self, worker: WorkerEntry, order: VersionOrder) -> OrderOutcome:
        """Order a worker to load a weight version and return its reaction."""

    @abstractmethod
    async def report(self, worker: WorkerEntry) -> WorkerReport | None:
        """Return a worker's report, or None if none arrived."""

    @abstractmethod
    async def is_there(self, worker: WorkerEntry, health_path: str) -> bool:
        """Return whether the worker of an entry answers at its address under its id.

        Args:
            health_path: path of the health check of its service, empty to ask for a report instead.
        """
