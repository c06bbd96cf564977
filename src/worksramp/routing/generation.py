"""Resumable generation: one whole stream out of engines that may break, leave or swap weights."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass

import msgspec

from worksramp.backends.base import EngineClient, GenerateRequest, GenerationChunk
from worksramp.outcomes import InterruptedStepError, NotStartedError, StepError
from worksramp.routing.choice import PREFIX_CHARACTERS, RouteRequest
from worksramp.routing.limits import DEFAULT_RETRY_AFTER_SECONDS, RetryBudget, final_failure
from worksramp.routing.pool import WorkerPool

STEP = "route.generate"


@dataclass(frozen=True, slots=True)
class GenerationPolicy:
    """How one class of traffic is routed."""

    reserved_share: float = 0.0
    min_weight_version: int = 0
    prefers_newest: bool = False
    max_tries: int = 4


class StreamAssembler:
    """Checks that chunks of one request join to one whole completion.

    A repeated chunk is trimmed, a gap or a foreign chunk is an error: the stream is then resumed from
    the last token that is certain.
    """

    def __init__(self, request_id: str) -> None:
        self.tokens: list[str] = []
        self._request_id = request_id

    def take(self, chunk: GenerationChunk, peer: str) -> GenerationChunk | None:
        """Return the new part of a chunk, None if there is nothing new in it.

        Raises:
            InterruptedStepError: the chunk belongs to another request, or tokens are missing before it.
        """
        if chunk.request_id != self._request_id:
            raise InterruptedStepError(STEP, peer, f"chunk of another request {chunk.request_id}")
        num_known = len(self.tokens)
        if chunk.start > num_known:
            raise InterruptedStepError(STEP, peer, f"tokens {num_known} to {chunk.start} are missing")
        fresh = chunk.tokens[num_known - chunk.start :]
        if not fresh and not chunk.is_final:
            return None
        self.tokens.extend(fresh)
        return msgspec.structs.replace(chunk, start=num_known, tokens=fresh)


async def generate_resumable(
    pool: WorkerPool,
    engines: EngineClient,
    request: GenerateRequest,
    policy: GenerationPolicy,
    budget: RetryBudget,
) -> AsyncGenerator[GenerationChunk, None]:
    """Stream a whole completion, moving to another engine when one breaks.

    Raises:
        NotStartedError: no engine began; nothing was yielded.
        InterruptedStepError: tries or the retry budget ran out in mid-stream.
    """
    assembler = StreamAssembler(request.request_id)
    excluded: frozenset[str] = frozenset()
    failure: StepError = NotStartedError(
        STEP, pool.zone, "no worker may be used now", DEFAULT_RETRY_AFTER_SECONDS
    )
    has_begun = False
    budget.note_request()
    for num_tries in range(policy.max_tries):
        if num_tries > 0 and not budget.try_spend():
            break
        route = RouteRequest(
            prefix=request.prompt[:PREFIX_CHARACTERS],
            zone=pool.zone,
            excluded=excluded,
            min_weight_version=policy.min_weight_version,
            reserved_share=policy.reserved_share,
            prefers_newest=policy.prefers_newest,
        )
        worker = pool.choose(route)
        if worker is None:
            break
        address = worker.machine.address
        attempt = msgspec.structs.replace(request, prefix_tokens=tuple(assembler.tokens))
        try:
            with pool.using(worker, is_rollout=policy.reserved_share > 0.0):
                async with aclosing(engines.generate(address, attempt)) as chunks:
                    async for chunk in chunks:
                        fresh = assembler.take(chunk, address)
                        if fresh is not None:
                            yield fresh
                        if chunk.is_final:
                            return
                raise InterruptedStepError(STEP, address, "the stream ended early")
        except StepError as error:
            failure = error
            has_begun = has_begun or not isinstance(error, NotStartedError)
            excluded |= {worker.machine.machine_id}
    raise final_failure(failure, has_begun)
