"""Usage by tenant and window: what a node counts, what a report says, and which reports are due.

A window's report is fixed as a record of the shard before it is sent, so that each holder of the lease sends
the same counts. Nodes write their counts to a partition of their own as they arise, so that a node that ends
loses only those of its last moments.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord
from worksramp.counts import Count, parse_count
from worksramp.wire import decode, encode

REPORT_PREFIX = "u/"
COUNT_PREFIX = "c/"
#: Windows whose reports were not fixed for longer, such as after a long outage, are not reported any more.
MAX_WINDOWS_BEHIND = 240
#: Share of the time until a report is due for which counts are awaited; the rest is for calls and takeovers.
COUNT_WAIT_SHARE = 0.4
#: Reports are fixed from counts that were read as recently as this.
MAX_TALLY_AGE_S = 1.5
#: After an outage of the store, nodes write the counts that they could not write during it.
COUNTS_BACK_S = 2.0


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one window, fixed before it is sent.

    Attributes:
        window: number of the window, counted from the start of 1970.
        counts: requests that began to run, by tenant.
        is_confirmed: whether the platform has taken it.
    """

    window: Count
    counts: dict[str, Count]
    is_confirmed: bool = False


@dataclass(frozen=True, slots=True)
class UsageTimes:
    """Times of usage reports in seconds.

    Attributes:
        window_s: length of a window.
        late_s: time after the end of a window at which its report is due.
    """

    window_s: float
    late_s: float

    def window_of(self, at_s: float) -> int:
        """Return the window that a time of day lies in."""
        return int(at_s // self.window_s)

    def ends_at(self, window: int) -> float:
        """Return the time of day at which a window ends."""
        return (window + 1) * self.window_s

    def fixed_at(self, window: int) -> float:
        """Return the time of day at which the report of a window is fixed."""
        return self.ends_at(window) + COUNT_WAIT_SHARE * self.late_s

    def last_fixed_at(self, window: int) -> float:
        """Return the time of day at which a report is fixed even if counts may be missing."""
        return (self.fixed_at(window) + self.ends_at(window) + self.late_s) / 2


class UsageCounter:
    """Counts of one node that are not yet known to be stored.

    Args:
        reporter: id of this start of the process; its counts replace only its own.
    """

    def __init__(self, times: UsageTimes, reporter: str) -> None:
        self._times = times
        self._reporter = reporter
        self._counts: dict[int, Counter[str]] = {}
        self._changed: set[int] = set()

    @property
    def has_changes(self) -> bool:
        """Whether some counts are not known to be stored."""
        return bool(self._changed)

    def record(self, tenant: str, began_at_s: float) -> None:
        """Count a request that began to run at a time of day."""
        window = self._times.window_of(began_at_s)
        self._counts.setdefault(window, Counter())[tenant] += 1
        self._changed.add(window)

    def take_changes(self, now_s: float) -> tuple[tuple[int, ...], tuple[KeyedRecord, ...]]:
        """Return the changed windows and their records, and forget windows that were reported long ago."""
        windows = tuple(sorted(self._changed))
        self._changed.clear()
        records = tuple(
            KeyedRecord(f"{COUNT_PREFIX}{window}/{self._reporter}", encode(dict(self._counts[window])))
            for window in windows
        )
        for window in [old for old in self._counts if self._times.ends_at(old) + self._times.late_s < now_s]:
            if window not in windows:
                del self._counts[window]
        return windows, records

    def put_back(self, windows: Iterable[int]) -> None:
        """Record that the counts of these windows may not have been stored."""
        self._changed.update(window for window in windows if window in self._counts)


@dataclass(slots=True)
class UsageTally:
    """Counts of all nodes that no report contains yet, folded from their partition."""

    _counts: dict[int, dict[str, dict[str, int]]] = field(default_factory=dict)

    def apply(self, change: Change) -> None:
        """Apply one change; the newest counts of a reporter are its total for the window."""
        if not change.key.startswith(COUNT_PREFIX):
            return
        window_text, _, reporter = change.key.removeprefix(COUNT_PREFIX).partition("/")
        window = parse_count(window_text)
        if window is None:
            return
        counts = None if change.value is None else decode(change.value, dict[str, Count])
        by_reporter = self._counts.setdefault(window, {})
        if counts is None:
            by_reporter.pop(reporter, None)
        else:
            by_reporter[reporter] = counts
        if not by_reporter:
            del self._counts[window]

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of a window by tenant, over all nodes."""
        total: Counter[str] = Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))

    def keys_through(self, window: int) -> list[str]:
        """Return the keys of the counts of all windows up to and including one."""
        return [
            f"{COUNT_PREFIX}{number}/{reporter}"
            for number, by_reporter in self._counts.items()
            if number <= window
            for reporter in by_reporter
        ]


@dataclass(slots=True)
class UsageReports:
    """Reports that were fixed, folded from the shard's partition.

    Attributes:
        by_window: reports that are kept; the newest one always is.
    """

    by_window: dict[int, UsageReport] = field(default_factory=dict)

    def apply(self, change: Change) -> bool:
        """Apply one change and return whether it concerned a report."""
        if not change.key.startswith(REPORT_PREFIX):
            return False
        window = parse_count(change.key.removeprefix(REPORT_PREFIX))
        if window is None:
            raise msgspec.ValidationError("the key of a report has no window")
        if change.value is None:
            self.by_window.pop(window, None)
            return True
        report = decode(change.value, UsageReport)
        if report.window != window:
            raise msgspec.ValidationError("window: is not that of the key")
        self.by_window[window] = report
        return True

    @property
    def newest(self) -> int | None:
        """The newest window whose report is fixed."""
        return max(self.by_window, default=None)

    def unconfirmed(self) -> list[UsageReport]:
        """Return the reports that the platform is not known to have taken, oldest first."""
        return [report for _, report in sorted(self.by_window.items()) if not report.is_confirmed]

    def outdated(self) -> list[str]:
        """Return the keys of confirmed reports that no later decision needs."""
        newest = self.newest
        return [
            f"{REPORT_PREFIX}{window}"
            for window, report in self.by_window.items()
            if report.is_confirmed and window != newest
        ]


def record_of_report(report: UsageReport) -> KeyedRecord:
    """Return the record that fixes a report, or confirms it."""
    return KeyedRecord(f"{REPORT_PREFIX}{report.window}", encode(report))


def windows_to_fix(newest: int | None, first: int, now_s: float, times: UsageTimes) -> list[int]:
    """Return the windows whose reports are to be fixed now, oldest first.

    Args:
        newest: newest window whose report is fixed, None for none.
        first: window to begin with if there is none.
        now_s: time of day.
    """
    last = times.window_of(now_s - COUNT_WAIT_SHARE * times.late_s) - 1
    begin = first if newest is None else newest + 1
    return list(range(max(begin, last + 1 - MAX_WINDOWS_BEHIND), last + 1))


def are_counts_whole(
    window: int, now_s: float, tally_age_s: float, store_recovery_age_s: float, times: UsageTimes
) -> bool:
    """Return whether to fix a report from the counts that were read, rather than wait for more.

    Load pattern: the store was unavailable at the end of a window, and all nodes write their counts when it
    is back. A report that is late is worth no more than one that lacks counts.
    """
    if now_s >= times.last_fixed_at(window):
        return True
    return tally_age_s <= MAX_TALLY_AGE_S and store_recovery_age_s >= COUNTS_BACK_S


def order_to_send(reports: Iterable[UsageReport], now_s: float, times: UsageTimes) -> list[UsageReport]:
    """Return unconfirmed reports in the order in which to send them.

    Load pattern: the platform was unavailable for several windows. Reports that can still be in time go
    first, and those that are late anyway follow.
    """

    def rank(report: UsageReport) -> tuple[bool, int]:
        return times.ends_at(report.window) + times.late_s < now_s, report.window

    return sorted(reports, key=rank)
