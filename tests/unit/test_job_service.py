"""A delayed request of a trainer changes nothing; a batch that became too old is planned again."""

from collections.abc import Awaitable, Callable

import anyio

from worksramp.coordination.replica import StreamReplica
from worksramp.rollout.document import JobSpec, Preference
from worksramp.rollout.job import JobState
from worksramp.rollout.job_service import JobService
from worksramp.rollout.prompts import write_prompts
from worksramp.transport.messages import (
    BatchRefused,
    BatchReply,
    FetchBatch,
    NodeReply,
    RunSample,
    SampleReply,
    SegmentReply,
)
from worksramp_emulator.platform import LogCore, ScorerCore

SPEC = JobSpec("m", "prompts", 1, "scorer", max_staleness=1, group_size=1, samples_per_step=2)


async def with_service(check: Callable[[JobService, list[int]], Awaitable[None]]) -> None:
    """Run a check against an owner whose engines report the weight version in the list."""
    log = LogCore()
    await write_prompts(log, "prompts", ("prompt",))
    version = [1]

    async def run_sample(request: RunSample) -> SampleReply:
        return SampleReply(("w",), (SegmentReply(version[0], 0, 1),))

    replica = StreamReplica(log, "job", JobState(), "me")
    service = JobService(
        replica, SPEC, "fleet", "prompts", Preference.IDLE_TIME, 0.5, run_sample, log, ScorerCore()
    )
    async with anyio.create_task_group() as group:
        group.start_soon(replica.run)
        assert await replica.claim()
        group.start_soon(service.run)
        await check(service, version)
        group.cancel_scope.cancel()


async def fetch(service: JobService, cursor: int, version: int) -> NodeReply:
    while True:
        reply = await service.handle(FetchBatch("job", cursor, version))
        if isinstance(reply, BatchReply | BatchRefused):
            return reply
        await anyio.sleep(0.02)


def test_a_delayed_request_with_an_older_version_replaces_no_batch() -> None:
    async def check(service: JobService, version: list[int]) -> None:
        first = await fetch(service, 1, 1)
        assert isinstance(first, BatchReply)
        version[0] = 4
        # The trainer has accepted batch 1 and requests batch 2 with version 4. A delayed earlier request
        # then asks for batch 1 again with version 1.
        second = await fetch(service, 2, 4)
        assert isinstance(second, BatchReply)
        assert isinstance(await fetch(service, 2, 3), BatchRefused)
        assert isinstance(await fetch(service, 1, 1), BatchRefused)
        assert await fetch(service, 2, 4) == second

    anyio.run(with_service, check)


def test_a_batch_too_old_for_a_newer_trainer_is_planned_again_under_the_same_cursor() -> None:
    async def check(service: JobService, version: list[int]) -> None:
        first = await fetch(service, 1, 1)
        version[0] = 9
        again = await fetch(service, 1, 9)
        assert isinstance(first, BatchReply)
        assert isinstance(again, BatchReply)
        assert b'"attempt":2' in again.body

    anyio.run(with_service, check)
