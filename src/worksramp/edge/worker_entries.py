"""What a node makes of the entries of workers as they change."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import structlog

from worksramp.edge.ports import RecordFault, Unreadable, WorkerEvent, WorkerGone, WorkerSeen
from worksramp.routing.quarantine import Quarantine
from worksramp.routing.workers import START_UNKNOWN, WorkerDirectory, WorkerEntry

DROP_TICK_SECONDS = 0.1
#: Entries that go this soon after an outage of the store went because of it.
AFTER_OUTAGE_SECONDS = 1.0
#: Entries that lapsed with the store are back this soon after its return; others are gone. Source: the users.
LAPSED_ENTRY_S = 2.0
#: Refused entries whose last fault is remembered, so that each is logged once a change.
MAX_REMEMBERED_FAULTS = 256

logger = structlog.get_logger()


@dataclass(slots=True)
class WorkerEntries:
    """Keeps the directory of workers true to their entries.

    Attributes:
        regained_age: seconds since the store answered again after an outage.
        on_refused: told of each entry that names no worker.
        on_change: told of each change.
    """

    directory: WorkerDirectory
    quarantine: Quarantine
    regained_age: Callable[[], float]
    on_refused: Callable[[RecordFault], None]
    on_change: Callable[[], None]
    _faults: dict[str, RecordFault] = field(default_factory=dict)
    _are_starts_told: bool = False

    def take(self, event: WorkerEvent) -> None:
        """Take in a change of one entry; whatever it is, the others hold."""
        if isinstance(event, WorkerSeen):
            self._take_seen(event.entry)
        elif isinstance(event, WorkerGone):
            self._take_gone(event.worker_id)
        else:
            self._refuse(event)
        self.on_change()

    async def drop_missing(self) -> None:
        """Drop workers whose entries went with the store and did not come back, until cancelled."""
        while True:
            await anyio.sleep(DROP_TICK_SECONDS)
            if self.regained_age() < LAPSED_ENTRY_S:
                continue
            for worker_id in self.directory.missing_since(anyio.current_time()):
                logger.info("worker_dropped", worker=worker_id)
                self.directory.remove(worker_id)
                self.on_change()

    def _take_seen(self, entry: WorkerEntry) -> None:
        if entry.started_ms != START_UNKNOWN:
            self._note_start_told()
        elif self._are_starts_told:
            self._refuse(
                Unreadable(entry.worker_id, "no start, which the others tell", RecordFault.BAD_VALUE)
            )
            return
        if self.directory.is_former_start(entry):
            reason = f"start {entry.started_ms} ms is before the one that is known"
            self._refuse(Unreadable(entry.worker_id, reason, RecordFault.FORMER_START))
            return
        self._faults.pop(entry.worker_id, None)
        known = self.directory.get(entry.worker_id)
        is_restart = known is not None and known.entry.started_ms != entry.started_ms
        if known is None or is_restart or known.entry.is_leaving != entry.is_leaving:
            logger.info(
                "worker_seen",
                worker=entry.worker_id,
                service=entry.service,
                address=entry.address,
                is_leaving=entry.is_leaving,
                started_ms=entry.started_ms,
                is_restart=is_restart,
            )
        if is_restart:
            self.quarantine.handle_worker_gone(entry.worker_id)
        self.directory.put(entry)

    def _note_start_told(self) -> None:
        """Workers of a platform all tell their starts, or none: what tells none beside them is no worker."""
        if self._are_starts_told:
            return
        self._are_starts_told = True
        for state in self.directory.all_states():
            if state.entry.started_ms == START_UNKNOWN:
                reason = "no start, which others tell"
                self._refuse(Unreadable(state.entry.worker_id, reason, RecordFault.BAD_VALUE))

    def _take_gone(self, worker_id: str) -> None:
        """Drop a worker, or keep it for a while when its entry went with the store.

        Entries run out while the store is away, since nobody can write them; sound workers write them again
        within about two seconds, and those of others are gone for good.
        """
        was_outage = self.regained_age() < AFTER_OUTAGE_SECONDS
        self._faults.pop(worker_id, None)
        logger.info("worker_gone", worker=worker_id, is_kept=was_outage)
        if was_outage:
            self.directory.mark_missing(worker_id, anyio.current_time())
        else:
            self.directory.remove(worker_id)
            self.quarantine.handle_worker_gone(worker_id)

    def _refuse(self, event: Unreadable) -> None:
        """Use no worker of this name until a proper entry stands there; its runs go on."""
        self.on_refused(event.fault)
        self.directory.remove(event.key)
        if self._faults.get(event.key) is event.fault:
            return
        if len(self._faults) >= MAX_REMEMBERED_FAULTS:
            self._faults.pop(next(iter(self._faults)))
        self._faults[event.key] = event.fault
        logger.warning("entry_refused", worker=event.key, fault=event.fault.value, reason=event.reason)
