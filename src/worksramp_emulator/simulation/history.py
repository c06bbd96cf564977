"""What a simulated run did, as typed events that checkers read."""

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
    """A trainer took a batch in."""

    at: float
    job: str
    cursor: int
    attempt: int
    trainer_version: int
    indices: tuple[int, ...]


class RevisionAccepted(msgspec.Struct, frozen=True, tag="revision_accepted"):
    """An operator was told that a change is in force."""

    at: float
    change_id: str
    revision: int


class PublishAnswered(msgspec.Struct, frozen=True, tag="publish_answered"):
    """An operator was told something else about a change."""

    at: float
    change_id: str
    outcome: str


class RevisionSeen(msgspec.Struct, frozen=True, tag="revision_seen"):
    """A ready node was seen with this revision in force."""

    at: float
    node: str
    instance: str
    revision: int


class FaultApplied(msgspec.Struct, frozen=True, tag="fault_applied"):
    """A fault began."""

    at: float
    fault: str


class WorkerLeft(msgspec.Struct, frozen=True, tag="worker_left"):
    """A back end began to leave."""

    at: float
    worker: str


class NodeStopped(msgspec.Struct, frozen=True, tag="node_stopped"):
    """A planned stop ended."""

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
    """Events of one run, in order."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def add(self, event: Event) -> None:
        """Add an event."""
        self.events.append(event)

    def digest(self) -> str:
        """Return a digest of all events: the same seed gives the same digest, in any process."""
        return hashlib.sha256(msgspec.json.encode(self.events)).hexdigest()

    def lines(self) -> list[str]:
        """Return the events as text."""
        return [msgspec.json.encode(event).decode() for event in self.events]
