"""The store client uses the platform's protocol and maps each answer to an outcome of the shared log."""

import contextlib
import random
import struct
from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel
import httpx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
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
from worksramp.coordination.keyed_replica import PAUSE_AFTER_ERROR_SECONDS, KeyedReplica
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


class OneAnswer(HttpClient):
    """HTTP client that gives one response to every call."""

    def __init__(self, status: int, body: bytes) -> None:
        self.response = CompleteHttpResponse(status, [], body)

    async def call(
        self,
        method: str,
        target: Target,
        headers: HeaderPairs,
        body: bytes,
        timeouts: CallTimeouts,
        max_body_b: int = MAX_BODY_B,
    ) -> CompleteHttpResponse:
        """Return the response."""
        await anyio.lowlevel.checkpoint()
        return self.response


def store_with(status: int, body: bytes) -> StoreLog:
    return StoreLog("store:1", LogLimits(), OneAnswer(status, body))


HUGE = b"1" + b"0" * 400
NO_PAGES = [
    b'{"items":[{"key":"a","offset":1,"value":"a"}],"end":2}',
    b'{"items":[{"key":"a","offset":1,"value":"%s"}],"end":2}' % "é".encode(),
    b'{"items":[{"key":"a","offset":1,"value":"*/=="}],"end":2}',
    b'{"items":[{"key":"a","offset":-1,"value":""}],"end":2}',
    b'{"items":[{"key":"a","offset":' + HUGE + b',"value":""}],"end":2}',
    b'{"items":[],"end":-1}',
    b'{"items":[],"end":' + HUGE + b"}",
    b'{"items":[],"end":' + b"9" * 5000 + b"}",
    b'{"items":' + b"[" * 100_000,
    b'{"items":[],"end":2,"more":true}',
    b'{"items":[{"key":"k","offset":1,"value":""}],"end":2,"more":true}',
    b"\xff",
    b"",
]


# A value that was not base64 raised an error of its own in the task that follows the partition.
@pytest.mark.parametrize("body", NO_PAGES, ids=range(len(NO_PAGES)))
def test_a_page_that_cannot_be_used_is_no_answer(body: bytes) -> None:
    async def main() -> None:
        with pytest.raises(LogUnavailableError):
            await store_with(200, body).newest(PARTITION, "k")

    anyio.run(main)


ODD_NUMBERS = [b"-1", HUGE, b"9" * 5000, b"1.5", b"null"]


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda number: number[:8].decode())
def test_an_append_that_names_an_odd_offset_has_an_open_outcome(number: bytes) -> None:
    async def main() -> None:
        for field, status in (("offset", 200), ("end", 200), ("end", 412), ("wanted", 409)):
            log = store_with(status, b'{"%s":%s}' % (field.encode(), number))
            assert isinstance(await log.append(PARTITION, RECORDS), OutcomeOpen), (field, status)

    anyio.run(main)


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda number: number[:8].decode())
def test_a_read_that_names_an_odd_first_offset_is_no_answer(number: bytes) -> None:
    async def main() -> None:
        with pytest.raises(LogUnavailableError):
            await store_with(410, b'{"first":%s}' % number).read(PARTITION, 0, 0.0)

    anyio.run(main)


@pytest.mark.parametrize(
    "body", [b"", b"\x00" * 15, b"\xff" * 16], ids=["empty", "half_a_head", "end_too_large"]
)
def test_a_read_with_an_odd_head_is_no_answer(body: bytes) -> None:
    async def main() -> None:
        with pytest.raises(LogUnavailableError):
            await store_with(200, body).read(PARTITION, 0, 0.0)

    anyio.run(main)


def test_whole_records_are_read_from_an_answer_that_is_cut_short() -> None:
    async def main() -> None:
        whole = b"\x00\x00\x00\x03\x01ab"
        body = struct.pack(">QQ", 2, 0) + whole + b"\xff\xff\xff\xff"
        answer = await store_with(200, body).read(PARTITION, 0, 0.0)
        assert isinstance(answer, RecordsRead)
        assert [(record.key, record.value) for record in answer.records] == [("a", b"b")]

    anyio.run(main)


@given(st.sampled_from([200, 404, 409, 410, 412, 500]), st.binary(max_size=60))
@settings(derandomize=True, max_examples=200)
def test_no_answer_of_the_store_raises_another_error(status: int, body: bytes) -> None:
    async def main() -> None:
        log = store_with(status, body)
        await log.append(PARTITION, RECORDS)
        for call in (log.read(PARTITION, 0, 0.0), log.newest(PARTITION, None)):
            with contextlib.suppress(LogUnavailableError):
                await call

    anyio.run(main)


# The record that was cut off was read again at once, as often as the store answered.
@pytest.mark.parametrize(
    "rest", [b"", b"\xff\xff\xff\xff" + b"x" * 100], ids=["no_record", "length_beyond_the_body"]
)
def test_a_record_that_is_never_whole_is_read_again_after_pauses(rest: bytes) -> None:
    num_reads = 0

    class CountingLog(StoreLog):
        async def read(
            self, partition: Partition, start: int, wait_seconds: float, max_bytes: int | None = None
        ) -> RecordsRead | RecordsGone:
            nonlocal num_reads
            num_reads += 1
            return await super().read(partition, start, wait_seconds, max_bytes)

    async def main() -> None:
        client = OneAnswer(200, b'{"items":[],"end":0}')
        replica = KeyedReplica(
            CountingLog("store:1", LogLimits(), client), PARTITION, 1.0, lambda change: None
        )
        with anyio.move_on_after(0.3):
            async with anyio.create_task_group() as group:
                group.start_soon(replica.follow)
                await replica.wait_loaded()
                client.response = CompleteHttpResponse(200, [], struct.pack(">QQ", 2, 0) + rest)

    anyio.run(main)
    assert num_reads <= 0.3 / PAUSE_AFTER_ERROR_SECONDS + 1
