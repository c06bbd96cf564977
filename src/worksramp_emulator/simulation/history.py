"""Records a simulated run as typed events, which the checkers read."""

import hashlib

import msgspec


class LiveAnswered(msgspec.Struct, frozen=True, tag="live_answered"):
    """A live completion ended; ``outcome`` is ``completed``, ``not_run`` or ``unknown``."""

    at: float
    request: str
    outcome: str
    is_whole: bool
    seconds: float
    deadline_seconds: float
    retry_after_seconds: float
    reason: str


class KeyedAnswered(msgspec.Struct, frozen=True, tag="keyed_answered"):
    """One submission of a keyed request ended."""

    at: float
    key: str
    outcome: str
    is_own_answer: bool
    retry_after_seconds: float
    reason: str


class BatchTaken(msgspec.Struct, frozen=True, tag="batch_taken"):
    """A trainer received a batch."""

    at: float
    job: str
    cursor: int
    attempt: int
    trainer_version: int
    indices: tuple[int, ...]


class RevisionAccepted(msgspec.Struct, frozen=True, tag="revision_accepted"):
    """A configuration change was accepted; the operator got its revision."""

    at: float
    change_id: str
    revision: int


class PublishAnswered(msgspec.Struct, frozen=True, tag="publish_answered"):
    """A configuration change was not reported as accepted."""

    at: float
    change_id: str
    outcome: str


class RevisionSeen(msgspec.Struct, frozen=True, tag="revision_seen"):
    """A ready node had this revision in force when it was observed."""

    at: float
    node: str
    instance: str
    revision: int


class FaultApplied(msgspec.Struct, frozen=True, tag="fault_applied"):
    """A fault began."""

    at: float
    fault: str


class WorkerLeft(msgspec.Struct, frozen=True, tag="worker_left"):
    """A back end began to drain."""

    at: float
    worker: str


class NodeStopped(msgspec.Struct, frozen=True, tag="node_stopped"):
    """A graceful stop of a node ended, with ``num_cut`` requests still in flight."""

    at: float
    node: str
    num_cut: int


Event = (
    LiveAnswered
    | KeyedAnswered
    | BatchTaken
    | RevisionAccepted
    | PublishAnswered
    | RevisionSeen
    | FaultApplied
    | WorkerLeft
    | NodeStopped
)


class History:
    """Events of one run in the order in which they were added."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def add(self, event: Event) -> None:
        """Add an event."""
        self.events.append(event)

    def digest(self) -> str:
        """Return a SHA-256 digest of all events, equal for equal seeds in every process."""
        return hashlib.sha256(msgspec.json.encode(self.events)).hexdigest()

    def lines(self) -> list[str]:
        """Return each event as a line of JSON."""
        return [msgspec.json.encode(event).decode() for event in self.events]
