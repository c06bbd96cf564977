"""Steps of ``batches.feature``: each scenario collects faults and then runs them in one simulation."""

import contextlib
from dataclasses import dataclass, field, replace

import anyio
from pytest_bdd import given, parsers, scenarios, then, when

from worksramp.logs import configure_logs
from worksramp_emulator.batch_fleet import num_events_of
from worksramp_emulator.simulation.batch_checkers import check_all
from worksramp_emulator.simulation.batch_faults import (
    Action,
    draw_faults,
    inject_after,
    parse_fault,
    scorers,
)
from worksramp_emulator.simulation.batch_world import (
    TRAIN_SECONDS,
    BatchWorld,
    BatchWorldSpec,
    scoring_call_id,
)
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.scoring_mutations import SCORING_MUTATIONS, Mutation

scenarios("batches.feature", "scoring.feature")


@dataclass
class Plan:
    spec: BatchWorldSpec = field(default_factory=BatchWorldSpec)
    seed: int = 7
    faults: list[tuple[float, Action]] = field(default_factory=list)
    drawn_seconds: float = 0.0
    required_group_share: float | None = None
    mutation: Mutation = contextlib.nullcontext
    world: BatchWorld | None = None

    def run(self, work: Action) -> BatchWorld:
        configure_logs("error")

        async def main() -> BatchWorld:
            async with anyio.create_task_group() as group:
                world = BatchWorld(self.spec, self.seed, group)
                await world.start()
                for at, fault in self.faults:
                    group.start_soon(inject_after, at, fault, world)
                if self.drawn_seconds:
                    group.start_soon(draw_faults, world, self.drawn_seconds)
                await work(world)
                group.cancel_scope.cancel()
            return world

        with self.mutation():
            return run_simulated(main, self.seed)

    @property
    def finished_world(self) -> BatchWorld:
        assert self.world is not None
        return self.world


@given("a deployment", target_fixture="plan")
def deployment() -> Plan:
    return Plan()


@given(parsers.parse("a deployment with seed {seed:d}"), target_fixture="plan")
def seeded_deployment(seed: int) -> Plan:
    return Plan(seed=seed)


@given("a deployment with scoring", target_fixture="plan")
def scoring_deployment() -> Plan:
    return Plan(BatchWorldSpec(num_scorers=2))


@given(parsers.parse("a deployment with scoring and seed {seed:d}"), target_fixture="plan")
def seeded_scoring_deployment(seed: int) -> Plan:
    return Plan(BatchWorldSpec(num_scorers=2), seed=seed)


@given(parsers.parse("the mistake that {mistake}"))
def apply_mutation(plan: Plan, mistake: str) -> None:
    plan.mutation = SCORING_MUTATIONS[mistake]


@given("a deployment whose route needs one version", target_fixture="plan")
def one_version_deployment() -> Plan:
    return Plan(BatchWorldSpec(needs_one_version=True))


@given(parsers.parse("a deployment that keeps results for {seconds:d} seconds"), target_fixture="plan")
def expiring_deployment(seconds: int) -> Plan:
    return Plan(BatchWorldSpec(status_seconds=seconds))


@given(parsers.re(r"(?P<text>.+) at (?P<at>\d+) seconds"))
def fault_at(plan: Plan, text: str, at: str) -> None:
    plan.faults.append((float(at), parse_fault(text)))


@given(parsers.parse("drawn troubles for {seconds:d} seconds"))
def drawn_faults(plan: Plan, seconds: int) -> None:
    plan.drawn_seconds = seconds


@given(parsers.parse("the scoring call of item {item} fails each time"))
def bad_call(plan: Plan, item: str) -> None:
    async def spoil(world: BatchWorld) -> None:
        for scorer in scorers(world):
            scorer.failing_items.add(scoring_call_id(item))

    plan.faults.append((0.0, spoil))


@given(parsers.re(r"item (?P<item>\S+) (?P<how>fails at each run|can never be done)"))
def bad_item(plan: Plan, item: str, how: str) -> None:
    async def spoil(world: BatchWorld) -> None:
        for worker in world.fleet.workers.values():
            (worker.failing_items if "fails" in how else worker.impossible_items).add(item)

    plan.faults.append((0.0, spoil))


@when(parsers.parse("a trainer asks for {count:d} steps"))
def ask_steps(plan: Plan, count: int) -> None:
    async def work(world: BatchWorld) -> None:
        await world.train(count)

    plan.world = plan.run(work)


@when(parsers.parse("a trainer asks for a step and waits {seconds:d} seconds for all of it"))
def ask_one_step(plan: Plan, seconds: int) -> None:
    plan.spec = replace(plan.spec, required_group_share=1.1)

    async def work(world: BatchWorld) -> None:
        await world.run_step(0, [], seconds)

    plan.world = plan.run(work)


