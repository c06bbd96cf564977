"""Limits on admitted requests and on retries.

A request that cannot be served within its deadline is rejected at once with a retry-after time; it is never
queued.

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
    """The request is admitted."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is rejected.

    Attributes:
        retry_after_seconds: how long the caller should wait before a retry.
    """

    reason: str
    retry_after_seconds: float


class RetryBudget:
    """Limits retries to a share of traffic: each request earns a tenth of a retry, and a few can be saved."""

    def __init__(self) -> None:
        self._tokens = RETRY_BUDGET_BURST

    def note_request(self) -> None:
        """Count the first attempt of a request."""
        self._tokens = min(RETRY_BUDGET_BURST, self._tokens + RETRY_BUDGET_SHARE)

    def try_spend(self) -> bool:
        """Return whether the budget allows another retry, and count the retry if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ConcurrencyLimit:
    """Adaptive limit on one tenant's concurrent live requests.

    The limit follows additive increase, multiplicative decrease: it grows by one for as many successes as the
    limit allows requests, and shrinks by a fifth when a back end refuses a request or fails.

    Args:
        max_concurrency: upper bound of the limit, from the tenant's configuration.
    """

    def __init__(self, max_concurrency: int) -> None:
        self.max_concurrency = max_concurrency
        self.num_in_flight = 0
        self._limit = float(max_concurrency)
        self._mean_seconds = 0.0

    @property
    def limit(self) -> int:
        """Number of requests that may be in flight now."""
        return max(MIN_CONCURRENCY, int(self._limit))

    def admit(self, deadline_seconds: float) -> Admitted | Rejected:
        """Admit or reject a request, and count it if admitted; `finish` must be called when it ends.

        Args:
            deadline_seconds: time left until the request's deadline.
        """
        if self.num_in_flight >= self.limit:
            wait = self._mean_seconds / max(1, self.limit)
            return Rejected("too many requests of this tenant are in flight", clamp_retry_after(wait))
        if self._mean_seconds > deadline_seconds:
            retry_after = clamp_retry_after(self._mean_seconds)
            # A rejection gives no new measurement; without decay, requests would be rejected forever.
            self._mean_seconds *= 1.0 - SMOOTHING
            return Rejected("the deadline cannot be met", retry_after)
        self.num_in_flight += 1
        return Admitted()

    def finish(self, seconds: float, is_success: bool) -> None:
        """Record the end of an admitted request, which took ``seconds``."""
        self.num_in_flight -= 1
        if not is_success:
            self._limit = max(float(MIN_CONCURRENCY), self._limit * LIMIT_DECREASE_FACTOR)
            # The duration of a failure does not measure the service time, but the mean must not stay high
            # forever.
            self._mean_seconds *= 1.0 - SMOOTHING
            return
        self._limit = min(float(self.max_concurrency), self._limit + 1.0 / self.limit)
        self._mean_seconds += SMOOTHING * (seconds - self._mean_seconds)


def final_failure(last: StepError, may_have_started: bool) -> StepError:
    """Return the error that a request ends with after its last attempt.

    Args:
        last: error of the last attempt.
        may_have_started: whether any attempt may have begun; then the request must not be reported as not
            run, even if the last back end refused it.
    """
    if not isinstance(last, NotStartedError):
        return last
    if may_have_started:
        return InterruptedStepError(last.step, last.peer, f"an earlier try may have begun; {last.reason}")
    seconds = last.retry_after_seconds or DEFAULT_RETRY_AFTER_SECONDS
    return NotStartedError(last.step, last.peer, last.reason, seconds, last.is_leaving)


def clamp_retry_after(seconds: float) -> float:
    """Return a retry-after time in seconds, limited to the allowed range."""
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
