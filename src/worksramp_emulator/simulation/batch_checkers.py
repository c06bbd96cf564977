"""Checks the record of a simulated deployment of batches for violations of its properties.

Each checker returns the violations that it found, as sentences.
"""

from worksramp.rollout.batches import BatchResult, ResultRecord
from worksramp.wire import decode
from worksramp_emulator.batch_fleet import complete_text, num_events_of
from worksramp_emulator.simulation.batch_world import BatchWorld, StepRecord, scoring_call_id

#: Time after the end of a batch during which its items and scoring calls may still reach a worker.
CANCEL_S = 3.0


def check_all(world: BatchWorld, lease_seconds: float) -> list[str]:
    """Run all checkers.

    Args:
        lease_seconds: time within which two nodes must not give orders to the same worker.
    """
    violations = check_positions(world)
    violations += check_orders(world, lease_seconds)
    violations += check_calls(world)
    violations += check_runs(world)
    for step in world.steps:
        violations += check_step(world, step)
    return violations


def check_positions(world: BatchWorld) -> list[str]:
    """Check that a position never changes its result and that an item has one position in its batch."""
    found: list[str] = []
    values: dict[str, bytes] = {}
    positions: dict[tuple[str, str], str] = {}
    for record in world.store.all_records(world.records.batches):
        if not record.key.startswith("r/") or not record.value:
            continue
        if values.setdefault(record.key, record.value) != record.value:
            found.append(f"{record.key} was written with two values")
        item_id = decode(record.value, ResultRecord).item_id
        first_key = positions.setdefault((record.key.split("/")[1], item_id), record.key)
        if first_key != record.key:
            found.append(f"{item_id} is listed at {first_key} and {record.key}")
    return found


def check_orders(world: BatchWorld, lease_seconds: float) -> list[str]:
    """Check that one holder at a time gives orders to a worker and that fences never decrease."""
    found: list[str] = []
    last: dict[str, tuple[float, str, int]] = {}
    for order in world.fleet.orders:
        before = last.get(order.worker_id)
        if before is not None:
            at, holder, fence = before
            if order.fence < fence:
                found.append(f"fence {order.fence} after {fence} at {order.worker_id}")
            if holder != order.holder and (order.fence == fence or order.at - at < lease_seconds):
                found.append(f"{holder} and {order.holder} both gave orders to {order.worker_id}: {order}")
        last[order.worker_id] = (order.at, order.holder, order.fence)
    return found


def check_step(world: BatchWorld, step: StepRecord) -> list[str]:
    """Check the results that a trainer read.

    Each must belong to the batch and pass `check_score`. A completed result must have the complete text, and
    its versions must be those that generated the text and be allowed for the step.
    """
    found: list[str] = []
    for position, result in step.results.items():
        found += check_score(world, step, position, result)
        if result.item_id not in step.item_ids:
            found.append(f"{step.batch_id} lists {result.item_id} of another batch")
        if not result.is_completed:
            continue
        if result.text != complete_text(result.item_id):
            found.append(
                f"{step.batch_id}/{position}: text of {result.item_id} is not complete: {result.text}"
            )
        if min(result.versions) < step.min_version:
            found.append(f"{step.batch_id}/{position}: versions {result.versions} below {step.min_version}")
        if world.spec.needs_one_version and len(result.versions) != 1:
            found.append(f"{step.batch_id}/{position}: versions {result.versions} instead of one")
        made = [
            world.fleet.emitted_versions.get((result.item_id, number), set())
            for number in range(num_events_of(result.item_id))
        ]
        if any(not versions & set(result.versions) for versions in made):
            found.append(f"{step.batch_id}/{position}: {result.versions} did not generate all events: {made}")
        if set(result.versions) - set().union(*made):
            found.append(
                f"{step.batch_id}/{position}: {result.versions} names a version that generated no event"
            )
    return found


def text_complete_at(world: BatchWorld, item_id: str, versions: tuple[int, ...] | None = None) -> float:
    """Return when the last event of an item's text was first generated, infinity if it never was.

    Args:
        versions: weight versions that count, None for any.
    """
    made = world.fleet.emitted_at.get((item_id, num_events_of(item_id) - 1), [])
    return min((at for at, version in made if versions is None or version in versions), default=float("inf"))


def check_score(world: BatchWorld, step: StepRecord, position: int, result: BatchResult) -> list[str]:
    """Check that a completed result has the score of its own call, sent after the text was complete."""
    label = f"{step.batch_id}/{position}"
    if not world.spec.has_scoring or not result.is_completed:
        return [] if result.score is None else [f"{label}: has a score, and no scoring was requested"]
    if result.score is None:
        return [f"{label}: {result.item_id} has no score"]
    calls = {call.signature: call for call in world.fleet.calls if call.signature}
    call = calls.get(result.score.signature)
    if call is None:
        return [f"{label}: no scorer made the score {result.score.signature}"]
    if call.call_id != scoring_call_id(result.item_id):
        return [f"{label}: {result.item_id} has the score of {call.call_id}"]
    if call.at < text_complete_at(world, result.item_id, result.versions):
        return [f"{label}: {result.item_id} was scored at {call.at} before its text was whole"]
    return []


def check_runs(world: BatchWorld) -> list[str]:
    """Check that no item reaches a worker later than ``CANCEL_S`` after all its batches have ended."""
    found: list[str] = []
    for at, _, worker_id, item_id in world.fleet.runs:
        steps = [step for step in world.steps if item_id in step.item_ids and step.submitted_at <= at]
        if steps and all(step.ended_at is not None and at > step.ended_at + CANCEL_S for step in steps):
            found.append(f"{item_id} reached {worker_id} at {at}, too long after the end of its batch")
    return found


def check_calls(world: BatchWorld) -> list[str]:
    """Check when scoring calls are sent.

    None is sent before the text is complete, nor later than ``CANCEL_S`` after all batches of its item have
    ended.
    """
    found: list[str] = []
    for call in world.fleet.calls:
        steps = [step for step in world.steps if call.call_id in map(scoring_call_id, step.item_ids)]
        if not steps:
            found.append(f"no batch has an item for the scoring call {call.call_id}")
            continue
        item_id = next(item_id for item_id in steps[0].item_ids if scoring_call_id(item_id) == call.call_id)
        if call.at < text_complete_at(world, item_id):
            found.append(f"{call.call_id} went out at {call.at} before the text was whole")
        if all(step.ended_at is not None and call.at > step.ended_at + CANCEL_S for step in steps):
            found.append(f"{call.call_id} went out at {call.at}, too long after the end of its batch")
    return found
