"""Trainers' API: the batches of a job by cursor, and the state of a job."""

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
    """HTTP handlers of the trainers' API of one node."""

    def __init__(self, backend: GatewayBackend) -> None:
        self._backend = backend

    def routes(self) -> list[Route]:
        """Return the routes of this API."""
        return [
            Route("/v1/jobs/{job}/batches/{cursor}", with_error_responses(self._fetch), methods=["GET"]),
            Route("/v1/jobs/{job}", with_error_responses(self._describe), methods=["GET"]),
        ]

    async def _fetch(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.TRAINER)
        require_ready(self._backend)
        shard = self._job_shard(key.tenant, request.path_params["job"])
        cursor = read_int(request.path_params["cursor"], "cursor")
        trainer_version = read_int(request.query_params.get("trainer_version"), "trainer_version")
        fetch = FetchBatch(shard, cursor, trainer_version)
        with self._backend.live.track_request():
            reply = await self._backend.call_owner(fetch, FETCH_TIMEOUT_SECONDS)
        match reply:
            case BatchReply(body=body):
                return Response(body, media_type="application/json")
            case BatchNotReady(num_missing=num_missing, retry_after_seconds=seconds):
                error_body = ErrorBody(
                    "not_ready", f"{num_missing} samples are missing", "", "job.fetch", shard
                )
                error_body.retry_after_seconds = seconds
                return json_response(error_body, UNAVAILABLE, seconds)
            case BatchRefused(field=field, reason=reason):
                return json_response(ErrorBody("conflict", reason, field), CONFLICT)
            case _:
                raise StepError("job.fetch", shard, f"unexpected {type(reply).__name__}")

    async def _describe(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.TRAINER, KeyRole.OPERATOR)
        require_ready(self._backend)
        shard = self._job_shard(key.tenant, request.path_params["job"])
        reply = await self._backend.call_owner(DescribeShard(shard), FETCH_TIMEOUT_SECONDS)
        if not isinstance(reply, ShardDescription):
            raise StepError("job.describe", shard, f"unexpected {type(reply).__name__}")
        return json_response(reply)

    def _job_shard(self, tenant: str, job: str) -> str:
        """Return the shard of a tenant's job.

        Raises:
            RequestError: the configuration in force has no such job.
        """
        document = self._backend.documents.get(tenant)
        if document is None or job not in document.jobs:
            raise RequestError(NOT_FOUND, ErrorBody("not_found", f"no job {job!r}", "job"))
        return f"job.{tenant}.{job}"