@when(parsers.parse("a trainer asks for a step, gives up after {seconds:f} seconds and asks again"))
def ask_twice(plan: Plan, seconds: float) -> None:
    plan.spec = replace(plan.spec, required_group_share=1.1)

    async def work(world: BatchWorld) -> None:
        first = await world.run_step(0, [], seconds)
        await anyio.sleep(TRAIN_SECONDS)
        await world.run_step(1, list(first.item_ids), 5.0)

    plan.world = plan.run(work)


@when(
    parsers.parse(
        "a trainer asks for a step, gives up after {seconds:f} seconds and does not ask again "
        "for {later:d} seconds"
    )
)
def ask_and_end(plan: Plan, seconds: float, later: int) -> None:
    plan.spec = replace(plan.spec, required_group_share=1.1)

    async def work(world: BatchWorld) -> None:
        await world.run_step(0, [], seconds)
        await anyio.sleep(later)

    plan.world = plan.run(work)


@when(parsers.parse("a trainer asks for {count:d} steps and {seconds:d} seconds pass"))
def ask_and_wait(plan: Plan, count: int, seconds: int) -> None:
    async def work(world: BatchWorld) -> None:
        await world.train(count)
        await anyio.sleep(seconds)

    plan.world = plan.run(work)


@then(parsers.parse("item {item} failed in both batches and was run {count:d} times in the second"))
def failed_again(plan: Plan, item: str, count: int) -> None:
    world = plan.finished_world
    ended = [r.offset for r in world.store.all_records(world.records.batches) if r.key == "e/batch0"]
    assert ended
    results = {result.item_id: result for result in world.steps[1].results.values()}
    assert not results[item].is_completed
    begun = world.steps[1].submitted_at
    runs = [run for run in world.fleet.runs if run[3] == item]
    assert [run for run in runs if run[0] < begun]
    assert len([run for run in runs if run[0] >= begun]) == count


@then("the store holds nothing of the first batch")
def nothing_left(plan: Plan) -> None:
    world = plan.finished_world
    keys = world.store.newest_keys(world.records.batches)
    assert [key for key in keys if "batch0" in key or "s0g" in key] == []
    assert [key for key in keys if key == "owner"]
    other_partitions = [world.records.progress, *world.records.values]
    assert [
        key
        for partition in other_partitions
        for key in world.store.newest_keys(partition)
        if "batch0" in key or "s0g" in key
    ] == []


@then(parsers.parse("every step has its groups within {limit:d} seconds"))
def steps_in_time(plan: Plan, limit: int) -> None:
    times = [step.seconds for step in plan.finished_world.steps]
    assert all(seconds is not None and seconds <= limit for seconds in times), times


@then("one node has owned the shard all the time")
def one_owner(plan: Plan) -> None:
    owners = [order.fence for order in plan.finished_world.fleet.orders]
    assert set(owners) == {1}


@then("no item is given up")
def none_given_up(plan: Plan) -> None:
    results = [result for step in plan.finished_world.steps for result in step.results.values()]
    assert results and all(result.is_completed for result in results)


@then(parsers.parse('a violation says "{text}"'))
def violation_found(plan: Plan, text: str) -> None:
    violations = check_all(plan.finished_world, lease_seconds=3.0)
    assert [violation for violation in violations if text in violation], violations


@then(parsers.parse("the scoring call of item {item} was sent {count:d} times"))
def call_sent(plan: Plan, item: str, count: int) -> None:
    assert (
        len([call for call in plan.finished_world.fleet.calls if call.call_id == scoring_call_id(item)])
        == count
    )


@then(parsers.parse("item {item} is listed as given up"))
def listed_given_up(plan: Plan, item: str) -> None:
    results = {result.item_id: result for result in plan.finished_world.steps[0].results.values()}
    assert not results[item].is_completed


@then(parsers.parse("the items that were whole were run once"))
def whole_items_run_once(plan: Plan) -> None:
    """Items that were complete before the kill are not generated again."""
    fleet = plan.finished_world.fleet
    generated_twice = {
        item_id
        for (item_id, number), made in fleet.emitted_at.items()
        if number == num_events_of(item_id) - 1 and len(made) > 1
    }
    assert generated_twice == set()


@then("nothing is violated")
def nothing_violated(plan: Plan) -> None:
    assert check_all(plan.finished_world, lease_seconds=3.0) == []


@then(parsers.re(r"item (?P<item>\S+) is given up after (?P<count>\d+) runs?"))
def given_up(plan: Plan, item: str, count: str) -> None:
    results = {result.item_id: result for result in plan.finished_world.steps[0].results.values()}
    assert not results[item].is_completed
    assert len([run for run in plan.finished_world.fleet.runs if run[3] == item]) == int(count)
