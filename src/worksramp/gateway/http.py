"""Shared parts of the HTTP handlers: API keys, request bodies and headers, typed error responses."""

import functools
import math
from collections.abc import Awaitable, Callable
from typing import Annotated, TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from worksramp.gateway.backend import GatewayBackend
from worksramp.gateway.body_room import MAX_PAUSE_S, BodyTooLargeError, read_bounded
from worksramp.outcomes import InterruptedStepError, NotStartedError, StepError
from worksramp.routing.identity import digest_of_key
from worksramp.routing.limits import DEFAULT_RETRY_AFTER_SECONDS
from worksramp.serving.request_memory import NoRoomError
from worksramp.settings import ApiKey, KeyRole

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_DEADLINE_SECONDS = 600.0
MAX_DIGITS = 15
DEADLINE_HEADER = "x-deadline-seconds"
BEARER_PREFIX = "Bearer "
BODY_STEP = "gateway.body"

BAD_REQUEST = 400
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
REQUEST_TIMEOUT = 408
CONFLICT = 409
TOO_LARGE = 413
UNPROCESSABLE = 422
BAD_GATEWAY = 502
UNAVAILABLE = 503

# The range that every codec on the path preserves: JSON numbers are exact up to 2**53.
Natural = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
StructT = TypeVar("StructT", bound=msgspec.Struct)
Handler = Callable[[Request], Awaitable[Response]]


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """Body of every error response.

    Attributes:
        outcome: ``invalid``, ``denied``, ``not_found``, ``not_run``, ``unknown``, ``conflict`` or
            ``not_ready``.
        field: the field, header or parameter that caused the error; empty if there is none.
        step: name of the call that failed, as in `StepError`.
        peer: address or id of the peer at which the call failed.
        retry_after_seconds: time after which to retry; 0 if it is not known.
    """

    outcome: str
    reason: str
    field: str = ""
    step: str = ""
    peer: str = ""
    retry_after_seconds: float = 0.0


class RequestError(Exception):
    """A request that gets an error response.

    Attributes:
        status: HTTP status.
        body: body of the response.
    """

    def __init__(self, status: int, body: ErrorBody) -> None:
        super().__init__(body.reason)
        self.status = status
        self.body = body


def invalid(field: str, reason: str, status: int = BAD_REQUEST) -> RequestError:
    """Return the error for a field whose value is not valid."""
    return RequestError(status, ErrorBody("invalid", reason, field=field))


def json_response(content: object, status: int = 200, retry_after_seconds: float = 0.0) -> Response:
    """Return a JSON response; ``Retry-After`` is rounded up to whole seconds, and absent if the time is 0."""
    headers = {"retry-after": str(math.ceil(retry_after_seconds))} if retry_after_seconds > 0 else {}
    return Response(msgspec.json.encode(content), status, headers, "application/json")


def step_error_body(error: StepError) -> tuple[int, ErrorBody]:
    """Return the HTTP status and body for a failed step: 503 if it was not started, otherwise 502."""
    if isinstance(error, NotStartedError):
        seconds = error.retry_after_seconds or DEFAULT_RETRY_AFTER_SECONDS
        body = ErrorBody("not_run", error.reason, "", error.step, error.peer, seconds)
        return UNAVAILABLE, body
    body = ErrorBody("unknown", error.reason, "", error.step, error.peer)
    return BAD_GATEWAY, body


def with_error_responses(handler: Handler) -> Handler:
    """Wrap a handler so that its typed errors become error responses."""

    async def respond(request: Request) -> Response:
        try:
            return await handler(request)
        except RequestError as error:
            return json_response(error.body, error.status, error.body.retry_after_seconds)
        except (NotStartedError, InterruptedStepError, StepError) as error:
            status, body = step_error_body(error)
            return json_response(body, status, body.retry_after_seconds)

    return respond


