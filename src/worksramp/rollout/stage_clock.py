"""Measures how long an item spends in each stage before it has a result."""

from dataclasses import dataclass, field
from enum import StrEnum


class Stage(StrEnum):
    """Stage of an item that has no result yet."""

    #: No worker runs it.
    WAITING = "waiting"
    #: A worker runs it.
    RUNNING = "running"
    #: Its text is complete, its score is missing.
    SCORING = "scoring"


@dataclass(slots=True)
class StageClock:
    """Seconds that an item has spent in each stage under one owner.

    Attributes:
        stage: current stage.
        since: when the current stage was entered.
        spent_s: seconds in stages that have ended, by stage.
    """

    stage: Stage = Stage.WAITING
    since: float = 0.0
    spent_s: dict[Stage, float] = field(default_factory=dict)

    def enter(self, stage: Stage, now: float) -> None:
        """Enter a stage and end the current one."""
        self.spent_s[self.stage] = self.seconds(self.stage, now)
        self.stage, self.since = stage, now

    def seconds(self, stage: Stage, now: float) -> float:
        """Return the seconds spent in a stage until now."""
        current_s = now - self.since if stage is self.stage else 0.0
        return self.spent_s.get(stage, 0.0) + current_s

    def as_log_fields(self, now: float) -> dict[str, float]:
        """Return the seconds in each stage as fields of a log event."""
        return {f"{stage}_s": round(self.seconds(stage, now), 3) for stage in Stage}
