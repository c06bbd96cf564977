"""Replays a load of items against the scheduling functions alone, without an owner, on a virtual clock."""

import random
from collections import defaultdict
from dataclasses import dataclass, field

from worksramp.rollout.batch_schedule import assign, rank
from worksramp.rollout.move_gain import MoveEstimator, RunView
from worksramp.rollout.pace import PaceTracker
from worksramp.rollout.run_watch import (
    MAX_MOVES_PER_TICK,
    MIN_SECONDS_BETWEEN_MOVES,
)
from worksramp.rollout.schedule_views import WaitingItem, WorkerView
from worksramp.rollout.text_length import TextLengths

TICK_S = 0.05
NUM_SLOTS = 6
NORMAL_PACE_S = 0.0385
TOKENS_PER_EVENT = 59
MAX_EVENTS = 182
#: Range of the factor on the time between two events: workers read prompts between the events of other runs.
GAP_SPREAD = (0.7, 1.6)
GROUP_SIZE = 16


@dataclass
class Item:
    """One item of the replayed load."""

    key: tuple[str, int]
    group: int
    asked_at: float
    num_events: int
    hint_tokens: int
    min_version: int = 1
    num_made: float = 0.0
    worker: str = ""
    started_at: float = 0.0
    completed_at: float | None = None
    avoided: frozenset[str] = frozenset()
    reserved: str = ""

    @property
    def num_hinted(self) -> float:
        """Length by the hint, in events."""
        return self.hint_tokens / TOKENS_PER_EVENT

    def events_left(self, lengths: TextLengths) -> float:
        """Return the events still to be generated, as the owner estimates them."""
        return lengths.events_left("m", self.num_hinted, int(self.num_made))

    def most_events_left(self, lengths: TextLengths) -> float:
        """Return the most events that may still have to be generated, as the owner estimates them."""
        return lengths.most_events_left("m", self.num_hinted, int(self.num_made))

    def view(self, now: float, lengths: TextLengths) -> WaitingItem:
        """Return the item as scheduler input."""
        left = round(self.events_left(lengths) * TOKENS_PER_EVENT)
        return WaitingItem(
            self.key,
            "s",
            "m",
            now - self.asked_at,
            left,
            1,
            self.min_version,
            None,
            self.avoided,
            TOKENS_PER_EVENT,
            self.reserved,
        )


@dataclass
class Worker:
    """A worker that is slow while ``slow_from <= now < slow_to`` and has version 2 from ``loaded_at`` on."""

    name: str
    factor: float = 1.0
    slow_from: float = float("inf")
    slow_to: float = float("inf")
    loaded_at: float = 0.0

    def pace(self, now: float) -> float:
        """Return the seconds per event now."""
        return NORMAL_PACE_S * (self.factor if self.slow_from <= now < self.slow_to else 1.0)


