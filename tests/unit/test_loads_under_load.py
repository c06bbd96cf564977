"""Loads of weights while steps follow one another and every home always runs a long text.

On a deployment of 23 workers and three trainers, homes loaded early only while they ran nothing. The longest
texts take 7 s and steps come every 4 s, so that homes were hardly ever idle: half of the steps began with
homes whose versions were too old, and their items waited one to two seconds for loads.
"""

import pytest

from worksramp.mechanisms import MECHANISMS
from worksramp.weights.model_homes import HomeCandidate, ModelDemand, place_models
from worksramp.weights.version_moves import ModelNeed, WorkerVersion, decide_moves, max_concurrent_loads

MODELS = "abc"
STEP_EVERY_S = 4.0
NUM_STEPS = 6
LOAD_S = 0.95
TICK_S = 0.05
NUM_SLOTS = 8
NUM_ITEMS = 88


class LoadReplay:
    """Replays the loads of a fleet that trains three models, a step of each every four seconds.

    Attributes:
        usable_shares: share of a model's homes that could take its items at the request of each step.
    """

    def __init__(self, num_workers: int, needs_one_version: bool = False) -> None:
        self.worker_ids = [f"w{idx}" for idx in range(num_workers)]
        self.needs_one_version = needs_one_version
        self.versions = {(worker, model): 1 for worker in self.worker_ids for model in MODELS}
        self.loading: dict[str, tuple[str, int, float]] = {}
        self.homes = place_models(
            [ModelDemand(model, NUM_ITEMS, needs_one_version) for model in MODELS],
            [HomeCandidate(worker, NUM_SLOTS) for worker in self.worker_ids],
        )
        self.usable_shares: list[float] = []

    def run(self) -> "LoadReplay":
        for tick in range(int(NUM_STEPS * STEP_EVERY_S / TICK_S)):
            now = tick * TICK_S
            self._end_loads(now)
            steps = {model: self._step(model, now) for model in MODELS}
            for model, step in steps.items():
                if step != self._step(model, now - TICK_S) and step > 1:
                    self._record_usable(model, step)
            needs = [self._need(model, step) for model, step in steps.items()]
            for move in decide_moves(needs, len(self.loading), max_concurrent_loads(len(self.worker_ids))):
                self.loading[move.worker_id] = (move.model, move.version, now + LOAD_S)
        return self

    def _step(self, model: str, now: float) -> int:
        """Return the step that is open; it is asked for with the version of the same number."""
        return 1 + max(0, int((now - MODELS.index(model)) // STEP_EVERY_S + 1))

    def _end_loads(self, now: float) -> None:
        for worker, (model, version, ends_at) in list(self.loading.items()):
            if now >= ends_at:
                self.versions[worker, model] = version
                del self.loading[worker]

    def _record_usable(self, model: str, step: int) -> None:
        usable = [
            worker
            for worker in self.homes[model]
            if self.versions[worker, model] >= step - 1
            and (worker not in self.loading or self.loading[worker][0] != model)
        ]
        self.usable_shares.append(len(usable) / len(self.homes[model]))

    def _need(self, model: str, step: int) -> ModelNeed:
        workers = tuple(
            WorkerVersion(
                worker,
                self.versions[worker, model],
                num_running=1 if worker in self.homes[model] else 0,
                is_loading=worker in self.loading,
                num_free_slots=NUM_SLOTS - 3,
                is_loading_this=worker in self.loading and self.loading[worker][0] == model,
            )
            for worker in self.worker_ids
        )
        return ModelNeed(model, step, step - 1, 0, self.needs_one_version, workers, self.homes[model])


def test_homes_that_always_run_texts_are_ready_for_the_next_step() -> None:
    assert min(LoadReplay(23).run().usable_shares) >= 0.5
    MECHANISMS.switch_off(("loads_beside_runs",))
    try:
        without = LoadReplay(23).run()
    finally:
        MECHANISMS.switch_off(())
    assert min(without.usable_shares) < 0.2


def test_homes_whose_texts_need_one_version_do_not_load_beside_them() -> None:
    replay = LoadReplay(23, needs_one_version=True)
    need = replay._need("a", 2)
    assert decide_moves([need], 0, 9) == []


def test_homes_do_not_grow_with_the_fleet_beyond_what_a_step_needs() -> None:
    """The orders of a fleet of a thousand workers were a third of the price of its day."""
    demands = [ModelDemand(model, 56) for model in "ab"]
    sizes = [
        len(place_models(demands, [HomeCandidate(f"w{idx}", 16) for idx in range(num)])["a"])
        for num in (30, 100, 1000, 3000)
    ]
    assert sizes == [10, 10, 10, 10]


@pytest.mark.parametrize("num_fast", [1, 6])
def test_the_fast_workers_are_dealt_to_all_models(num_fast: int) -> None:
    candidates = [HomeCandidate(f"w{idx}", 8, is_fast=idx < num_fast) for idx in range(24)]
    homes = place_models([ModelDemand(model, 80) for model in "abcd"], candidates)
    fast = {worker.worker_id for worker in candidates if worker.is_fast}
    assert all(len(homes[model] & fast) == max(1, num_fast // 2) for model in "abcd")
    num_models = [sum(worker in homes[model] for model in "abcd") for worker in fast]
    assert max(num_models) <= (4 if num_fast == 1 else 2)
