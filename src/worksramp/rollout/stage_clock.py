"""How long an item has been in each stage on its way to its result."""

from dataclasses import dataclass, field
from enum import StrEnum


class Stage(StrEnum):
    """Where an item is on its way."""

    #: No worker runs it.
    WAITING = "waiting"
    #: A worker runs it.
    RUNNING = "running"
    #: Its text is whole, its score is still to come.
    SCORING = "scoring"


@dataclass(slots=True)
class StageClock:
    """Seconds in each stage, as one owner saw them.

    Attributes:
        since: when the stage was entered.
        spent_s: seconds in stages that were left, by stage.
    """

    stage: Stage = Stage.WAITING
    since: float = 0.0
    spent_s: dict[Stage, float] = field(default_factory=dict)

    def enter(self, stage: Stage, now: float) -> None:
        """Go on in another stage."""
        self.spent_s[self.stage] = self.seconds(self.stage, now)
        self.stage, self.since = stage, now

    def seconds(self, stage: Stage, now: float) -> float:
        """Return the time spent in a stage until now."""
        current_s = now - self.since if stage is self.stage else 0.0
        return self.spent_s.get(stage, 0.0) + current_s

    def as_log_fields(self, now: float) -> dict[str, float]:
        """Return the seconds in all stages as fields of a log line."""
        return {f"{stage}_s": round(self.seconds(stage, now), 3) for stage in Stage}
