"""What a fleet of workers is at, as one immutable view for those who decide about its weights."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ModelWork:
    """Open work of one model.

    Attributes:
        num_waiting: items that wait for a place.
        min_version: oldest version that any open item may use, 0 when none is open.
        has_one_version_work: any open item needs one version for all its text.
        num_step_items: items that a step brings, 0 before the first.
    """

    num_waiting: int = 0
    min_version: int = 0
    has_one_version_work: bool = False
    num_step_items: int = 0


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a fleet is at, as of one moment.

    Attributes:
        models: open work by model.
        num_runs: runs by worker and model.
        num_taken_slots: runs of all models by worker.
        slow_workers: workers far slower than the others now, or that fail part of what they are given.
    """

    models: dict[str, ModelWork]
    num_runs: dict[tuple[str, str], int]
    num_taken_slots: dict[str, int]
    slow_workers: frozenset[str]


class FleetWork(Protocol):
    """What the mover asks of whoever gives work to the fleet."""

    loading: dict[str, str]

    def view(self) -> FleetView:
        """Return what the fleet is at now."""
