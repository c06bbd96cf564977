"""Defines mutations of the scoring code, to show that the checkers of batches detect each of them."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from unittest import mock

import msgspec

from worksramp.rollout import item_scorer
from worksramp.rollout.batch_owner import BatchOwner
from worksramp.rollout.batches import Score, ScoringCall
from worksramp.rollout.item_work import ItemWork
from worksramp.rollout.scoring_call import Scored, ScoringAnswer, call_scorer
from worksramp.routing.worker_port import WorkerPort
from worksramp.routing.workers import WorkerEntry

Mutation = Callable[[], AbstractContextManager[None]]

SCORING_MUTATIONS: dict[str, Mutation] = {}


def mutation(name: str) -> Callable[[Callable[[], Iterator[None]]], Mutation]:
    """Register the decorated generator as a mutation under the name that scenarios use."""

    def register(body: Callable[[], Iterator[None]]) -> Mutation:
        SCORING_MUTATIONS[name] = contextmanager(body)
        return SCORING_MUTATIONS[name]

    return register


@mutation("items are listed without a score")
def _list_unscored() -> Iterator[None]:
    with mock.patch.object(ItemWork, "is_scored", property(lambda work: True)):
        yield


@mutation("a score is made up")
def _make_up_score() -> Iterator[None]:
    async def make_up(
        port: WorkerPort, worker: WorkerEntry, call: ScoringCall, deadline_s: float, *_: object
    ) -> ScoringAnswer:
        return ScoringAnswer(Scored(Score(call.call_id, "made-up")))

    with mock.patch.object(item_scorer, "call_scorer", make_up):
        yield


@mutation("an item gets the score of another")
def _swap_scores() -> Iterator[None]:
    earlier: list[Score] = []

    async def swap(
        port: WorkerPort, worker: WorkerEntry, call: ScoringCall, deadline_s: float, *_: object
    ) -> ScoringAnswer:
        answer = await call_scorer(port, worker, call, deadline_s)
        if isinstance(answer.outcome, Scored):
            earlier.append(answer.outcome.score)
            return ScoringAnswer(Scored(msgspec.structs.replace(earlier[0], call_id=call.call_id)))
        return answer

    with mock.patch.object(item_scorer, "call_scorer", swap):
        yield


@mutation("a call goes out before the text is whole")
def _call_early() -> Iterator[None]:
    def needs_score(work: ItemWork) -> bool:
        return bool(work.text.pieces) and not work.is_done and not work.is_scored

    with mock.patch.object(ItemWork, "needs_score", property(needs_score)):
        yield


@mutation("calls go on after the end of the batch")
def _call_after_end() -> Iterator[None]:
    with mock.patch.object(BatchOwner, "_drop_batch", lambda owner, batch_id, batch: None):
        yield
