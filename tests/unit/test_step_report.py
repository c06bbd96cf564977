"""Report of late groups from the log lines of nodes."""

from pathlib import Path

import pytest

from worksramp.cli import Commands
from worksramp.step_report import read_steps, report

TAKEN = (
    "12.1 node-1 timestamp=2026-10-16T17:20:14.500000Z level=info event=batch_taken batch_id=b1 step=4 "
    "num_wanted_groups=2 target_s=7.5 age_s=0.5"
)


def listed(item: str, group: str, age_s: float, **stages: float) -> str:
    pairs = " ".join(f"{stage}_s={seconds}" for stage, seconds in stages.items())
    return f"event=item_listed item_id={item} batch_id=b1 group={group} batch_age_s={age_s} {pairs}"


LINES = [
    TAKEN,
    listed("i1", "g1", 3.0, waiting=0.1, running=2.8, scoring=0.1),
    listed("i2", "g1", 4.0, waiting=0.0, running=3.9, scoring=0.1),
    listed("i3", "g2", 9.0, waiting=0.2, running=2.0, scoring=6.3),
    listed("i4", "g3", 9.5, waiting=9.0, running=0.4, scoring=0.1),
    "event=item_left item_id=i5 batch_id=b1 group=g4 waiting_s=1 running_s=8 scoring_s=0",
    'event=broken text="no end',
]


def test_a_group_is_complete_with_its_last_item_and_only_wanted_groups_count() -> None:
    (step,) = read_steps(LINES)
    assert (step.step, step.complete_s, step.asked_at) == ("4", 9.0, "20:14.0")
    assert [end.item_id for end in step.lost_groups(0.7)] == ["i3"]
    assert step.lost_groups(2.0) == []


def test_the_report_names_the_main_stage() -> None:
    text = report(LINES, 0.7)
    assert "lost 1 of 2 groups" in text
    assert "1  scoring" in text


def test_every_column_has_a_heading_above_it() -> None:
    heading, row = report(LINES, 0.7).splitlines()[:2]
    names = ("step", "batch", "asked", "taken")
    begins = [heading.index(name) for name in names]
    ends = [*begins[1:], heading.index("groups")]
    columns = [row[begin:end].strip() for begin, end in zip(begins, ends, strict=True)]
    assert columns == ["4", "b1", "20:14.0", "0.5"]
    for name, value in (("groups", "2"), ("lost", "1"), ("whole", "9.0")):
        assert row[: heading.index(name) + len(name)].split()[-1] == value, name


def test_an_item_left_unfinished_counts_as_never_listed_until_a_later_owner_lists_it() -> None:
    lines = [TAKEN.replace("num_wanted_groups=2", "num_wanted_groups=4"), *LINES[1:]]
    assert "1  running, never listed" in report(lines, 0.7)
    assert "never listed" not in report([*lines, listed("i5", "g4", 7.0, running=6.0)], 0.7)


def test_the_command_reads_files_and_exits_with_2_if_it_cannot(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "node.log"
    file.write_text("\n".join(LINES), encoding="utf-8")
    Commands().steps(str(file), grace_s=0.7)
    assert "lost 1 of 2 groups" in capsys.readouterr().out
    for files in ((), (str(tmp_path / "none"),)):
        with pytest.raises(SystemExit) as caught:
            Commands().steps(*files)
        assert caught.value.code == 2
