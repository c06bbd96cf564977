"""Benchmarks of the pure decision functions at the target size: decisions per second and bytes per row."""

import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from worksramp.backends.base import Machine, MachineRole, WorkerReport
from worksramp.coordination.fold import Claim, Envelope, StreamFold, Write, take_snapshot
from worksramp.coordination.ledger import Intent, LedgerState, Result
from worksramp.coordination.membership import Membership
from worksramp.coordination.membership_messages import Member
from worksramp.rollout.document import JobSpec, Preference
from worksramp.rollout.job import JobState, SampleFinished, Segment
from worksramp.rollout.planner import plan_batch, plan_sampling
from worksramp.routing.choice import RouteRequest, choose_worker
from worksramp.routing.leases import Worker

Metrics = dict[str, float]
SAMPLES_PER_STEP = 8192
NUM_LEDGER_ROWS = 20_000
NUM_MEMBERS = 330
TOKENS_PER_SAMPLE = 200
MIN_SECONDS = 0.5


def rate(work: Callable[[], object]) -> float:
    """Return how many times per second ``work`` can run."""
    count = 0
    started_at = time.perf_counter()
    while time.perf_counter() - started_at < MIN_SECONDS:
        work()
        count += 1
    return count / (time.perf_counter() - started_at)


def measure_decisions(report: Callable[[str, Metrics], None]) -> list[Metrics]:
    """Run all benchmarks of this module and return one row for each."""
    rows = [measure_choice(), measure_job(), measure_ledger(), measure_membership()]
    for row in rows:
        report("deciders", row)
    return rows


def measure_choice() -> Metrics:
    """Measure the choice among the eight workers of a subset."""
    workers = tuple(
        Worker(
            Machine(f"worker-{index}", MachineRole.ENGINE, "a", "z"),
            WorkerReport(f"worker-{index}", max_num_seqs=32),
            0.0,
        )
        for index in range(8)
    )
    rng = random.Random(1)
    request = RouteRequest(prefix="a prompt", zone="z")
    return {"choices_per_second": rate(lambda: choose_worker(workers, request, rng))}


def finished_entries() -> list[bytes]:
    """Return the finished samples of one step as encoded log entries."""
    tokens = tuple(f"w{index:08x} " for index in range(TOKENS_PER_SAMPLE))
    segments = (Segment(1, 0, 100), Segment(2, 100, TOKENS_PER_SAMPLE))
    return [
        msgspec.msgpack.encode(SampleFinished(index, 1, "a prompt", tokens, segments, 0.5))
        for index in range(SAMPLES_PER_STEP)
    ]


def measure_job() -> Metrics:
    """Measure the fold and the plans of a job with 8,192 samples per step."""
    entries = finished_entries()
    fold = StreamFold(JobState())
    fold.apply(0, msgspec.msgpack.encode(Envelope(1, "o", Claim())))
    records = [
        msgspec.msgpack.encode(Envelope(1, "o", Write(number + 1, (entry,))))
        for number, entry in enumerate(entries)
    ]
    tracemalloc.start()
    started_at = time.perf_counter()
    for number, record in enumerate(records):
        fold.apply(number + 1, record)
    seconds = time.perf_counter() - started_at
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    spec = JobSpec("m", "p", 8, "s", 2, 8, SAMPLES_PER_STEP, max_in_flight=2 * SAMPLES_PER_STEP)
    return {
        "job_records_folded_per_second": len(records) / seconds,
        "job_state_bytes_per_sample": held_bytes / len(records),
        "job_snapshot_bytes_per_sample": len(take_snapshot(fold, 1).state) / len(records),
        "batch_plans_per_second": rate(lambda: plan_batch(fold.state, spec, 2)),
        "sampling_plans_per_second": rate(
            lambda: plan_sampling(fold.state, spec, Preference.IDLE_TIME, set(), 2, SAMPLES_PER_STEP)
        ),
    }


def measure_ledger() -> Metrics:
    """Measure the fold of one ledger shard."""
    keys = [f"tenant/0190a1b2-c3d4-7000-8000-{number:012x}" for number in range(NUM_LEDGER_ROWS)]
    state = LedgerState()
    entries = [
        (msgspec.msgpack.encode(Intent(key, "digest")), msgspec.msgpack.encode(Result(key, 200, b"{}")))
        for key in keys
    ]
    tracemalloc.start()
    started_at = time.perf_counter()
    for offset, (intent, result) in enumerate(entries):
        state.apply_entry(offset, 1, intent)
        state.apply_entry(offset, 1, result)
    seconds = time.perf_counter() - started_at
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "ledger_requests_folded_per_second": NUM_LEDGER_ROWS / seconds,
        "ledger_bytes_per_row": held_bytes / NUM_LEDGER_ROWS,
    }


def measure_membership() -> Metrics:
    """Measure the ticks of a member whose table holds all nodes of the target size."""
    tracemalloc.start()
    membership = Membership(Member("m0", "a0", "z", ("coordinator",)), 1)
    for index in range(1, NUM_MEMBERS):
        member = Member(f"m{index}", f"10.0.0.{index}:7000", "zone", ("gateway", "coordinator"))
        membership._merge((member,), 0.0)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    now = [0.0]

    def tick() -> None:
        now[0] += 0.15
        membership.tick(now[0])

    return {
        "membership_ticks_per_second": rate(tick),
        "membership_bytes_per_member": held_bytes / NUM_MEMBERS,
    }
