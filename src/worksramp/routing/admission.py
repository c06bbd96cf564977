"""Decides whether a live request is refused at once because no worker can answer it in time.

Load pattern: callers compete for too little room. Every worker has as many requests as slots or more, so that
a further one waits; held until its deadline, it takes room from others and fails all the same. One tenant may
send many times what the others do. Callers that are refused at one moment would all return at one moment.

A refusal states that the request has not run. There is none while any worker has room, or where the load of a
worker is not known.
"""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from worksramp.mechanisms import mechanism
from worksramp.routing.worker_load import QUEUE_VALID_S, WorkerLoad

#: Share of its time that a request of a tenant with more than its share of a node's requests may wait.
OVER_SHARE_WAIT = 0.5
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is sent to a worker."""


@dataclass(frozen=True, slots=True)
class NoRoom:
    """The request is refused: no worker is expected to answer it in time.

    Attributes:
        expected_s: seconds after which the soonest worker would answer.
        retry_after_s: seconds after which the caller should come back.
    """

    expected_s: float
    retry_after_s: float


def _admit(
    loads: Sequence[WorkerLoad], time_left_s: float, is_over_share: bool, source: random.Random
) -> Admitted:
    return Admitted()


@mechanism("live_admission", without=_admit)
def decide_admission(
    loads: Sequence[WorkerLoad], time_left_s: float, is_over_share: bool, source: random.Random
) -> Admitted | NoRoom:
    """Refuse a live request at once if no worker can answer it in time.

    Args:
        loads: workers that may be used.
        time_left_s: seconds until the request's deadline or the time-out of its route.
        is_over_share: whether its tenant has more than its share of this node's requests.
        source: source of random numbers, by which the returns of callers are spread.
    """
    if not loads or any(_has_room(load) for load in loads):
        return Admitted()
    expected_s = min(load.expected_s for load in loads)
    allowed_s = time_left_s * (OVER_SHARE_WAIT if is_over_share else 1.0)
    if expected_s <= allowed_s:
        return Admitted()
    # Once the queues are shorter by the excess, the request could be answered in time.
    excess_s = expected_s - allowed_s
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s * source.uniform(1.0, 2.0)))
    return NoRoom(expected_s, retry_after_s)


def _has_room(load: WorkerLoad) -> bool:
    return load.report_age_s >= QUEUE_VALID_S or load.num_requests < load.num_slots


def is_over_share(num_in_flight: Counter[str], tenant: str) -> bool:
    """Return whether a tenant has more than its share of the requests of a node.

    Args:
        num_in_flight: requests being forwarded, by tenant.
    """
    num_total = num_in_flight.total()
    others = {name for name, num in num_in_flight.items() if num > 0} - {tenant}
    return bool(others) and num_in_flight[tenant] * (len(others) + 1) > num_total
