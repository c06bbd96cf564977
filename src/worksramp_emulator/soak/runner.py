"""Runs a soak and writes its folder: logs, schedule, record and verdict."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import anyio
import anyio.abc
import msgspec

from worksramp_emulator.shared_log import LogStore
from worksramp_emulator.soak.callers import Client, Submitter, Surroundings
from worksramp_emulator.soak.checks import Figures, figures, violations
from worksramp_emulator.soak.model_workers import FIRST_VERSION, ModelWorker
from worksramp_emulator.soak.nodes import NodeProcess, free_addresses
from worksramp_emulator.soak.plan import NUM_CLIENTS, NUM_NODES, ForeignEntry, NodeSignal, Plan
from worksramp_emulator.soak.record import Record
from worksramp_emulator.soak.store import StoreServer
from worksramp_emulator.soak.words import Words
from worksramp_emulator.soak.workers import Worker, WorkerSite

NUM_WORKERS = 3
NUM_SUBMITTERS = 4
NEW_VERSION_EVERY_S = 4.0
#: Time after the load within which the last batches are read to their end.
DRAIN_S = 15.0
STALL_POLL_S = 0.02
#: Shortest delay of a wake-up that counts as a stall.
STALL_S = 0.1
#: Nobody listens at this port.
CLOSED_ADDRESS = "127.0.0.1:9"
FOREIGN_START_MS = 1_765_000_000_000


@dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of a soak: figures and all violations in words."""

    figures: Figures
    violations: tuple[str, ...]


async def run_soak(plan: Plan, words: Words, root: Path, folder: Path) -> Verdict:
    """Run a soak.

    Args:
        root: root of the project, in which the nodes' command runs.
        folder: folder for the logs, the schedule and the verdict.

    Raises:
        TimeoutError: the nodes do not become ready.
    """
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "schedule.txt").write_text(plan.describe())
    async with anyio.create_task_group() as group:
        soak = _Soak(plan, words, root, folder, group)
        try:
            await soak.start()
            await soak.load()
        finally:
            with anyio.CancelScope(shield=True):
                await soak.stop()
            group.cancel_scope.cancel()
    return soak.write_verdict()


