"""Resumable generation: one complete stream from engines that may fail, drain or load new weights."""

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
    """Routing parameters of one class of traffic.

    Attributes:
        reserved_share: share of each worker's slots that this traffic must not use; 0 for live traffic.
        min_weight_version: workers that report an older weight version are not used.
        prefers_newest: whether newer weights take precedence over less load.
        max_attempts: maximum number of attempts per request.
    """

    reserved_share: float = 0.0
    min_weight_version: int = 0
    prefers_newest: bool = False
    max_attempts: int = 4


class StreamAssembler:
    """Joins the chunks of one request to one complete stream.

    Repeated tokens are removed. A gap or a chunk of another request is an error; the stream is then resumed
    after the last token that was accepted.
    """

    def __init__(self, request_id: str) -> None:
        self.tokens: list[str] = []
        self._request_id = request_id

    def add_chunk(self, chunk: GenerationChunk, peer: str) -> GenerationChunk | None:
        """Add a chunk and return its new part, or None if it contains nothing new.

        Raises:
            InterruptedStepError: the chunk belongs to another request, or tokens are missing before it.
        """
        if chunk.request_id != self._request_id:
            raise InterruptedStepError(STEP, peer, f"chunk of another request {chunk.request_id}")
        num_known = len(self.tokens)
        if chunk.start > num_known:
            raise InterruptedStepError(STEP, peer, f"tokens {num_known} to {chunk.start} are missing")
        new_tokens = chunk.tokens[num_known - chunk.start :]
        if not new_tokens and not chunk.is_final:
            return None
        self.tokens.extend(new_tokens)
        return msgspec.structs.replace(chunk, start=num_known, tokens=new_tokens)


async def generate_resumable(
    pool: WorkerPool,
    engines: EngineClient,
    request: GenerateRequest,
    policy: GenerationPolicy,
    budget: RetryBudget,
) -> AsyncGenerator[GenerationChunk, None]:
    """Stream a completion, and resume it at another engine when one fails.

    Raises:
        NotStartedError: no engine began; nothing was yielded.
        InterruptedStepError: an engine may have begun, and no attempt, retry budget or worker is left.
    """
    assembler = StreamAssembler(request.request_id)
    excluded: frozenset[str] = frozenset()
    failure: StepError = NotStartedError(
        STEP, pool.zone, "no worker may be used now", DEFAULT_RETRY_AFTER_SECONDS
    )
    may_have_started = False
    budget.note_request()
    for num_attempts in range(policy.max_attempts):
        if num_attempts > 0 and not budget.try_spend():
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
                        new_chunk = assembler.add_chunk(chunk, address)
                        if new_chunk is not None:
                            yield new_chunk
                        if chunk.is_final:
                            return
                raise InterruptedStepError(STEP, address, "the stream ended early")
        except StepError as error:
            failure = error
            may_have_started = may_have_started or not isinstance(error, NotStartedError)
            excluded |= {worker.machine.machine_id}
    raise final_failure(failure, may_have_started)
