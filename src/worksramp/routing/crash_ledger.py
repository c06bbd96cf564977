"""Which requests were running when workers crashed, and which of them are held to blame.

A worker that crashes takes all its running requests along, and all but one of them are innocent. So one crash
proves nothing. A request is to blame when it ran at several workers as they crashed, and each later run began
after an earlier worker of it was known to have crashed: workers that are lost together (a rack, a service
that is killed) count once, however many of them had the request.

See Also:
    docs/design/crashing-requests.md
"""

from dataclasses import dataclass, field

import msgspec

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.wire import decode, encode

#: First part of the keys of this ledger; the partition holds other records as well.
KEY_KIND = "crash"
#: Crashes after which a request is to blame, whatever else ran at its workers. Source: the users' bound.
MAX_CRASHES = 3
#: Crashes after which it is to blame if nothing else ran at all of its workers.
MAX_CRASHES_ALONE = 2
#: Workers that a request may crash in all, trials after its conviction included. Source: the users' bound of
#: three more sends after the third crash.
MAX_CRASHES_IN_ALL = 6


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One request that one node had at a worker as it crashed.

    Attributes:
        crash_id: of the worker's start that ended; the same at all nodes.
        node: that saw the connection break.
        is_again: the run began when the node knew of an earlier crash under the request.
    """

    fingerprint: str
    crash_id: str
    node: str
    is_again: bool

    @property
    def key(self) -> str:
        """Key in the log; a repeated append changes nothing."""
        return f"{KEY_KIND}/{self.fingerprint}/{self.crash_id}/{self.node}"

    def as_log_record(self) -> KeyedRecord:
        """Return the record that adds this one to the log."""
        return KeyedRecord(self.key, encode(self))

    def as_removal(self) -> KeyedRecord:
        """Return the record that drops this one from the log."""
        return KeyedRecord(self.key, b"")


def fingerprint_in(key: str) -> str | None:
    """Return the request that a key of the log is about, None for a key of another kind."""
    kind, _, rest = key.partition("/")
    return rest.partition("/")[0] if kind == KEY_KIND else None


@dataclass(slots=True)
class _History:
    """Crashes under one request: records by key, in order of arrival."""

    records: dict[str, CrashRecord] = field(default_factory=dict)
    changed_at: float = float("-inf")

    def crash_ids(self) -> set[str]:
        return {record.crash_id for record in self.records.values()}

    def num_successive(self) -> int:
        """Return how many crashes came one after the other, as far as runs show it."""
        again = {record.crash_id for record in self.records.values() if record.is_again}
        return 1 + len(again) if self.records else 0


class CrashLedger:
    """All records of crashes, folded change by change."""

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}
        self._requests_at: dict[str, set[str]] = {}

    @property
    def num_suspects(self) -> int:
        """Requests that were running at some worker as it crashed."""
        return len(self._histories)

    @property
    def num_quarantined(self) -> int:
        """Requests that are held to blame."""
        return sum(1 for fingerprint in self._histories if self.is_to_blame(fingerprint))

    def apply(self, change: Change, now: float) -> None:
        """Take in a change of the log; those of other kinds of keys are passed over."""
        fingerprint = fingerprint_in(change.key)
        if fingerprint is None:
            return
        if change.value is not None:
            self.add(decode(change.value, CrashRecord), now)
        else:
            self._remove(fingerprint, change.key)

    def add(self, record: CrashRecord, now: float) -> None:
        """Take in a record; one that is known already changes nothing."""
        history = self._histories.setdefault(record.fingerprint, _History())
        if record.key in history.records:
            return
        history.records[record.key] = record
        history.changed_at = now
        self._requests_at.setdefault(record.crash_id, set()).add(record.fingerprint)

    def drop(self, fingerprint: str) -> tuple[CrashRecord, ...]:
        """Forget all that is known of a request; return what that was."""
        history = self._histories.get(fingerprint, _History())
        records = tuple(history.records.values())
        for record in records:
            self._remove(fingerprint, record.key)
        return records

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request was running at some worker as it crashed."""
        return fingerprint in self._histories

    def is_to_blame(self, fingerprint: str) -> bool:
        """Return whether a request is held to blame for crashes."""
        history = self._histories.get(fingerprint)
        if history is None:
            return False
        num_crashes = history.num_successive()
        if num_crashes >= MAX_CRASHES:
            return True
        return num_crashes >= MAX_CRASHES_ALONE and self._was_alone(fingerprint, history)

    def num_crashes(self, fingerprint: str) -> int:
        """Return how many workers crashed under a request, successively or not."""
        history = self._histories.get(fingerprint)
        return 0 if history is None else len(history.crash_ids())

    def changed_at(self, fingerprint: str) -> float:
        """Return when a crash under a request was last taken in."""
        history = self._histories.get(fingerprint)
        return float("-inf") if history is None else history.changed_at

    def stale(self, before: float, max_requests: int) -> list[str]:
        """Return requests to forget: those that have been quiet for long, and those over a number.

        Those of fewest crashes go first: to forget one that is to blame costs workers again.
        """
        old = [name for name, history in self._histories.items() if history.changed_at < before]
        num_over = len(self._histories) - len(old) - max_requests
        if num_over <= 0:
            return old
        kept = sorted(
            (name for name in self._histories if name not in set(old)),
            key=lambda name: (self._histories[name].num_successive(), self._histories[name].changed_at),
        )
        return old + kept[:num_over]

    def _was_alone(self, fingerprint: str, history: _History) -> bool:
        """Return whether nothing else ran at all the workers that crashed under a request."""
        at_all = set.intersection(*(self._requests_at[crash_id] for crash_id in history.crash_ids()))
        return at_all == {fingerprint}

    def _remove(self, fingerprint: str, key: str) -> None:
        history = self._histories.get(fingerprint)
        record = None if history is None else history.records.pop(key, None)
        if history is None or record is None:
            return
        if not history.records:
            del self._histories[fingerprint]
        if record.crash_id not in history.crash_ids():
            requests = self._requests_at[record.crash_id]
            requests.discard(fingerprint)
            if not requests:
                del self._requests_at[record.crash_id]
