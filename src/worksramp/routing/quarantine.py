"""Keeps requests that crash workers from all workers, at every node and in all their tries.

A connection that breaks while a request runs there may be a crash, a reset, or a worker that breaks off one
answer. The worker is asked at once whether it still takes connections; only where it refuses them, or its
entry goes soon after, has it crashed. What ran there is then written to the shared log, which every node
follows. Nothing is written for a request whose workers live.

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

#: A request to blame gets another trial this long after its second crash, and four times as long after each
#: further one: one worker of a service is lost to it for 3 s in 120 s at most.
FIRST_TRIAL_S = 120.0
TRIAL_FACTOR = 4.0
#: Pauses of items of batches, which must be begun again within 5 s. Source: the users' rule on open items.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 4.0
#: A worker's entry goes within three heartbeats of its end; this is well over those of all known fleets.
UNCONFIRMED_S = 10.0
MAX_UNCONFIRMED = 64
#: Records that wait for the store, which may be away; the oldest go first.
MAX_UNWRITTEN = 512
MAX_RECORDS_A_CALL = 64
WRITE_TRY_S = 2.0
WRITE_PAUSE_S = 0.1
#: A request that has crashed no worker for a day is forgotten.
KEEP_S = 86_400.0
#: Requests kept in the log and in each node's memory, of about 200 bytes each.
MAX_REQUESTS = 1024
FORGET_TICK_S = 5.0

logger = structlog.get_logger()


def _ignore(_: str) -> None:
    """Take in nothing."""


@dataclass(frozen=True, slots=True)
class _Break:
    """A worker's connections broke, and whether it lives is not known yet."""

    crash_id: str
    running: tuple[RunningRequest, ...]
    at: float


