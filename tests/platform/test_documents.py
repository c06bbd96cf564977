"""Decoding of configuration, version and worker records in the format of the platform's examples."""

import json

from worksramp_platform.documents import StoreRecords, decode_table, decode_worker

from worksramp.coordination.keyed_replica import Change
from worksramp.edge.ports import TableAccepted, UnreadableRecord, VersionNamed, WorkerGone, WorkerSeen
from worksramp.routing.table import RouteKind

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "checks",
            "host": "shop.example",
            "pathPrefix": "/checks/",
            "type": "idempotent",
            "timeoutMs": 1500,
            "sloMs": 191,
            "priority": 2,
            "split": [{"service": "desk", "weight": 90}, {"service": "spare", "weight": 0}],
            "maxAttempts": 2,
            "newField": {"to": "be passed over"},
        },
        {
            "name": "drafts",
            "host": "shop.example",
            "pathPrefix": "/checks/drafts/",
            "type": "generation",
            "timeoutMs": 10000,
            "sloMs": 400,
            "service": "fleet",
            "maxAttempts": 3,
            "keepS": 40.0,
            "runTargetMs": 7500,
            "singleVersion": True,
            "resumable": True,
        },
        {
            "name": "odd",
            "host": "shop.example",
            "pathPrefix": "/odd/",
            "type": "brand_new",
            "service": "desk",
        },
    ],
    "services": [
        {
            "name": "fleet",
            "maxConns": 170,
            "engine": {"slots": 16, "kvCapacity": 52385, "stride": 58, "models": [{"name": "m"}]},
        },
        {"name": "desk", "maxConns": 100},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


def test_a_configuration_is_decoded_into_a_table() -> None:
    table = decode_table(json.dumps(CONFIGURATION).encode())
    checks, drafts, _odd = table.routes
    assert (checks.kind, checks.timeout_seconds, checks.objective_seconds) == (
        RouteKind.IDEMPOTENT,
        1.5,
        0.191,
    )
    assert [part.service for part in checks.parts] == ["desk"]
    assert (drafts.kind, drafts.needs_one_version, drafts.keep_seconds) == (RouteKind.BATCH, True, 40.0)
    assert table.services["fleet"].tokens_per_event == 58
    assert table.services["fleet"].models == ("m",)
    assert table.limits.max_body_bytes == 1000


def test_requests_of_an_unknown_route_type_are_never_repeated() -> None:
    odd = decode_table(json.dumps(CONFIGURATION).encode()).routes[2]
    assert odd.kind is RouteKind.NON_IDEMPOTENT
    assert not odd.may_repeat


def test_the_longest_path_prefix_of_the_host_matches() -> None:
    table = decode_table(json.dumps(CONFIGURATION).encode())
    matched = [table.match("shop.example", path) for path in ("/checks/1", "/checks/drafts/1", "/check")]
    assert [None if route is None else route.name for route in matched] == ["checks", "drafts", None]
    assert table.match("other.example", "/checks/1") is None


def test_decoding_of_version_and_unreadable_records() -> None:
    records = StoreRecords()
    assert records.control_event(Change("version/m", b'{"model":"m","version":8}', 3)) == VersionNamed("m", 8)
    assert isinstance(records.control_event(Change("config", b'{"version":1,"routes":[]}', 3)), TableAccepted)
    assert isinstance(records.control_event(Change("config", b'{"version":"x"}', 3)), UnreadableRecord)
    assert records.control_event(Change("something/else", b"{}", 3)) is None
    assert records.control_event(Change("config", None, 3)) is None


def test_decoding_of_worker_entries() -> None:
    worker_record = {
        "service": "fleet",
        "address": "10.128.0.9:8080",
        "zone": "z",
        "version": "v1",
        "slots": 16,
        "state": "draining",
        "coldLeftMs": 0,
        "models": [{"name": "m", "version": 3, "adapters": []}],
        "seq": 4,
        "born": 1765000000123,
    }
    entry = decode_worker("i-1", json.dumps(worker_record).encode())
    assert (entry.is_leaving, entry.num_slots, entry.model_versions) == (True, 16, {"m": 3})
    records = StoreRecords()
    assert isinstance(records.worker_event(Change("i-1", json.dumps(worker_record).encode(), 1)), WorkerSeen)
    assert records.worker_event(Change("i-1", None, 2)) == WorkerGone("i-1")
    assert isinstance(records.worker_event(Change("i-1", b"[]", 2)), UnreadableRecord)
