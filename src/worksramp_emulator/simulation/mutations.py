"""Switches off each mechanism to show that its checker detects it.

A checker that cannot fail proves nothing. Each mutation is a mistake that a developer could make.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from unittest import mock

import anyio
import msgspec

from worksramp.backends.base import GenerationChunk
from worksramp.coordination import replication
from worksramp.coordination.configuration_service import ConfigurationService
from worksramp.coordination.ledger_service import LedgerService, Running
from worksramp.node.node import Node
from worksramp.outcomes import ExecutionOutcome, NotRun, OutcomeUnknown
from worksramp.rollout.job import Batch, FinishedSample, JobState, SampleFinished
from worksramp.rollout.job_service import DeliveredBatch, JobService, to_delivered
from worksramp.rollout.planner import BatchPlan
from worksramp.rollout.sampler import SegmentRecorder
from worksramp.routing import generation
from worksramp.routing.generation import StreamAssembler
from worksramp.routing.leases import Worker
from worksramp.transport.messages import BatchReply, ExecuteOnce, FetchBatch, NodeReply


@contextmanager
def _one_version_a_stream() -> Iterator[None]:
    """Label all tokens of a stream with the weight version of its first tokens."""
    add_chunk = SegmentRecorder.add_chunk

    def add_mutated(self: SegmentRecorder, chunk: GenerationChunk) -> None:
        segments = self.sample().segments
        version = segments[0].weight_version if segments else chunk.weight_version
        add_chunk(self, msgspec.structs.replace(chunk, weight_version=version))

    with mock.patch.object(SegmentRecorder, "add_chunk", add_mutated):
        yield


@contextmanager
def _age_by_newest_segment() -> Iterator[None]:
    """Compute the age of a sample from its newest weight version instead of its oldest."""
    apply_sample = JobState._apply_sample

    def apply_mutated(self: JobState, offset: int, sample: SampleFinished) -> str | None:
        reason = apply_sample(self, offset, sample)
        if reason is None:
            held = self.finished[sample.index]
            self.finished[sample.index] = FinishedSample(
                held.attempt, held.offset, held.newest_version, held.newest_version, held.num_tokens
            )
        return reason

    with mock.patch.object(JobState, "_apply_sample", apply_mutated):
        yield


@contextmanager
def _send_before_read_back() -> Iterator[None]:
    """Deliver a batch as soon as it is planned, before its commit has been read back from the log."""
    commit = JobService._commit_batch

    async def send_at_once(
        self: JobService, request: FetchBatch, plan: BatchPlan, trainer_version: int, is_again: bool
    ) -> NodeReply:
        async with anyio.create_task_group() as group:
            group.start_soon(commit, self, request, plan, trainer_version, is_again)
            batch = Batch(request.cursor, 1, trainer_version, plan.indices)
            bodies = await self._bodies.fetch(self._replica.state, batch.indices)
            samples = tuple(map(to_delivered, bodies))
            delivered = DeliveredBatch(batch.cursor, batch.attempt, trainer_version, samples)
            group.cancel_scope.cancel()
        return BatchReply(msgspec.json.encode(delivered))

    with mock.patch.object(JobService, "_commit_batch", send_at_once):
        yield


@contextmanager
def _no_stream_checks() -> Iterator[None]:
    """Append all chunks in the order in which they arrive, without checking them."""

    def add_chunk(self: StreamAssembler, chunk: GenerationChunk, peer: str) -> GenerationChunk:
        self.tokens.extend(chunk.tokens)
        return chunk

    with mock.patch.object(StreamAssembler, "add_chunk", add_chunk):
        yield


@contextmanager
def _last_error_decides() -> Iterator[None]:
    """Report "not run" if the last attempt was refused, regardless of the outcome of earlier attempts."""
    with mock.patch.object(generation, "final_failure", lambda last, may_have_started: last):
        yield


@contextmanager
def _lost_reply_is_not_run() -> Iterator[None]:
    """Report "not run" for a keyed request whose back end did not reply."""
    execute = LedgerService.execute

    async def execute_mutated(self: LedgerService, request: ExecuteOnce) -> ExecutionOutcome:
        outcome = await execute(self, request)
        if isinstance(outcome, OutcomeUnknown):
            return NotRun(outcome.step, outcome.peer, outcome.reason, 1.0)
        return outcome

    with mock.patch.object(LedgerService, "execute", execute_mutated):
        yield


@contextmanager
def _dispatch_before_read_back() -> Iterator[None]:
    """Dispatch a keyed request regardless of the verdict about its intent."""
    commit = LedgerService._commit_intent

    async def commit_mutated(
        self: LedgerService, request: ExecuteOnce, running: Running
    ) -> ExecutionOutcome | None:
        refusal = await commit(self, request, running)
        return refusal if running.outcome is not None else None

    with mock.patch.object(LedgerService, "_commit_intent", commit_mutated):
        yield


@contextmanager
def _endless_leases() -> Iterator[None]:
    """Use workers regardless of the age of their last report."""
    with mock.patch.object(Worker, "expires_at", float("inf")):
        yield


@contextmanager
def _stop_without_waiting() -> Iterator[None]:
    """End a graceful stop while requests are in flight."""
    with mock.patch.object(Node, "num_in_flight", 0):
        yield


@contextmanager
def _apply_without_copies() -> Iterator[None]:
    """Apply a configuration record as soon as one node has a copy."""

    async def push_nothing(self: ConfigurationService) -> None:
        return

    with (
        mock.patch.object(replication, "NUM_COPIES", 1),
        mock.patch.object(ConfigurationService, "_push_to_some", push_nothing),
    ):
        yield


MUTATIONS: dict[str, Callable[[], AbstractContextManager[None]]] = {
    "one_version_a_stream": _one_version_a_stream,
    "age_by_newest_segment": _age_by_newest_segment,
    "send_before_read_back": _send_before_read_back,
    "no_stream_checks": _no_stream_checks,
    "last_error_decides": _last_error_decides,
    "lost_reply_is_not_run": _lost_reply_is_not_run,
    "dispatch_before_read_back": _dispatch_before_read_back,
    "endless_leases": _endless_leases,
    "stop_without_waiting": _stop_without_waiting,
    "apply_without_copies": _apply_without_copies,
}
