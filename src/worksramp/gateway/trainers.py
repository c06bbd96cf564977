"""Trainers' API: batches by cursor."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from worksramp.gateway.backend import GatewayBackend
from worksramp.gateway.http import (
    CONFLICT,
    NOT_FOUND,
    UNAVAILABLE,
    ErrorBody,
    RequestError,
    authorize,
    json_response,
    read_int,
    require_ready,
    with_error_responses,
)
from worksramp.outcomes import StepError
from worksramp.settings import KeyRole
from worksramp.transport.messages import (
    BatchNotReady,
    BatchRefused,
    BatchReply,
    DescribeShard,
    FetchBatch,
    ShardDescription,
)

FETCH_TIMEOUT_SECONDS = 10.0


class TrainersApi:
    """Handlers of the trainers' API of one node."""

    def __init__(self, backend: GatewayBackend) -> None:
        self._backend = backend

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/v1/jobs/{job}/batches/{cursor}", with_error_responses(self._fetch), methods=["GET"]),
            Route("/v1/jobs/{job}", with_error_responses(self._describe), methods=["GET"]),
        ]

    async def _fetch(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.TRAINER)
        require_ready(self._backend)
        shard = self._shard(key.tenant, request.path_params["job"])
        cursor = read_int(request.path_params["cursor"], "cursor")
        trainer_version = read_int(request.query_params.get("trainer_version"), "trainer_version")
        fetch = FetchBatch(shard, cursor, trainer_version)
        with self._backend.live.track_request():
            reply = await self._backend.call_owner(fetch, FETCH_TIMEOUT_SECONDS)
        match reply:
            case BatchReply(body=body):
                return Response(body, media_type="application/json")
            case BatchNotReady(num_missing=num_missing, retry_after_seconds=seconds):
                body_struct = ErrorBody(
                    "not_ready", f"{num_missing} samples are missing", "", "job.fetch", shard
                )
                body_struct.retry_after_seconds = seconds
                return json_response(body_struct, UNAVAILABLE, seconds)
            case BatchRefused(field=field, reason=reason):
                return json_response(ErrorBody("conflict", reason, field), CONFLICT)
            case _:
                raise StepError("job.fetch", shard, f"unexpected {type(reply).__name__}")

    async def _describe(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.TRAINER, KeyRole.OPERATOR)
        require_ready(self._backend)
        shard = self._shard(key.tenant, request.path_params["job"])
        reply = await self._backend.call_owner(DescribeShard(shard), FETCH_TIMEOUT_SECONDS)
        if not isinstance(reply, ShardDescription):
            raise StepError("job.describe", shard, f"unexpected {type(reply).__name__}")
        return json_response(reply)

    def _shard(self, tenant: str, job: str) -> str:
        document = self._backend.documents.get(tenant)
        if document is None or job not in document.jobs:
            raise RequestError(NOT_FOUND, ErrorBody("not_found", f"no job {job!r}", "job"))
        return f"job.{tenant}.{job}"
