"""HTTP clients of the outside systems, built on httpx.

A failed connection attempt raises `NotStartedError`, because no byte of the request was sent. So does a
refusal that the other side marks with the code ``not_started``. Every other failure raises
`InterruptedStepError`.
"""

from collections.abc import AsyncGenerator, Iterator
from contextlib import contextmanager

import httpx
import msgspec
from httpx_sse import aconnect_sse
from prometheus_client import Counter

from worksramp.backends.base import (
    ApplicationClient,
    ApplicationReply,
    ApplicationRequest,
    EngineClient,
    GenerateRequest,
    GenerationChunk,
    LoadOrder,
    LogClient,
    LogPage,
    Machine,
    MachineListClient,
    Platform,
    ScorerClient,
    WeightStoreClient,
    WorkerReport,
)
from worksramp.outcomes import InterruptedStepError, NotStartedError
from worksramp.statuses import is_final

CONNECT_TIMEOUT_SECONDS = 1.0
REPLY_TIMEOUT_SECONDS = 5.0
STREAM_IDLE_TIMEOUT_SECONDS = 20.0
MAX_REPLY_BYTES = 8 * 1024 * 1024
NOT_STARTED_CODE = "not_started"
SSE_DONE = "[DONE]"
#: A back end may send a second answer, which nothing in it tells from the next one on the connection. So a
#: connection carries one call.
ONE_CALL_HEADERS = {"connection": "close"}
#: Bytes that separate a header's name from its value and end its line.
HEADER_SEPARATOR_BYTES = 4

PLATFORM_BYTES = Counter("worksramp_platform_bytes_total", "Bytes to and from outside systems", ["step"])
PLATFORM_REQUESTS = Counter("worksramp_platform_requests_total", "Requests to outside systems", ["step"])


class RefusalBody(msgspec.Struct):
    """Error body of a back end that refuses a request before running it."""

    code: str
    reason: str = ""
    is_leaving: bool = False


class ScoreReply(msgspec.Struct):
    """Reply of the scoring service."""

    reward: float


class VersionReply(msgspec.Struct):
    """Reply of the weight store."""

    weight_version: int


class AppendReply(msgspec.Struct):
    """Reply of the log service to an append."""

    offset: int


@contextmanager
def _step_errors(step: str, peer: str) -> Iterator[None]:
    """Convert httpx and decoding errors to step errors."""
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise NotStartedError(step, peer, f"cannot connect: {error!r}") from error
    except httpx.HTTPError as error:
        raise InterruptedStepError(step, peer, repr(error)) from error
    except msgspec.DecodeError as error:
        raise InterruptedStepError(step, peer, f"malformed reply: {error}") from error


def _check_status(step: str, peer: str, status: int) -> None:
    """Raise the step error for a number that is no status, whatever the answer says besides."""
    if not is_final(status):
        raise InterruptedStepError(step, peer, f"status {status} is none of HTTP")


def _raise_for_refusal(step: str, peer: str, status: int, body: bytes, retry_after: str | None) -> None:
    """Raise the step error for an error status; do nothing for other statuses."""
    _check_status(step, peer, status)
    if status < httpx.codes.BAD_REQUEST:
        return
    try:
        refusal = msgspec.json.decode(body, type=RefusalBody)
    except msgspec.DecodeError:
        refusal = RefusalBody(code="unmarked", reason=f"status {status}")
    if refusal.code == NOT_STARTED_CODE:
        seconds = float(retry_after) if retry_after else None
        raise NotStartedError(step, peer, refusal.reason, seconds, refusal.is_leaving)
    raise InterruptedStepError(step, peer, f"status {status}: {refusal.reason}")


def _count_bytes(step: str, response: httpx.Response) -> None:
    """Count the bytes of one request and its reply, including headers."""
    request = response.request
    sent = len(request.content) + sum(
        len(key) + len(value) + HEADER_SEPARATOR_BYTES for key, value in request.headers.raw
    )
    received = len(response.content)
    received += sum(len(key) + len(value) + HEADER_SEPARATOR_BYTES for key, value in response.headers.raw)
    PLATFORM_BYTES.labels(step).inc(sent + received)
    PLATFORM_REQUESTS.labels(step).inc()


