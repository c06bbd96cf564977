"""Emulated trainer: fetches batches by cursor, trains for a while, and publishes new weights."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import msgspec

from worksramp.rollout.job_service import DeliveredBatch

RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class FetchResult:
    """Result of a request for a batch: the batch, or None and the time after which to retry."""

    batch: DeliveredBatch | None
    retry_after_seconds: float = RETRY_SECONDS


@dataclass(slots=True)
class TrainerRecord:
    """Batches that a trainer received, and its waiting and training times.

    Attributes:
        batches: received batches, in order.
        versions: weight version of the trainer when it received each batch.
        idle_seconds: time spent waiting for batches.
        train_seconds: time spent training.
    """

    batches: list[DeliveredBatch] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    idle_seconds: float = 0.0
    train_seconds: float = 0.0

    @property
    def idle_share(self) -> float:
        """Share of the time spent waiting, or 0.0 before the first batch."""
        total = self.idle_seconds + self.train_seconds
        return self.idle_seconds / total if total else 0.0

    def staleness(self) -> list[int]:
        """Return by how many versions the oldest token of each sample was behind the trainer."""
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
    """Fetch ``num_steps`` batches one after the other, and train on each.

    Args:
        fetch: requests the batch for ``(cursor, trainer_version)``.
        publish: publishes a weight version.
        record: gets the received batches and the times.
        train_seconds: time of a training step.
        weight_version: version of the trainer at its start.
    """
    for cursor in range(1, num_steps + 1):
        requested_at = anyio.current_time()
        batch = await _fetch_until_ready(fetch, cursor, weight_version)
        record.idle_seconds += anyio.current_time() - requested_at
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
        # Ignore a batch whose staleness was checked against another trainer version than the present one.
        if batch is not None and (batch.cursor, batch.trainer_version) == (cursor, weight_version):
            return batch
        await anyio.sleep(result.retry_after_seconds)


def decode_batch(body: bytes) -> DeliveredBatch:
    """Decode a batch from the body of a response of the trainers' API."""
    return msgspec.json.decode(body, type=DeliveredBatch)
