"""Runs an item at a worker once, and builds its text from the events of the answer."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from worksramp.counts import parse_count
from worksramp.rollout.batches import BatchItem, GeneratedText, Score
from worksramp.routing.events import EventSplitter, StreamEvent
from worksramp.routing.fingerprint import fingerprint_of
from worksramp.routing.held_bytes import AnswerSource, AnswerTooLargeError, HeldBytes, HeldLimit, Holding
from worksramp.routing.worker_port import (
    WorkerAnswer,
    WorkerAnswerBrokenError,
    WorkerPort,
    WorkerRequest,
    WorkerRequestInvalidError,
    WorkerUnreachableError,
)
from worksramp.routing.workers import WorkerEntry

METHOD = "POST"
STATUS_OK = 200
STATUS_NEVER_POSSIBLE = 422
STATUS_FAILED = 500
#: Largest text; a page of results holds no more.
MAX_TEXT_B = 1024 * 1024
#: Most events of a text. Each holds a token at least, and a run no more than its worker's memory.
MAX_TEXT_EVENTS = 131_072
MAX_TEXT_VERSIONS = 1024
#: Memory that an event takes beside its data.
EVENT_OVERHEAD_B = 64


@dataclass(slots=True)
class TextBuilder:
    """Text of an item that is still being generated; complete events are added in order.

    See `GeneratedText` for the other attributes.

    Attributes:
        size_b: size of the data of all events, joined by line feeds.
    """

    pieces: list[str] = field(default_factory=list)
    last_event_id: str | None = None
    versions: list[int] = field(default_factory=list)
    num_failures: int = 0
    is_whole: bool = False
    score: Score | None = None
    num_scoring_failures: int = 0
    size_b: int = 0

    @classmethod
    def from_text(cls, text: GeneratedText) -> "TextBuilder":
        """Return a builder that resumes a kept text."""
        return cls(
            list(text.pieces),
            text.last_event_id,
            list(text.versions),
            text.num_failures,
            text.is_whole,
            text.score,
            text.num_scoring_failures,
            sum(piece_size_b(piece) for piece in text.pieces),
        )

    def freeze(self, batch_id: str) -> GeneratedText:
        """Return the text so far; ``batch_id`` is the batch that its failures were counted in."""
        return GeneratedText(
            tuple(self.pieces),
            self.last_event_id,
            tuple(self.versions),
            self.num_failures,
            self.is_whole,
            batch_id,
            self.score,
            self.num_scoring_failures,
        )

    def copy(self) -> "TextBuilder":
        """Return an independent builder of the same text."""
        return TextBuilder.from_text(self.freeze(""))

    def clear(self) -> None:
        """Discard the text and its score, but keep the failure counts."""
        self.pieces, self.last_event_id, self.versions, self.is_whole = [], None, [], False
        self.score = None
        self.size_b = 0

    def add(self, event: StreamEvent, version: int) -> None:
        """Add a complete event that weight version ``version`` generated."""
        self.pieces.append(event.data)
        self.size_b += piece_size_b(event.data)
        self.score = None
        self.last_event_id = event.event_id
        if version not in self.versions:
            self.versions.append(version)


def piece_size_b(piece: str) -> int:
    """Return the bytes of an event's data in a text, with the line feed after it."""
    return len(piece.encode()) + 1


@dataclass(frozen=True, slots=True)
class RunFinished:
    """The text is complete."""


@dataclass(frozen=True, slots=True)
class RunNotBegun:
    """The worker did not run the item.

    Attributes:
        is_gone: the worker accepts no more work, or another worker answered at its address.
    """

    reason: str
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class RunBroken:
    """The run ended early; its complete events were kept.

    Attributes:
        is_connection_lost: the connection broke, as it does when the worker crashes.
    """

    reason: str
    is_connection_lost: bool = False


@dataclass(frozen=True, slots=True)
class RunOverLimit:
    """The run was ended since its text exceeded a limit; the text was discarded.

    A later run that went on from that text would exceed the limit as well.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class RunError:
    """An error of this process ended the run; its complete events were kept."""

    reason: str


@dataclass(frozen=True, slots=True)
class RunFailed:
    """The worker ended the run with an error of its own."""

    status: int


@dataclass(frozen=True, slots=True)
class RunNeverPossible:
    """The worker answered that the item can never be run, or no worker can be sent it."""


@dataclass(frozen=True, slots=True)
class RunWrongVersion:
    """The worker's weight version may not continue this text."""

    version: int


RunOutcome = (
    RunFinished
    | RunNotBegun
    | RunBroken
    | RunOverLimit
    | RunError
    | RunFailed
    | RunNeverPossible
    | RunWrongVersion
)


@dataclass(frozen=True, slots=True)
class RunSpec:
    """What to run, and the conditions that its events must meet.

    Attributes:
        min_version: oldest weight version that may generate an event.
        needs_one_version: all events must come from one weight version.
        urgency: urgency sent to the worker, None for the worker's default.
        tenant: tenant whose batch holds the item, empty for none.
    """

    item: BatchItem
    host: str
    min_version: int
    needs_one_version: bool
    urgency: int | None = None
    tenant: str = ""


