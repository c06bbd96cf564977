"""I/O around a stream fold: tail the log, claim ownership, commit entries.

See Also:
    worksramp.coordination.fold: the rules that decide what is accepted.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Generic

import anyio
import msgspec

from worksramp.backends.base import LogClient
from worksramp.coordination.fold import (
    Accepted,
    Applied,
    Claim,
    Envelope,
    Release,
    Snapshot,
    StateT,
    StreamFold,
    Verdict,
    Void,
    Write,
    restore_snapshot,
    take_snapshot,
)
from worksramp.outcomes import NotStartedError, StepError

TAIL_WAIT_SECONDS = 10.0
TAIL_MAX_RECORDS = 512
RETRY_PAUSE_SECONDS = 0.25
READ_BACK_SECONDS = 1.0
MAX_PENDING_ENTRIES = 4096
MAX_ENTRIES_PER_WRITE = 256
SNAPSHOT_PREFIX = "snapshots."


@dataclass(slots=True)
class _Pending:
    """An entry that waits for its verdict."""

    entry: bytes
    resolved: anyio.Event = field(default_factory=anyio.Event)
    verdict: Verdict | None = None

    def resolve(self, verdict: Verdict) -> None:
        self.verdict = verdict
        self.resolved.set()

    async def wait(self) -> Verdict:
        await self.resolved.wait()
        assert self.verdict is not None
        return self.verdict


@dataclass(frozen=True, slots=True)
class Unresolved:
    """The entry was sent, but its verdict is not known yet.

    Attributes:
        wait: returns the verdict once it is known.
    """

    wait: Callable[[], Awaitable[Verdict]]


class StreamReplica(Generic[StateT]):
    """Reader of one stream that also writes to it while this instance owns it.

    Args:
        log: the log service.
        stream: name of the stream.
        state: empty state to fold into.
        instance_id: id of this process; a restarted process has a different one.
        fold_version: version of the fold's rules; snapshots of other versions are ignored.
        snapshot_every: number of records between two snapshots by the owner; 0 to use no snapshots.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        state: StateT,
        instance_id: str,
        fold_version: int = 1,
        snapshot_every: int = 0,
    ) -> None:
        self.stream = stream
        self.fold: StreamFold[StateT] = StreamFold(state)
        self.is_caught_up = False
        self.is_log_reachable = False
        self._log = log
        self._instance_id = instance_id
        self._fold_version = fold_version
        self._snapshot_every = snapshot_every
        self._next_snapshot_at = snapshot_every
        self._changed = anyio.Event()
        self._queue: list[_Pending] = []
        self._in_flight: list[_Pending] = []
        self._in_flight_key: tuple[int, int] | None = None

    @property
    def state(self) -> StateT:
        """The folded state; callers must not modify it."""
        return self.fold.state

    @property
    def is_owner(self) -> bool:
        """Whether the records read so far make this instance the owner.

        Advisory only: the log may hold a newer claim that has not been read yet. Side effects must wait for a
        verdict.
        """
        return self.fold.ownership.is_held_by(self._instance_id)

    async def run(self) -> None:
        """Tail the log and write to it until cancelled."""
        await self._restore()
        async with anyio.create_task_group() as group:
            group.start_soon(self._tail)
            group.start_soon(self._write)

    async def wait_until(self, predicate: Callable[[], bool]) -> None:
        """Wait until the predicate holds; it is evaluated after each change of the fold."""
        while not predicate():
            await self._changed.wait()

    async def claim(self) -> bool:
        """Append a claim of the next epoch and return whether this instance then owns the stream.

        A claim whose reply is lost may still take effect later; this instance becomes the owner when it reads
        the claim.
        """
        epoch = self.fold.ownership.epoch + 1
        await self._append_once(Envelope(epoch, self._instance_id, Claim()))
        with anyio.move_on_after(READ_BACK_SECONDS):
            await self.wait_until(lambda: self.fold.ownership.epoch >= epoch)
        return self.is_owner

    async def release(self) -> None:
        """Give up the stream; return once the release has been read back or ownership is lost otherwise."""
        while self.is_owner:
            await self._append_once(Envelope(self.fold.ownership.epoch, self._instance_id, Release()))
            with anyio.move_on_after(READ_BACK_SECONDS):
                await self.wait_until(lambda: not self.is_owner)

    async def commit(
        self, entry: bytes, timeout_seconds: float | None = None, should_wait_for_log: bool = False
    ) -> Verdict | Unresolved:
        """Commit one entry and return its verdict once it has been read back.

        Entries that wait at the same time share one record.

        Args:
            entry: the encoded entry.
            timeout_seconds: how long to wait; None waits until the verdict is known.
            should_wait_for_log: whether to wait for a log that does not answer, rather than refuse at once.

        Returns:
            The verdict, or `Unresolved` if time ran out after the entry was sent.

        Raises:
            NotStartedError: the entry was certainly not appended: this instance is not the owner, the
                log does not answer, too many entries wait, or time ran out before the entry was sent.
        """
        reason = self._reason_to_refuse(should_wait_for_log)
        if reason is not None:
            raise NotStartedError("log.commit", self.stream, reason)
        pending = _Pending(entry)
        self._queue.append(pending)
        self._notify_changed()
        try:
            with anyio.move_on_after(timeout_seconds):
                return await pending.wait()
        finally:
            # An entry that times out before it is sent must never be sent, since its caller gets "not run".
            was_queued = pending in self._queue
            if was_queued:
                self._queue.remove(pending)
        if was_queued:
            raise NotStartedError("log.commit", self.stream, "the log is too slow")
        return Unresolved(pending.wait)

    def _reason_to_refuse(self, should_wait_for_log: bool) -> str | None:
        if not self.is_owner:
            return "not the owner"
        if not self.is_log_reachable and not should_wait_for_log:
            return "the log does not answer"
        if len(self._queue) >= MAX_PENDING_ENTRIES:
            return "too many entries wait for the log"
        return None

    async def _tail(self) -> None:
        while True:
            start = self.fold.next_offset
            wait_seconds = TAIL_WAIT_SECONDS if self.is_caught_up else 0.0
            try:
                page = await self._log.read(self.stream, start, TAIL_MAX_RECORDS, wait_seconds)
            except StepError:
                self.is_log_reachable = False
                await anyio.sleep(RETRY_PAUSE_SECONDS)
                continue
            self.is_log_reachable = True
            for index, record in enumerate(page.records):
                # A page that starts at another offset answers an earlier read; skip what was applied before.
                if page.start + index == self.fold.next_offset:
                    self._resolve_by(self.fold.apply(page.start + index, record))
            self.is_caught_up = self.fold.next_offset >= page.end_offset
            self._notify_changed()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _resolve_by(self, applied: Applied) -> None:
        """Resolve the write in flight if this record decides it."""
        if self._in_flight_key is None:
            return
        epoch, sequence = self._in_flight_key
        envelope = applied.envelope
        is_ours = (
            envelope is not None
            and isinstance(envelope.body, Write)
            and (envelope.epoch, envelope.writer, envelope.body.sequence)
            == (epoch, self._instance_id, sequence)
        )
        if is_ours and isinstance(applied.verdict, Accepted):
            self._resolve_in_flight(applied.entry_verdicts)
        elif not self.is_owner or self.fold.ownership.epoch != epoch:
            # The epoch is over, so no later duplicate can be accepted either.
            reason = Void(self.fold.next_offset - 1, "ownership was lost")
            self._resolve_in_flight((reason,) * len(self._in_flight))

    def _resolve_in_flight(self, verdicts: tuple[Verdict, ...]) -> None:
        for pending, verdict in zip(self._in_flight, verdicts, strict=True):
            pending.resolve(verdict)
        self._in_flight = []
        self._in_flight_key = None

    async def _write(self) -> None:
        while True:
            await self.wait_until(lambda: bool(self._queue) or self._is_snapshot_due())
            if self._is_snapshot_due():
                await self._append_snapshot()
            if self._queue:
                await self._write_group()

    async def _write_group(self) -> None:
        """Append one group, repeatedly until its verdict is known; one write is in flight at a time."""
        group = self._queue[:MAX_ENTRIES_PER_WRITE]
        del self._queue[: len(group)]
        if not self.is_owner:
            for pending in group:
                pending.resolve(Void(self.fold.next_offset, "not the owner"))
            return
        epoch = self.fold.ownership.epoch
        sequence = self.fold.last_sequence + 1
        self._in_flight = group
        self._in_flight_key = (epoch, sequence)
        body = Write(sequence, tuple(pending.entry for pending in group))
        envelope = Envelope(epoch, self._instance_id, body)
        while self._in_flight_key is not None:
            await self._append_once(envelope)
            with anyio.move_on_after(READ_BACK_SECONDS):
                await self.wait_until(lambda: self._in_flight_key is None)

    async def _append_once(self, envelope: Envelope) -> None:
        try:
            await self._log.append(self.stream, msgspec.msgpack.encode(envelope))
        except StepError:
            # The append may have taken effect although its reply was lost; reading the log back shows which.
            await anyio.sleep(RETRY_PAUSE_SECONDS)

    def _is_snapshot_due(self) -> bool:
        return self._snapshot_every > 0 and self.is_owner and self.fold.next_offset >= self._next_snapshot_at

    async def _append_snapshot(self) -> None:
        snapshot = take_snapshot(self.fold, self._fold_version)
        self._next_snapshot_at = self.fold.next_offset + self._snapshot_every
        try:
            await self._log.append(SNAPSHOT_PREFIX + self.stream, msgspec.msgpack.encode(snapshot))
        except StepError:
            # A snapshot only shortens later reading, and the next one will be written anyway.
            return

    async def _restore(self) -> None:
        """Start from the newest usable snapshot; without one, from offset 0."""
        if self._snapshot_every == 0:
            return
        while True:
            try:
                snapshot = await self._read_last_snapshot()
            except StepError:
                await anyio.sleep(RETRY_PAUSE_SECONDS)
                continue
            if snapshot is not None and snapshot.fold_version == self._fold_version:
                restore_snapshot(self.fold, snapshot)
                self._next_snapshot_at = snapshot.next_offset + self._snapshot_every
            return

    async def _read_last_snapshot(self) -> Snapshot | None:
        name = SNAPSHOT_PREFIX + self.stream
        end_offset = (await self._log.read(name, 0, 0, 0.0)).end_offset
        if end_offset == 0:
            return None
        page = await self._log.read(name, end_offset - 1, 1, 0.0)
        if not page.records:
            return None
        try:
            return msgspec.msgpack.decode(page.records[0], type=Snapshot)
        except msgspec.DecodeError:
            return None
