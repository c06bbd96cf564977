"""Fold of an owned log stream: the order of records alone decides who owns it and what was written.

A stream holds claims, releases and writes. A claim is accepted iff its epoch is the current epoch plus
one; a write is accepted iff it carries the current epoch, the owner's id and the next sequence number.
Every reader folds the same records in the same order and so reaches the same verdicts. No clock takes
part: a paused owner that wakes up after a newer claim writes records that are void.

See Also:
    docs/design/log.md: the alternatives weighed.
"""

from typing import Generic, Protocol, TypeVar

import msgspec


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """The writer takes ownership under the envelope's epoch."""


class Release(msgspec.Struct, frozen=True, tag="release"):
    """The owner gives ownership up, so that the next claim need not wait for its death."""


class Write(msgspec.Struct, frozen=True, tag="write"):
    """A group of entries committed together.

    Attributes:
        sequence: 1 for the owner's first write of an epoch, then one more each time. A copy that was
            appended twice because a reply was lost carries the same number and is void.
    """

    sequence: int
    entries: tuple[bytes, ...]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One log record.

    Attributes:
        writer: instance id of the writing process; a restarted process has another one.
    """

    epoch: int
    writer: str
    body: Claim | Release | Write


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The record or entry took effect."""

    offset: int


class Void(msgspec.Struct, frozen=True, tag="void"):
    """The record or entry had no effect, now or ever."""

    offset: int
    reason: str


Verdict = Accepted | Void


class Ownership(msgspec.Struct, frozen=True):
    """Who owns a stream as of some offset; ``owner`` is empty before the first claim."""

    epoch: int = 0
    owner: str = ""
    is_released: bool = True

    def is_held_by(self, instance_id: str) -> bool:
        """Return whether this instance may write now."""
        return self.owner == instance_id and not self.is_released


class StreamState(Protocol):
    """What the entries of a stream fold into; a mutable msgspec Struct, so that it can be snapshotted."""

    def apply_entry(self, offset: int, epoch: int, entry: bytes) -> str | None:
        """Apply one entry; return the reason if it is void, None if it took effect."""

    def begin_epoch(self, epoch: int) -> None:
        """Note that a new owner took over; what the old one left open is settled here."""


StateT = TypeVar("StateT", bound=StreamState)


class Applied(msgspec.Struct, frozen=True):
    """What folding one record gave: a verdict a record, and one for each entry of a write."""

    envelope: Envelope | None
    verdict: Verdict
    entry_verdicts: tuple[Verdict, ...] = ()


class StreamFold(Generic[StateT]):
    """Mutable fold of one stream; `apply` must be given every record in offset order."""

    def __init__(self, state: StateT) -> None:
        self.state = state
        self.ownership = Ownership()
        self.next_offset = 0
        self.last_sequence = 0
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def apply(self, offset: int, record: bytes) -> Applied:
        """Fold one record.

        Args:
            offset: its place in the stream; must be ``next_offset``.
            record: the bytes as read from the log; anything undecodable is void, not an error,
                since a foreign writer must not stop every reader.

        Raises:
            ValueError: a record was skipped or repeated.
        """
        if offset != self.next_offset:
            raise ValueError(f"offset {offset} given, {self.next_offset} expected")
        self.next_offset = offset + 1
        try:
            envelope = self._decoder.decode(record)
        except msgspec.DecodeError as error:
            return Applied(envelope=None, verdict=Void(offset, f"undecodable: {error}"))
        match envelope.body:
            case Claim():
                return Applied(envelope, self._apply_claim(offset, envelope))
            case Release():
                return Applied(envelope, self._apply_release(offset, envelope))
            case Write():
                return self._apply_write(offset, envelope, envelope.body)

    def _apply_claim(self, offset: int, envelope: Envelope) -> Verdict:
        expected = self.ownership.epoch + 1
        if envelope.epoch != expected:
            return Void(offset, f"claim of epoch {envelope.epoch}, {expected} is next")
        self.ownership = Ownership(epoch=envelope.epoch, owner=envelope.writer, is_released=False)
        self.last_sequence = 0
        self.state.begin_epoch(envelope.epoch)
        return Accepted(offset)

    def _apply_release(self, offset: int, envelope: Envelope) -> Verdict:
        reason = self._reason_not_owner(envelope)
        if reason is not None:
            return Void(offset, reason)
        self.ownership = msgspec.structs.replace(self.ownership, is_released=True)
        return Accepted(offset)

    def _apply_write(self, offset: int, envelope: Envelope, write: Write) -> Applied:
        reason = self._reason_not_owner(envelope)
        if reason is None and write.sequence != self.last_sequence + 1:
            reason = f"sequence {write.sequence}, {self.last_sequence + 1} is next"
        if reason is not None:
            return Applied(envelope, Void(offset, reason))
        self.last_sequence = write.sequence
        verdicts = tuple(self._apply_entry(offset, envelope.epoch, entry) for entry in write.entries)
        return Applied(envelope, Accepted(offset), verdicts)

    def _apply_entry(self, offset: int, epoch: int, entry: bytes) -> Verdict:
        reason = self.state.apply_entry(offset, epoch, entry)
        return Accepted(offset) if reason is None else Void(offset, reason)

    def _reason_not_owner(self, envelope: Envelope) -> str | None:
        if envelope.epoch != self.ownership.epoch:
            return f"epoch {envelope.epoch} is over, {self.ownership.epoch} is current"
        if not self.ownership.is_held_by(envelope.writer):
            return f"{envelope.writer} does not hold epoch {envelope.epoch}"
        return None


class Snapshot(msgspec.Struct, frozen=True):
    """A folded stream up to ``next_offset``, so that a reader need not start at offset 0.

    The fold is a pure function of the records, so a snapshot stays true whoever wrote it and whenever
    it arrives: it needs no fencing. ``fold_version`` changes whenever the fold's rules do.
    """

    fold_version: int
    next_offset: int
    ownership: Ownership
    last_sequence: int
    state: bytes


def take_snapshot(fold: StreamFold[StateT], fold_version: int) -> Snapshot:
    """Return a snapshot of a fold."""
    return Snapshot(
        fold_version=fold_version,
        next_offset=fold.next_offset,
        ownership=fold.ownership,
        last_sequence=fold.last_sequence,
        state=msgspec.msgpack.encode(fold.state),
    )


def restore_snapshot(fold: StreamFold[StateT], snapshot: Snapshot) -> None:
    """Bring a fresh fold to the point of a snapshot."""
    fold.state = msgspec.msgpack.decode(snapshot.state, type=type(fold.state))
    fold.ownership = snapshot.ownership
    fold.last_sequence = snapshot.last_sequence
    fold.next_offset = snapshot.next_offset
