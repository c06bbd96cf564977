"""Checks the record of a simulated run for violations of the properties that must always hold."""

import msgspec

from worksramp.coordination.fold import StreamFold
from worksramp.rollout.job import JobState
from worksramp_emulator.platform import expected_reward
from worksramp_emulator.simulation.history import (
    BatchTaken,
    KeyedAnswered,
    LiveAnswered,
    NodeStopped,
    RevisionAccepted,
    RevisionSeen,
    WorkerLeft,
)
from worksramp_emulator.simulation.world import World
from worksramp_emulator.simulation.world_spec import JOB, TENANT
from worksramp_emulator.text import expected_completion

MAX_DRAINING_SECONDS = 5.0
MAX_CONFIGURATION_SECONDS = 6.0
ANSWER_MARGIN_SECONDS = 0.5


class Violation(msgspec.Struct, frozen=True):
    """A violation of a property.

    Attributes:
        checker: name of the property.
        what: what was found.
    """

    checker: str
    what: str


def check_true_versions(world: World) -> list[Violation]:
    """Check that the segments of every sample name the weight versions that generated its tokens."""
    truth: dict[tuple[str, str, int], set[int]] = {}
    for engine in world.cores.engines.values():
        for run in engine.token_runs:
            text = expected_completion(run.prompt, run.seed, run.max_tokens)
            for index in range(run.start, run.end):
                truth.setdefault((run.request_id, text, index), set()).add(run.weight_version)
    by_text: dict[tuple[str, int], set[int]] = {}
    for (_, text, index), versions in truth.items():
        by_text.setdefault((text, index), set()).update(versions)
    found = []
    for batch in world.trainer.batches:
        for sample in batch.samples:
            text = "".join(sample.tokens)
            for segment in sample.segments:
                for index in range(segment.start, segment.end):
                    if segment.weight_version not in by_text.get((text, index), set()):
                        what = f"sample {sample.index} token {index} names {segment.weight_version}"
                        found.append(Violation("true_versions", what))
    return found


def check_staleness(world: World) -> list[Violation]:
    """Check that no sample that the trainer received exceeds the job's bound on staleness."""
    bound = world.spec.max_staleness
    return [
        Violation("staleness", f"a sample is {age} versions old, the bound is {bound}")
        for age in world.trainer.staleness()
        if age > bound
    ]


def check_exactly_once(world: World) -> list[Violation]:
    """Check that every sample reaches the trainer exactly once.

    The batches in the log and those that the trainer received must agree.
    """
    found = []
    received = [sample.index for batch in world.trainer.batches for sample in batch.samples]
    if len(received) != len(set(received)):
        found.append(Violation("exactly_once", "a sample was received twice"))
    fold = StreamFold(JobState())
    committed: dict[int, tuple[int, ...]] = {}
    for offset, record in enumerate(world.cores.log.streams.get(f"job.{TENANT}.{JOB}", [])):
        fold.apply(offset, record)
        if fold.state.batch is not None:
            committed[fold.state.batch.cursor] = fold.state.batch.indices
    for batch in world.trainer.batches:
        indices = tuple(sample.index for sample in batch.samples)
        if committed.get(batch.cursor) != indices:
            found.append(Violation("exactly_once", f"batch {batch.cursor} differs from the log"))
    cursors = [batch.cursor for batch in world.trainer.batches]
    if cursors != list(range(1, len(cursors) + 1)):
        found.append(Violation("exactly_once", f"cursors out of order: {cursors}"))
    return found


def check_complete_samples(world: World) -> list[Violation]:
    """Check that every sample is a complete text for its own prompt, with its own score."""
    found = []
    for batch in world.trainer.batches:
        for sample in batch.samples:
            text = "".join(sample.tokens)
            covered = sum(segment.end - segment.start for segment in sample.segments)
            is_right = covered == len(sample.tokens) and sample.reward == expected_reward(sample.prompt, text)
            if not is_right or not _is_some_completion(world, sample.prompt, text):
                found.append(Violation("whole_answer", f"sample {sample.index} is not complete"))
    return found


def _is_some_completion(world: World, prompt: str, text: str) -> bool:
    return any(
        run.prompt == prompt and expected_completion(run.prompt, run.seed, run.max_tokens) == text
        for engine in world.cores.engines.values()
        for run in engine.token_runs
        if run.prompt == prompt
    )


def check_complete_answers(world: World) -> list[Violation]:
    """Check that every ``completed`` outcome comes with the complete answer to that request."""
    found = []
    for event in world.history.events:
        if isinstance(event, LiveAnswered) and event.outcome == "completed" and not event.is_whole:
            found.append(Violation("whole_answer", f"{event.request} got an incomplete answer"))
        if isinstance(event, KeyedAnswered) and event.outcome == "completed" and not event.is_own_answer:
            found.append(Violation("whole_answer", f"{event.key} got the answer to another request"))
    return found


def check_not_run(world: World) -> list[Violation]:
    """Check that a request whose only reported outcome is ``not_run`` was not run."""
    outcomes: dict[str, set[str]] = {}
    for event in world.history.events:
        if isinstance(event, KeyedAnswered):
            outcomes.setdefault(event.key, set()).add(event.outcome)
    runs = _runs(world)
    found = [
        Violation("not_run", f"{key} ran although its outcome is not_run")
        for key, seen in outcomes.items()
        if seen == {"not_run"} and runs.get(f"{TENANT}/{key}", 0) > 0
    ]
    started = {run.request_id for engine in world.cores.engines.values() for run in engine.token_runs}
    for event in world.history.events:
        if isinstance(event, LiveAnswered) and event.outcome == "not_run" and event.request in started:
            found.append(Violation("not_run", f"{event.request} ran although its outcome is not_run"))
    return found


