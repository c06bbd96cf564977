"""Route table: matches a request to a route by host and longest path prefix."""

import random
from dataclasses import dataclass, field
from enum import StrEnum

from worksramp.routing.identity import Tenants


class RouteKind(StrEnum):
    """Kind of a route's requests, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class SplitPart:
    """Share of a route's requests that is sent to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    Attributes:
        timeout_seconds: maximum time until the final response; None for no limit.
        objective_seconds: time within which a response is worth most.
        max_attempts: maximum number of workers that one request is sent to.
        priority: 0 is the most urgent.
        is_resumable: whether a broken stream may be resumed at another worker.
        needs_one_version: whether all text of an item must come from one weight version.
        keep_seconds: age of a batch at which its items may be given up.
        target_seconds: age of a batch at which its results are due.
        is_public: whether callers need no API key.
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
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH) or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )

    def choose_service(self, rng: random.Random) -> str:
        """Return a service of the split, chosen at random by weight."""
        if len(self.parts) == 1:
            return self.parts[0].service
        weights = [part.weight for part in self.parts]
        return rng.choices([part.service for part in self.parts], weights)[0]


@dataclass(frozen=True, slots=True)
class ScalingLimits:
    """What may be ordered of a service whose number of workers is the system's to set.

    Attributes:
        min_workers: fewest workers of a zone.
        max_workers: most workers of a zone.
        boot_s: time until a new worker serves.
        spot_price: price of a worker that may be taken away, as a share of that of another.
        zone_prices: price of a worker second by zone.
    """

    min_workers: int
    max_workers: int
    boot_s: float = 5.0
    spot_price: float = 1.0
    zone_prices: dict[str, float] = field(default_factory=dict)

    def price(self, zone: str) -> float:
        """Return the price of a worker second in a zone."""
        return self.zone_prices.get(zone, 1.0)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Configuration of a service.

    Attributes:
        max_connections: connections that one worker accepts from all of its clients together.
        models: names of the models that the workers hold.
        num_slots: requests that a worker runs at the same time; 0 if only the worker's entry states it.
        num_memory_tokens: memory of a worker in tokens; 0 if it has none.
        tokens_per_event: tokens per event of a stream.
        scaling: what may be ordered; None if the number of workers is not the system's to set.
        health_path: path at which a worker states whether it is well, empty if there is none.
    """

    name: str
    max_connections: int = 100
    models: tuple[str, ...] = ()
    num_slots: int = 0
    num_memory_tokens: int = 0
    tokens_per_event: int = 1
    scaling: ScalingLimits | None = None
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes, services, tenants and limits of one configuration version, which is in force as a whole.

    Attributes:
        service_names: all services that the configuration names.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = field(default_factory=CallerLimits)
    tenants: Tenants = field(default_factory=Tenants)
    service_names: frozenset[str] = field(init=False, repr=False, compare=False)
    _index: dict[tuple[str, str], Route] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        index: dict[tuple[str, str], Route] = {}
        for route in self.routes:
            index.setdefault((route.host, route.path_prefix), route)
        object.__setattr__(self, "_index", index)
        of_routes = (part.service for route in self.routes for part in route.parts)
        object.__setattr__(self, "service_names", frozenset([*self.services, *of_routes]))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route for a request, or None if there is none.

        Prefixes begin and end with a slash, so the longest match is found by shortening the path slash by
        slash. This takes at most one lookup per slash of the path, however many routes there are.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._index.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
