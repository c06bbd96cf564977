"""Records which requests were running when workers crashed, and decides which of them are quarantined.

A crash ends all requests running at the worker, although at most one of them caused it. So a single crash
proves nothing. A request is quarantined once it was running at several workers as they crashed, where each
later run began after an earlier crash was already known. Workers lost at the same time (a rack, a service
that is killed) therefore count as one crash, however many of them were running the request.

See Also:
    docs/design/crashing-requests.md
"""

from dataclasses import dataclass, field

import msgspec

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.wire import decode, encode

#: First part of this ledger's keys; the partition holds records of other kinds as well.
KEY_KIND = "crash"
#: Number of successive crashes after which a request is quarantined, whatever else ran at the workers.
#: Source: the users' requirement.
MAX_CRASHES = 3
#: Number of successive crashes that suffice if no other request was running at every one of the workers.
MAX_CRASHES_ALONE = 2
#: Number of workers that a request may crash in total, including trial requests during quarantine.
#: Source: the users' requirement of at most three more sends after the third crash.
MAX_TOTAL_CRASHES = 6


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One request that one node had at a worker when the worker crashed.

    Attributes:
        crash_id: id of the crash, derived from the worker's start; the same at all nodes.
        node: node that observed the broken connection.
        is_again: whether an earlier crash of a worker running the request was known when this run began.
    """

    fingerprint: str
    crash_id: str
    node: str
    is_again: bool

    @property
    def key(self) -> str:
        """Key in the log; appending the same record again has no effect."""
        return f"{KEY_KIND}/{self.fingerprint}/{self.crash_id}/{self.node}"

    def as_log_record(self) -> KeyedRecord:
        """Return the log record that stores this crash record."""
        return KeyedRecord(self.key, encode(self))

    def as_tombstone(self) -> KeyedRecord:
        """Return the log record that deletes this crash record."""
        return KeyedRecord(self.key, b"")


def fingerprint_in_key(key: str) -> str | None:
    """Return the fingerprint in a log key, or None for a key of another kind."""
    kind, _, rest = key.partition("/")
    return rest.partition("/")[0] if kind == KEY_KIND else None


@dataclass(slots=True)
class _History:
    """Crash records of one request by key, in order of arrival."""

    records: dict[str, CrashRecord] = field(default_factory=dict)
    changed_at: float = float("-inf")

    def crash_ids(self) -> set[str]:
        return {record.crash_id for record in self.records.values()}

    def num_successive(self) -> int:
        """Return the number of crashes known to have happened one after the other."""
        again = {record.crash_id for record in self.records.values() if record.is_again}
        return 1 + len(again) if self.records else 0


class CrashLedger:
    """All crash records, built from the changes in the log."""

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}
        self._requests_at: dict[str, set[str]] = {}

    @property
    def num_suspects(self) -> int:
        """Number of requests that were running at a worker when it crashed."""
        return len(self._histories)

    @property
    def num_quarantined(self) -> int:
        """Number of quarantined requests."""
        return sum(1 for fingerprint in self._histories if self.is_quarantined(fingerprint))

    def apply(self, change: Change, now: float) -> None:
        """Apply a change of the log. Changes of other kinds of keys are ignored."""
        fingerprint = fingerprint_in_key(change.key)
        if fingerprint is None:
            return
        if change.value is not None:
            record = decode(change.value, CrashRecord)
            if record.key != change.key:
                # Its deletion would find no record.
                raise msgspec.ValidationError("the key is not that of the crash")
            self.add(record, now)
        else:
            self._remove(fingerprint, change.key)

    def add(self, record: CrashRecord, now: float) -> None:
        """Add a record. Adding a known record has no effect."""
        history = self._histories.setdefault(record.fingerprint, _History())
        if record.key in history.records:
            return
        history.records[record.key] = record
        history.changed_at = now
        self._requests_at.setdefault(record.crash_id, set()).add(record.fingerprint)

    def drop(self, fingerprint: str) -> tuple[CrashRecord, ...]:
        """Discard all records of a request and return them."""
        history = self._histories.get(fingerprint, _History())
        records = tuple(history.records.values())
        for record in records:
            self._remove(fingerprint, record.key)
        return records

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request was running at a worker when the worker crashed."""
        return fingerprint in self._histories

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is kept from workers because of crashes."""
        history = self._histories.get(fingerprint)
        if history is None:
            return False
        num_crashes = history.num_successive()
        if num_crashes >= MAX_CRASHES:
            return True
        return num_crashes >= MAX_CRASHES_ALONE and self._was_alone(fingerprint, history)

    def num_crashes(self, fingerprint: str) -> int:
        """Return how many workers crashed while running a request, successively or at the same time."""
        history = self._histories.get(fingerprint)
        return 0 if history is None else len(history.crash_ids())

    def changed_at(self, fingerprint: str) -> float:
        """Return when a crash record of a request was last added, or minus infinity if it has none."""
        history = self._histories.get(fingerprint)
        return float("-inf") if history is None else history.changed_at

    def stale(self, before: float, max_requests: int) -> list[str]:
        """Return the requests whose records should be discarded.

        These are the requests without a new crash since ``before``, and as many others as exceed
        ``max_requests``. Requests with the fewest crashes are discarded first, because a quarantined request
        whose records are discarded may crash workers again.

        Args:
            before: time before which a request's last crash record was added.
            max_requests: number of requests to keep.
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
        """Return whether no other request was running at every worker that crashed under this request."""
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
