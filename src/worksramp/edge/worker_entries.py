"""Keep the directory of workers up to date as their entries in the store change."""

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field

import anyio
import anyio.abc
import structlog

from worksramp.edge.held_entries import HeldEntries, never_answers
from worksramp.edge.ports import RecordFault, UnreadableRecord, WorkerEvent, WorkerGone, WorkerSeen
from worksramp.edge.start_times import StartTimes
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.workers import START_UNKNOWN, WorkerDirectory, WorkerEntry

TICK_SECONDS = 0.05
#: An entry that is removed this soon after an outage of the store is taken to have expired because of it.
OUTAGE_GRACE_SECONDS = 1.0
#: According to the users, workers write their expired entries again within this time after an outage of the
#: store. Workers whose entries are still missing then are gone.
REWRITE_GRACE_S = 2.0
#: Refused entries whose fault is logged, once and not at each write. Further ones are only counted, until
#: one of these is used again or is gone.
MAX_LOGGED_FAULTS = 256

logger = structlog.get_logger()


@dataclass(slots=True)
class WorkerEntries:
    """Apply changes of workers' entries to the directory of workers.

    Attributes:
        directory: directory that the changes are applied to.
        quarantine: notified when a worker is gone or has restarted.
        store_recovery_age: returns seconds since the store answered again after an outage.
        on_refused: called with the fault of each entry that cannot be used.
        on_change: called after each change.
        is_loaded: returns whether the entries have been loaded once; the first load is logged as a whole.
        service_names: returns the services that the configuration names, None while there is none.
        is_answered: asks at the address of an entry, and returns whether the worker of its id has answered.
    """

    directory: WorkerDirectory
    quarantine: Quarantine
    store_recovery_age: Callable[[], float]
    on_refused: Callable[[RecordFault], None]
    on_change: Callable[[], None]
    is_loaded: Callable[[], bool] = lambda: True
    service_names: Callable[[], Collection[str] | None] = lambda: None
    is_answered: Callable[[WorkerEntry], Awaitable[bool]] = never_answers
    _logged_faults: dict[str, RecordFault] = field(default_factory=dict)
    _is_log_full: bool = False
    #: Entries that are refused only for stating a start time, or stating none.
    _held: HeldEntries = field(init=False)
    _starts: StartTimes = field(default_factory=StartTimes)
    _kinds: frozenset[bool] = frozenset([True])

    def __post_init__(self) -> None:
        self._held = HeldEntries(self.is_answered, self.handle_answer)

    def apply(self, event: WorkerEvent) -> None:
        """Apply a change of one entry; one that cannot be used does not affect other workers."""
        if isinstance(event, WorkerSeen):
            self._apply_seen(event.entry)
        elif isinstance(event, WorkerGone):
            self._apply_gone(event.worker_id)
        else:
            self._held.discard(event.key)
            self._starts.remove(event.key)
            self._refuse(event)
        self.on_change()

    def handle_configuration(self) -> None:
        """Decide anew which entries are those of workers, once the configuration names other services."""
        self._apply_start_times()
        self.on_change()

    def handle_answer(self, entry: WorkerEntry) -> None:
        """Use the entry of a worker that has answered under its id, whatever the others state."""
        if not self._starts.record_answer(entry.worker_id, _has_start(entry)):
            return
        logger.debug("worker_answered", worker=entry.worker_id, started_ms=entry.started_ms)
        has_changed = self._apply_start_times()
        if self._use_released() or has_changed:
            self.on_change()

    async def watch(self) -> None:
        """Remove workers that do not come back after an outage, and check refused ones, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(TICK_SECONDS)
                self._drop_missing()
                self._held.start_checks(group)

    def _drop_missing(self) -> None:
        """Remove workers whose entries expired in an outage and were not written again."""
        if self.store_recovery_age() < REWRITE_GRACE_S:
            return
        for worker_id in self.directory.missing_since(anyio.current_time()):
            logger.info("worker_dropped", worker=worker_id)
            self._remove(worker_id)
            self.on_change()

    def _remove(self, worker_id: str) -> None:
        """Remove a worker whose entry is gone for good."""
        self._held.discard(worker_id)
        self._starts.remove(worker_id)
        self.directory.remove(worker_id)

    def _apply_seen(self, entry: WorkerEntry) -> None:
        self._starts.put(entry.worker_id, entry.service, _has_start(entry))
        self._apply_start_times()
        if not self._is_of_worker(entry):
            self._hold_back(entry)
            return
        self._held.discard(entry.worker_id)
        self._apply_entry(entry)

    def _apply_entry(self, entry: WorkerEntry) -> None:
        if entry.started_ms != START_UNKNOWN and self.directory.is_former_start(entry):
            reason = f"start time {entry.started_ms} ms is before the known start of the worker"
            self._refuse(UnreadableRecord(entry.worker_id, reason, RecordFault.FORMER_START))
            return
        self._logged_faults.pop(entry.worker_id, None)
        known = self.directory.get(entry.worker_id)
        is_restart = known is not None and known.entry.started_ms != entry.started_ms
        if known is None or is_restart or known.entry.is_leaving != entry.is_leaving:
            self._log_seen(entry, is_restart)
        if is_restart:
            self.quarantine.handle_worker_gone(entry.worker_id)
        self.directory.put(entry)

    def _log_seen(self, entry: WorkerEntry, is_restart: bool) -> None:
        log = logger.info if self.is_loaded() or entry.is_leaving else logger.debug
        log(
            "worker_seen",
            worker=entry.worker_id,
            service=entry.service,
            address=entry.address,
            is_leaving=entry.is_leaving,
            started_ms=entry.started_ms,
            is_restart=is_restart,
            zone=entry.zone,
            is_spot=entry.is_spot,
        )

    def _is_of_worker(self, entry: WorkerEntry) -> bool:
        has_start = _has_start(entry)
        return has_start in self._kinds or self._starts.has_answered(entry.worker_id, has_start)

    def _apply_start_times(self) -> bool:
        """Use the entries of the kinds that workers have now, and refuse the others.

        Returns:
            Whether the kinds have changed.
        """
        kinds = self._starts.kinds_of_workers(self.service_names() or None)
        if kinds == self._kinds:
            return False
        self._kinds = kinds
        logger.info("entry_kinds_changed", with_start=True in kinds, without_start=False in kinds)
        for state in self.directory.all_states():
            if not self._is_of_worker(state.entry):
                self._hold_back(state.entry)
        self._use_released()
        return True

    def _use_released(self) -> bool:
        """Use the held entries that are those of workers after all; return whether there were any."""
        released = self._held.release(self._is_of_worker)
        for entry in released:
            self._apply_entry(entry)
        return bool(released)

    def _hold_back(self, entry: WorkerEntry) -> None:
        """Refuse an entry that states a start time, or states none, unlike those of workers."""
        self._held.hold(entry)
        reason = "a start time" if _has_start(entry) else "no start time"
        self._refuse(
            UnreadableRecord(entry.worker_id, f"{reason}, unlike other entries", RecordFault.BAD_VALUE)
        )

    def _apply_gone(self, worker_id: str) -> None:
        """Remove a worker, or keep it for a while if its entry expired because of an outage of the store.

        Entries expire while the store is unavailable, because workers cannot renew them. Healthy workers
        write them again within about two seconds; the entries of other workers do not return.
        """
        was_outage = self.store_recovery_age() < OUTAGE_GRACE_SECONDS
        self._logged_faults.pop(worker_id, None)
        logger.info("worker_gone", worker=worker_id, is_kept=was_outage)
        if was_outage and self.directory.get(worker_id) is not None:
            self.directory.mark_missing(worker_id, anyio.current_time())
            return
        self._remove(worker_id)
        if not was_outage:
            self.quarantine.handle_worker_gone(worker_id)

    def _refuse(self, event: UnreadableRecord) -> None:
        """Remove the worker from the directory until its entry can be used again; its runs continue."""
        self.on_refused(event.fault)
        self.directory.remove(event.key)
        if self._logged_faults.get(event.key) is event.fault:
            return
        if len(self._logged_faults) >= MAX_LOGGED_FAULTS and event.key not in self._logged_faults:
            if not self._is_log_full:
                logger.warning("entries_refused_unlogged", num_logged=len(self._logged_faults))
            self._is_log_full = True
            return
        self._is_log_full = False
        self._logged_faults[event.key] = event.fault
        logger.warning("entry_refused", worker=event.key, fault=event.fault.value, reason=event.reason)


def _has_start(entry: WorkerEntry) -> bool:
    return entry.started_ms != START_UNKNOWN
