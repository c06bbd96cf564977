"""Routes of requests that are forwarded: by host and the longest path prefix."""

import random
from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What a route's requests are and whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class SplitPart:
    """Share of a route's requests that one service gets."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    Attributes:
        timeout_seconds: longest time a request is held; None for no bound.
        objective_seconds: time in which an answer is worth most.
        max_attempts: most workers that one request is sent to.
        priority: 0 is the most urgent.
        is_resumable: a broken stream may go on at another worker.
        needs_one_version: all text of an item must come from one version of the weights.
        keep_seconds: age of a batch at which its items may be given up.
        target_seconds: age of a batch at which its results are due.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    parts: tuple[SplitPart, ...]
    timeout_seconds: float | None = None
    objective_seconds: float = 1.0
    max_attempts: int = 1
    priority: int = 0
    is_resumable: bool = False
    needs_one_version: bool = False
    keep_seconds: float = 60.0
    target_seconds: float = 10.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH) or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )

    def choose_service(self, source: random.Random) -> str:
        """Return a service of the split, each by its weight."""
        if len(self.parts) == 1:
            return self.parts[0].service
        weights = [part.weight for part in self.parts]
        return source.choices([part.service for part in self.parts], weights)[0]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What the configuration says of a service.

    Attributes:
        max_connections: connections that one of its workers takes from all callers together.
        models: names of the models that its workers hold.
        num_slots: requests that a worker runs at once; 0 where only the worker's own entry says.
        num_memory_tokens: tokens of memory of a worker; 0 where it has none.
        tokens_per_event: tokens that one event of a stream holds.
    """

    name: str
    max_connections: int = 100
    models: tuple[str, ...] = ()
    num_slots: int = 0
    num_memory_tokens: int = 0
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration that is in force as a whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = field(default_factory=CallerLimits)
    _index: dict[tuple[str, str], Route] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        index: dict[tuple[str, str], Route] = {}
        for route in self.routes:
            index.setdefault((route.host, route.path_prefix), route)
        object.__setattr__(self, "_index", index)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route for a request, None when there is none.

        Prefixes begin and end with a slash, so that the longest one is found by cutting the path at its
        slashes: as many look-ups as the path has parts, however many routes there are.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._index.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