class _Soak:
    def __init__(
        self, plan: Plan, words: Words, root: Path, folder: Path, group: anyio.abc.TaskGroup
    ) -> None:
        self._plan = plan
        self._words = words
        self._root = root
        self._folder = folder
        self._group = group
        self._record = Record()
        self._store = StoreServer(LogStore(random.Random(plan.seed), group), words)
        self._version = FIRST_VERSION
        self._workers = list(self._make_workers())
        self._nodes: list[NodeProcess] = []

    def _make_workers(self) -> Iterator[Worker]:
        site = WorkerSite(self._words, self._plan, self._record, self._group, self._put_entry)
        for number in range(NUM_WORKERS):
            yield Worker(f"i-desk{number}", number % 2 == 0, site)
            yield ModelWorker(f"i-fleet{number}", number % 2 == 0, site)

    @property
    def _model_workers(self) -> list[ModelWorker]:
        return [worker for worker in self._workers if isinstance(worker, ModelWorker)]

    def _put_entry(self, worker_id: str, entry: dict[str, object]) -> None:
        self._store.put(self._words.store.workers_topic, worker_id, entry)

    async def start(self) -> None:
        for server in (self._store.server, *(worker.server for worker in self._workers)):
            await server.listen()
            self._group.start_soon(server.run)
        self._store.put(self._words.store.control_topic, "config", self._words.configuration)
        for worker in self._workers:
            worker.publish()
        for foreign in self._plan.foreign_entries():
            if foreign.at_s < 0.0:
                self._put_entry(foreign.worker_id, self._foreign_entry(foreign))
        store_address = self._store.server.address
        self._nodes = [
            NodeProcess(
                f"node-{number}",
                addresses,
                self._words,
                self._root,
                self._folder,
                store_address,
                self._record,
            )
            for number, addresses in enumerate(free_addresses(NUM_NODES))
        ]
        for node in self._nodes:
            self._group.start_soon(node.run)
        for node in self._nodes:
            await node.wait_ready()

    async def load(self) -> None:
        """Send requests and batches until the time is up, then wait for the last answers."""
        self._record.started_s = anyio.current_time()
        self._group.start_soon(self._watch_stalls)
        around = Surroundings(
            self._words, self._plan, self._record, tuple(node.addresses.front for node in self._nodes)
        )
        with anyio.move_on_after(self._plan.length_s + DRAIN_S):
            async with anyio.create_task_group() as group:
                for number in range(NUM_CLIENTS):
                    group.start_soon(Client(number, around).run)
                for number in range(NUM_SUBMITTERS):
                    group.start_soon(Submitter(number, around).run)
                for sent in self._plan.signals():
                    group.start_soon(self._signal, sent)
                for foreign in self._plan.foreign_entries():
                    if foreign.at_s >= 0.0:
                        group.start_soon(self._write_foreign, foreign)
                group.start_soon(self._name_versions)
                group.start_soon(self._wait_for_versions)

    async def _signal(self, sent: NodeSignal) -> None:
        await anyio.sleep(sent.at_s)
        await self._nodes[sent.node].take(sent)

    async def _write_foreign(self, foreign: ForeignEntry) -> None:
        await anyio.sleep(foreign.at_s)
        self._put_entry(foreign.worker_id, self._foreign_entry(foreign))
        await anyio.sleep(foreign.stays_s)
        self._store.remove(self._words.store.workers_topic, foreign.worker_id)

    def _foreign_entry(self, foreign: ForeignEntry) -> dict[str, object]:
        """Return an entry like that of a worker, but for a start time."""
        like = next(
            worker for worker in self._workers if isinstance(worker, ModelWorker) == foreign.is_model_worker
        )
        start = {self._words.store.entry_start: FOREIGN_START_MS}
        return {**like.entry(), "address": CLOSED_ADDRESS, **start}

    async def _name_versions(self) -> None:
        """Name versions of the model while there is load."""
        while self._record.now_s() + NEW_VERSION_EVERY_S < self._plan.length_s:
            await anyio.sleep(NEW_VERSION_EVERY_S)
            self._version += 1
            value = {"model": self._words.model, "version": self._version}
            self._store.put(self._words.store.control_topic, f"version/{self._words.model}", value)

    async def _watch_stalls(self) -> None:
        """Note when this process does not run, for which the nodes are not to blame."""
        while True:
            woken_s = self._record.now_s()
            await anyio.sleep(STALL_POLL_S)
            if (now_s := self._record.now_s()) - woken_s > STALL_S:
                self._record.stalls.append((woken_s, now_s))

    async def _wait_for_versions(self) -> None:
        """Wait until all workers hold the last version."""
        await anyio.sleep(self._plan.length_s)
        while any(worker.version != self._version for worker in self._model_workers):
            await anyio.sleep(0.1)

    async def stop(self) -> None:
        async with anyio.create_task_group() as group:
            for node in self._nodes:
                group.start_soon(node.stop)

    def write_verdict(self) -> Verdict:
        num_connections = sum(worker.server.num_connections for worker in self._workers)
        verdict = Verdict(
            figures(self._record, num_connections),
            tuple(violations(self._record, self._model_workers, self._version)),
        )
        lines = [verdict.violations[0] if verdict.violations else "held", repr(verdict.figures)]
        (self._folder / "verdict.txt").write_text("\n".join([*lines, *verdict.violations]) + "\n")
        (self._folder / "record.txt").write_text("\n".join(self._record.log) + "\n")
        for name, rows in (("answers", self._record.answers), ("items", self._record.item_runs)):
            data = b"\n".join(msgspec.json.encode(row) for row in rows)
            (self._folder / f"{name}.jsonl").write_bytes(data + b"\n")
        return verdict
