"""Estimates how soon a worker answers one more live request.

Load pattern: many nodes share a few workers, so that a node's own requests show little of a worker's load.
The workers' speed changes for fractions of a second because other programs use their machines too. The queue
that a worker reported says something for about a second, its momentary speed only for a fraction of one.
"""

from dataclasses import dataclass

from worksramp.mechanisms import mechanism

#: Age from which a reported number of requests is ignored.
QUEUE_VALID_S = 1.0
#: Age from which a reported momentary speed is ignored.
SLOWDOWN_VALID_S = 0.3
#: Assumed latency of a worker that has not answered yet; low, so that the worker is used soon.
UNKNOWN_LATENCY_S = 0.01


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a worker reports along with an answer.

    Attributes:
        slowdown: how many times longer work takes at the worker now than usually; it changes many times per
            second. None if not stated.
    """

    num_running: int
    num_waiting: int
    num_slots: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """View of a worker's load at one moment.

    Attributes:
        num_requests: requests running or waiting at the worker, as far as known.
        usual_latency_s: response time at the worker's usual speed.
        slowdown: how many times longer than usual work takes now, 1 if not known.
        report_age_s: age of the load report, infinite if there is none.
    """

    num_requests: int
    num_slots: int
    usual_latency_s: float
    slowdown: float
    report_age_s: float

    @property
    def requests_per_slot(self) -> float:
        """Number of requests at the worker per slot."""
        return self.num_requests / self.num_slots

    @property
    def expected_s(self) -> float:
        """Seconds until the worker is expected to answer one more request."""
        return (1.0 + self.requests_per_slot) * self.usual_latency_s * self.slowdown


def worker_load(
    reported: ReportedLoad | None,
    report_age_s: float,
    num_in_flight: int,
    num_slots: int,
    usual_latency_s: float | None,
) -> WorkerLoad:
    """Combine a load report with this node's own view of a worker.

    Args:
        reported: last load report, None if there is none.
        num_in_flight: requests of this node at the worker; the report may be older than some of them.
        usual_latency_s: response time at the worker's usual speed, None if not measured.
    """
    num_reported = 0
    if reported is not None and report_age_s < QUEUE_VALID_S:
        num_reported = reported.num_running + reported.num_waiting
    return WorkerLoad(
        num_requests=max(num_in_flight, num_reported),
        num_slots=max(1, num_slots),
        usual_latency_s=usual_latency_s or UNKNOWN_LATENCY_S,
        slowdown=_momentary_slowdown(reported, report_age_s),
        report_age_s=report_age_s,
    )


def usual_latency_s(seconds: float, reported: ReportedLoad | None) -> float:
    """Return the response time that a request would have had at the worker's usual speed.

    Args:
        seconds: response time of the request.
        reported: load that the worker reported with that response, None if it reported none.
    """
    return seconds / _momentary_slowdown(reported, 0.0)


@mechanism("momentary_speed", without=lambda reported, report_age_s: 1.0)
def _momentary_slowdown(reported: ReportedLoad | None, report_age_s: float) -> float:
    """Take the momentary speed that a worker reports into account, apart from its usual speed."""
    if reported is None or reported.slowdown is None or report_age_s >= SLOWDOWN_VALID_S:
        return 1.0
    return reported.slowdown
