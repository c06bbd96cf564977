"""Immutable view of the work of a fleet, used to decide which weight versions its workers load."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ModelWork:
    """Open work of one model.

    Attributes:
        num_waiting: number of items that wait for a slot.
        min_version: oldest weight version that all open items may use, 0 if no item is open.
        has_one_version_work: whether any item needs one weight version for all its text.
        num_step_items: expected number of items per step, 0 before the first step.
    """

    num_waiting: int = 0
    min_version: int = 0
    has_one_version_work: bool = False
    num_step_items: int = 0


@dataclass(frozen=True, slots=True)
class FleetView:
    """Work of a fleet at one moment.

    Attributes:
        models: open work by model.
        num_runs: number of runs by worker id and model.
        num_taken_slots: number of runs of all models by worker id.
        slow_workers: ids of workers that are much slower than the others now, or that fail part of their
            work.
        fast_workers: ids of workers of a faster kind than the median worker.
    """

    models: dict[str, ModelWork]
    num_runs: dict[tuple[str, str], int]
    num_taken_slots: dict[str, int]
    slow_workers: frozenset[str]
    fast_workers: frozenset[str] = frozenset()


class FleetWork(Protocol):
    """Interface of the fleet's work that the version mover uses.

    Attributes:
        loading: model that each loading worker loads, by worker id.
        active_workers: workers of a large fleet that get its work, None if all do.
    """

    loading: dict[str, str]
    active_workers: frozenset[str] | None

    def view(self) -> FleetView:
        """Return the current work of the fleet."""
