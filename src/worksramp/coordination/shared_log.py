"""Port to a shared log whose partitions keep the newest record of each key.

The product sees the store that outlives its machines only through this port. Implementations: the adapter of
a platform, and the emulator's twin in memory.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Partition:
    """One ordered sequence of records."""

    topic: str
    number: int


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record. An empty value removes its key.

    Attributes:
        key: at most 255 bytes of text.
        value: at most ``SharedLog.max_record_bytes`` with the key.
    """

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its place in its partition."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records from the offset asked for.

    Attributes:
        end: offset that the next record of the partition will get, when the store answered.
    """

    records: tuple[StoredRecord, ...]
    end: int


@dataclass(frozen=True, slots=True)
class RecordsGone:
    """The offset asked for is older than what the store keeps; read the newest records instead."""

    first: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """Part of the newest records by key; the pages together are no snapshot.

    Attributes:
        next_after: key to go on after, None on the last page.
        end: end of the partition when the page was made.
    """

    records: tuple[StoredRecord, ...]
    next_after: str | None
    end: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Identity of a fenced writer.

    Attributes:
        producer: name that the epochs belong to.
        epoch: the store refuses epochs lower than one it has seen.
        sequence: number of this append within the epoch, from 0.
    """

    producer: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are in the partition.

    Attributes:
        offset: of the first of them.
        end: after the last of them.
    """

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """The partition did not end where the writer said; nothing was done."""

    end: int


@dataclass(frozen=True, slots=True)
class FencedOff:
    """A higher epoch has been seen; nothing was done, nor will be under this epoch."""


@dataclass(frozen=True, slots=True)
class OutOfSequence:
    """The append does not follow the last one of its epoch; nothing was done."""

    wanted: int


@dataclass(frozen=True, slots=True)
class NothingDone:
    """The store refused; nothing was done, and the same append may be sent again."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeOpen:
    """No answer: the append may have been done, or may be done seconds later."""

    reason: str


AppendOutcome = Appended | ConditionFailed | FencedOff | OutOfSequence | NothingDone | OutcomeOpen


class LogUnavailableError(Exception):
    """A read got no usable answer.

    Attributes:
        step: the call.
        peer: the store's address.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


@dataclass(frozen=True, slots=True)
class LogLimits:
    """What one call may carry."""

    max_record_bytes: int = 262_144
    max_call_bytes: int = 2_097_152


@dataclass(slots=True)
class SharedLog(ABC):
    """A store of partitions with offsets, conditions and fences."""

    limits: LogLimits = field(default_factory=LogLimits)

    @abstractmethod
    async def append(
        self,
        partition: Partition,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> AppendOutcome:
        """Append all records or none."""

    @abstractmethod
    async def read(
        self, partition: Partition, start: int, wait_seconds: float, max_bytes: int | None = None
    ) -> RecordsRead | RecordsGone:
        """Read records from an offset, waiting up to ``wait_seconds`` for the first.

        Args:
            max_bytes: about as much as is wanted, None for the store's own bound.

        Raises:
            LogUnavailableError: no usable answer.
        """

    @abstractmethod
    async def newest(self, partition: Partition, after: str | None) -> NewestPage:
        """Read a page of the newest records by key.

        Raises:
            LogUnavailableError: no usable answer.
        """
