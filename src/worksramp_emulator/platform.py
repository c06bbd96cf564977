"""Emulated platform services: log, weight store, machine list, scorer, application workers."""

import math
from collections import Counter
from dataclasses import dataclass, field

import anyio
import msgspec
import xxhash

from worksramp.backends.base import (
    ApplicationReply,
    ApplicationRequest,
    LogClient,
    LogPage,
    Machine,
    MachineListClient,
    ScorerClient,
    WeightStoreClient,
    WorkerReport,
)
from worksramp.outcomes import NotStartedError
from worksramp_emulator.faults import Faults

REWARD_MODULUS = 1000
REFUSAL_RETRY_SECONDS = 1.0


class LogCore(LogClient):
    """Emulated log: append-only streams in memory."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.faults = Faults()
        self._appended = anyio.Event()

    async def append(self, stream: str, record: bytes) -> int:
        """See `LogClient.append`."""
        await self.faults.before("log.append", "log")
        records = self.streams.setdefault(stream, [])
        records.append(record)
        self._appended.set()
        self._appended = anyio.Event()
        self.faults.after("log.append", "log")
        return len(records) - 1

    async def read(self, stream: str, start: int, max_records: int, wait_seconds: float) -> LogPage:
        """See `LogClient.read`."""
        await self.faults.before("log.read", "log")
        deadline = anyio.current_time() + wait_seconds
        while len(self.streams.get(stream, [])) <= start and anyio.current_time() < deadline:
            with anyio.move_on_at(deadline):
                await self._appended.wait()
            # The log may have become unavailable during the wait.
            await self.faults.before("log.read", "log")
        records = self.streams.get(stream, [])
        return LogPage(start, tuple(records[start : start + max_records]), len(records))


class WeightStoreCore(WeightStoreClient):
    """Emulated weight store: the newest version of each model, with a rate limit on reads.

    Args:
        max_reads_per_second: rate limit; reads above it are delayed.

    Attributes:
        newest: newest version of each model.
        published_at: time at which a version was published, by model and version.
    """

    def __init__(self, max_reads_per_second: float = 50.0) -> None:
        self.newest: dict[str, int] = {}
        self.published_at: dict[tuple[str, int], float] = {}
        self.num_reads = 0
        self.faults = Faults()
        self._interval_seconds = 1.0 / max_reads_per_second
        self._next_read_at = -math.inf

    async def newest_version(self, model: str) -> int:
        """See `WeightStoreClient.newest_version`."""
        await self.faults.before("weights.newest", "weight-store")
        self.num_reads += 1
        now = anyio.current_time()
        start = max(now, self._next_read_at)
        self._next_read_at = start + self._interval_seconds
        if start > now:
            await anyio.sleep(start - now)
        self.faults.after("weights.newest", "weight-store")
        return self.newest.get(model, 0)

    def publish(self, model: str, weight_version: int) -> None:
        """Publish a weight version, as a trainer does; versions that are not newer are ignored."""
        if weight_version > self.newest.get(model, 0):
            self.newest[model] = weight_version
            self.published_at[(model, weight_version)] = anyio.current_time()


class MachineListCore(MachineListClient):
    """Emulated machine list, whose changes become visible after a lag.

    Args:
        lag_seconds: time until a change is visible.
    """

    def __init__(self, lag_seconds: float = 2.0) -> None:
        self.lag_seconds = lag_seconds
        self.faults = Faults()
        self._history: list[tuple[float, tuple[Machine, ...]]] = []

    def set_machines(self, machines: tuple[Machine, ...]) -> None:
        """Set the list, which becomes visible after the lag; the first list is visible at once."""
        at = anyio.current_time() if self._history else -math.inf
        self._history.append((at, machines))

    def truth(self) -> tuple[Machine, ...]:
        """Return the list that was set last, even if it is not visible yet."""
        return self._history[-1][1] if self._history else ()

    async def machines(self) -> tuple[Machine, ...]:
        """See `MachineListClient.machines`."""
        await self.faults.before("machines.list", "machine-list")
        visible_until = anyio.current_time() - self.lag_seconds
        visible = [machines for at, machines in self._history if at <= visible_until]
        self.faults.after("machines.list", "machine-list")
        return visible[-1] if visible else ()


class ScorerCore(ScorerClient):
    """Emulated scorer, whose score is a digest of prompt and completion, so that checkers can recompute it.

    Args:
        seconds: service time of a scoring call.
    """

    def __init__(self, seconds: float = 0.005) -> None:
        self.faults = Faults()
        self._seconds = seconds

    async def score(self, address: str, prompt: str, completion: str) -> float:
        """See `ScorerClient.score`."""
        await self.faults.before("scorer.score", address)
        await anyio.sleep(self._seconds)
        self.faults.after("scorer.score", address)
        return expected_reward(prompt, completion)


def expected_reward(prompt: str, completion: str) -> float:
    """Return the score that `ScorerCore` gives to a completion, from 0 to below 1."""
    digest = xxhash.xxh64_intdigest(f"{prompt}|{completion}".encode())
    return (digest % REWARD_MODULUS) / REWARD_MODULUS


@dataclass(slots=True)
class ApplicationCore:
    """Emulated application worker.

    Attributes:
        runs: number of runs of each request, by request id.
        arrived_at: arrival times of requests, for checkers.
    """

    worker_id: str
    service_seconds: float = 0.02
    max_concurrency: int = 32
    report_lag_seconds: float = 0.5
    is_leaving: bool = False
    faults: Faults = field(default_factory=Faults)
    runs: Counter[str] = field(default_factory=Counter)
    arrived_at: list[float] = field(default_factory=list)
    num_running: int = 0
    _report: WorkerReport | None = None
    _reported_at: float = -math.inf

    async def call(self, request: ApplicationRequest) -> ApplicationReply:
        """Run a request and return its body as JSON ``{"echo": ...}``.

        Raises:
            NotStartedError: the worker is down or draining.
            InterruptedStepError: the request ran, but the reply is lost.
        """
        await self.faults.before("application.call", self.worker_id)
        self.arrived_at.append(anyio.current_time())
        if self.is_leaving:
            raise NotStartedError(
                "application.call", self.worker_id, "draining", REFUSAL_RETRY_SECONDS, is_leaving=True
            )
        self.runs[request.request_id] += 1
        self.num_running += 1
        try:
            await anyio.sleep(self.service_seconds)
        finally:
            self.num_running -= 1
        self.faults.after("application.call", self.worker_id)
        return ApplicationReply(200, b'{"echo":' + (request.body or b"null") + b"}")

    async def report(self) -> WorkerReport:
        """Return the load report, which can be up to ``report_lag_seconds`` old.

        Raises:
            NotStartedError: the worker is down.
            InterruptedStepError: the reply is lost.
        """
        await self.faults.before("application.report", self.worker_id)
        now = anyio.current_time()
        if self._report is None or now - self._reported_at >= self.report_lag_seconds:
            self._report = WorkerReport(
                worker_id=self.worker_id,
                is_leaving=self.is_leaving,
                num_running=self.num_running,
                max_num_seqs=self.max_concurrency,
            )
            self._reported_at = now
        self.faults.after("application.report", self.worker_id)
        return msgspec.structs.replace(self._report, age_seconds=now - self._reported_at)
