"""Owner of one ledger shard: runs keyed requests at most once.

See Also:
    worksramp.coordination.ledger: the state and its rules.
    docs/design/ledger.md
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import structlog
import xxhash

from worksramp.backends.base import ApplicationReply
from worksramp.coordination.fold import Accepted, Verdict
from worksramp.coordination.ledger import (
    Doubt,
    Forget,
    Intent,
    LedgerRow,
    LedgerState,
    Phase,
    Refusal,
    Result,
)
from worksramp.coordination.peers import encode_entry
from worksramp.coordination.replica import StreamReplica, Unresolved
from worksramp.coordination.shard import ShardService
from worksramp.outcomes import (
    Completed,
    ExecutionOutcome,
    InterruptedStepError,
    KeyReused,
    NotRun,
    NotStartedError,
    OutcomeUnknown,
    StepError,
)
from worksramp.transport.messages import ExecuteOnce, NodeReply, NodeRequest, NotOwner, to_execute_reply

RETRY_AFTER_SECONDS = 2.0
RECORD_RETRY_S = 0.1
COMMIT_SHARE_OF_DEADLINE = 0.5
LEDGER_RETENTION_MS = 24 * 3600 * 1000
EXPIRY_PERIOD_SECONDS = 600.0
DRAIN_POLL_SECONDS = 0.05

Dispatch = Callable[[ExecuteOnce], Awaitable[ApplicationReply]]
WallClockMs = Callable[[], int]
Closing = Refusal | Doubt | Result

logger = structlog.get_logger()


@dataclass(slots=True)
class Running:
    """A request in progress, from its intent until its outcome is recorded."""

    digest: str
    finished: anyio.Event = field(default_factory=anyio.Event)
    outcome: ExecutionOutcome | None = None

    def finish(self, outcome: ExecutionOutcome) -> None:
        """Set the outcome and return it to every waiting caller."""
        self.outcome = outcome
        self.finished.set()


def digest_request(request: ExecuteOnce) -> str:
    """Return a digest that distinguishes different requests under the same key."""
    content = b"\x00".join(
        (request.application.encode(), request.method.encode(), request.path.encode(), request.body)
    )
    return xxhash.xxh3_128_hexdigest(content)


class LedgerService(ShardService):
    """Service that runs the keyed requests of one ledger shard.

    Args:
        replica: the shard's stream, owned by this node.
        dispatch: sends a request to a back end once, without retries.
        background: outlives this service, so that a handover does not abort a request in progress.
        wall_clock_ms: returns Unix time in milliseconds; used only to expire old rows.
    """

    def __init__(
        self,
        replica: StreamReplica[LedgerState],
        dispatch: Dispatch,
        background: anyio.abc.TaskGroup,
        wall_clock_ms: WallClockMs,
    ) -> None:
        self._replica = replica
        self._dispatch = dispatch
        self._background = background
        self._wall_clock_ms = wall_clock_ms
        self._running: dict[str, Running] = {}
        self._is_draining = False

    async def run(self) -> None:
        """Expire rows that are older than the retention time, until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_PERIOD_SECONDS)
            before_ms = self._wall_clock_ms() - LEDGER_RETENTION_MS
            try:
                await self._replica.commit(encode_entry(Forget(before_ms)), EXPIRY_PERIOD_SECONDS)
            except NotStartedError:
                continue

    async def handle(self, request: NodeRequest) -> NodeReply:
        """Reply to `ExecuteOnce`; while draining, reply that this node is not the owner."""
        if not isinstance(request, ExecuteOnce) or self._is_draining:
            return NotOwner()
        return to_execute_reply(await self.execute(request))

    def figures(self) -> dict[str, int]:
        """See `ShardService.figures`."""
        return {"num_rows": len(self._replica.state.rows), "num_running": len(self._running)}

    async def drain(self) -> None:
        """See `ShardService.drain`; an intent handed over without its result would become unknown."""
        self._is_draining = True
        while self._running:
            await anyio.sleep(DRAIN_POLL_SECONDS)

    async def execute(self, request: ExecuteOnce) -> ExecutionOutcome:
        """Run a request at most once and return its outcome, which may be the one recorded before.

        It returns within the request's deadline. Work in progress continues in the background, so that its
        result is recorded for a retry.
        """
        digest = digest_request(request)
        running = self._running.get(request.key)
        if running is not None and running.digest != digest:
            return KeyReused("this idempotency key is in use with another request")
        if running is None:
            known = self._known_outcome(request.key, digest)
            if known is not None:
                return known
            running = Running(digest)
            self._running[request.key] = running
            self._background.start_soon(self._run_in_background, request, running)
        with anyio.move_on_after(request.deadline_seconds):
            await running.finished.wait()
        if running.outcome is not None:
            return running.outcome
        return OutcomeUnknown("ledger.execute", request.application, "the deadline passed while it ran")

    async def _run_in_background(self, request: ExecuteOnce, running: Running) -> None:
        """Run a request, answer the waiting callers, then record the outcome."""
        try:
            refusal = await self._commit_intent(request, running)
            if refusal is not None:
                running.finish(refusal)
                return
            outcome, closing = await self._dispatch_once(request)
            running.finish(outcome)
            await self._record(closing)
        finally:
            del self._running[request.key]

    def _known_outcome(self, key: str, digest: str) -> ExecutionOutcome | None:
        row = self._replica.state.rows.get(key)
        if row is None:
            return None
        if row.request_digest != digest:
            return KeyReused("this idempotency key was used with another request")
        return _outcome_of(row)

    async def _commit_intent(self, request: ExecuteOnce, running: Running) -> ExecutionOutcome | None:
        """Commit the intent; return None if the request may now be dispatched, else its outcome."""
        digest = running.digest
        intent = encode_entry(Intent(request.key, digest))
        commit_timeout_seconds = request.deadline_seconds * COMMIT_SHARE_OF_DEADLINE
        stream = self._replica.stream
        try:
            verdict = await self._replica.commit(intent, commit_timeout_seconds)
        except NotStartedError as error:
            return NotRun(error.step, error.peer, error.reason, RETRY_AFTER_SECONDS)
        if isinstance(verdict, Unresolved):
            refusal = NotRun("ledger.intent", stream, "the log did not confirm in time", RETRY_AFTER_SECONDS)
            # The caller is answered now, but the key stays in use until its intent has been withdrawn.
            running.finish(refusal)
            await self._withdraw(request.key, verdict)
            return refusal
        if isinstance(verdict, Accepted):
            return None
        known = self._known_outcome(request.key, digest)
        return known or NotRun("ledger.intent", stream, verdict.reason, RETRY_AFTER_SECONDS)

    async def _withdraw(self, key: str, unresolved: Unresolved) -> None:
        """Wait for the verdict on an intent that timed out before dispatch; close it if it was accepted."""
        verdict: Verdict = await unresolved.wait()
        if isinstance(verdict, Accepted):
            await self._record(Refusal(key))

    async def _dispatch_once(self, request: ExecuteOnce) -> tuple[ExecutionOutcome, Closing]:
        try:
            reply = await self._dispatch(request)
        except NotStartedError as error:
            seconds = error.retry_after_seconds or RETRY_AFTER_SECONDS
            return NotRun(error.step, error.peer, error.reason, seconds), Refusal(request.key)
        except InterruptedStepError as error:
            return OutcomeUnknown(error.step, error.peer, error.reason), Doubt(request.key)
        result = Result(request.key, reply.status, reply.body)
        return Completed(reply.status, reply.body), result

    async def _record(self, closing: Closing) -> None:
        """Record the outcome of a request; if ownership was lost, the next owner treats it as unknown.

        An entry that was not taken because too many wait is tried again: without it, the outcome of a request
        that has ended would become unknown.
        """
        while self._replica.is_owner:
            try:
                await self._replica.commit(encode_entry(closing), should_wait_for_log=True)
                return
            except NotStartedError as error:
                logger.warning("ledger_record_waits", reason=error.reason)
            except StepError as error:
                logger.warning("ledger_record_unknown", reason=error.reason)
                return
            await anyio.sleep(RECORD_RETRY_S)


def _outcome_of(row: LedgerRow) -> ExecutionOutcome | None:
    """Return the outcome that a retry of a recorded request gets, None if it may run."""
    match row.phase:
        case Phase.COMPLETED:
            return Completed(row.status, row.body)
        case Phase.NOT_RUN:
            return None
        case Phase.UNKNOWN | Phase.INTENT:
            return OutcomeUnknown("ledger.lookup", "", f"an earlier try is {row.phase.value}")
