"""Service of a job's owner: keeps samples in flight and delivers batches by cursor.

See Also:
    worksramp.rollout.planner: which samples to start and which a batch contains.
    docs/design/delivery.md
"""

import itertools
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import msgspec
import structlog

from worksramp.backends.base import LogClient, ScorerClient
from worksramp.coordination.fold import Accepted
from worksramp.coordination.peers import encode_entry
from worksramp.coordination.replica import StreamReplica
from worksramp.coordination.shard import ShardService
from worksramp.outcomes import NotStartedError, StepError
from worksramp.rollout.bodies import SampleBodies
from worksramp.rollout.document import JobSpec, Preference
from worksramp.rollout.job import BatchCommitted, JobState, SampleFinished, Segment
from worksramp.rollout.planner import BatchPlan, NotEnoughSamples, is_batch_fresh, plan_batch, plan_sampling
from worksramp.rollout.prompts import read_prompts
from worksramp.rollout.throttle import SampleThrottle
from worksramp.transport.messages import (
    BatchNotReady,
    BatchRefused,
    BatchReply,
    FetchBatch,
    NodeReply,
    NodeRequest,
    NotOwner,
    RunSample,
    SampleReply,
)

MIN_PLAN_PERIOD_SECONDS = 0.1
PLAN_SECONDS_PER_SAMPLE = 2.0 / 8192
FAILED_SAMPLE_PAUSE_SECONDS = 0.3
COMMIT_PATIENCE_SECONDS = 5.0
RETRY_AFTER_SECONDS = 0.5
SEED_MODULUS = 2**31
SEEDS_PER_SAMPLE = 1000

RunSampleFunction = Callable[[RunSample], Awaitable[SampleReply]]
logger = structlog.get_logger()


class DeliveredSample(msgspec.Struct, frozen=True):
    """One sample as delivered to the trainer."""

    index: int
    attempt: int
    prompt: str
    tokens: tuple[str, ...]
    segments: tuple[Segment, ...]
    reward: float


class DeliveredBatch(msgspec.Struct, frozen=True):
    """A batch as delivered to the trainer.

    Attributes:
        trainer_version: weight version for which the staleness bound was checked; a trainer whose weights
            have changed since its request must request the same cursor again.
    """

    cursor: int
    attempt: int
    trainer_version: int
    samples: tuple[DeliveredSample, ...]


