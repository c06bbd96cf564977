"""Texts of samples are read from the cache or the log, and the cache is bounded."""

import anyio
import msgspec
import pytest

from worksramp.coordination.fold import Claim, Envelope, StreamFold, Write
from worksramp.outcomes import StepError
from worksramp.rollout.bodies import READ_MAX_RECORDS, SampleBodies
from worksramp.rollout.job import JobState, SampleFinished, Segment
from worksramp_emulator.platform import LogCore

NUM_SAMPLES = READ_MAX_RECORDS + 50


def sample(index: int, attempt: int = 1) -> SampleFinished:
    return SampleFinished(index, attempt, "prompt", (f"w{index}",), (Segment(1, 0, 1),), 0.5)


async def write_samples(samples: list[SampleFinished]) -> tuple[LogCore, StreamFold[JobState]]:
    log, fold = LogCore(), StreamFold(JobState())
    envelopes = [Envelope(1, "o", Claim())]
    envelopes += [
        Envelope(1, "o", Write(number + 1, (msgspec.msgpack.encode(entry),)))
        for number, entry in enumerate(samples)
    ]
    for offset, envelope in enumerate(envelopes):
        record = msgspec.msgpack.encode(envelope)
        await log.append("job", record)
        fold.apply(offset, record)
    return log, fold


def test_a_new_owner_reads_every_text_from_the_log() -> None:
    async def main() -> None:
        log, fold = await write_samples([sample(index) for index in range(NUM_SAMPLES)])
        bodies = SampleBodies(log, "job")
        indices = list(reversed(range(NUM_SAMPLES)))
        assert await bodies.fetch(fold.state, indices) == [sample(index) for index in indices]

    anyio.run(main)


def test_a_cached_earlier_attempt_is_not_returned_for_a_later_one() -> None:
    async def main() -> None:
        log, fold = await write_samples([sample(0), sample(0, attempt=2)])
        bodies = SampleBodies(log, "job")
        bodies.keep(sample(0))
        assert await bodies.fetch(fold.state, [0]) == [sample(0, attempt=2)]

    anyio.run(main)


def test_the_cache_is_bounded_and_evicted_texts_are_read_from_the_log() -> None:
    async def main() -> None:
        log, fold = await write_samples([sample(index) for index in range(20)])
        bodies = SampleBodies(log, "job", max_cached_tokens=5)
        for index in range(20):
            bodies.keep(sample(index))
        assert bodies.num_cached_tokens == 5
        assert await bodies.fetch(fold.state, range(20)) == [sample(index) for index in range(20)]

    anyio.run(main)


def test_a_sample_missing_from_the_log_is_an_error() -> None:
    async def main() -> None:
        _, fold = await write_samples([sample(0)])
        with pytest.raises(StepError):
            await SampleBodies(LogCore(), "job").fetch(fold.state, [0])

    anyio.run(main)


def test_a_void_record_of_a_former_owner_is_not_returned_for_the_accepted_one() -> None:
    async def main() -> None:
        log, fold = await write_samples([sample(1)])
        stale = SampleFinished(0, 1, "prompt", ("stale",), (Segment(0, 0, 1),), 0.1)
        for envelope in (
            Envelope(0, "former", Write(1, (msgspec.msgpack.encode(stale),))),
            Envelope(1, "o", Write(2, (msgspec.msgpack.encode(sample(0)),))),
        ):
            record = msgspec.msgpack.encode(envelope)
            fold.apply(await log.append("job", record), record)
        assert await SampleBodies(log, "job").fetch(fold.state, [0, 1]) == [sample(0), sample(1)]

    anyio.run(main)
