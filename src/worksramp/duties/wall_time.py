"""Time of day that does not follow the jumps of the machine's clock."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from worksramp.coordination.elapsed import ElapsedClock, monotonic_s

#: Difference between the two clocks that is taken for a jump; smaller ones are followed at once.
JUMP_S = 0.5
#: A jump that lasts longer is a correction of the clock, and is followed.
CORRECTION_AFTER_S = 60.0


@dataclass(slots=True)
class WallTime:
    """Time of day in seconds, carried on by a steady clock while the machine's clock has jumped.

    Attributes:
        time_of_day: the machine's clock.
        clock: steady clock.
    """

    time_of_day: Callable[[], float] = time.time
    clock: ElapsedClock = monotonic_s
    _offset: float = field(init=False)
    _jumped_at: float | None = None

    def __post_init__(self) -> None:
        self._offset = self.time_of_day() - self.clock()

    def now_s(self) -> float:
        """Return the time of day."""
        steady = self.clock()
        offset = self.time_of_day() - steady
        if abs(offset - self._offset) < JUMP_S:
            self._offset, self._jumped_at = offset, None
        elif self._jumped_at is None:
            self._jumped_at = steady
        elif steady - self._jumped_at > CORRECTION_AFTER_S:
            self._offset, self._jumped_at = offset, None
        return steady + self._offset
