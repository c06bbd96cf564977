"""Soak of real node processes: a short run, and the checks that judge it."""

import math
from pathlib import Path

import anyio
import pytest

from worksramp_emulator.soak.checks import violations
from worksramp_emulator.soak.model_workers import item_text
from worksramp_emulator.soak.plan import Kind, Plan
from worksramp_emulator.soak.record import BatchSeen, CallerAnswer, ItemResult, ItemRun, Record, WorkerAnswer
from worksramp_emulator.soak.runner import run_soak
from worksramp_emulator.soak.words import load_words

ROOT = Path(__file__).parents[2]
WORDS = load_words(ROOT / "deploy" / "soak.toml")


def test_answers_stay_with_their_requests_while_workers_answer_twice(tmp_path: Path) -> None:
    # Second answers on kept connections were handed out to other requests, and repeated what had run.
    verdict = anyio.run(run_soak, Plan(seed=1, length_s=6.0), WORDS, ROOT, tmp_path)
    assert sum(number for _, number in verdict.figures.surpluses) > 50
    assert verdict.violations == ()


def test_workers_are_used_beside_more_entries_of_another_writer(tmp_path: Path) -> None:
    # Twelve such entries beside six workers made all nodes refuse the workers, and nothing was served.
    verdict = anyio.run(run_soak, Plan(seed=2, length_s=4.0, has_foreign_entries=True), WORDS, ROOT, tmp_path)
    assert sum(number for _, number in verdict.figures.surpluses) > 30
    assert verdict.violations == ()


def test_one_seed_gives_one_schedule() -> None:
    # A failed seed is of no use if the next run draws other faults.
    plans = [Plan(seed, 10.0, has_signals=True, has_foreign_entries=True).describe() for seed in (1, 1, 2)]
    assert plans[0] == plans[1] != plans[2]


def answer(
    status: int, stamp: str, body: bytes, kind: Kind = Kind.ONCE, is_whole: bool = True
) -> CallerAnswer:
    return CallerAnswer("1-1", kind, "r1", "node-0", 1.0, status, stamp, body, is_whole)


def record(num_runs: int, *seen: CallerAnswer) -> Record:
    result = Record(started_s=0.0)
    result.answers_made["1-1"].append(WorkerAnswer(200, "w.1-1", b"own body"))
    result.num_runs["1-1"] = num_runs
    result.answers += seen
    return result


OWN = answer(200, "w.1-1", b"own body")
ANSWERS: list[tuple[int, CallerAnswer, str]] = [
    (1, OWN, ""),
    (1, answer(502, "", b""), ""),
    (0, answer(503, "", b""), ""),
    (1, answer(200, "w.1-1", b"own", is_whole=False), ""),
    (1, answer(200, "w.1-2", b"own body"), "MIXED"),
    (1, answer(200, "w.1-1", b"other body"), "MIXED"),
    (1, answer(200, "", b"own body"), "MIXED"),
    (1, answer(500, "w.1-1", b"own body"), "MIXED"),
    (1, answer(503, "", b"", Kind.IDEMPOTENT), "REFUSED"),
    (1, answer(421, "", b""), "REFUSED"),
    (2, OWN, "TWICE"),
    (2, answer(200, "w.1-1", b"own body", Kind.STREAM), "TWICE"),
    (2, answer(200, "w.1-1", b"own body", Kind.IDEMPOTENT), ""),
]


@pytest.mark.parametrize(("num_runs", "seen", "found"), ANSWERS)
def test_an_answer_or_a_run_that_breaks_a_promise_is_found(
    num_runs: int, seen: CallerAnswer, found: str
) -> None:
    # A soak whose checks miss a fault shows nothing.
    assert [text.partition(":")[0] for text in violations(record(num_runs, seen), [], 1)] == [found] * bool(
        found
    )


def batch(**changes: object) -> Record:
    fields = {"item_id": "i", "text": "\n".join(item_text("i")), "state": "completed", "versions": (1,),
              "score": "s"} | changes  # fmt: skip
    result = Record(started_s=0.0)
    result.item_runs.append(ItemRun("i", "w", 0.0, 1.0, {1}))
    result.answers_made["score-i"].append(WorkerAnswer(200, "s", b""))
    result.batches.append(BatchSeen("b", ("i",), [ItemResult(**fields)], is_ended=True))  # type: ignore[arg-type]
    return result


@pytest.mark.parametrize(
    ("changes", "found"),
    [
        ({}, []),
        ({"text": "piece 1 of i"}, ["MIXED"]),
        ({"state": "terminated"}, ["MIXED"]),
        ({"versions": (2,)}, ["VERSION"]),
        ({"score": "other"}, ["MIXED"]),
        ({"item_id": "j", "text": "\n".join(item_text("j"))}, ["TWICE", "VERSION", "MIXED"]),
    ],
)
def test_a_result_that_no_worker_made_is_found(changes: dict[str, object], found: list[str]) -> None:
    # Results pass several hands between the worker and the listing.
    assert [text.partition(":")[0] for text in violations(batch(**changes), [], 1)] == found


@pytest.mark.parametrize(("began_s", "is_paused", "found"), [(0.9, False, []), (0.3, False, ["TWICE"]),
                                                             (0.3, True, [])])  # fmt: skip
def test_runs_of_an_item_at_once_are_found_unless_a_node_was_stopped(
    began_s: float, is_paused: bool, found: list[str]
) -> None:
    # A run that nobody reads any more goes on at its worker.
    result = batch()
    result.item_runs.append(ItemRun("i", "w2", began_s, math.inf, {1}))
    result.pauses += [(0.0, 0.2)] * is_paused
    assert [text.partition(":")[0] for text in violations(result, [], 1)] == found


@pytest.mark.parametrize(
    ("stalls", "found"), [([], ["TWICE"]), ([(0.35, 0.9)], []), ([(0.0, 0.35)], ["TWICE"])]
)
def test_time_in_which_the_workers_did_not_run_is_no_time_at_work(
    stalls: list[tuple[float, float]], found: list[str]
) -> None:
    # A worker that does not run reads neither a request nor the end of its connection.
    result = batch()
    result.item_runs.append(ItemRun("i", "w2", 0.3, math.inf, {1}))
    result.stalls += stalls
    assert [text.partition(":")[0] for text in violations(result, [], 1)] == found


def test_orders_of_two_holders_under_one_fence_are_found() -> None:
    # Two owners that order the same worker are seen by the worker alone.
    result = Record(started_s=0.0)
    result.orders["w", 1] |= {"node-0", "node-1"}
    assert [text.partition(":")[0] for text in violations(result, [], 1)] == ["ONE"]
