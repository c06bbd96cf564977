"""Schedule of a soak: a pure function of its seed.

Draws for one run of one request depend on its name only, whatever the order in which requests reach the
workers.
"""

import math
import random
import signal
from dataclasses import dataclass
from enum import StrEnum

NUM_NODES = 3
NUM_CLIENTS = 18
#: More sends than a client finishes in a second.
SENDS_PER_SECOND = 60
THINK_S = (0.0, 0.05)
#: A caller that comes back under the same id does so before late second answers.
RETURN_HASTE = 0.2
SAME_ID_SHARE = 0.3
CHUNKED_SHARE = 0.4
STUTTER_SHARE = 0.3
IMMEDIATE_SHARE = 0.5
OTHER_STATUS_SHARE = 0.4
WITHOUT_ID_SHARE = 0.25
STUTTER_DELAY_S = 0.06
FIRST_SIGNAL_S = 1.5
SIGNAL_GAP_S = (0.2, 4.0)
PAUSE_S = (0.2, 2.5)
#: Entries of another writer that stand all the time, and those that come and go.
NUM_STANDING_ENTRIES = 20
ENTRY_GAP_S = (0.1, 1.0)
ENTRY_STAYS_S = (0.05, 3.0)


class Kind(StrEnum):
    """Kind of a live request."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


KIND_WEIGHTS = {Kind.IDEMPOTENT: 4, Kind.ONCE: 4, Kind.STREAM: 2}


@dataclass(frozen=True, slots=True)
class Surplus:
    """A second answer to a request.

    Attributes:
        delay_s: time after the first answer.
        has_other_status: whether its status and body differ from those of the first.
        has_id: whether it carries the request's id.
    """

    delay_s: float
    has_other_status: bool
    has_id: bool
    is_chunked: bool


@dataclass(frozen=True, slots=True)
class Send:
    """A live request that a client sends.

    Attributes:
        is_same_id: whether it carries the id of the client's previous request of this kind.
        think_s: time before it.
    """

    kind: Kind
    is_same_id: bool
    is_chunked: bool
    think_s: float


@dataclass(frozen=True, slots=True)
class NodeSignal:
    """A signal to one node, ``pause_s`` after which SIGCONT follows a SIGSTOP."""

    at_s: float
    node: int
    number: signal.Signals
    pause_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ForeignEntry:
    """An entry of another writer among those of the workers; nobody listens at its address.

    Attributes:
        is_model_worker: whether it names the service of the workers of models.
        at_s: when it is written, negative for before the nodes start.
        stays_s: time until it is removed, infinite if it stays.
    """

    worker_id: str
    is_model_worker: bool
    at_s: float
    stays_s: float


@dataclass(frozen=True, slots=True)
class Plan:
    """All that is drawn for a soak.

    Args:
        has_trouble: whether workers answer twice.
        has_signals: whether nodes get signals.
        has_foreign_entries: whether another writer leaves entries that state a start time, as no worker does.
    """

    seed: int
    length_s: float
    has_trouble: bool = True
    has_signals: bool = False
    has_foreign_entries: bool = False

    def source(self, *name: object) -> random.Random:
        """Return a source of draws for one thing."""
        return random.Random("/".join(str(part) for part in (self.seed, *name)))

    def surplus(self, draws: random.Random) -> Surplus | None:
        """Draw the second answer to a request, None for none."""
        # All draws are made in any case, so that those that follow are the same without trouble.
        is_stuttering = draws.random() < STUTTER_SHARE
        is_immediate, delay_s = draws.random() < IMMEDIATE_SHARE, draws.uniform(0.0, STUTTER_DELAY_S)
        has_other_status, lacks_id = draws.random() < OTHER_STATUS_SHARE, draws.random() < WITHOUT_ID_SHARE
        is_chunked = draws.random() < CHUNKED_SHARE
        surplus = Surplus(0.0 if is_immediate else delay_s, has_other_status, not lacks_id, is_chunked)
        return surplus if is_stuttering and self.has_trouble else None

    def sends(self, client: int) -> list[Send]:
        """Return the requests of one client; it leaves out those for which no time is left."""
        draws = self.source("client", client)
        return [self._send(draws) for _ in range(int(self.length_s * SENDS_PER_SECOND))]

    def _send(self, draws: random.Random) -> Send:
        kind = draws.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
        is_same_id, is_chunked = draws.random() < SAME_ID_SHARE, draws.random() < CHUNKED_SHARE
        think_s = draws.uniform(*THINK_S)
        return Send(kind, is_same_id, is_chunked, think_s * RETURN_HASTE if is_same_id else think_s)

    def signals(self) -> list[NodeSignal]:
        """Return the signals: some come when all have recovered from the one before, some earlier."""
        draws, at_s, signals = self.source("signals"), FIRST_SIGNAL_S, list[NodeSignal]()
        while self.has_signals and at_s < self.length_s:
            number = draws.choice([signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP])
            pause_s = draws.uniform(*PAUSE_S) if number is signal.SIGSTOP else 0.0
            signals.append(NodeSignal(at_s, draws.randrange(NUM_NODES), number, pause_s))
            at_s += draws.uniform(*SIGNAL_GAP_S)
        return signals

    def foreign_entries(self) -> list[ForeignEntry]:
        """Return the entries of another writer: many that stand from the start, some that come and go."""
        draws, at_s = self.source("foreign"), 0.0
        if not self.has_foreign_entries:
            return []
        entries = [
            ForeignEntry(f"odd-{number}", draws.random() < 0.5, -1.0, math.inf)
            for number in range(NUM_STANDING_ENTRIES)
        ]
        while (at_s := at_s + draws.uniform(*ENTRY_GAP_S)) < self.length_s:
            name = f"odd-{len(entries)}"
            entries.append(ForeignEntry(name, draws.random() < 0.5, at_s, draws.uniform(*ENTRY_STAYS_S)))
        return entries

    def describe(self) -> str:
        """Return the schedule as text."""
        lines = [f"seed {self.seed}, {self.length_s} s, trouble {self.has_trouble}"]
        lines += [f"{s.at_s:.3f} node {s.node} {s.number.name} {s.pause_s:.3f}" for s in self.signals()]
        lines += [f"{e.at_s:.3f} entry {e.worker_id} for {e.stays_s:.3f}" for e in self.foreign_entries()]
        for client in range(NUM_CLIENTS):
            lines += [
                f"client {client}: {send.kind} {send.think_s:.3f}"
                f"{' same id' if send.is_same_id else ''}{' chunked' if send.is_chunked else ''}"
                for send in self.sends(client)
            ]
        return "\n".join(lines) + "\n"
