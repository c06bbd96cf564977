"""The fold of the configuration, the checks of documents, and when a record may come into force."""

import msgspec
import pytest

from worksramp.coordination.configuration import ConfigurationFold, Conflict, InForce, Invalid, Publish
from worksramp.coordination.fold import Accepted, Void
from worksramp.coordination.replication import StagedRecords, num_copies_needed, num_replies_needed
from worksramp.rollout.document import validate_document

JOB = {
    "model": "m",
    "prompt_set": "0" * 32,
    "num_prompts": 1,
    "scorer": "127.0.0.1:1",
    "max_staleness": 1,
    "group_size": 2,
    "samples_per_step": 4,
}


def with_parameters(**parameters: object) -> dict[str, object]:
    """Return a document that is valid except perhaps for the parameters."""
    return {
        "models": {"m": "f"},
        "templates": {"t": JOB},
        "jobs": {"j": {"template": "t", "parameters": parameters}},
    }


def record(change_id: str, expected: int, document: object = None, version: int = 1) -> bytes:
    body = msgspec.json.encode(document or {})
    return msgspec.msgpack.encode(Publish(change_id, "tenant", expected, version, body))


def new_fold() -> ConfigurationFold:
    return ConfigurationFold({1: validate_document})


def test_the_first_of_concurrent_changes_in_the_log_is_accepted() -> None:
    fold = new_fold()
    assert isinstance(fold.apply(0, record("a", 0)), Accepted)
    assert isinstance(fold.apply(1, record("b", 0)), Void)
    assert fold.verdict_of("a") == InForce(1, 0)
    assert fold.verdict_of("b") == Conflict(1)


def test_a_change_appended_twice_keeps_its_first_verdict() -> None:
    fold = new_fold()
    fold.apply(0, record("a", 0))
    fold.apply(1, record("a", 0))
    assert fold.verdict_of("a") == InForce(1, 0)
    assert fold.revision_of("tenant") == 1


def test_an_unknown_schema_version_stalls_only_its_tenant() -> None:
    fold = new_fold()
    fold.apply(0, record("a", 0))
    fold.apply(1, record("b", 1, version=2))
    fold.apply(2, record("c", 1))
    assert fold.stalled_tenants == {"tenant"}
    assert fold.revision_of("tenant") == 1


def test_a_fold_never_moves_back_to_an_older_snapshot() -> None:
    fold = new_fold()
    fold.apply(0, record("a", 0))
    older = fold.snapshot()
    fold.apply(1, record("b", 1))
    assert not fold.restore(older)
    assert fold.revision_of("tenant") == 2


@pytest.mark.parametrize(
    ("document", "path"),
    [
        ({"nonsense": 1}, ""),
        ({"max_live_concurrency": "many"}, "max_live_concurrency"),
        ({"live_reserved_share": 1.0}, "live_reserved_share"),
        ({"models": {"m": "UPPER"}}, "UPPER"),
        ({"jobs": {"j": {"template": "none"}}}, "jobs.j.template"),
        ({"templates": {"t": JOB}, "jobs": {"j": {"template": "t"}}}, "jobs.j.model"),
        (with_parameters(samples_per_step=3), "jobs.j.samples_per_step"),
        (with_parameters(group_size="two"), "jobs.j.parameters.group_size"),
        (with_parameters(max_staleness=2**70), "jobs.j.max_staleness"),
        (with_parameters(num_prompts=2**40), "jobs.j.num_prompts"),
        (with_parameters(prompt_set="../configuration"), "jobs.j.prompt_set"),
        (with_parameters(prompt_set="prompts.other." + "0" * 32), "jobs.j.prompt_set"),
        (with_parameters(scorer="scorer"), "jobs.j.scorer"),
        ({"num_fleet_cells": 10**9}, "num_fleet_cells"),
        ({"max_live_concurrency": 2**70}, "max_live_concurrency"),
    ],
)
def test_an_invalid_document_names_the_field(document: object, path: str) -> None:
    problem = validate_document(msgspec.json.encode(document))
    assert isinstance(problem, Invalid)
    assert problem.path == path
    assert problem.reason


def test_a_valid_document_is_accepted() -> None:
    assert validate_document(msgspec.json.encode(with_parameters())) is None


def test_the_replies_to_a_starting_node_include_a_holder_of_each_applied_record() -> None:
    # The holders of a record and the nodes that reply to a starting node, of num_live - 1 others, must
    # overlap.
    for num_live in range(2, 50):
        num_copies = num_copies_needed(num_live)
        num_replies = num_replies_needed(num_live - 1)
        num_holders_among_others = num_copies - 1
        assert num_replies + num_holders_among_others >= num_live - 1 or num_holders_among_others == 0


def test_staged_records_have_no_gaps() -> None:
    staged = StagedRecords(5, max_kept=2)
    assert not staged.add(7, (b"late",))
    assert staged.add(4, (b"old", b"five", b"six"))
    assert staged.since(5) == (b"five", b"six")
    staged.note_held("other", 6)
    assert staged.num_holders(5, frozenset({"other"})) == 2
    assert staged.num_holders(6, frozenset({"other"})) == 1
    assert staged.num_holders(5, frozenset()) == 1
