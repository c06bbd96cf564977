"""Prometheus metrics of one edge node: counters by outcome, histograms of times, and gauges of its state.

Label values come from fixed sets (kinds of routes, names of calls, classes of outcomes), so their number is
bounded for any input from callers.
"""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

REQUEST_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
CALL_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0)
ITEM_BUCKETS = (0.25, 0.5, 1.0, 2.0, 4.0, 6.0, 8.0, 12.0, 20.0, 40.0)


class NodeMetrics:
    """All metrics of one node, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._gauges: dict[str, Gauge] = {}
        self.requests = self._counter("requests", "Live requests", "kind", "outcome")
        self.request_seconds = self._histogram(
            "request_seconds", "From reading a live request to its answer", REQUEST_BUCKETS, "kind"
        )
        self.requests_denied = self._counter("requests_denied", "Requests without a valid API key", "reason")
        self.entries_refused = self._counter("entries_refused", "Entries that name no worker", "fault")
        self.records_unreadable = self._counter(
            "records_unreadable", "Records that could not be read and were skipped", "topic"
        )
        self.crash_events = self._counter(
            "crash_events", "Broken connections to workers and what was decided on them", "event"
        )
        self.duty_calls = self._counter("duty_calls", "Calls for duties to the platform", "duty", "outcome")
        self.item_runs = self._counter("item_runs", "Runs of items at workers", "outcome")
        self.item_moves = self._counter("item_moves", "Items moved to another worker", "reason")
        self.refusals_for_load = self._counter("refusals_for_load", "Live requests refused for want of room")
        self.answers_dropped = self._counter(
            "answers_dropped", "Answers of workers that were dropped because they exceeded a limit", "limit"
        )
        self.scoring_calls = self._counter("scoring_calls", "Scoring calls at workers", "outcome")
        self.item_seconds = self._histogram(
            "item_seconds", "Age of a batch at the listing of an item", ITEM_BUCKETS
        )
        self.log_calls = self._counter("log_calls", "Calls to the shared log", "call", "outcome")
        self.log_call_seconds = self._histogram(
            "log_call_seconds", "Time of appends and of reads that do not wait", CALL_BUCKETS, "call"
        )

    def gauge(self, name: str, text: str, read: Callable[[], float], **labels: str) -> None:
        """Add a gauge whose value is read at each scrape.

        Args:
            name: name without the prefix ``worksramp_``; used again with other labels for the same gauge.
            text: help text.
            read: returns the current value.
            labels: names and values of the labels.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"worksramp_{name}", text, tuple(labels), registry=self.registry)
            self._gauges[name] = gauge
        (gauge.labels(**labels) if labels else gauge).set_function(read)

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"worksramp_{name}", text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...], *labels: str) -> Histogram:
        return Histogram(f"worksramp_{name}", text, labels, buckets=buckets, registry=self.registry)
