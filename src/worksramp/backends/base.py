"""Abstract clients of the outside systems and the data they exchange.

Each class has an HTTP implementation (`worksramp.backends.http`) and an in-process twin in the
emulator. Implementations raise `NotStartedError` only when the other side certainly did not begin.

See Also:
    worksramp.outcomes: the two kinds of step error.
"""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator
from enum import StrEnum

import msgspec


class MachineRole(StrEnum):
    """What a listed machine runs."""

    NODE = "node"
    ENGINE = "engine"
    APPLICATION = "application"
    SCORER = "scorer"


class Machine(msgspec.Struct, frozen=True):
    """One line of the machine list, which lags behind the truth.

    Attributes:
        group: fleet name of an engine, application name of a worker, empty for nodes.
        incarnation: grows each time the machine is replaced or restarted.
    """

    machine_id: str
    role: MachineRole
    address: str
    zone: str
    group: str = ""
    is_leaving: bool = False
    incarnation: int = 0


class WorkerReport(msgspec.Struct, frozen=True):
    """Load and state that an engine or application worker reports, with a lag.

    Attributes:
        age_seconds: how old the figures already were when the report was sent.
        highest_epoch: highest fencing epoch the worker has obeyed.
    """

    worker_id: str
    is_leaving: bool = False
    weight_version: int = 0
    num_running: int = 0
    num_queued: int = 0
    max_num_seqs: int = 1
    is_loading: bool = False
    age_seconds: float = 0.0
    highest_epoch: int = 0


class GenerateRequest(msgspec.Struct, frozen=True):
    """A completion to generate.

    Attributes:
        prefix_tokens: tokens already generated, when an interrupted stream is resumed.
        priority: lower runs first, as in the engines' own scheduler.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    seed: int = 0
    priority: int = 0
    prefix_tokens: tuple[str, ...] = ()


class GenerationChunk(msgspec.Struct, frozen=True):
    """Consecutive tokens of one stream, all produced by one weight version.

    Attributes:
        start: index of the first token within the whole completion.
    """

    request_id: str
    start: int
    tokens: tuple[str, ...]
    weight_version: int
    is_final: bool = False


class LoadOrder(msgspec.Struct, frozen=True):
    """Fenced order to load a weight version; an engine refuses an epoch lower than it has obeyed."""

    model: str
    weight_version: int
    epoch: int


class ApplicationRequest(msgspec.Struct, frozen=True):
    """A call to an application worker."""

    request_id: str
    method: str
    path: str
    body: bytes = b""


class ApplicationReply(msgspec.Struct, frozen=True):
    """An application worker's answer."""

    status: int
    body: bytes


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    Attributes:
        start: offset of the first record.
        end_offset: offset that the next appended record would get.
    """

    start: int
    records: tuple[bytes, ...]
    end_offset: int


class LogClient(ABC):
    """Append-only log service with offsets. No conditional append is assumed."""

    @abstractmethod
    async def append(self, stream: str, record: bytes) -> int:
        """Append and return the record's offset.

        Raises:
            StepError: the append may or may not have taken effect.
        """

    @abstractmethod
    async def read(self, stream: str, start: int, max_records: int, wait_seconds: float) -> LogPage:
        """Read from ``start``; with nothing there, wait up to ``wait_seconds`` for a record."""


class EngineClient(ABC):
    """A model engine."""

    @abstractmethod
    def generate(self, address: str, request: GenerateRequest) -> AsyncGenerator[GenerationChunk, None]:
        """Stream a completion. Closing the iterator cancels it on the engine."""

    @abstractmethod
    async def report(self, address: str) -> WorkerReport:
        """Return the engine's load report."""

    @abstractmethod
    async def order_load(self, address: str, order: LoadOrder) -> WorkerReport:
        """Order a weight load. The reported version, not this reply, says what is loaded."""


class ApplicationClient(ABC):
    """An application worker."""

    @abstractmethod
    async def call(self, address: str, request: ApplicationRequest) -> ApplicationReply:
        """Run one request on the worker."""

    @abstractmethod
    async def report(self, address: str) -> WorkerReport:
        """Return the worker's load report."""


class WeightStoreClient(ABC):
    """The rate-limited store of weight versions."""

    @abstractmethod
    async def newest_version(self, model: str) -> int:
        """Return the newest published version of a model, 0 if there is none."""


class ScorerClient(ABC):
    """A scoring service."""

    @abstractmethod
    async def score(self, address: str, prompt: str, completion: str) -> float:
        """Return the reward of a completion."""


class MachineListClient(ABC):
    """The platform's list of live and leaving machines."""

    @abstractmethod
    async def machines(self) -> tuple[Machine, ...]:
        """Return the list as the platform sees it now."""


class Platform(msgspec.Struct, frozen=True):
    """The clients one node uses, one seam per outside system."""

    log: LogClient
    engines: EngineClient
    applications: ApplicationClient
    weight_store: WeightStoreClient
    scorers: ScorerClient
    machine_list: MachineListClient
