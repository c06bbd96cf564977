"""Operators' API: configuration, prompt sets, status, readiness, metrics and draining."""

import anyio.abc
import msgspec
import prometheus_client
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from worksramp.coordination.configuration import (
    Conflict,
    InForce,
    Invalid,
    Publish,
    PublishVerdict,
    Unsupported,
)
from worksramp.gateway.backend import GatewayBackend
from worksramp.gateway.http import (
    BAD_GATEWAY,
    CONFLICT,
    NOT_FOUND,
    UNAVAILABLE,
    UNPROCESSABLE,
    ErrorBody,
    Natural,
    RequestError,
    authorize,
    invalid,
    json_response,
    read_struct,
    with_error_responses,
)
from worksramp.rollout.document import SCHEMA_VERSION, validate_document
from worksramp.rollout.prompts import prompt_set_name, prompt_stream, write_prompts
from worksramp.settings import KeyRole

PUBLISH_TIMEOUT_SECONDS = 10.0
MAX_CHANGE_ID_CHARACTERS = 128
UNRESOLVED_RETRY_SECONDS = 2.0


class PublishBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request to publish a configuration change.

    Attributes:
        change_id: identifies the change; chosen by the operator.
        expected_revision: revision of the tenant's configuration that the change replaces; 0 for the first.
    """

    change_id: str
    expected_revision: Natural
    document: msgspec.Raw
    schema_version: Natural = SCHEMA_VERSION


class PromptsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request to store a prompt set."""

    prompts: tuple[str, ...]


class PromptSetReply(msgspec.Struct):
    """Name under which a template refers to a stored prompt set."""

    prompt_set: str
    num_prompts: int


class ConfigurationReply(msgspec.Struct):
    """Configuration that is in force for the tenant on the responding node."""

    revision: int
    offset: int
    document: msgspec.Raw


class MemberReply(msgspec.Struct):
    """State of one node, in the membership view of the responding node."""

    instance_id: str
    address: str
    zone: str
    status: str


class StatusReply(msgspec.Struct):
    """State of the responding node.

    Attributes:
        configuration_offset: offset of the next configuration record that the node will apply.
        shards: metrics of the shards that the node serves, by shard.
    """

    instance_id: str
    is_ready: bool
    num_in_flight: int
    configuration_offset: int
    members: tuple[MemberReply, ...]
    shards: dict[str, dict[str, int]]


