"""Interface to a shared log whose partitions keep the newest record of each key.

Nodes use the store, whose records survive the loss of their machines, only through this interface. It is
implemented by the adapter of a platform and, in memory, by the emulator.
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
        key: text of at most 255 bytes.
        value: together with the key at most `LogLimits.max_record_bytes`.
    """

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its offset in its partition."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Records from the requested offset on.

    Attributes:
        end: offset that the next appended record would get, at the time of the store's answer.
    """

    records: tuple[StoredRecord, ...]
    end: int


@dataclass(frozen=True, slots=True)
class RecordsGone:
    """The store no longer keeps the requested offset; read the newest records instead.

    Attributes:
        first: oldest offset that the store still keeps.
    """

    first: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """One page of the newest records, in order of key; the pages together are not a consistent snapshot.

    Attributes:
        next_after: key after which the next page starts, None on the last page.
        end: end of the partition when the page was read.
    """

    records: tuple[StoredRecord, ...]
    next_after: str | None
    end: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Identity of a fenced append.

    Attributes:
        producer: name of the writer that the epochs belong to.
        epoch: the store refuses an epoch lower than the highest one that it has seen for the producer.
        sequence: number of this append within the epoch, from 0.
    """

    producer: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are stored.

    Attributes:
        offset: offset of the first record.
        end: offset after the last record.
    """

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """The partition did not end at the expected offset; nothing was appended.

    Attributes:
        end: offset at which the partition ended.
    """

    end: int


@dataclass(frozen=True, slots=True)
class FencedOff:
    """The store has seen a higher epoch; it appended nothing and refuses all later appends of this epoch."""


@dataclass(frozen=True, slots=True)
class OutOfSequence:
    """The append does not follow the previous one of its epoch; nothing was appended.

    Attributes:
        wanted: sequence number that the store expects.
    """

    wanted: int


@dataclass(frozen=True, slots=True)
class NothingDone:
    """The store refused the append; nothing was appended, and the same append may be sent again."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutcomeOpen:
    """The store did not answer; the append may have taken effect, or may still take effect seconds later."""

    reason: str


AppendOutcome = Appended | ConditionFailed | FencedOff | OutOfSequence | NothingDone | OutcomeOpen


class LogUnavailableError(Exception):
    """A read got no usable answer.

    Attributes:
        step: call that failed.
        peer: address of the store.
        reason: what went wrong.
        is_throttled: whether the store has refused the call because there are too many.
    """

    def __init__(self, step: str, peer: str, reason: str, is_throttled: bool = False) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.is_throttled = is_throttled
        self.step = step
        self.peer = peer
        self.reason = reason


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Size limits of a record and of a call.

    Attributes:
        max_record_bytes: key and value of one record.
        max_call_bytes: one append with all its records.
    """

    max_record_bytes: int = 262_144
    max_call_bytes: int = 2_097_152


@dataclass(slots=True)
class SharedLog(ABC):
    """Store of partitions with offsets, conditional appends and fencing."""

    limits: LogLimits = field(default_factory=LogLimits)

    @abstractmethod
    async def append(
        self,
        partition: Partition,
        records: tuple[KeyedRecord, ...],
        fence: Fence | None = None,
        expected_end: int | None = None,
    ) -> AppendOutcome:
        """Append all records or none.

        Args:
            fence: identity of the append, None for an append that is not fenced.
            expected_end: offset at which the partition must end, None for no condition.
        """

    @abstractmethod
    async def read(
        self, partition: Partition, start: int, wait_seconds: float, max_bytes: int | None = None
    ) -> RecordsRead | RecordsGone:
        """Read records from an offset on, waiting up to ``wait_seconds`` for the first one.

        Args:
            max_bytes: approximate size of the answer, None for the store's own limit.

        Returns:
            The records, or `RecordsGone` if the store no longer keeps ``start``.

        Raises:
            LogUnavailableError: no usable answer.
        """

    @abstractmethod
    async def newest(self, partition: Partition, after: str | None) -> NewestPage:
        """Read one page of the newest records, in order of key.

        Args:
            after: key after which the page starts, None for the first page.

        Raises:
            LogUnavailableError: no usable answer.
        """
