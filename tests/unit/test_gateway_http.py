"""The HTTP API responds to invalid requests with a typed error body that has field and reason."""

from collections.abc import Awaitable, Callable

import anyio
import httpx
import msgspec
import pytest

from worksramp.gateway.http import MAX_BODY_BYTES
from worksramp.logs import configure_logs
from worksramp_emulator.simulation.clock import run_simulated
from worksramp_emulator.simulation.world import World
from worksramp_emulator.simulation.world_spec import (
    APPLICATION,
    CALLER_KEY,
    JOB,
    MODEL,
    OPERATOR_KEY,
    TRAINER_KEY,
    WorldSpec,
)

Ask = Callable[..., Awaitable[httpx.Response]]
CONFIRM_PATH = f"/v1/applications/{APPLICATION}/confirm"


def request_once(
    method: str, path: str, key: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> httpx.Response:
    """Return the response to one request to a node that runs in a new simulation."""
    configure_logs("error")

    async def main() -> httpx.Response:
        async with anyio.create_task_group() as group:
            world = World(WorldSpec(num_nodes=1, num_engines=1, num_applications=1), 1, group)
            await world.start()
            await anyio.sleep(3.0)
            response = await world.http(world.slots[0], method, path, key, body, headers)
            group.cancel_scope.cancel()
        assert response is not None
        return response

    return run_simulated(main, 1)


def completion_body(**fields: object) -> bytes:
    return msgspec.json.encode({"model": MODEL, "prompt": "p", "max_tokens": 4} | fields)


@pytest.mark.parametrize(
    ("method", "path", "key", "body", "headers", "status", "field"),
    [
        ("POST", "/v1/completions", "no-such-key", completion_body(), {}, 401, "authorization"),
        ("POST", "/v1/completions", TRAINER_KEY, completion_body(), {}, 403, "authorization"),
        ("POST", "/v1/completions", CALLER_KEY, b"{", {}, 400, "(body)"),
        ("POST", "/v1/completions", CALLER_KEY, b'{"model": "m"}', {}, 400, "(body)"),
        ("POST", "/v1/completions", CALLER_KEY, completion_body(max_tokens=0), {}, 400, "max_tokens"),
        ("POST", "/v1/completions", CALLER_KEY, completion_body(max_tokens="x"), {}, 400, "max_tokens"),
        ("POST", "/v1/completions", CALLER_KEY, completion_body(model="other"), {}, 404, "model"),
        ("POST", "/v1/completions", CALLER_KEY, b" " * (MAX_BODY_BYTES + 1), {}, 413, "(body)"),
        (
            "POST",
            "/v1/completions",
            CALLER_KEY,
            completion_body(),
            {"x-deadline-seconds": "soon"},
            400,
            "x-deadline-seconds",
        ),
        ("POST", CONFIRM_PATH, CALLER_KEY, b"1", {"idempotency-key": "1"}, 400, "idempotency-key"),
        ("GET", f"/v1/jobs/{JOB}/batches/x?trainer_version=1", TRAINER_KEY, b"", {}, 400, "cursor"),
        ("GET", f"/v1/jobs/{JOB}/batches/1", TRAINER_KEY, b"", {}, 400, "trainer_version"),
        ("GET", f"/v1/jobs/{JOB}/batches/{10**30}?trainer_version=1", TRAINER_KEY, b"", {}, 400, "cursor"),
        ("GET", f"/v1/jobs/{JOB}/batches/1?trainer_version=²", TRAINER_KEY, b"", {}, 400, "trainer_version"),
        ("POST", "/v1/completions", CALLER_KEY, completion_body(seed=2**70), {}, 400, "seed"),
        ("POST", "/v1/completions", CALLER_KEY, completion_body(seed=-1), {}, 400, "seed"),
        (
            "PUT",
            "/v1/configuration",
            OPERATOR_KEY,
            b'{"change_id":"c","expected_revision":99999999999999999999999,"document":{}}',
            {},
            400,
            "expected_revision",
        ),
        ("GET", f"/v1/jobs/{JOB}/batches/9?trainer_version=1", TRAINER_KEY, b"", {}, 409, "cursor"),
        ("GET", "/v1/jobs/none/batches/1?trainer_version=1", TRAINER_KEY, b"", {}, 404, "job"),
        ("PUT", "/v1/configuration", OPERATOR_KEY, b'{"change_id": "c"}', {}, 400, "(body)"),
        (
            "PUT",
            "/v1/configuration",
            OPERATOR_KEY,
            b'{"change_id":"c","expected_revision":1,"document":{"num_fleet_cells":0}}',
            {},
            422,
            "document.num_fleet_cells",
        ),
        (
            "PUT",
            "/v1/configuration",
            OPERATOR_KEY,
            b'{"change_id":"c","expected_revision":1,"schema_version":7,"document":{}}',
            {},
            400,
            "schema_version",
        ),
    ],
)
def test_invalid_request_gets_a_typed_error(
    method: str, path: str, key: str, body: bytes, headers: dict[str, str], status: int, field: str
) -> None:
    response = request_once(method, path, key, body, headers)
    error = response.json()
    assert (response.status_code, error.get("field")) == (status, field)
    assert error["outcome"]
    assert error["reason"]


def test_completion_reports_its_weight_versions() -> None:
    completion = request_once("POST", "/v1/completions", CALLER_KEY, completion_body()).json()
    assert completion["object"] == "text_completion"
    assert completion["weight_versions"] == [[1, 0, 4]]


def test_stream_ends_with_done() -> None:
    response = request_once("POST", "/v1/completions", CALLER_KEY, completion_body(stream=True))
    assert response.headers["content-type"].startswith("text/event-stream")
    assert response.text.rstrip().endswith("data: [DONE]")