def may_add(text: TextBuilder, version: int, spec: RunSpec) -> bool:
    """Return whether an event of weight version ``version`` may be added to the text."""
    if version < spec.min_version:
        return False
    return not (spec.needs_one_version and text.versions and text.versions != [version])


def fingerprint_of_run(spec: RunSpec) -> str:
    """Return the fingerprint of an item's request, which is the same for all its runs."""
    return fingerprint_of(METHOD, spec.host.encode(), spec.item.target.encode(), spec.item.body)


def request_for(spec: RunSpec, text: TextBuilder) -> WorkerRequest:
    """Return the request of a run that resumes after the text so far."""
    headers = [(b"host", spec.host.encode())]
    headers += [(name.encode(), value.encode()) for name, value in spec.item.headers]
    return WorkerRequest(
        request_id=spec.item.item_id,
        method=METHOD,
        target=spec.item.target.encode(),
        headers=tuple(headers),
        body=spec.item.body,
        resume_after=text.last_event_id,
        urgency=spec.urgency,
        tenant=spec.tenant,
    )


async def run_item(
    port: WorkerPort,
    worker: WorkerEntry,
    spec: RunSpec,
    text: TextBuilder,
    on_event: Callable[[], None],
    held: HeldBytes | None = None,
) -> RunOutcome:
    """Run an item at a worker and add the events that arrive to ``text``.

    If cancelled, the connection is closed, and the worker then aborts the run.

    Args:
        on_event: called after each event that was added.
        held: counts the bytes of all answers that the node holds; None counts those of this run alone.
    """
    held = held or HeldBytes()
    try:
        async with port.send(worker, request_for(spec, text)) as answer:
            if answer.status != STATUS_OK or answer.is_not_run:
                return _outcome_of_refusal(answer)
            source = AnswerSource(worker.worker_id, spec.item.item_id, answer.connection)
            reader = _TextReader(port, spec, text, on_event)
            # A text has a limit of its own.
            with held.hold(source, reader.discard, held.max_total_b) as holding:
                return await reader.read(answer, holding)
    except AnswerTooLargeError as error:
        return RunOverLimit(str(error))
    except WorkerRequestInvalidError:
        return RunNeverPossible()
    except WorkerUnreachableError as error:
        return RunNotBegun(f"unreachable: {error}")
    except WorkerAnswerBrokenError as error:
        return RunBroken(str(error), is_connection_lost=True)


def _outcome_of_refusal(answer: WorkerAnswer) -> RunOutcome:
    if answer.is_other_worker:
        return RunNotBegun("other_worker", is_gone=True)
    if answer.is_not_run:
        return RunNotBegun(f"status_{answer.status}", is_gone=answer.is_leaving)
    if answer.status == STATUS_NEVER_POSSIBLE and answer.is_signed:
        return RunNeverPossible()
    if answer.status == STATUS_FAILED and answer.is_signed:
        return RunFailed(answer.status)
    return RunBroken(f"status_{answer.status}")


@dataclass(slots=True)
class _TextReader:
    """Adds the events of one answer to a text."""

    port: WorkerPort
    spec: RunSpec
    text: TextBuilder
    on_event: Callable[[], None]
    splitter: EventSplitter = field(default_factory=EventSplitter)

    def discard(self) -> None:
        """Discard the text and the bytes of an incomplete event."""
        self.text.clear()
        self.splitter.clear()

    async def read(self, answer: WorkerAnswer, holding: Holding) -> RunOutcome:
        """Read an answer to its end.

        Raises:
            AnswerTooLargeError: the text exceeded a limit, and was discarded.
            WorkerAnswerBrokenError: the answer ended early.
        """
        version = answer.weight_version
        if version is None or not answer.is_signed:
            return RunBroken("unsigned answer or missing weight version")
        async for chunk in answer.body:
            await holding.begin_chunk()
            for event in self.splitter.feed(chunk):
                if event.is_empty:
                    continue
                if event.event_id is None:
                    # A text is UTF-8, and goes on from the id of its last event.
                    return RunBroken("event without a usable id" if event.is_text else "event is not UTF-8")
                reported = parse_count(event.fields.get(self.port.version_field, ""))
                version = version if reported is None else reported
                if not may_add(self.text, version, self.spec):
                    return RunWrongVersion(version)
                self.text.add(event, version)
                self.on_event()
            self._count(holding)
            await anyio.lowlevel.checkpoint_if_cancelled()
        holding.check()
        if self.splitter.has_partial_event:
            return RunBroken("ended inside an event", is_connection_lost=True)
        self.text.is_whole = True
        return RunFinished()

    def _count(self, holding: Holding) -> None:
        """Count the bytes held.

        Raises:
            AnswerTooLargeError: a limit is exceeded.
        """
        text = self.text
        size_b = text.size_b + self.splitter.size_b
        holding.resize(size_b + EVENT_OVERHEAD_B * len(text.pieces))
        if (
            size_b > MAX_TEXT_B
            or len(text.pieces) > MAX_TEXT_EVENTS
            or len(text.versions) > MAX_TEXT_VERSIONS
        ):
            holding.drop(HeldLimit.TEXT)
