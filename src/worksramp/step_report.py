"""Report from the nodes' logs which groups of which steps were late, and in which stage their time was spent.

A group is called lost if its last item was listed too late or never. Lines are those of `worksramp.logs`
(key=value pairs), of several nodes in any order. Text before the first pair, such as a time stamp or the name
of a machine, is ignored.
"""

import math
import shlex
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta

#: Stages of `worksramp.rollout.stage_clock`, after the time before the owner first handled the batch.
BEFORE_OWNER = "before_owner"
STAGES = (BEFORE_OWNER, "waiting", "running", "scoring")
TABLE_HEADER = (
    "step   batch             asked    taken at      groups lost whole  last group lost: item, stages"
)
STEP_EVENTS = ("batch_taken", "item_listed", "item_left", "batch_ended")


@dataclass(frozen=True, slots=True)
class ItemEnd:
    """End of an item under its last owner.

    Attributes:
        age_s: age of the batch when the item was listed, infinity if it was never listed.
        stage_s: seconds that the item spent in each stage.
    """

    item_id: str
    group: str
    age_s: float
    stage_s: dict[str, float]

    @property
    def main_stage(self) -> str:
        """Stage in which the item spent the most time."""
        return max(STAGES, key=lambda stage: self.stage_s.get(stage, 0.0))


@dataclass(slots=True)
class LoggedStep:
    """One step, read from the logs.

    Attributes:
        num_wanted_groups: number of groups that the trainer waits for.
        target_s: age of the batch by which the trainer wants these groups.
        asked_at: time of day at which the step was first sent, minutes and seconds.
        taken_at_s: age of the batch each time that an owner began to handle it.
        ends: items that were listed, or unfinished at the end of the batch, by id.
    """

    batch_id: str
    step: str
    num_wanted_groups: int
    target_s: float
    asked_at: str = ""
    taken_at_s: list[float] = field(default_factory=list)
    ends: dict[str, ItemEnd] = field(default_factory=dict)

    def groups(self) -> dict[str, ItemEnd]:
        """Return the last item of each group, by group; an item that was never listed counts as the last."""
        last: dict[str, ItemEnd] = {}
        for end in self.ends.values():
            if end.group not in last or end.age_s > last[end.group].age_s:
                last[end.group] = end
        return last

    @property
    def complete_s(self) -> float:
        """Age of the batch when the groups that the trainer waits for were complete, infinity for never."""
        ages_s = sorted(end.age_s for end in self.groups().values())
        return ages_s[self.num_wanted_groups - 1] if 0 < self.num_wanted_groups <= len(ages_s) else math.inf

    def lost_groups(self, grace_s: float) -> list[ItemEnd]:
        """Return the last items of the groups that the trainer waits for and did not get in time.

        Args:
            grace_s: seconds after the target in which a group still counts as in time.
        """
        ends = sorted(self.groups().values(), key=lambda end: end.age_s)
        wanted = ends[: self.num_wanted_groups]
        return [end for end in wanted if end.age_s > self.target_s + grace_s]


def parse_pairs(line: str) -> dict[str, str]:
    """Return the key=value pairs of a line, no pairs if the line cannot be split."""
    try:
        words = shlex.split(line)
    except ValueError:
        return {}
    return {key: value for key, sep, value in (word.partition("=") for word in words) if sep}


def read_steps(lines: Iterable[str]) -> list[LoggedStep]:
    """Return all steps in the lines, in the order of their first event ``batch_taken``."""
    steps: dict[str, LoggedStep] = {}
    for pairs in _step_events(lines):
        batch_id = pairs.get("batch_id", "")
        if pairs["event"] == "batch_taken":
            logged_step = steps.setdefault(
                batch_id,
                LoggedStep(
                    batch_id,
                    pairs.get("step", ""),
                    int(pairs.get("num_wanted_groups", 0)),
                    float(pairs.get("target_s", math.inf)),
                    _asked_at(pairs),
                ),
            )
            logged_step.taken_at_s.append(float(pairs.get("age_s", 0.0)))
        elif batch_id in steps and pairs["event"] in ("item_listed", "item_left"):
            _add_end(steps[batch_id], pairs)
    return list(steps.values())


def _asked_at(pairs: dict[str, str]) -> str:
    try:
        taken_at = datetime.fromisoformat(pairs.get("timestamp", ""))
    except ValueError:
        return ""
    asked_at = taken_at - timedelta(seconds=float(pairs.get("age_s", 0.0)))
    return f"{asked_at:%M:%S}.{asked_at.microsecond // 100_000}"


def _step_events(lines: Iterable[str]) -> Iterator[dict[str, str]]:
    for line in lines:
        if any(f"event={event}" in line for event in STEP_EVENTS):
            yield parse_pairs(line)


def _add_end(step: LoggedStep, pairs: dict[str, str]) -> None:
    stage_s = {stage: float(pairs.get(f"{stage}_s", 0.0)) for stage in STAGES[1:]}
    stage_s[BEFORE_OWNER] = step.taken_at_s[-1]
    is_listed = pairs["event"] == "item_listed"
    item_id = pairs.get("item_id", "")
    age_s = float(pairs.get("batch_age_s", 0.0)) if is_listed else math.inf
    before = step.ends.get(item_id)
    if before is None or not math.isfinite(before.age_s):
        step.ends[item_id] = ItemEnd(item_id, pairs.get("group", ""), age_s, stage_s)


def report(lines: Iterable[str], grace_s: float) -> str:
    """Return a table of the steps, followed by counts of lost groups by the main stage of their last item.

    Args:
        lines: log lines of one or more nodes.
        grace_s: seconds after the target in which a group still counts as in time.
    """
    rows = [
        f"{'step':6} {'batch':17} {'asked':8} {'taken':14} {'groups':>6} {'lost':>4} {'whole':>6}"
        "  last of them: item, seconds in stages"
    ]
    causes: Counter[str] = Counter()
    stage_sums: defaultdict[str, float] = defaultdict(float)
    num_wanted = 0
    for step in read_steps(lines):
        lost = step.lost_groups(grace_s)
        num_wanted += step.num_wanted_groups
        for end in lost:
            causes[f"{end.main_stage}{'' if math.isfinite(end.age_s) else ', never listed'}"] += 1
            for stage in STAGES:
                stage_sums[stage] += end.stage_s.get(stage, 0.0)
        rows.append(_row(step, lost))
    num_lost = sum(causes.values())
    rows.append(f"lost {num_lost} of {num_wanted} groups that were waited for")
    rows += [f"  {count:4}  {cause}" for cause, count in causes.most_common()]
    if num_lost:
        means = ", ".join(f"{stage} {stage_sums[stage] / num_lost:.2f}" for stage in STAGES)
        rows.append(f"seconds of their last items, mean: {means}")
    return "\n".join(rows)


def _row(step: LoggedStep, lost: list[ItemEnd]) -> str:
    taken = ",".join(f"{age_s:.1f}" for age_s in step.taken_at_s)
    row = (
        f"{step.step:6} {step.batch_id:17} {step.asked_at:8} {taken:14} {step.num_wanted_groups:6} "
        f"{len(lost):4} {step.complete_s:6.1f}"
    )
    if not lost:
        return row
    last = lost[-1]
    stages = " ".join(f"{stage} {last.stage_s.get(stage, 0.0):.1f}" for stage in STAGES)
    return f"{row}  {last.item_id} {stages}"
