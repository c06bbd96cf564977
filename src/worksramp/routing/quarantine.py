"""Keeps requests that crash workers away from all workers, at every node and across the caller's retries.

A connection that breaks while a request runs may mean a crash, a reset, or a worker that aborted one
answer. This node therefore opens a new connection to the worker at once. Only a worker that refuses it, or
whose entry disappears soon after, counts as crashed. The requests that were running there are then written to
the shared log, which every node follows. Nothing is written while the workers of a request stay alive.

See Also:
    docs/design/crashing-requests.md
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio
import structlog

from worksramp.coordination.keyed_replica import Change
from worksramp.coordination.shared_log import KeyedRecord, Partition, SharedLog
from worksramp.coordination.value_store import NotStored, append_until_known
from worksramp.routing.crash_ledger import (
    MAX_CRASHES_ALONE,
    MAX_TOTAL_CRASHES,
    CrashLedger,
    CrashRecord,
    fingerprint_in_key,
)
from worksramp.routing.fingerprint import crash_id_of
from worksramp.routing.worker_port import ListenerState, WorkerPort
from worksramp.routing.workers import RunningRequest, WorkerDirectory, WorkerState

#: A quarantined request is sent again as a trial request this long after its second crash, and four times as
#: long after each further one. So it costs a service at most one worker for 3 s in every 120 s.
FIRST_TRIAL_DELAY_S = 120.0
TRIAL_DELAY_FACTOR = 4.0
#: Delays before quarantined work of a batch is sent again, which must happen within 5 s. Source: the users'
#: rule on open items.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 4.0
#: A worker's entry disappears within three heartbeats after the worker ends. This is well above three
#: heartbeats in all known fleets.
CONFIRMATION_WINDOW_S = 10.0
MAX_UNCONFIRMED = 64
#: Number of records kept while the store is unavailable; the oldest are discarded first.
MAX_UNWRITTEN = 512
MAX_RECORDS_PER_CALL = 64
WRITE_TIMEOUT_S = 2.0
WRITE_RETRY_DELAY_S = 0.1
#: The records of a request that has crashed no worker for a day are discarded.
RETENTION_S = 86_400.0
#: Number of requests kept in the log and in each node's memory, at about 200 bytes each.
MAX_REQUESTS = 1024
EXPIRY_PERIOD_S = 5.0

logger = structlog.get_logger()


def _ignore(_: str) -> None:
    """Do nothing with an event."""


@dataclass(frozen=True, slots=True)
class _ConnectionLoss:
    """A broken connection to a worker that may or may not have crashed."""

    crash_id: str
    running: tuple[RunningRequest, ...]
    at: float


class Quarantine:
    """Detects crashes of workers at one node and refuses quarantined requests there.

    Args:
        log: shared log for crash records; with None they stay at this node.
        may_grant_trial: whether this node may grant a trial request; true at one node at a time.
        on_event: called with the name of each decision, for metrics.
    """

    def __init__(
        self,
        port: WorkerPort,
        directory: WorkerDirectory,
        node: str = "",
        log: SharedLog | None = None,
        partition: Partition | None = None,
        may_grant_trial: Callable[[], bool] = lambda: False,
        on_event: Callable[[str], None] = _ignore,
    ) -> None:
        self.ledger = CrashLedger()
        self._port = port
        self._directory = directory
        self._node = node
        self._log = log
        self._partition = partition
        self._may_grant_trial = may_grant_trial
        self._on_event = on_event
        self._unwritten: deque[KeyedRecord] = deque()
        self._has_unwritten = anyio.Event()
        self._unconfirmed: OrderedDict[str, _ConnectionLoss] = OrderedDict()
        self._probes: dict[str, anyio.Event] = {}
        self._trial_at: dict[str, float] = {}

    # Decisions.

    def admit(self, request_id: str, fingerprint: str) -> bool:
        """Return whether a live request may be sent to a worker now.

        A quarantined request may be sent only as a trial request. Each decision about one is logged. Work of
        batches is owed to its submitter and never refused (see `pause_s`).
        """
        if not self.ledger.is_quarantined(fingerprint):
            return True
        is_trial = self._is_trial_due(fingerprint)
        if is_trial:
            self._trial_at[fingerprint] = anyio.current_time()
        outcome = "trial" if is_trial else "refused"
        self._on_event(outcome)
        logger.warning(
            "crashing_request",
            request_id=request_id,
            fingerprint=fingerprint,
            num_crashes=self.ledger.num_crashes(fingerprint),
            seconds_since_crash=round(anyio.current_time() - self.ledger.changed_at(fingerprint), 3),
            outcome=outcome,
        )
        return is_trial

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to any further worker."""
        return self.ledger.is_quarantined(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a worker is known to have crashed while running a request."""
        return self.ledger.is_suspect(fingerprint)

    def pause_s(self, fingerprint: str) -> float:
        """Return how many seconds to wait before an item or its scoring call is sent to another worker.

        Neither may be given up because of crashes, so quarantined ones are delayed instead of refused.
        """
        if not self.ledger.is_quarantined(fingerprint):
            return 0.0
        num_further = self.ledger.num_crashes(fingerprint) - MAX_CRASHES_ALONE
        return min(FIRST_PAUSE_S * 2.0 ** max(0, num_further), MAX_PAUSE_S)

    def running(self, fingerprint: str) -> RunningRequest:
        """Return the entry for `WorkerState.running` of a request that is sent to a worker now."""
        return RunningRequest(fingerprint, is_suspect=self.is_suspect(fingerprint))

    def _is_trial_due(self, fingerprint: str) -> bool:
        """Return whether a quarantined request may be sent as a trial request now.

        Without trial requests, a request quarantined by mistake would be refused for a day.
        """
        num_crashes = self.ledger.num_crashes(fingerprint)
        if num_crashes >= MAX_TOTAL_CRASHES or not self._may_grant_trial():
            return False
        delay_s = FIRST_TRIAL_DELAY_S * TRIAL_DELAY_FACTOR ** max(0, num_crashes - MAX_CRASHES_ALONE)
        last_at = max(self.ledger.changed_at(fingerprint), self._trial_at.get(fingerprint, float("-inf")))
        return anyio.current_time() - last_at >= delay_s

    # Observations.

    async def handle_broken_connection(self, worker: WorkerState) -> None:
        """Check whether a worker has crashed, after a connection to it broke while a request was running.

        Returns once the check is done. Its result may be that a crash is possible but not confirmed yet.
        """
        entry = worker.entry
        if not self._directory.is_usable(entry.worker_id):
            # The worker was draining or its entry was gone already, so its end was expected.
            return
        crash_id = crash_id_of(entry.worker_id, entry.started_ms)
        probe = self._probes.get(crash_id)
        if probe is not None:
            await probe.wait()
            return
        loss = _ConnectionLoss(crash_id, tuple(sorted(worker.running)), anyio.current_time())
        self._probes[crash_id] = anyio.Event()
        try:
            # The check is shielded because the connection broke whether or not the attempt is cancelled now.
            with anyio.CancelScope(shield=True):
                listener = await self._port.listener_state(entry)
            self._handle_listener_state(worker, loss, listener)
        finally:
            self._probes.pop(crash_id).set()

    def _handle_listener_state(
        self, worker: WorkerState, loss: _ConnectionLoss, listener: ListenerState
    ) -> None:
        logger.info(
            "worker_broke_off",
            worker=worker.entry.worker_id,
            crash_id=loss.crash_id,
            listener=listener.value,
            running=",".join(request.fingerprint for request in loss.running),
        )
        self._on_event(f"listener_{listener.value}")
        if listener is ListenerState.REFUSES:
            self._record_crash(loss)
        elif listener is ListenerState.SILENT:
            self._unconfirmed[worker.entry.worker_id] = loss
            while len(self._unconfirmed) > MAX_UNCONFIRMED:
                self._unconfirmed.popitem(last=False)

    def apply_change(self, change: Change) -> bool:
        """Apply a change of the log and return whether it concerned a crash record."""
        fingerprint = fingerprint_in_key(change.key)
        if fingerprint is None:
            return False
        was_quarantined = self.ledger.is_quarantined(fingerprint)
        self.ledger.apply(change, anyio.current_time())
        if self.ledger.is_quarantined(fingerprint) != was_quarantined:
            logger.warning(
                "request_released" if was_quarantined else "request_blamed",
                fingerprint=fingerprint,
                num_crashes=self.ledger.num_crashes(fingerprint),
                offset=change.offset,
            )
        return True

    def handle_worker_gone(self, worker_id: str) -> None:
        """Record an unconfirmed crash of a worker whose entry is gone or is that of a later start."""
        loss = self._unconfirmed.pop(worker_id, None)
        if loss is not None and anyio.current_time() - loss.at <= CONFIRMATION_WINDOW_S:
            self._record_crash(loss)

    def record_complete_answer(self, fingerprint: str) -> None:
        """Discard the crash records of a request that a worker has answered without crashing.

        The earlier workers crashed for another reason.
        """
        if not self.ledger.is_suspect(fingerprint):
            return
        records = self.ledger.drop(fingerprint)
        self._on_event("cleared")
        logger.info("crash_suspect_cleared", fingerprint=fingerprint, num_records=len(records))
        self._enqueue(record.as_tombstone() for record in records)

    def _record_crash(self, loss: _ConnectionLoss) -> None:
        now = anyio.current_time()
        records = [
            CrashRecord(request.fingerprint, loss.crash_id, self._node, request.is_suspect)
            for request in loss.running
        ]
        for record in records:
            self.ledger.add(record, now)
        self._on_event("crash")
        logger.warning(
            "worker_crashed",
            crash_id=loss.crash_id,
            running=",".join(record.fingerprint for record in records),
            to_blame=",".join(
                record.fingerprint for record in records if self.ledger.is_quarantined(record.fingerprint)
            ),
        )
        self._enqueue(record.as_log_record() for record in records)

    # The log.

    def _enqueue(self, records: Iterable[KeyedRecord]) -> None:
        self._unwritten.extend(records)
        self._has_unwritten.set()
        num_over = len(self._unwritten) - MAX_UNWRITTEN
        if num_over > 0:
            logger.error("crash_records_dropped", num_dropped=num_over)
            for _ in range(num_over):
                self._unwritten.popleft()

    async def run(self) -> None:
        """Write crash records to the log until cancelled, however long the store is unavailable."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._expire_records)
            while True:
                await self._has_unwritten.wait()
                await self._write_batch()

    async def _write_batch(self) -> None:
        assert self._log is not None and self._partition is not None
        num_to_write = min(len(self._unwritten), MAX_RECORDS_PER_CALL)
        records = tuple(self._unwritten[number] for number in range(num_to_write))
        outcome = await append_until_known(self._log, self._partition, records, WRITE_TIMEOUT_S)
        if isinstance(outcome, NotStored):
            logger.warning("crash_records_wait", num_waiting=len(self._unwritten), reason=outcome.reason)
            await anyio.sleep(WRITE_RETRY_DELAY_S)
            return
        for record in records:
            if self._unwritten and self._unwritten[0] is record:
                self._unwritten.popleft()
        if not self._unwritten:
            self._has_unwritten = anyio.Event()

    async def _expire_records(self) -> None:
        """Discard old records until cancelled; one node at a time does so, which bounds their number."""
        while True:
            await anyio.sleep(EXPIRY_PERIOD_S)
            for fingerprint in [name for name in self._trial_at if not self.ledger.is_suspect(name)]:
                del self._trial_at[fingerprint]
            if not self._may_grant_trial():
                continue
            for fingerprint in self.ledger.stale(anyio.current_time() - RETENTION_S, MAX_REQUESTS):
                records = self.ledger.drop(fingerprint)
                logger.info("crash_suspect_forgotten", fingerprint=fingerprint, num_records=len(records))
                self._enqueue(record.as_tombstone() for record in records)
