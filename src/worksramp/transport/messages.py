"""Calls between nodes: one msgspec Struct a request and a reply, in two tagged unions."""

from enum import StrEnum

import msgspec

from worksramp.outcomes import Completed, ExecutionOutcome, KeyReused, NotRun, OutcomeUnknown, StepError


class ExecuteOnce(msgspec.Struct, frozen=True, tag="execute_once"):
    """Run a request at most once, for the owner of its key's ledger slice.

    Attributes:
        key: canonical idempotency key, tenant included.
    """

    shard: str
    key: str
    application: str
    method: str
    path: str
    body: bytes
    deadline_seconds: float


class FetchBatch(msgspec.Struct, frozen=True, tag="fetch_batch"):
    """Ask a job's owner for batch ``cursor``; says that all batches before it are taken in."""

    shard: str
    cursor: int
    trainer_version: int


class RunSample(msgspec.Struct, frozen=True, tag="run_sample"):
    """Generate one completion on whichever engine the receiving node chooses."""

    request_id: str
    fleet: str
    model: str
    prompt: str
    seed: int
    max_tokens: int
    min_weight_version: int
    live_reserved_share: float


class CheckSample(msgspec.Struct, frozen=True, tag="check_sample"):
    """Ask whether a `RunSample` is still running there."""

    request_id: str


class SampleChecked(msgspec.Struct, frozen=True, tag="sample_checked"):
    """Answer to `CheckSample`."""

    is_running: bool


class PushConfiguration(msgspec.Struct, frozen=True, tag="push_configuration"):
    """Records of the configuration stream that the sender holds."""

    start: int
    records: tuple[bytes, ...]


class PullConfiguration(msgspec.Struct, frozen=True, tag="pull_configuration"):
    """Ask for the configuration records from ``start`` on."""

    start: int


class DescribeShard(msgspec.Struct, frozen=True, tag="describe_shard"):
    """Ask the owner of a shard for its state in words and counts."""

    shard: str


class AnnounceVersion(msgspec.Struct, frozen=True, tag="announce_version"):
    """Tell the owner of a fleet's cell that newer weights are published."""

    shard: str
    weight_version: int


class VersionNoted(msgspec.Struct, frozen=True, tag="version_noted"):
    """The owner knows of these weights now, or of newer ones."""

    weight_version: int


NodeRequest = (
    ExecuteOnce
    | FetchBatch
    | RunSample
    | CheckSample
    | PushConfiguration
    | PullConfiguration
    | DescribeShard
    | AnnounceVersion
)


class ExecutionKind(StrEnum):
    """Tags of `worksramp.outcomes.ExecutionOutcome` on the wire."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"


class ExecuteReply(msgspec.Struct, frozen=True, tag="execute_reply"):
    """Outcome of `ExecuteOnce`; fields that its kind does not use are empty."""

    kind: ExecutionKind
    status: int = 0
    body: bytes = b""
    step: str = ""
    peer: str = ""
    reason: str = ""
    retry_after_seconds: float = 0.0


class BatchReply(msgspec.Struct, frozen=True, tag="batch"):
    """A committed batch, as the JSON that the trainer gets."""

    body: bytes


class BatchNotReady(msgspec.Struct, frozen=True, tag="batch_not_ready"):
    """Too few samples are finished, or the commit is not confirmed yet."""

    num_missing: int
    retry_after_seconds: float


class BatchRefused(msgspec.Struct, frozen=True, tag="batch_refused"):
    """The request can never be granted."""

    field: str
    reason: str


class SegmentReply(msgspec.Struct, frozen=True, array_like=True):
    """Tokens ``start`` up to ``end`` by one weight version."""

    weight_version: int
    start: int
    end: int


class SampleReply(msgspec.Struct, frozen=True, tag="sample"):
    """A whole completion."""

    tokens: tuple[str, ...]
    segments: tuple[SegmentReply, ...]


class ConfigurationRecords(msgspec.Struct, frozen=True, tag="configuration_records"):
    """Records from ``start``; when ``snapshot`` is set, the folded state up to ``start``.

    Attributes:
        is_ready: whether the answering node is itself up to date; only then does it count as heard.
    """

    start: int
    records: tuple[bytes, ...]
    snapshot: bytes = b""
    is_ready: bool = False


class ConfigurationHeld(msgspec.Struct, frozen=True, tag="configuration_held"):
    """The receiver now holds all records below ``next_offset``."""

    next_offset: int


class ShardDescription(msgspec.Struct, frozen=True, tag="shard_description"):
    """State of one shard for operators."""

    shard: str
    owner: str
    epoch: int
    figures: dict[str, int]


class NotOwner(msgspec.Struct, frozen=True, tag="not_owner"):
    """The receiver does not own the shard and did nothing; ``owner_address`` may be empty."""

    owner_address: str = ""


class CallFailed(msgspec.Struct, frozen=True, tag="call_failed"):
    """A step failed on the receiving node."""

    step: str
    peer: str
    reason: str
    is_not_started: bool = False


NodeReply = (
    ExecuteReply
    | BatchReply
    | BatchNotReady
    | BatchRefused
    | SampleReply
    | SampleChecked
    | ConfigurationRecords
    | ConfigurationHeld
    | ShardDescription
    | VersionNoted
    | NotOwner
    | CallFailed
)

_request_decoder = msgspec.msgpack.Decoder(NodeRequest)
_reply_decoder = msgspec.msgpack.Decoder(NodeReply)


def encode_message(message: NodeRequest | NodeReply) -> bytes:
    """Encode a request or reply."""
    return msgspec.msgpack.encode(message)


def decode_request(payload: bytes) -> NodeRequest:
    """Decode a request.

    Raises:
        msgspec.DecodeError: the bytes are not a request of this release.
    """
    return _request_decoder.decode(payload)


def decode_reply(step: str, peer: str, payload: bytes) -> NodeReply:
    """Decode a reply.

    Raises:
        StepError: the bytes are not a reply of this release.
    """
    try:
        return _reply_decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise StepError(step, peer, f"malformed reply: {error}") from error


def to_execute_reply(outcome: ExecutionOutcome) -> ExecuteReply:
    """Return an outcome as it goes over the wire."""
    match outcome:
        case Completed(status=status, body=body):
            return ExecuteReply(ExecutionKind.COMPLETED, status=status, body=body)
        case NotRun(step=step, peer=peer, reason=reason, retry_after_seconds=seconds):
            return ExecuteReply(
                ExecutionKind.NOT_RUN, step=step, peer=peer, reason=reason, retry_after_seconds=seconds
            )
        case OutcomeUnknown(step=step, peer=peer, reason=reason):
            return ExecuteReply(ExecutionKind.UNKNOWN, step=step, peer=peer, reason=reason)
        case KeyReused(reason=reason):
            return ExecuteReply(ExecutionKind.KEY_REUSED, reason=reason)


def from_execute_reply(reply: ExecuteReply) -> ExecutionOutcome:
    """Return the outcome that a reply stands for."""
    match reply.kind:
        case ExecutionKind.COMPLETED:
            return Completed(reply.status, reply.body)
        case ExecutionKind.NOT_RUN:
            return NotRun(reply.step, reply.peer, reply.reason, reply.retry_after_seconds)
        case ExecutionKind.UNKNOWN:
            return OutcomeUnknown(reply.step, reply.peer, reply.reason)
        case ExecutionKind.KEY_REUSED:
            return KeyReused(reply.reason)