class OperatorsApi:
    """HTTP handlers of the operators' API of one node.

    Args:
        background: task group in which a requested drain runs; it outlives the request.
    """

    def __init__(self, backend: GatewayBackend, background: anyio.abc.TaskGroup) -> None:
        self._backend = backend
        self._background = background

    def routes(self) -> list[Route]:
        """Return the routes of this API."""
        return [
            Route("/v1/configuration", with_error_responses(self._read), methods=["GET"]),
            Route("/v1/configuration", with_error_responses(self._publish), methods=["PUT"]),
            Route(
                "/v1/configuration/changes/{change_id}",
                with_error_responses(self._read_change),
                methods=["GET"],
            ),
            Route("/v1/prompts", with_error_responses(self._store_prompts), methods=["POST"]),
            Route("/v1/status", with_error_responses(self._status), methods=["GET"]),
            Route("/v1/drain", with_error_responses(self._drain), methods=["POST"]),
            Route("/ready", self._ready, methods=["GET"]),
            Route("/metrics", self._metrics, methods=["GET"]),
        ]

    async def _read(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.OPERATOR)
        current = self._backend.configuration.fold.tenants.get(key.tenant)
        if current is None:
            return json_response(ConfigurationReply(0, -1, msgspec.Raw(b"{}")))
        return json_response(
            ConfigurationReply(current.revision, current.offset, msgspec.Raw(current.document))
        )

    async def _publish(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.OPERATOR)
        body = await read_struct(request, PublishBody)
        if not 1 <= len(body.change_id) <= MAX_CHANGE_ID_CHARACTERS:
            raise invalid("change_id", f"must have 1 to {MAX_CHANGE_ID_CHARACTERS} characters")
        self._check_change(body)
        change = Publish(
            f"{key.tenant}/{body.change_id}",
            key.tenant,
            body.expected_revision,
            body.schema_version,
            bytes(body.document),
        )
        verdict = await self._backend.configuration.publish(change, PUBLISH_TIMEOUT_SECONDS)
        return _verdict_response(verdict)

    def _check_change(self, body: PublishBody) -> None:
        """Reject a change that would be void, or that a live node of an older release could not check.

        Raises:
            RequestError: the document is invalid, or some live node does not support its schema version.
        """
        max_common_version = min(
            member.max_schema_version for member in self._backend.membership.live_members()
        )
        if not 1 <= body.schema_version <= max_common_version:
            raise invalid("schema_version", f"all live nodes support versions 1 to {max_common_version}")
        problem = validate_document(bytes(body.document))
        if problem is not None:
            raise invalid(f"document.{problem.path}", problem.reason, UNPROCESSABLE)

    async def _read_change(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.OPERATOR)
        change_id = f"{key.tenant}/{request.path_params['change_id']}"
        verdict = self._backend.configuration.fold.verdict_of(change_id)
        if verdict is None:
            raise RequestError(
                NOT_FOUND, ErrorBody("not_found", "no such change has been read yet", "change_id")
            )
        return _verdict_response(verdict)

    async def _store_prompts(self, request: Request) -> Response:
        key = authorize(self._backend, request, KeyRole.OPERATOR)
        body = await read_struct(request, PromptsBody)
        if not body.prompts:
            raise invalid("prompts", "must not be empty")
        name = prompt_set_name(body.prompts)
        stream = prompt_stream(key.tenant, name)
        await write_prompts(self._backend.platform.log, stream, body.prompts)
        return json_response(PromptSetReply(name, len(body.prompts)))

    async def _status(self, request: Request) -> Response:
        authorize(self._backend, request, KeyRole.OPERATOR)
        members = tuple(
            MemberReply(member.instance_id, member.address, member.zone, member.status.name.lower())
            for member in self._backend.membership.members()
        )
        return json_response(
            StatusReply(
                instance_id=self._backend.membership.self_member.instance_id,
                is_ready=self._backend.is_ready,
                num_in_flight=self._backend.num_in_flight,
                configuration_offset=self._backend.configuration.fold.next_offset,
                members=members,
                shards=self._backend.owned_shards,
            )
        )

    async def _drain(self, request: Request) -> Response:
        authorize(self._backend, request, KeyRole.OPERATOR)
        self._background.start_soon(self._backend.stop)
        return json_response({"outcome": "accepted"})

    async def _ready(self, request: Request) -> Response:
        if self._backend.is_ready:
            return json_response({"is_ready": True})
        return json_response({"is_ready": False}, UNAVAILABLE)

    async def _metrics(self, request: Request) -> Response:
        return Response(prometheus_client.generate_latest(), media_type=prometheus_client.CONTENT_TYPE_LATEST)


def _verdict_response(verdict: PublishVerdict | None) -> Response:
    """Return the HTTP response for a verdict; None means that it is not known yet."""
    match verdict:
        case InForce():
            return json_response(verdict)
        case Conflict(current_revision=revision):
            reason = f"revision {revision} is current"
            return json_response(ErrorBody("conflict", reason, "expected_revision"), CONFLICT)
        case Invalid(path=path, reason=reason):
            return json_response(ErrorBody("invalid", reason, f"document.{path}"), UNPROCESSABLE)
        case Unsupported(schema_version=version):
            reason = f"this node cannot judge schema version {version}"
            return json_response(ErrorBody("unknown", reason, "schema_version"), BAD_GATEWAY)
        case None:
            body = ErrorBody("unknown", "not confirmed yet; ask again with the same change_id", "change_id")
            body.retry_after_seconds = UNRESOLVED_RETRY_SECONDS
            return json_response(body, UNAVAILABLE, UNRESOLVED_RETRY_SECONDS)