class _HttpPeer:
    """Base class of the HTTP clients, which sends requests and checks replies."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def _request(
        self,
        step: str,
        method: str,
        address: str,
        path: str,
        content: bytes | None = None,
        params: dict[str, str] | None = None,
        timeout_seconds: float = REPLY_TIMEOUT_SECONDS,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        response = await self._exchange(
            step, method, address, path, content, params, headers, timeout_seconds=timeout_seconds
        )
        return response.content

    async def _exchange(
        self,
        step: str,
        method: str,
        address: str,
        path: str,
        content: bytes | None = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        timeout_seconds: float = REPLY_TIMEOUT_SECONDS,
    ) -> httpx.Response:
        timeout = httpx.Timeout(timeout_seconds, connect=CONNECT_TIMEOUT_SECONDS)
        url = f"http://{address}{path}"
        with _step_errors(step, address):
            response = await self._client.request(
                method, url, content=content, params=params, headers=headers, timeout=timeout
            )
        _count_bytes(step, response)
        if len(response.content) > MAX_REPLY_BYTES:
            raise InterruptedStepError(step, address, f"reply larger than {MAX_REPLY_BYTES} bytes")
        retry_after = response.headers.get("retry-after")
        _raise_for_refusal(step, address, response.status_code, response.content, retry_after)
        return response


class HttpLogClient(_HttpPeer, LogClient):
    """Log service over HTTP."""

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        super().__init__(client)
        self._address = address

    async def append(self, stream: str, record: bytes) -> int:
        """See `LogClient.append`."""
        path = f"/v1/streams/{stream}/records"
        body = await self._request("log.append", "POST", self._address, path, record)
        with _step_errors("log.append", self._address):
            return msgspec.json.decode(body, type=AppendReply).offset

    async def read(self, stream: str, start: int, max_records: int, wait_seconds: float) -> LogPage:
        """See `LogClient.read`."""
        params = {"start": str(start), "max": str(max_records), "wait": str(wait_seconds)}
        path = f"/v1/streams/{stream}/records"
        timeout = wait_seconds + REPLY_TIMEOUT_SECONDS
        body = await self._request("log.read", "GET", self._address, path, None, params, timeout)
        with _step_errors("log.read", self._address):
            return msgspec.json.decode(body, type=LogPage)


class HttpEngineClient(_HttpPeer, EngineClient):
    """Engine over HTTP and server-sent events, modelled on the OpenAI completions API."""

    async def generate(self, address: str, request: GenerateRequest) -> AsyncGenerator[GenerationChunk, None]:
        """See `EngineClient.generate`."""
        step = "engine.generate"
        timeout = httpx.Timeout(STREAM_IDLE_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS)
        content = msgspec.json.encode(request)
        url = f"http://{address}/v1/completions"
        with _step_errors(step, address):
            async with aconnect_sse(
                self._client, "POST", url, content=content, headers=ONE_CALL_HEADERS, timeout=timeout
            ) as source:
                response = source.response
                if response.status_code >= httpx.codes.BAD_REQUEST:
                    body = await response.aread()
                    retry_after = response.headers.get("retry-after")
                    _raise_for_refusal(step, address, response.status_code, body, retry_after)
                async for event in source.aiter_sse():
                    if event.data == SSE_DONE:
                        return
                    yield msgspec.json.decode(event.data, type=GenerationChunk)

    async def report(self, address: str) -> WorkerReport:
        """See `EngineClient.report`."""
        body = await self._request("engine.report", "GET", address, "/v1/load", headers=ONE_CALL_HEADERS)
        with _step_errors("engine.report", address):
            return msgspec.json.decode(body, type=WorkerReport)

    async def order_load(self, address: str, order: LoadOrder) -> WorkerReport:
        """See `EngineClient.order_load`."""
        content = msgspec.json.encode(order)
        body = await self._request(
            "engine.order_load", "POST", address, "/v1/weights", content, headers=ONE_CALL_HEADERS
        )
        with _step_errors("engine.order_load", address):
            return msgspec.json.decode(body, type=WorkerReport)


class HttpApplicationClient(_HttpPeer, ApplicationClient):
    """Application worker over HTTP."""

    async def call(self, address: str, request: ApplicationRequest) -> ApplicationReply:
        """See `ApplicationClient.call`. Any error status except 503 is the worker's own answer."""
        step = "application.call"
        timeout = httpx.Timeout(STREAM_IDLE_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS)
        url = f"http://{address}{request.path}"
        headers = {"x-request-id": request.request_id, **ONE_CALL_HEADERS}
        with _step_errors(step, address):
            response = await self._client.request(
                request.method, url, content=request.body, headers=headers, timeout=timeout
            )
        _check_status(step, address, response.status_code)
        if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            retry_after = response.headers.get("retry-after")
            _raise_for_refusal(step, address, response.status_code, response.content, retry_after)
        return ApplicationReply(status=response.status_code, body=response.content)

    async def report(self, address: str) -> WorkerReport:
        """See `ApplicationClient.report`."""
        body = await self._request("application.report", "GET", address, "/v1/load", headers=ONE_CALL_HEADERS)
        with _step_errors("application.report", address):
            return msgspec.json.decode(body, type=WorkerReport)


