"""Emulated model engine: continuous batching, priorities, resume, cancel, delayed reports, weight loads.

The users do not state step times. The engine assumes that a decode step takes a base time plus a short time
for each running sequence, so that throughput grows with the batch while each stream slows down.
"""

import heapq
import itertools
import math
from collections import OrderedDict
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

import anyio
import anyio.abc
import msgspec
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from worksramp.backends.base import GenerateRequest, GenerationChunk, LoadOrder, WorkerReport
from worksramp.outcomes import InterruptedStepError, NotStartedError
from worksramp_emulator.faults import Faults
from worksramp_emulator.text import completion_length, token_at

PREFIX_CHARACTERS = 64
REFUSAL_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed and size of an engine.

    Attributes:
        max_num_seqs: maximum number of sequences that are decoded together.
        step_base_seconds: time of a decode step, without the part for each sequence.
        step_per_sequence_seconds: additional time of a decode step for each running sequence.
        steps_per_round: decode steps between two scheduling decisions, and maximum tokens per chunk.
        prefill_seconds: time for a prompt whose prefix is not cached.
        max_cached_prefixes: number of prompt prefixes in the cache, which evicts the least recently used.
        load_seconds: time to load weights once they are downloaded.
        report_lag_seconds: age at which a load report is renewed.
        max_queued: number of waiting requests, beside the running ones, from which new requests are refused.
    """

    max_num_seqs: int = 16
    step_base_seconds: float = 0.010
    step_per_sequence_seconds: float = 0.0005
    steps_per_round: int = 8
    prefill_seconds: float = 0.02
    max_cached_prefixes: int = 64
    load_seconds: float = 1.0
    report_lag_seconds: float = 0.5
    max_queued: int = 64


@dataclass(frozen=True, slots=True)
class TokenRun:
    """Record of the weight version that generated tokens ``start`` (inclusive) to ``end`` (exclusive).

    Checkers compare it with the versions that clients were given.
    """

    request_id: str
    prompt: str
    seed: int
    max_tokens: int
    start: int
    end: int
    weight_version: int


@dataclass(slots=True)
class _Sequence:
    """A completion in progress.

    Attributes:
        length: number of tokens of the complete text.
        position: number of tokens generated, here or before the request was resumed.
    """

    request: GenerateRequest
    length: int
    position: int
    sender: MemoryObjectSendStream[GenerationChunk]
    is_prefilled: bool = False
    is_cancelled: bool = False


@dataclass(slots=True)
class EngineStatistics:
    """Counters for experiments, and arrival times of requests for checkers."""

    num_accepted: int = 0
    num_prefix_hits: int = 0
    num_tokens: int = 0
    busy_seconds: float = 0.0
    arrived_at: list[float] = field(default_factory=list)


class EngineCore:
    """One engine, without a network protocol.

    Attributes:
        fail_next_load: whether the next load ends without the new weights.
        are_reports_lost: whether calls for the load report fail.
        highest_epoch: highest epoch of an owner whose load order was accepted.
    """

    def __init__(self, engine_id: str, profile: EngineProfile, weight_version: int = 1) -> None:
        self.engine_id = engine_id
        self.profile = profile
        self.weight_version = weight_version
        self.is_leaving = False
        self.is_loading = False
        self.fail_next_load = False
        self.are_reports_lost = False
        self.highest_epoch = 0
        self.faults = Faults()
        self.token_runs: list[TokenRun] = []
        self.statistics = EngineStatistics()
        self._waiting: list[tuple[int, int, _Sequence]] = []
        self._running: list[_Sequence] = []
        self._arrivals = itertools.count()
        self._sequence_added = anyio.Event()
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._report: WorkerReport | None = None
        self._reported_at = -math.inf
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Decode until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                if self.is_loading or self.faults.is_frozen or self.faults.is_down:
                    await anyio.sleep(self.profile.step_base_seconds)
                    continue
                self._admit()
                if not self._running:
                    await self._sequence_added.wait()
                    continue
                await self._run_round()

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[GenerationChunk, None]:
        """Stream a completion; closing the stream cancels it.

        A request with ``prefix_tokens`` resumes after them.

        Raises:
            NotStartedError: the engine is down or draining, or its queue is full.
            InterruptedStepError: the engine crashed during the completion.
        """
        await self.faults.before("engine.generate", self.engine_id)
        self.statistics.arrived_at.append(anyio.current_time())
        self._check_admission()
        sequence, receiver = self._enqueue(request)
        try:
            async with receiver:
                async for chunk in receiver:
                    while self.faults.is_frozen:
                        await anyio.sleep(self.profile.step_base_seconds)
                    yield chunk
            if sequence.position < sequence.length:
                raise InterruptedStepError("engine.generate", self.engine_id, "engine crashed")
        finally:
            sequence.is_cancelled = True

    async def report(self) -> WorkerReport:
        """Return the load report, which can be up to ``report_lag_seconds`` old.

        Raises:
            NotStartedError: the engine is down.
            InterruptedStepError: the report is lost.
        """
        await self.faults.before("engine.report", self.engine_id)
        if self.are_reports_lost:
            raise InterruptedStepError("engine.report", self.engine_id, "report lost")
        now = anyio.current_time()
        if self._report is None or now - self._reported_at >= self.profile.report_lag_seconds:
            self._report = self._make_report()
            self._reported_at = now
        self.faults.after("engine.report", self.engine_id)
        return msgspec.structs.replace(self._report, age_seconds=now - self._reported_at)

    async def order_load(self, order: LoadOrder) -> WorkerReport:
        """Start to load a weight version that is newer than the current one, and return a report.

        Raises:
            NotStartedError: the engine is down, or the order is from an owner that has been replaced.
            InterruptedStepError: the order was applied, but the reply is lost.
        """
        await self.faults.before("engine.order_load", self.engine_id)
        if order.epoch < self.highest_epoch:
            raise NotStartedError(
                "engine.order_load", self.engine_id, f"epoch {order.epoch} is outdated", 0.0
            )
        self.highest_epoch = order.epoch
        if not self.is_loading and order.weight_version > self.weight_version and self._group is not None:
            self.is_loading = True
            self._group.start_soon(self._load, order.weight_version)
        self.faults.after("engine.order_load", self.engine_id)
        return self._make_report()

    def leave(self) -> None:
        """Start to drain: refuse new requests, and complete those in the queue and in the batch."""
        self.is_leaving = True

    def crash(self) -> None:
        """Abort all requests, clear the prefix cache and refuse connections until `restart`."""
        self.faults.is_down = True
        for sequence in [*self._running, *(item[2] for item in self._waiting)]:
            sequence.sender.close()
        self._running.clear()
        self._waiting.clear()
        self._prefixes.clear()

    def restart(self, weight_version: int) -> None:
        """Accept connections again, with the given weights and an empty prefix cache."""
        self.weight_version = weight_version
        self.is_loading = False
        self._report = None
        self.faults.is_down = False

    def _check_admission(self) -> None:
        if self.is_leaving:
            raise NotStartedError(
                "engine.generate", self.engine_id, "draining", REFUSAL_RETRY_SECONDS, is_leaving=True
            )
        if len(self._waiting) >= self.profile.max_queued:
            raise NotStartedError("engine.generate", self.engine_id, "queue is full", REFUSAL_RETRY_SECONDS)

    def _enqueue(
        self, request: GenerateRequest
    ) -> tuple[_Sequence, MemoryObjectReceiveStream[GenerationChunk]]:
        sender, receiver = anyio.create_memory_object_stream[GenerationChunk](math.inf)
        length = completion_length(request.prompt, request.seed, request.max_tokens)
        sequence = _Sequence(request, length, len(request.prefix_tokens), sender)
        heapq.heappush(self._waiting, (request.priority, next(self._arrivals), sequence))
        self.statistics.num_accepted += 1
        self._sequence_added.set()
        self._sequence_added = anyio.Event()
        return sequence, receiver

    def _admit(self) -> None:
        """Move waiting sequences to the batch, lowest ``priority`` first, then in order of arrival."""
        while self._waiting and len(self._running) < self.profile.max_num_seqs:
            sequence = heapq.heappop(self._waiting)[2]
            if not sequence.is_cancelled:
                self._running.append(sequence)

    async def _run_round(self) -> None:
        version = self.weight_version
        step = self.profile.step_base_seconds + self.profile.step_per_sequence_seconds * len(self._running)
        seconds = step * self.profile.steps_per_round + self._prefill_seconds()
        await anyio.sleep(seconds)
        self.statistics.busy_seconds += seconds
        for sequence in self._running:
            if not sequence.is_cancelled:
                self._emit(sequence, version)
        self._running = [
            sequence
            for sequence in self._running
            if not sequence.is_cancelled and sequence.position < sequence.length
        ]

    def _prefill_seconds(self) -> float:
        total = 0.0
        for sequence in self._running:
            if sequence.is_prefilled:
                continue
            sequence.is_prefilled = True
            total += self._prefill(sequence.request.prompt[:PREFIX_CHARACTERS])
        return total

    def _prefill(self, prefix: str) -> float:
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            self.statistics.num_prefix_hits += 1
            return 0.0
        self._prefixes[prefix] = None
        if len(self._prefixes) > self.profile.max_cached_prefixes:
            self._prefixes.popitem(last=False)
        return self.profile.prefill_seconds

    def _emit(self, sequence: _Sequence, version: int) -> None:
        request = sequence.request
        start = sequence.position
        end = min(sequence.length, start + self.profile.steps_per_round)
        tokens = tuple(token_at(request.prompt, request.seed, index) for index in range(start, end))
        sequence.position = end
        self.statistics.num_tokens += len(tokens)
        self.token_runs.append(
            TokenRun(
                request.request_id, request.prompt, request.seed, request.max_tokens, start, end, version
            )
        )
        is_final = end == sequence.length
        chunk = GenerationChunk(request.request_id, start, tokens, version, is_final)
        try:
            sequence.sender.send_nowait(chunk)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            sequence.is_cancelled = True
        if is_final:
            sequence.sender.close()

    async def _load(self, weight_version: int) -> None:
        await anyio.sleep(self.profile.load_seconds)
        if self.fail_next_load:
            self.fail_next_load = False
        else:
            self.weight_version = max(self.weight_version, weight_version)
        self.is_loading = False

    def _make_report(self) -> WorkerReport:
        return WorkerReport(
            worker_id=self.engine_id,
            is_leaving=self.is_leaving,
            weight_version=self.weight_version,
            num_running=len(self._running),
            num_queued=len(self._waiting),
            max_num_seqs=self.profile.max_num_seqs,
            is_loading=self.is_loading,
            highest_epoch=self.highest_epoch,
        )
