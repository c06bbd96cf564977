"""Usage by tenant and window: counting, fixing of reports, and the order in which they are sent.

Guards against two reports of one window that differ, counts that are lost or doubled when a node writes them
again, and late windows that keep reports from being in time.
"""

from hypothesis import given
from hypothesis import strategies as st

from worksramp.coordination.keyed_replica import Change
from worksramp.duties.usage import (
    UsageCounter,
    UsageReport,
    UsageReports,
    UsageTally,
    UsageTimes,
    are_counts_whole,
    order_to_send,
    record_of_report,
    windows_to_fix,
)

TIMES = UsageTimes(window_s=5.0, late_s=10.0)


def store(tally: UsageTally, counter: UsageCounter) -> None:
    _, records = counter.take_changes(0.0)
    for record in records:
        tally.apply(Change(record.key, record.value, 0))


def test_counts_of_all_nodes_add_up_and_a_repeated_write_changes_nothing() -> None:
    tally = UsageTally()
    first, second = UsageCounter(TIMES, "n1.a"), UsageCounter(TIMES, "n2.b")
    for at_s in (10.0, 14.9, 15.0):
        first.record("a", at_s)
    store(tally, first)
    first.record("b", 12.0)
    second.record("a", 11.0)
    store(tally, first)
    store(tally, second)
    first.put_back([2, 3])
    store(tally, first)
    assert (tally.total(2), tally.total(3)) == ({"a": 3, "b": 1}, {"a": 1})
    assert sorted(tally.keys_through(2)) == ["c/2/n1.a", "c/2/n2.b"]
    tally.apply(Change("c/2/n2.b", None, 0))
    assert tally.total(2) == {"a": 2, "b": 1}


def test_counts_that_were_not_stored_are_written_again_with_later_ones() -> None:
    counter = UsageCounter(TIMES, "n.a")
    counter.record("a", 1.0)
    windows, _ = counter.take_changes(1.0)
    assert not counter.has_changes
    counter.put_back(windows)
    counter.record("a", 2.0)
    tally = UsageTally()
    store(tally, counter)
    assert tally.total(0) == {"a": 2}


def test_a_window_is_fixed_once_its_counts_have_had_time_to_arrive() -> None:
    assert windows_to_fix(None, 2, 15.0, TIMES) == []
    assert windows_to_fix(None, 2, TIMES.fixed_at(2), TIMES) == [2]
    assert windows_to_fix(2, 0, TIMES.fixed_at(2), TIMES) == []
    assert windows_to_fix(2, 0, TIMES.fixed_at(4), TIMES) == [3, 4]
    assert TIMES.fixed_at(2) < TIMES.ends_at(2) + TIMES.late_s


def test_a_successor_sends_what_was_fixed_and_begins_after_it() -> None:
    reports = UsageReports()
    for report in (UsageReport(7, {"a": 1}, True), UsageReport(8, {"a": 2})):
        record = record_of_report(report)
        assert reports.apply(Change(record.key, record.value, 0))
    assert reports.newest == 8 and reports.unconfirmed() == [UsageReport(8, {"a": 2})]
    assert reports.outdated() == ["u/7"]
    assert windows_to_fix(reports.newest, 0, TIMES.fixed_at(9), TIMES) == [9]
    assert not reports.apply(Change("b/1", b"", 0))


def test_reports_that_can_be_in_time_go_before_those_that_cannot() -> None:
    now_s = TIMES.ends_at(5) + TIMES.late_s + 0.1
    reports = [UsageReport(window, {}) for window in (4, 5, 6, 7)]
    assert [report.window for report in order_to_send(reports, now_s, TIMES)] == [6, 7, 4, 5]


@given(st.lists(st.floats(0, 300), min_size=1, max_size=40))
def test_each_window_is_fixed_exactly_once_however_the_decisions_are_spaced(steps: list[float]) -> None:
    now_s, newest, fixed = 0.0, None, []
    for step in steps:
        now_s += step
        for window in windows_to_fix(newest, 0, now_s, TIMES):
            fixed.append(window)
            newest = window
    assert fixed == list(range(len(fixed)))


def test_a_report_waits_for_counts_that_an_outage_delayed_but_not_until_it_is_late() -> None:
    fixed_s, last_s, inf = TIMES.fixed_at(2), TIMES.last_fixed_at(2), float("inf")
    assert are_counts_whole(2, fixed_s, 0.2, inf, TIMES)
    assert not are_counts_whole(2, fixed_s, 0.2, 0.5, TIMES)
    assert not are_counts_whole(2, fixed_s, 4.0, inf, TIMES)
    assert are_counts_whole(2, last_s, 4.0, 0.5, TIMES)
    assert last_s < TIMES.ends_at(2) + TIMES.late_s