class HttpWeightStoreClient(_HttpPeer, WeightStoreClient):
    """Weight store over HTTP."""

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        super().__init__(client)
        self._address = address

    async def newest_version(self, model: str) -> int:
        """See `WeightStoreClient.newest_version`."""
        body = await self._request("weights.newest", "GET", self._address, f"/v1/models/{model}/newest")
        with _step_errors("weights.newest", self._address):
            return msgspec.json.decode(body, type=VersionReply).weight_version


class HttpScorerClient(_HttpPeer, ScorerClient):
    """Scoring service over HTTP."""

    async def score(self, address: str, prompt: str, completion: str) -> float:
        """See `ScorerClient.score`."""
        content = msgspec.json.encode({"prompt": prompt, "completion": completion})
        body = await self._request(
            "scorer.score", "POST", address, "/v1/score", content, headers=ONE_CALL_HEADERS
        )
        with _step_errors("scorer.score", address):
            return msgspec.json.decode(body, type=ScoreReply).reward


class HttpMachineListClient(_HttpPeer, MachineListClient):
    """Machine list over HTTP."""

    def __init__(self, client: httpx.AsyncClient, address: str) -> None:
        super().__init__(client)
        self._address = address
        self._etag = ""
        self._machines: tuple[Machine, ...] = ()

    async def machines(self) -> tuple[Machine, ...]:
        """See `MachineListClient.machines`. An unchanged list is not transferred again."""
        step = "machines.list"
        headers = {"if-none-match": self._etag} if self._etag else None
        response = await self._exchange(step, "GET", self._address, "/v1/machines", headers=headers)
        if response.status_code == httpx.codes.NOT_MODIFIED:
            return self._machines
        with _step_errors(step, self._address):
            self._machines = msgspec.json.decode(response.content, type=tuple[Machine, ...])
        self._etag = response.headers.get("etag", "")
        return self._machines


def http_platform(
    client: httpx.AsyncClient, log_address: str, weight_store_address: str, machine_list_address: str
) -> Platform:
    """Return clients of all outside systems that share one HTTP client."""
    return Platform(
        log=HttpLogClient(client, log_address),
        engines=HttpEngineClient(client),
        applications=HttpApplicationClient(client),
        weight_store=HttpWeightStoreClient(client, weight_store_address),
        scorers=HttpScorerClient(client),
        machine_list=HttpMachineListClient(client, machine_list_address),
    )
