"""Fold of an owned log stream: the order of records alone decides who owns it and what was written.

A stream holds claims, releases and writes. A claim is accepted iff its epoch is the current epoch plus
one; a write is accepted iff it carries the current epoch, the owner's id and the next sequence number.
Every reader folds the same records in the same order and so reaches the same verdicts. No clock is involved:
records that a paused owner writes after a newer claim are void.

See Also:
    docs/design/log.md: the alternatives considered.
"""

from typing import Generic, Protocol, TypeVar

import msgspec


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """The writer takes ownership under the envelope's epoch."""


class Release(msgspec.Struct, frozen=True, tag="release"):
    """The owner gives up ownership, so that the next claim need not wait until the owner is dead."""


class Write(msgspec.Struct, frozen=True, tag="write"):
    """A group of entries committed together.

    Attributes:
        sequence: 1 for the owner's first write of an epoch, then one more for each write. A duplicate,
            appended because a reply was lost, carries the same number and is void.
    """

    sequence: int
    entries: tuple[bytes, ...]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One log record.

    Attributes:
        writer: instance id of the writing process; a restarted process has a different one.
    """

    epoch: int
    writer: str
    body: Claim | Release | Write


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The record or entry took effect."""

    offset: int


class Void(msgspec.Struct, frozen=True, tag="void"):
    """The record or entry had no effect and never will."""

    offset: int
    reason: str


Verdict = Accepted | Void


class Ownership(msgspec.Struct, frozen=True):
    """Owner of a stream as of some offset; ``owner`` is empty before the first claim."""

    epoch: int = 0
    owner: str = ""
    is_released: bool = True

    def is_held_by(self, instance_id: str) -> bool:
        """Return whether this instance may write now."""
        return self.owner == instance_id and not self.is_released


class StreamState(Protocol):
    """State that a stream's entries are folded into.

    It is a mutable msgspec Struct, so that a snapshot can hold it.
    """

    def apply_entry(self, offset: int, epoch: int, entry: bytes) -> str | None:
        """Apply one entry; return None if it took effect, else the reason why it is void."""

    def begin_epoch(self, epoch: int) -> None:
        """Handle a takeover: resolve the operations that the previous owner left unfinished."""


StateT = TypeVar("StateT", bound=StreamState)


class Applied(msgspec.Struct, frozen=True):
    """Result of folding one record.

    Attributes:
        envelope: the decoded record, None if it is undecodable.
        verdict: verdict on the record.
        entry_verdicts: one verdict for each entry of an accepted write.
    """

    envelope: Envelope | None
    verdict: Verdict
    entry_verdicts: tuple[Verdict, ...] = ()


class StreamFold(Generic[StateT]):
    """Mutable fold of one stream; `apply` must be called with every record in order of offset."""

    def __init__(self, state: StateT) -> None:
        self.state = state
        self.ownership = Ownership()
        self.next_offset = 0
        self.last_sequence = 0
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def apply(self, offset: int, record: bytes) -> Applied:
        """Fold one record.

        Args:
            offset: offset of the record; must be ``next_offset``.
            record: bytes as read from the log. An undecodable record is void rather than an error, since a
                foreign writer must not stop every reader.

        Raises:
            ValueError: a record was skipped or repeated.
        """
        if offset != self.next_offset:
            raise ValueError(f"expected offset {self.next_offset}, got {offset}")
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
            return Void(offset, f"expected a claim of epoch {expected}, got {envelope.epoch}")
        self.ownership = Ownership(epoch=envelope.epoch, owner=envelope.writer, is_released=False)
        self.last_sequence = 0
        self.state.begin_epoch(envelope.epoch)
        return Accepted(offset)

    def _apply_release(self, offset: int, envelope: Envelope) -> Verdict:
        reason = self._ownership_fault(envelope)
        if reason is not None:
            return Void(offset, reason)
        self.ownership = msgspec.structs.replace(self.ownership, is_released=True)
        return Accepted(offset)

    def _apply_write(self, offset: int, envelope: Envelope, write: Write) -> Applied:
        reason = self._ownership_fault(envelope)
        if reason is None and write.sequence != self.last_sequence + 1:
            reason = f"expected sequence {self.last_sequence + 1}, got {write.sequence}"
        if reason is not None:
            return Applied(envelope, Void(offset, reason))
        self.last_sequence = write.sequence
        verdicts = tuple(self._apply_entry(offset, envelope.epoch, entry) for entry in write.entries)
        return Applied(envelope, Accepted(offset), verdicts)

    def _apply_entry(self, offset: int, epoch: int, entry: bytes) -> Verdict:
        reason = self.state.apply_entry(offset, epoch, entry)
        return Accepted(offset) if reason is None else Void(offset, reason)

    def _ownership_fault(self, envelope: Envelope) -> str | None:
        if envelope.epoch != self.ownership.epoch:
            return f"epoch {envelope.epoch} is not the current epoch {self.ownership.epoch}"
        if not self.ownership.is_held_by(envelope.writer):
            return f"{envelope.writer} does not own epoch {envelope.epoch}"
        return None


class Snapshot(msgspec.Struct, frozen=True):
    """Folded stream up to ``next_offset``, so that a reader need not start at offset 0.

    The fold is a pure function of the records, so a snapshot is valid whoever wrote it and whenever it is
    read, and needs no fencing. ``fold_version`` changes whenever the rules of the fold change.
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
    """Set a fold to the state of a snapshot."""
    fold.state = msgspec.msgpack.decode(snapshot.state, type=type(fold.state))
    fold.ownership = snapshot.ownership
    fold.last_sequence = snapshot.last_sequence
    fold.next_offset = snapshot.next_offset
