"""Generates the completion of one sample on this node, on behalf of a job owner on any node."""

from contextlib import aclosing

from worksramp.backends.base import EngineClient, GenerateRequest, GenerationChunk
from worksramp.outcomes import StepError
from worksramp.routing.generation import GenerationPolicy, generate_resumable
from worksramp.routing.limits import RetryBudget
from worksramp.routing.pool import WorkerPool
from worksramp.transport.messages import CallFailed, RunSample, SampleReply, SegmentReply

ROLLOUT_PRIORITY = 10


class SegmentRecorder:
    """Collects the chunks of a stream and merges neighbours of the same weight version into segments.

    The version is the one reported in each chunk, since an engine may swap weights within a stream.
    """

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self._segments: list[SegmentReply] = []

    def add_chunk(self, chunk: GenerationChunk) -> None:
        """Append a chunk; chunks must be passed in order and without gaps."""
        if not chunk.tokens:
            return
        start = len(self.tokens)
        self.tokens.extend(chunk.tokens)
        end = len(self.tokens)
        last = self._segments[-1] if self._segments else None
        if last is not None and last.weight_version == chunk.weight_version:
            self._segments[-1] = SegmentReply(last.weight_version, last.start, end)
        else:
            self._segments.append(SegmentReply(chunk.weight_version, start, end))

    def sample(self) -> SampleReply:
        """Return the recorded tokens and segments."""
        return SampleReply(tuple(self.tokens), tuple(self._segments))


async def run_sample(
    request: RunSample, pool: WorkerPool, engines: EngineClient, budget: RetryBudget
) -> SampleReply | CallFailed:
    """Generate one completion, resuming on another engine if an engine fails.

    Args:
        pool: engines of the fleet.
        budget: limits the retries.

    Returns:
        The completion, or `CallFailed` if generation failed. ``is_not_started`` is set if no token was
        received.
    """
    policy = GenerationPolicy(
        prefers_newest=True,
        reserved_share=request.live_reserved_share,
        min_weight_version=request.min_weight_version,
    )
    generate = GenerateRequest(
        request_id=request.request_id,
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        seed=request.seed,
        priority=ROLLOUT_PRIORITY,
    )
    recorder = SegmentRecorder()
    try:
        async with aclosing(generate_resumable(pool, engines, generate, policy, budget)) as chunks:
            async for chunk in chunks:
                recorder.add_chunk(chunk)
    except StepError as error:
        return CallFailed(error.step, error.peer, error.reason, is_not_started=not recorder.tokens)
    return recorder.sample()
