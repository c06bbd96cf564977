"""Emulated trainer: pulls batches by cursor, trains for a while, publishes new weights."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import msgspec

from worksramp.rollout.job_service import DeliveredBatch

RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class FetchResult:
    """Answer to a request for a batch: the batch, or when to come back."""

    batch: DeliveredBatch | None
    retry_after_seconds: float = RETRY_SECONDS


@dataclass(slots=True)
class TrainerRecord:
    """What one trainer took in.

    Attributes:
        batches: as taken, in order.
        versions: the trainer's own version when it took each batch.
        idle_seconds: time spent waiting for batches.
        train_seconds: time spent training.
    """

    batches: list[DeliveredBatch] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    idle_seconds: float = 0.0
    train_seconds: float = 0.0

    @property
    def idle_share(self) -> float:
        """Share of time spent waiting."""
        total = self.idle_seconds + self.train_seconds
        return self.idle_seconds / total if total else 0.0

    def staleness(self) -> list[int]:
        """Return how many versions each sample's oldest token was behind its trainer."""
        return [
            version - min(segment.weight_version for segment in sample.segments)
            for batch, version in zip(self.batches, self.versions, strict=True)
            for sample in batch.samples
        ]


Fetch = Callable[[int, int], Awaitable[FetchResult]]
PublishWeights = Callable[[int], Awaitable[None]]


async def run_trainer(
    fetch: Fetch,
    publish: PublishWeights,
    record: TrainerRecord,
    num_steps: int,
    train_seconds: float,
    weight_version: int = 1,
) -> None:
    """Take ``num_steps`` batches in, one after the other.

    Args:
        fetch: asks for ``(cursor, trainer_version)``.
        publish: publishes a weight version.
    """
    for cursor in range(1, num_steps + 1):
        asked_at = anyio.current_time()
        batch = await _fetch_until_ready(fetch, cursor, weight_version)
        record.idle_seconds += anyio.current_time() - asked_at
        record.batches.append(batch)
        record.versions.append(weight_version)
        await anyio.sleep(train_seconds)
        record.train_seconds += train_seconds
        weight_version += 1
        await publish(weight_version)


async def _fetch_until_ready(fetch: Fetch, cursor: int, weight_version: int) -> DeliveredBatch:
    while True:
        result = await fetch(cursor, weight_version)
        batch = result.batch
        # A batch checked against other weights than the trainer holds now is not taken in.
        if batch is not None and (batch.cursor, batch.trainer_version) == (cursor, weight_version):
            return batch
        await anyio.sleep(result.retry_after_seconds)


def decode_batch(body: bytes) -> DeliveredBatch:
    """Decode a batch as the trainers' API sends it."""
    return msgspec.json.decode(body, type=DeliveredBatch)