class JobService(ShardService):
    """Runs one job while this node owns it.

    Args:
        replica: replica of the job's log stream.
        spec: settings of the job.
        fleet: group of engines that serve the job's model.
        prompts: log stream of the job's prompt set.
        preference: metric that the sample plan optimises.
        live_reserved_share: share of each engine's slots that is reserved for live requests.
        run_sample: generates one completion on some node.
        log: client of the log service.
        scorers: client of the scoring services.
    """

    def __init__(
        self,
        replica: StreamReplica[JobState],
        spec: JobSpec,
        fleet: str,
        prompts: str,
        preference: Preference,
        live_reserved_share: float,
        run_sample: RunSampleFunction,
        log: LogClient,
        scorers: ScorerClient,
    ) -> None:
        self.spec = spec
        self._fleet = fleet
        self._prompt_stream = prompts
        self._live_reserved_share = live_reserved_share
        self.preference = preference
        self._replica = replica
        self._run_sample = run_sample
        self._log = log
        self._scorers = scorers
        self._prompts: tuple[str, ...] = ()
        self._in_flight: set[int] = set()
        self._bodies = SampleBodies(log, replica.stream)
        self._requested_version = 0
        self._num_failed = 0
        self._throttle = SampleThrottle(spec.max_in_flight)
        self._batch_lock = anyio.Lock()
        self._request_numbers = itertools.count(1)

    async def run(self) -> None:
        """Read the prompts, then keep samples in flight until cancelled."""
        self._prompts = await read_prompts(self._log, self._prompt_stream, self.spec.num_prompts)
        async with anyio.create_task_group() as group:
            while True:
                self._bodies.drop_acknowledged(self._replica.state)
                self._start_samples(group)
                await anyio.sleep(plan_period_seconds(self.spec))

    @property
    def trainer_version(self) -> int:
        """Newest weight version that the trainer named in a request to this or an earlier owner."""
        batch = self._replica.state.batch
        return max(self._requested_version, batch.trainer_version if batch else 0)

    async def handle(self, request: NodeRequest) -> NodeReply:
        """Handle a `FetchBatch` request; other requests get `NotOwner`.

        Requests are handled one at a time. The reply is the batch, `BatchNotReady` with a delay after which
        to retry, or `BatchRefused` if the cursor or the trainer's version is not valid.
        """
        if not isinstance(request, FetchBatch):
            return NotOwner()
        async with self._batch_lock:
            return await self._fetch_batch(request)

    def figures(self) -> dict[str, int]:
        """See `ShardService.figures`."""
        state = self._replica.state
        return {
            "num_finished": len(state.finished),
            "num_in_flight": len(self._in_flight),
            "num_taken": state.floor + len(state.taken_above),
            "cursor": state.batch.cursor if state.batch else 0,
            "num_failed_tries": self._num_failed,
            "num_cached_tokens": self._bodies.num_cached_tokens,
        }

    def _start_samples(self, group: anyio.abc.TaskGroup) -> None:
        if not self._replica.is_owner or not self._replica.is_log_reachable:
            return
        state = self._replica.state
        max_new = self._throttle.limit - len(self._in_flight)
        if max_new <= 0:
            return
        chosen = plan_sampling(
            state, self.spec, self.preference, self._in_flight, self.trainer_version, max_new
        )
        for index in chosen:
            self._in_flight.add(index)
            group.start_soon(self._make_sample, index)

    async def _make_sample(self, index: int) -> None:
        try:
            await self._try_sample(index)
            self._throttle.note_success()
        except StepError as error:
            if isinstance(error, NotStartedError):
                self._throttle.note_refusal(anyio.current_time())
            self._num_failed += 1
            logger.debug("sample_failed", index=index, step=error.step, peer=error.peer, reason=error.reason)
            await anyio.sleep(FAILED_SAMPLE_PAUSE_SECONDS)
        finally:
            self._in_flight.discard(index)

    async def _try_sample(self, index: int) -> None:
        spec = self.spec
        prompt = self._prompts[(index // spec.group_size) % len(self._prompts)]
        earlier = self._replica.state.finished.get(index)
        attempt = earlier.attempt + 1 if earlier is not None else 1
        request = RunSample(
            request_id=f"{self._replica.stream}/{index}/{attempt}/{next(self._request_numbers)}",
            fleet=self._fleet,
            model=spec.model,
            prompt=prompt,
            seed=sample_seed(index, attempt),
            max_tokens=spec.max_tokens,
            min_weight_version=self._min_weight_version(attempt),
            live_reserved_share=self._live_reserved_share,
        )
        reply = await self._run_sample(request)
        reward = await self._scorers.score(spec.scorer, prompt, "".join(reply.tokens))
        segments = tuple(Segment(part.weight_version, part.start, part.end) for part in reply.segments)
        sample = SampleFinished(index, attempt, prompt, reply.tokens, segments, reward)
        verdict = await self._replica.commit(encode_entry(sample), should_wait_for_log=True)
        if isinstance(verdict, Accepted):
            self._bodies.keep(sample)

    def _min_weight_version(self, attempt: int) -> int:
        """Return the oldest weight version that a sample may start on.

        A sample that became too old before is probably long and needs the complete staleness bound. It
        therefore starts on the trainer's version or a newer one, and waits until an engine has it.
        """
        max_lag = self.spec.max_staleness if attempt == 1 else 0
        return max(0, self.trainer_version - max_lag)

    async def _fetch_batch(self, request: FetchBatch) -> NodeReply:
        state = self._replica.state
        if request.trainer_version < self.trainer_version:
            # A delayed request from before the trainer moved on. A batch planned for it could replace one
            # that the trainer has accepted since.
            return BatchRefused("trainer_version", f"version {self.trainer_version} has asked before")
        self._requested_version = request.trainer_version
        last_cursor = state.batch.cursor if state.batch else 0
        if request.cursor not in (last_cursor, last_cursor + 1) or request.cursor < 1:
            return BatchRefused("cursor", f"batch {last_cursor} was the last; ask for it or the next")
        is_repeated = request.cursor == last_cursor
        trainer_version = request.trainer_version
        if is_repeated and is_batch_fresh(state, self.spec, trainer_version):
            return await self._send_batch(trainer_version)
        plan = plan_batch(state, self.spec, trainer_version, is_replan=is_repeated)
        if isinstance(plan, NotEnoughSamples):
            return BatchNotReady(plan.num_missing, RETRY_AFTER_SECONDS)
        return await self._commit_batch(request, plan, trainer_version, is_repeated)

    async def _commit_batch(
        self, request: FetchBatch, plan: BatchPlan, trainer_version: int, is_repeated: bool
    ) -> NodeReply:
        batch = self._replica.state.batch
        entry = BatchCommitted(
            cursor=request.cursor,
            attempt=batch.attempt + 1 if batch is not None and is_repeated else 1,
            trainer_version=trainer_version,
            max_staleness=self.spec.max_staleness,
            indices=plan.indices,
        )
        try:
            verdict = await self._replica.commit(encode_entry(entry), COMMIT_PATIENCE_SECONDS)
        except NotStartedError:
            return BatchNotReady(0, RETRY_AFTER_SECONDS)
        if not isinstance(verdict, Accepted):
            # Unresolved or void: a further request for the same cursor finds out which.
            return BatchNotReady(0, RETRY_AFTER_SECONDS)
        return await self._send_batch(trainer_version)

    async def _send_batch(self, trainer_version: int) -> NodeReply:
        """Return the committed batch if it is still fresh for the newest requested version."""
        state = self._replica.state
        batch = state.batch
        assert batch is not None
        try:
            samples = await self._bodies.fetch(state, batch.indices)
        except StepError:
            return BatchNotReady(0, RETRY_AFTER_SECONDS)
        if not self._replica.is_owner or not is_batch_fresh(state, self.spec, self.trainer_version):
            return BatchNotReady(0, RETRY_AFTER_SECONDS)
        delivered = DeliveredBatch(
            batch.cursor, batch.attempt, self.trainer_version, tuple(map(to_delivered, samples))
        )
        return BatchReply(msgspec.json.encode(delivered))


def to_delivered(sample: SampleFinished) -> DeliveredSample:
    """Return a finished sample in the form delivered to the trainer."""
    return DeliveredSample(
        sample.index, sample.attempt, sample.prompt, sample.tokens, sample.segments, sample.reward
    )


def sample_seed(index: int, attempt: int) -> int:
    """Return the sampling seed of one attempt at a sample."""
    return (index * SEEDS_PER_SAMPLE + attempt) % SEED_MODULUS


def plan_period_seconds(spec: JobSpec) -> float:
    """Return the seconds between two plans of the samples to start.

    Planning takes time in proportion to the number of finished samples, so jobs with large steps plan less
    often.
    """
    return max(MIN_PLAN_PERIOD_SECONDS, PLAN_SECONDS_PER_SAMPLE * spec.samples_per_step)
