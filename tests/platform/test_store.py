"""The store client uses the platform's protocol and maps each answer to an outcome of the shared log."""

import random
from collections.abc import Awaitable, Callable

import anyio
import httpx
import pytest
from worksramp_platform.http_calls import (
    MAX_BODY_B,
    CallTimeouts,
    CompleteHttpResponse,
    HeaderPairs,
    HttpClient,
    Target,
)
from worksramp_platform.store import StoreLog

from tests.platform.standin import StoreApp
from worksramp.coordination.shared_log import (
    Appended,
    AppendOutcome,
    ConditionFailed,
    Fence,
    FencedOff,
    KeyedRecord,
    LogLimits,
    LogUnavailableError,
    NothingDone,
    OutcomeOpen,
    OutOfSequence,
    Partition,
    RecordsGone,
    RecordsRead,
)
from worksramp_emulator.shared_log import LogStore

PARTITION = Partition("keyed.things", 0)
RECORDS = (KeyedRecord("a", b"1"), KeyedRecord("b/ü", b"\x00\xff"), KeyedRecord("a", b"3"))


class AsgiClient(HttpClient):
    """HTTP client that calls an ASGI application in this process."""

    def __init__(self, app: StoreApp) -> None:
        self._transport = httpx.ASGITransport(app=app)

    async def call(
        self,
        method: str,
        target: Target,
        headers: HeaderPairs,
        body: bytes,
        timeouts: CallTimeouts,
        max_body_b: int = MAX_BODY_B,
    ) -> CompleteHttpResponse:
        """Return the response of the application."""
        url = f"http://{target.address}{target.path.decode()}"
        async with httpx.AsyncClient(transport=self._transport) as client:
            answer = await client.request(method, url, headers=headers, content=body)
        assert len(answer.content) <= max_body_b
        return CompleteHttpResponse(answer.status_code, answer.headers.raw, answer.content)


def with_store(scenario: Callable[[StoreLog, StoreApp], Awaitable[None]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            app = StoreApp(LogStore(random.Random(1), group))
            await scenario(StoreLog("store:1", LogLimits(), AsgiClient(app)), app)

    anyio.run(main)


def test_records_are_read_as_they_were_appended() -> None:
    async def scenario(log: StoreLog, app: StoreApp) -> None:
        assert await log.append(PARTITION, RECORDS) == Appended(0, 3)
        answer = await log.read(PARTITION, 1, 0.0)
        assert isinstance(answer, RecordsRead)
        assert [(r.offset, r.key, r.value) for r in answer.records] == [
            (1, "b/ü", b"\x00\xff"),
            (2, "a", b"3"),
        ]
        assert answer.end == 3

    with_store(scenario)


def test_newest_values_are_read_in_pages() -> None:
    async def scenario(log: StoreLog, app: StoreApp) -> None:
        await log.append(PARTITION, (*RECORDS, KeyedRecord("c", b"4"), KeyedRecord("b/ü", b"")))
        app.page_size = 1
        page = await log.newest(PARTITION, None)
        assert ([(r.key, r.value, r.offset) for r in page.records], page.end) == ([("a", b"3", 2)], 5)
        page = await log.newest(PARTITION, page.next_after)
        assert [(r.key, r.value) for r in page.records] == [("c", b"4")]
        assert page.next_after is None

    with_store(scenario)


def test_reading_a_removed_offset_returns_the_first_kept_one() -> None:
    async def scenario(log: StoreLog, app: StoreApp) -> None:
        await log.append(PARTITION, RECORDS)
        app.store.apply_retention(PARTITION)
        assert await log.read(PARTITION, 1, 0.0) == RecordsGone(3)

    with_store(scenario)


def test_outcomes_of_conditional_and_fenced_appends() -> None:
    async def scenario(log: StoreLog, app: StoreApp) -> None:
        record = (KeyedRecord("a", b"1"),)
        assert await log.append(PARTITION, record, expected_end=4) == ConditionFailed(0)
        assert await log.append(PARTITION, record, Fence("owner", 2, 0)) == Appended(0, 1)
        assert await log.append(PARTITION, record, Fence("owner", 2, 0)) == Appended(0, 1)
        assert await log.append(PARTITION, record, Fence("owner", 2, 5)) == OutOfSequence(1)
        assert await log.append(PARTITION, record, Fence("owner", 1, 9)) == FencedOff()

    with_store(scenario)


@pytest.mark.parametrize("status", [429, 503, 507, 403])
def test_a_refused_append_is_reported_as_not_done(status: int) -> None:
    outcomes: list[AppendOutcome] = []

    async def scenario(log: StoreLog, app: StoreApp) -> None:
        app.refuse_with = status
        outcomes.append(await log.append(PARTITION, RECORDS))
        with pytest.raises(LogUnavailableError):
            await log.read(PARTITION, 0, 0.0)
        with pytest.raises(LogUnavailableError):
            await log.newest(PARTITION, None)

    with_store(scenario)
    assert isinstance(outcomes[0], NothingDone)


def test_the_outcome_is_open_after_any_other_status() -> None:
    async def scenario(log: StoreLog, app: StoreApp) -> None:
        app.refuse_with = 500
        assert isinstance(await log.append(PARTITION, RECORDS), OutcomeOpen)

    with_store(scenario)