def authorize(backend: GatewayBackend, request: Request, *roles: KeyRole) -> ApiKey:
    """Return the API key of a request.

    Raises:
        RequestError: the request has no key, an unknown key, or a key with none of these roles.
    """
    header = request.headers.get("authorization", "")
    if not header.startswith(BEARER_PREFIX):
        raise RequestError(UNAUTHORIZED, ErrorBody("denied", "a bearer key is required", "authorization"))
    matches = _keys_by_digest(backend.settings.keys).get(digest_of_key(header[len(BEARER_PREFIX) :].encode()))
    if matches is None:
        raise RequestError(UNAUTHORIZED, ErrorBody("denied", "the key is unknown", "authorization"))
    allowed = [key for key in matches if key.role in roles]
    if not allowed:
        names = " or ".join(role.value for role in roles)
        raise RequestError(
            FORBIDDEN, ErrorBody("denied", f"a key with role {names} is required", "authorization")
        )
    return allowed[0]


@functools.lru_cache(maxsize=1)
def _keys_by_digest(keys: tuple[ApiKey, ...]) -> dict[str, list[ApiKey]]:
    """Return the entries of the settings by the digest of their key; a key may have several roles."""
    entries: dict[str, list[ApiKey]] = {}
    for key in keys:
        entries.setdefault(key.sha256, []).append(key)
    return entries


def require_ready(backend: GatewayBackend) -> None:
    """Reject a request while the node is starting or draining.

    Raises:
        RequestError: the node is not ready; the request was not run.
    """
    if not backend.is_ready:
        raise RequestError(
            UNAVAILABLE,
            ErrorBody(
                "not_run",
                "the node is starting or draining",
                step="gateway.ready",
                peer=backend.settings.node_id,
                retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
            ),
        )


async def read_body(request: Request) -> bytes:
    """Return the body of a request.

    Raises:
        RequestError: the body is larger than `MAX_BODY_BYTES`, comes too slowly, or there is no room for it.
    """
    try:
        return await read_bounded(request, MAX_BODY_BYTES)
    except BodyTooLargeError:
        raise invalid("(body)", f"larger than {MAX_BODY_BYTES} bytes", TOO_LARGE) from None
    except TimeoutError:
        raise invalid("(body)", f"no more within {MAX_PAUSE_S:.0f} s", REQUEST_TIMEOUT) from None
    except NoRoomError:
        reason = "too many bytes of other requests"
        body = ErrorBody("not_run", reason, step=BODY_STEP, retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS)
        raise RequestError(UNAVAILABLE, body) from None


async def read_struct(request: Request, struct_type: type[StructT]) -> StructT:
    """Return the JSON body of a request, decoded.

    Raises:
        RequestError: the body is too large or not JSON, or a field is missing, unknown or of the wrong type.
    """
    try:
        return msgspec.json.decode(await read_body(request), type=struct_type)
    except msgspec.DecodeError as error:
        reason, _, path = str(error).partition(" - at `$")
        raise invalid(path.strip(".`") or "(body)", reason) from error


def read_deadline(backend: GatewayBackend, request: Request) -> float:
    """Return the deadline of a request, in seconds from now.

    Raises:
        RequestError: the header is not a number of seconds in the permitted range.
    """
    raw = request.headers.get(DEADLINE_HEADER)
    if raw is None:
        return backend.settings.default_deadline_seconds
    try:
        seconds = float(raw)
    except ValueError:
        raise invalid(DEADLINE_HEADER, f"{raw!r} is not a number of seconds") from None
    if not 0.0 < seconds <= MAX_DEADLINE_SECONDS:
        raise invalid(DEADLINE_HEADER, f"must be above 0 and at most {MAX_DEADLINE_SECONDS:.0f} seconds")
    return seconds


def read_int(raw: str | None, field: str) -> int:
    """Return a parameter that must be a non-negative integer.

    Raises:
        RequestError: the parameter is missing, not a non-negative integer, or has too many digits.
    """
    if raw is None or not raw.isascii() or not raw.isdigit():
        raise invalid(field, f"{raw!r} is not a whole number")
    if len(raw) > MAX_DIGITS:
        raise invalid(field, f"has more than {MAX_DIGITS} digits")
    return int(raw)