class Quarantine:
    """One node's part in keeping requests that crash workers from them.

    Args:
        log: where crashes are written; None keeps them to this node.
        may_grant_trial: whether this node may grant a trial request; true at one node at a time.
        on_event: told each decision, for figures.
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
        self._may_try = may_grant_trial
        self._on_event = on_event
        self._unwritten: deque[KeyedRecord] = deque()
        self._has_unwritten = anyio.Event()
        self._unconfirmed: OrderedDict[str, _Break] = OrderedDict()
        self._asking: dict[str, anyio.Event] = {}
        self._tried_at: dict[str, float] = {}

    # Decisions.

    def admit(self, request_id: str, fingerprint: str) -> bool:
        """Return whether a request may go to a worker now."""
        if not self.ledger.is_quarantined(fingerprint):
            return True
        is_trial = self._is_trial_due(fingerprint)
        if is_trial:
            self._tried_at[fingerprint] = anyio.current_time()
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
        """Return whether a request must go to no further worker."""
        return self.ledger.is_quarantined(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a worker is known to have crashed while it ran a request."""
        return self.ledger.is_suspect(fingerprint)

    def pause_s(self, fingerprint: str) -> float:
        """Return how long a request that may not be given up pauses between two workers."""
        if not self.ledger.is_quarantined(fingerprint):
            return 0.0
        num_further = self.ledger.num_crashes(fingerprint) - MAX_CRASHES_ALONE
        return min(FIRST_PAUSE_S * 2.0 ** max(0, num_further), MAX_PAUSE_S)

    def running(self, fingerprint: str) -> RunningRequest:
        """Return a request as it is now put to a worker."""
        return RunningRequest(fingerprint, is_suspect=self.is_suspect(fingerprint))

    def _is_trial_due(self, fingerprint: str) -> bool:
        """Return whether a request to blame may show that it is innocent.

        Without trials one that was blamed wrongly would be refused for a day.
        """
        num_crashes = self.ledger.num_crashes(fingerprint)
        if num_crashes >= MAX_TOTAL_CRASHES or not self._may_try():
            return False
        wait_s = FIRST_TRIAL_S * TRIAL_FACTOR ** max(0, num_crashes - MAX_CRASHES_ALONE)
        last = max(self.ledger.changed_at(fingerprint), self._tried_at.get(fingerprint, float("-inf")))
        return anyio.current_time() - last >= wait_s

    # Observations.

    async def handle_broken_connection(self, worker: WorkerState) -> None:
        """Take in that a connection broke while a request ran at a worker.

        Returns once it is known whether the worker has crashed, or that it cannot be known yet.
        """
        entry = worker.entry
        if not self._directory.is_usable(entry.worker_id):
            # It had said that it would end, or its entry had gone before.
            return
        crash_id = crash_id_of(entry.worker_id, entry.started_ms)
        asking = self._asking.get(crash_id)
        if asking is not None:
            await asking.wait()
            return
        seen = _Break(crash_id, tuple(sorted(worker.running)), anyio.current_time())
        self._asking[crash_id] = anyio.Event()
        try:
            # An attempt whose answer is no longer wanted has seen the break all the same.
            with anyio.CancelScope(shield=True):
                listener = await self._port.listener_state(entry)
            self._take_state(worker, seen, listener)
        finally:
            self._asking.pop(crash_id).set()

    def _take_state(self, worker: WorkerState, seen: _Break, listener: ListenerState) -> None:
        logger.info(
            "worker_broke_off",
            worker=worker.entry.worker_id,
            crash_id=seen.crash_id,
            listener=listener.value,
            running=",".join(request.fingerprint for request in seen.running),
        )
        self._on_event(f"listener_{listener.value}")
        if listener is ListenerState.REFUSES:
            self._take_crash(seen)
        elif listener is ListenerState.SILENT:
            self._unconfirmed[worker.entry.worker_id] = seen
            while len(self._unconfirmed) > MAX_UNCONFIRMED:
                self._unconfirmed.popitem(last=False)

    def apply_change(self, change: Change) -> bool:
        """Take in a change of the log; return whether it was about crashes."""
        fingerprint = fingerprint_in_key(change.key)
        if fingerprint is None:
            return False
        was_to_blame = self.ledger.is_quarantined(fingerprint)
        self.ledger.apply(change, anyio.current_time())
        if self.ledger.is_quarantined(fingerprint) != was_to_blame:
            logger.warning(
                "request_released" if was_to_blame else "request_blamed",
                fingerprint=fingerprint,
                num_crashes=self.ledger.num_crashes(fingerprint),
                offset=change.offset,
            )
        return True

    def handle_worker_gone(self, worker_id: str) -> None:
        """Take in that a worker's entry is gone, or is that of a later start."""
        seen = self._unconfirmed.pop(worker_id, None)
        if seen is not None and anyio.current_time() - seen.at <= UNCONFIRMED_S:
            self._take_crash(seen)

    def record_complete_answer(self, fingerprint: str) -> None:
        """Take in that a worker answered a request and lives: earlier ones crashed for another reason."""
        if not self.ledger.is_suspect(fingerprint):
            return
        records = self.ledger.drop(fingerprint)
        self._on_event("cleared")
        logger.info("crash_suspect_cleared", fingerprint=fingerprint, num_records=len(records))
        self._write(record.as_tombstone() for record in records)

    def _take_crash(self, seen: _Break) -> None:
        now = anyio.current_time()
        records = [
            CrashRecord(request.fingerprint, seen.crash_id, self._node, request.is_suspect)
            for request in seen.running
        ]
        for record in records:
            self.ledger.add(record, now)
        self._on_event("crash")
        logger.warning(
            "worker_crashed",
            crash_id=seen.crash_id,
            running=",".join(record.fingerprint for record in records),
            to_blame=",".join(
                record.fingerprint for record in records if self.ledger.is_quarantined(record.fingerprint)
            ),
        )
        self._write(record.as_log_record() for record in records)

    # The log.

    def _write(self, records: Iterable[KeyedRecord]) -> None:
        self._unwritten.extend(records)
        self._has_unwritten.set()
        num_over = len(self._unwritten) - MAX_UNWRITTEN
        if num_over > 0:
            logger.error("crash_records_dropped", num_dropped=num_over)
            for _ in range(num_over):
                self._unwritten.popleft()

    async def run(self) -> None:
        """Write what was seen to the log until cancelled, however long the store is away."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._forget)
            while True:
                await self._has_unwritten.wait()
                await self._write_some()

    async def _write_some(self) -> None:
        assert self._log is not None and self._partition is not None
        num_taken = min(len(self._unwritten), MAX_RECORDS_A_CALL)
        records = tuple(self._unwritten[number] for number in range(num_taken))
        outcome = await append_until_known(self._log, self._partition, records, WRITE_TRY_S)
        if isinstance(outcome, NotStored):
            logger.warning("crash_records_wait", num_waiting=len(self._unwritten), reason=outcome.reason)
            await anyio.sleep(WRITE_PAUSE_S)
            return
        for record in records:
            if self._unwritten and self._unwritten[0] is record:
                self._unwritten.popleft()
        if not self._unwritten:
            self._has_unwritten = anyio.Event()

    async def _forget(self) -> None:
        """Have one node at a time drop old records, so that their number is bounded."""
        while True:
            await anyio.sleep(FORGET_TICK_S)
            for fingerprint in [name for name in self._tried_at if not self.ledger.is_suspect(name)]:
                del self._tried_at[fingerprint]
            if not self._may_try():
                continue
            for fingerprint in self.ledger.stale(anyio.current_time() - KEEP_S, MAX_REQUESTS):
                records = self.ledger.drop(fingerprint)
                logger.info("crash_suspect_forgotten", fingerprint=fingerprint, num_records=len(records))
                self._write(record.as_tombstone() for record in records)