@dataclass
class Replay:
    """A load of items and a fleet of workers."""

    workers: list[Worker]
    num_slots: int = NUM_SLOTS
    items: list[Item] = field(default_factory=list)
    source: random.Random = field(default_factory=lambda: random.Random(1))
    pace: PaceTracker = field(default_factory=PaceTracker)
    lengths: TextLengths = field(default_factory=TextLengths)
    num_moves: int = 0

    def ask(self, name: str, at: float, num_groups: int, source: random.Random, min_version: int = 1) -> None:
        """Add a step of many short items and few very long ones, with estimates of their lengths."""
        for idx in range(num_groups * GROUP_SIZE):
            num_events = max(1, min(MAX_EVENTS, round(source.lognormvariate(2.7, 1.15))))
            hint = round(num_events * TOKENS_PER_EVENT * source.lognormvariate(0.0, 0.5))
            self.items.append(Item((name, idx), idx // GROUP_SIZE, at, num_events, hint, min_version))

    def run(self, until_s: float) -> None:
        """Replay the load until a time in seconds."""
        now = 0.0
        while now < until_s:
            self._make_events(now)
            self._move(now)
            self._assign(now)
            now += TICK_S

    def seconds_of_step(self, name: str, num_wanted: int) -> float:
        """Return how many seconds after its request a step had ``num_wanted`` complete groups."""
        groups: dict[int, float] = {}
        of_step = [item for item in self.items if item.key[0] == name]
        for item in of_step:
            ended = float("inf") if item.completed_at is None else item.completed_at
            groups[item.group] = max(groups.get(item.group, 0.0), ended)
        return sorted(groups.values())[num_wanted - 1] - of_step[0].asked_at

    def _running(self) -> list[Item]:
        return [item for item in self.items if item.worker]

    def _waiting(self, now: float) -> list[Item]:
        return [
            item
            for item in self.items
            if not item.worker and item.completed_at is None and item.asked_at <= now
        ]

    def _make_events(self, now: float) -> None:
        paces = {worker.name: worker.pace(now) for worker in self.workers}
        for item in self._running():
            pace = paces[item.worker]
            before = int(item.num_made)
            item.num_made += TICK_S / pace
            for _ in range(int(item.num_made) - before):
                self.pace.observe(item.worker, pace * self.source.uniform(*GAP_SPREAD), now)
            if item.num_made >= item.num_events:
                item.worker, item.completed_at = "", now
                self.lengths.record("m", item.num_hinted, item.num_events)

    def _worker_views(self, now: float) -> list[WorkerView]:
        slow = self.pace.last_known_slow(now)
        running: defaultdict[str, list[WaitingItem]] = defaultdict(list)
        for item in self._running():
            running[item.worker].append(item.view(now, self.lengths))
        worker_views = []
        for worker in self.workers:
            views = running[worker.name]
            last_known = self.pace.last_known(worker.name, now)
            worker_views.append(
                WorkerView(
                    worker.name,
                    "s",
                    self.num_slots,
                    len(views),
                    sum(view.num_expected_tokens for view in views),
                    {"m": 2 if now >= worker.loaded_at else 1},
                    seconds_per_event=None if last_known is None else last_known.seconds_per_event,
                    is_slow=worker.name in slow,
                    may_have_recovered=worker.name in slow and last_known is not None and last_known.is_old,
                    num_expected_events=sum(view.num_expected_events for view in views),
                )
            )
        return worker_views

    def _move(self, now: float) -> None:
        longest: dict[str, float] = {}
        for item in self._running() + self._waiting(now):
            longest[item.key[0]] = max(longest.get(item.key[0], 0.0), item.events_left(self.lengths))
        estimator = MoveEstimator(
            self._worker_views(now), [item.view(now, self.lengths) for item in self._waiting(now)], longest
        )
        num_moves = 0
        targets: set[str] = set()
        for item in self._running():
            pace = self.pace.seconds_per_event(item.worker, now)
            if (
                pace is None
                or now - item.started_at < MIN_SECONDS_BETWEEN_MOVES
                or num_moves >= MAX_MOVES_PER_TICK
            ):
                continue
            is_slow = self.pace.is_slow(item.worker, now)
            view = item.view(now, self.lengths)
            left, most_left = item.events_left(self.lengths), item.most_events_left(self.lengths)
            run = RunView(view, item.worker, pace, left, most_left, is_slow)
            move = estimator.decide(run, targets)
            if move is not None:
                targets.add(move.target)
                num_moves += 1
                self.num_moves += 1
                item.avoided, item.worker, item.reserved = frozenset([item.worker]), "", move.target

    def _assign(self, now: float) -> None:
        by_key = {item.key: item for item in self._waiting(now)}
        waiting = sorted((item.view(now, self.lengths) for item in by_key.values()), key=rank)
        for assignment in assign(waiting, self._worker_views(now)):
            item = by_key[assignment.key]
            item.worker, item.started_at, item.reserved = assignment.worker_id, now, ""
