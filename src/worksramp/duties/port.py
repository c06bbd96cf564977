"""Port to the platform's calls that are the duty of one node at a time, with the outcomes of a call."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """Identity under which a call is made.

    Attributes:
        node: name of the machine.
        fence: epoch of the lease; the platform refuses a call that follows one with a higher epoch.
    """

    node: str
    fence: int


@dataclass(frozen=True, slots=True)
class WorkerCount:
    """Number of workers that a zone is to have.

    Attributes:
        is_spot: whether the number is that of workers that the platform may take away.
    """

    service: str
    zone: str
    num_workers: int
    is_spot: bool = False


@dataclass(frozen=True, slots=True)
class DutyDone:
    """The platform has carried out the call, now or at an equal call before."""


@dataclass(frozen=True, slots=True)
class DutyFenced:
    """The platform has seen a higher fence; the holder has lost its lease."""


@dataclass(frozen=True, slots=True)
class DutyRefused:
    """The platform did nothing; the same call may be made again later."""

    reason: str


@dataclass(frozen=True, slots=True)
class DutyOpen:
    """There was no answer; the call may have been carried out, or may be so seconds later."""

    reason: str


DutyOutcome = DutyDone | DutyFenced | DutyRefused | DutyOpen


class DutyPort(ABC):
    """Calls to the platform. A call is made once; only `DutyOpen` leaves its effect unknown."""

    @abstractmethod
    async def report_usage(self, holder: DutyHolder, window: int, counts: dict[str, int]) -> DutyOutcome:
        """Report how many requests of each tenant began to run in a window.

        Args:
            window: number of the window, counted from the start of 1970.
        """

    @abstractmethod
    async def set_worker_count(self, holder: DutyHolder, count: WorkerCount) -> DutyOutcome:
        """Set how many workers a zone is to have."""
