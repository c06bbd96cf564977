"""Limits on what is taken in and on what is tried again.

A request that cannot be served within its deadline gets its final answer at once, with a time to come
back; it is never held.

See Also:
    docs/design/routing.md, "Admission and retries"
"""

from dataclasses import dataclass

from worksramp.outcomes import InterruptedStepError, NotStartedError, StepError

DEFAULT_RETRY_AFTER_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0
RETRY_BUDGET_SHARE = 0.1
RETRY_BUDGET_BURST = 3.0
LIMIT_DECREASE_FACTOR = 0.8
MIN_CONCURRENCY = 2
SMOOTHING = 0.1


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may go on."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request gets its final answer now."""

    reason: str
    retry_after_seconds: float


class RetryBudget:
    """Retries as a share of traffic: each request earns a tenth of a retry, and a few may be saved up."""

    def __init__(self) -> None:
        self._tokens = RETRY_BUDGET_BURST

    def note_request(self) -> None:
        """Count a first try."""
        self._tokens = min(RETRY_BUDGET_BURST, self._tokens + RETRY_BUDGET_SHARE)

    def try_spend(self) -> bool:
        """Return whether another retry is within the budget, and count it if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ConcurrencyLimit:
    """Adaptive limit on one tenant's concurrent live requests.

    The limit grows by one per limit's worth of successes and shrinks by a fifth when a back end refuses
    or breaks: additive increase, multiplicative decrease.

    Args:
        max_concurrency: ceiling of the limit, from the tenant's configuration.
    """

    def __init__(self, max_concurrency: int) -> None:
        self.max_concurrency = max_concurrency
        self.num_in_flight = 0
        self._limit = float(max_concurrency)
        self._mean_seconds = 0.0

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return max(MIN_CONCURRENCY, int(self._limit))

    def admit(self, deadline_seconds: float) -> Admitted | Rejected:
        """Decide about one request and count it if admitted; `finish` must follow."""
        if self.num_in_flight >= self.limit:
            wait = self._mean_seconds / max(1, self.limit)
            return Rejected("too many requests of this tenant are in flight", clamp_retry_after(wait))
        if self._mean_seconds > deadline_seconds:
            retry_after = clamp_retry_after(self._mean_seconds)
            # Rejections bring no new measurement; without decay the limit would reject for ever.
            self._mean_seconds *= 1.0 - SMOOTHING
            return Rejected("the deadline cannot be met", retry_after)
        self.num_in_flight += 1
        return Admitted()

    def finish(self, seconds: float, is_success: bool) -> None:
        """Count an admitted request as over."""
        self.num_in_flight -= 1
        if not is_success:
            self._limit = max(float(MIN_CONCURRENCY), self._limit * LIMIT_DECREASE_FACTOR)
            # A failure's duration says nothing of service time, but the mean must not stay high forever.
            self._mean_seconds *= 1.0 - SMOOTHING
            return
        self._limit = min(float(self.max_concurrency), self._limit + 1.0 / self.limit)
        self._mean_seconds += SMOOTHING * (seconds - self._mean_seconds)


def final_failure(last: StepError, has_begun: bool) -> StepError:
    """Return the error that a request ends with after its last try.

    Args:
        last: how the last try ended.
        has_begun: whether any try may have begun; then the request must not be called "not run", even
            if the last back end refused it.
    """
    if not isinstance(last, NotStartedError):
        return last
    if has_begun:
        return InterruptedStepError(last.step, last.peer, f"an earlier try may have begun; {last.reason}")
    seconds = last.retry_after_seconds or DEFAULT_RETRY_AFTER_SECONDS
    return NotStartedError(last.step, last.peer, last.reason, seconds, last.is_leaving)


def clamp_retry_after(seconds: float) -> float:
    """Return a time to come back within sensible bounds, in seconds."""
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