def check_at_most_once(world: World) -> list[Violation]:
    """Check that a keyed request runs at most once, and exactly once if its outcome is ``completed``."""
    runs = _runs(world)
    found = [
        Violation("at_most_once", f"{key} ran {count} times") for key, count in runs.items() if count > 1
    ]
    completed = {
        event.key
        for event in world.history.events
        if isinstance(event, KeyedAnswered) and event.outcome == "completed"
    }
    found += [
        Violation("at_most_once", f"{key} is completed but did not run exactly once")
        for key in sorted(completed)
        if runs.get(f"{TENANT}/{key}", 0) != 1
    ]
    return found


def _runs(world: World) -> dict[str, int]:
    total: dict[str, int] = {}
    for worker in world.cores.applications.values():
        for request_id, count in worker.runs.items():
            total[request_id] = total.get(request_id, 0) + count
    return total


def check_leaving(world: World) -> list[Violation]:
    """Check that a draining back end receives no new requests after ``MAX_DRAINING_SECONDS``."""
    arrivals = {engine.engine_id: engine.statistics.arrived_at for engine in world.cores.engines.values()}
    arrivals |= {worker.worker_id: worker.arrived_at for worker in world.cores.applications.values()}
    found = []
    for event in world.history.events:
        if isinstance(event, WorkerLeft):
            late = [at - event.at for at in arrivals[event.worker] if at > event.at + MAX_DRAINING_SECONDS]
            if late:
                what = f"{event.worker} received {len(late)} requests, the last after {late[-1]:.1f} s"
                found.append(Violation("leaving", what))
    return found


def check_planned_stop(world: World) -> list[Violation]:
    """Check that a graceful stop aborts no requests in flight."""
    return [
        Violation("planned_stop", f"{event.node} stopped with {event.num_cut} requests in flight")
        for event in world.history.events
        if isinstance(event, NodeStopped) and event.num_cut > 0
    ]


def check_configuration(world: World) -> list[Violation]:
    """Check that a node's revision never decreases and that no two changes are accepted as one revision."""
    found = []
    newest: dict[str, int] = {}
    for event in world.history.events:
        if isinstance(event, RevisionSeen):
            if event.revision < newest.get(event.node, 0):
                what = f"{event.node} reverted from {newest[event.node]} to {event.revision}"
                found.append(Violation("configuration", what))
            newest[event.node] = max(newest.get(event.node, 0), event.revision)
    accepted = [event for event in world.history.events if isinstance(event, RevisionAccepted)]
    by_revision: dict[int, str] = {}
    for event in accepted:
        if by_revision.setdefault(event.revision, event.change_id) != event.change_id:
            found.append(Violation("configuration", f"two changes were accepted as {event.revision}"))
    return found


def check_configuration_in_time(world: World) -> list[Violation]:
    """Check that every accepted revision is in force on each node within ``MAX_CONFIGURATION_SECONDS``.

    Only for runs in which all nodes stay up and reachable.
    """
    found = []
    for accepted in world.history.events:
        if not isinstance(accepted, RevisionAccepted):
            continue
        for slot in world.slots:
            reached = [
                event.at
                for event in world.history.events
                if isinstance(event, RevisionSeen)
                and event.node == slot.name
                and event.revision >= accepted.revision
            ]
            if not reached or min(reached) > accepted.at + MAX_CONFIGURATION_SECONDS:
                what = f"{slot.name} got revision {accepted.revision} too late"
                found.append(Violation("configuration", what))
    return found


def check_answered_at_once(world: World) -> list[Violation]:
    """Check that live requests are answered within their deadline and that refusals say when to retry."""
    found = []
    for event in world.history.events:
        if not isinstance(event, LiveAnswered):
            continue
        if event.seconds > event.deadline_seconds + ANSWER_MARGIN_SECONDS:
            found.append(Violation("at_once", f"{event.request} was answered after {event.seconds:.1f} s"))
        if event.outcome == "not_run" and event.retry_after_seconds <= 0:
            found.append(Violation("at_once", f"{event.request}: no time to retry ({event.reason})"))
    return found


def check_progress(world: World) -> list[Violation]:
    """Check that the trainer got all its batches after the faults ended, so nothing was lost for good."""
    if world.is_trainer_done:
        return []
    return [Violation("progress", f"the trainer has {len(world.trainer.batches)} batches only")]


def batches_taken(world: World) -> int:
    """Return the number of replies with a batch that the trainer received."""
    return sum(1 for event in world.history.events if isinstance(event, BatchTaken))


SAFETY_CHECKERS = (
    check_true_versions,
    check_staleness,
    check_exactly_once,
    check_complete_samples,
    check_complete_answers,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_planned_stop,
    check_configuration,
    check_answered_at_once,
)


def check_all(world: World) -> list[Violation]:
    """Run all safety checkers and the progress checker."""
    found = [violation for checker in SAFETY_CHECKERS for violation in checker(world)]
    return found + check_progress(world)
