"""Live traffic of one gateway: admission, deadlines, retries, completions and application calls."""

from collections.abc import AsyncGenerator, Callable, Iterator
from contextlib import aclosing, contextmanager

import anyio

from worksramp.backends.base import (
    ApplicationReply,
    ApplicationRequest,
    GenerateRequest,
    GenerationChunk,
    MachineRole,
    Platform,
)
from worksramp.outcomes import InterruptedStepError, NotStartedError, StepError
from worksramp.routing.choice import RouteRequest
from worksramp.routing.generation import GenerationPolicy, generate_resumable
from worksramp.routing.limits import (
    DEFAULT_RETRY_AFTER_SECONDS,
    ConcurrencyLimit,
    Rejected,
    RetryBudget,
    final_failure,
)
from worksramp.routing.pool import WorkerPool

PoolLookup = Callable[[MachineRole, str], WorkerPool | None]
MAX_APPLICATION_ATTEMPTS = 3


class LiveTraffic:
    """Runs live requests on engines and application workers, within the limits of their tenants.

    Args:
        platform: clients of the external systems, among them the engines and application workers.
        pool: returns the worker pool of a fleet or application, None if there is none.
        max_concurrency: returns the ceiling of a tenant's adaptive concurrency limit, from the configuration
            in force.

    Attributes:
        num_in_flight: number of requests that have not ended.
        is_draining: whether new requests are refused.
    """

    def __init__(self, platform: Platform, pool: PoolLookup, max_concurrency: Callable[[str], int]) -> None:
        self.num_in_flight = 0
        self.is_draining = False
        self._platform = platform
        self._pool = pool
        self._max_concurrency = max_concurrency
        self._limits: dict[str, ConcurrencyLimit] = {}
        self._budgets: dict[str, RetryBudget] = {}

    async def complete(
        self, tenant: str, fleet: str, request: GenerateRequest, deadline_seconds: float
    ) -> AsyncGenerator[GenerationChunk, None]:
        """Yield the chunks of a completion, moving to another engine when one fails.

        Raises:
            NotStartedError: the request was not admitted, or no engine started it; has a retry delay.
            InterruptedStepError: an engine may have started the request and no retry is left, or the deadline
                passed.
        """
        deadline = anyio.current_time() + deadline_seconds
        with self._admitted(tenant, deadline_seconds):
            pool = self._require_pool(MachineRole.ENGINE, fleet)
            stream = generate_resumable(
                pool, self._platform.engines, request, GenerationPolicy(), self._budget(fleet)
            )
            async with aclosing(stream) as chunks:
                while True:
                    chunk = await _next_before(deadline, chunks, fleet)
                    if chunk is None:
                        return
                    yield chunk

    async def call_application(
        self, application: str, request: ApplicationRequest, is_safe: bool
    ) -> ApplicationReply:
        """Run a request on an application worker.

        Args:
            is_safe: whether the request may run more than once. If not, it is retried on another worker only
                if the previous worker certainly did not start it.

        Raises:
            NotStartedError: no worker ran the request.
            InterruptedStepError: a worker may have run the request.
        """
        pool = self._require_pool(MachineRole.APPLICATION, application)
        budget = self._budget(application)
        budget.note_request()
        excluded: frozenset[str] = frozenset()
        failure: StepError = NotStartedError(
            "route.application", application, "no worker may be used now", DEFAULT_RETRY_AFTER_SECONDS
        )
        may_have_started = False
        for num_attempts in range(MAX_APPLICATION_ATTEMPTS):
            if num_attempts > 0 and not budget.try_spend():
                break
            worker = pool.choose(RouteRequest(zone=pool.zone, excluded=excluded))
            if worker is None:
                break
            try:
                with pool.using(worker):
                    return await self._platform.applications.call(worker.machine.address, request)
            except StepError as error:
                failure = error
                may_have_started = may_have_started or not isinstance(error, NotStartedError)
                excluded |= {worker.machine.machine_id}
                if not is_safe and not isinstance(error, NotStartedError):
                    break
        raise final_failure(failure, may_have_started)

    async def call_without_key(
        self,
        tenant: str,
        application: str,
        request: ApplicationRequest,
        is_safe: bool,
        deadline_seconds: float,
    ) -> ApplicationReply:
        """Run a request that has no idempotency key, within its deadline.

        Raises:
            NotStartedError: the request was not admitted, or no worker ran it.
            InterruptedStepError: a worker may have run the request, or the deadline passed.
        """
        with self._admitted(tenant, deadline_seconds):
            try:
                with anyio.fail_after(deadline_seconds):
                    return await self.call_application(application, request, is_safe)
            except TimeoutError as error:
                raise InterruptedStepError("route.application", application, "the deadline passed") from error

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight, so that a drain waits for it.

        Raises:
            NotStartedError: this node is draining and accepts no new requests.
        """
        if self.is_draining:
            raise NotStartedError(
                "gateway.admit", "this node", "the node is draining", DEFAULT_RETRY_AFTER_SECONDS
            )
        self.num_in_flight += 1
        try:
            yield
        finally:
            self.num_in_flight -= 1

    @contextmanager
    def _admitted(self, tenant: str, deadline_seconds: float) -> Iterator[None]:
        with self.track_request():
            limit = self._limit(tenant)
            decision = limit.admit(deadline_seconds)
            if isinstance(decision, Rejected):
                raise NotStartedError("gateway.admit", tenant, decision.reason, decision.retry_after_seconds)
            started_at = anyio.current_time()
            is_success = False
            try:
                yield
                is_success = True
            except GeneratorExit:
                # The caller disconnected, which is no sign that the workers are overloaded.
                is_success = True
                raise
            finally:
                limit.finish(anyio.current_time() - started_at, is_success)

    def _require_pool(self, role: MachineRole, name: str) -> WorkerPool:
        pool = self._pool(role, name)
        if pool is None:
            reason = f"no {role.value} of {name!r} is listed"
            raise NotStartedError("route.pool", name, reason, DEFAULT_RETRY_AFTER_SECONDS)
        return pool

    def _limit(self, tenant: str) -> ConcurrencyLimit:
        ceiling = self._max_concurrency(tenant)
        limit = self._limits.get(tenant)
        if limit is None:
            limit = ConcurrencyLimit(ceiling)
            self._limits[tenant] = limit
        limit.max_concurrency = ceiling
        return limit

    def _budget(self, group: str) -> RetryBudget:
        return self._budgets.setdefault(group, RetryBudget())


async def _next_before(
    deadline: float, chunks: AsyncGenerator[GenerationChunk, None], fleet: str
) -> GenerationChunk | None:
    """Return the next chunk, or None at the end of the stream.

    This is a separate function because a cancel scope must not span a ``yield`` of the calling generator.

    Raises:
        InterruptedStepError: the deadline passed.
        StepError: the stream failed.
    """
    try:
        with anyio.fail_after(max(0.0, deadline - anyio.current_time())):
            return await anext(chunks, None)
    except TimeoutError as error:
        raise InterruptedStepError("route.generate", fleet, "the deadline passed") from error
