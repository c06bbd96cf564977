"""Ledger of requests that must not run twice, as the state of an owned stream.

An owner commits an intent, reads it back, dispatches the request once and commits the result. If ownership
moves while an intent has no result, no node can tell whether the request ran, so it becomes ``UNKNOWN`` for
good.

Keys are version 7 UUIDs, whose timestamp allows old rows to expire: once the horizon has passed a key's time,
an intent for the key is void, so an expired key can never run again.

See Also:
    docs/design/ledger.md
"""

import uuid
from enum import StrEnum

import msgspec
import xxhash

UUID_TIME_SHIFT_BITS = 80
UUID_VERSION = 7
MAX_CLOCK_SKEW_MS = 5 * 60 * 1000


class Phase(StrEnum):
    """Progress of a keyed request."""

    INTENT = "intent"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Intent(msgspec.Struct, frozen=True, tag="intent"):
    """The owner is about to dispatch the request."""

    key: str
    request_digest: str


class Result(msgspec.Struct, frozen=True, tag="result"):
    """The back end answered."""

    key: str
    status: int
    body: bytes


class Refusal(msgspec.Struct, frozen=True, tag="refusal"):
    """The back end certainly did not start the request; the key may be used for a retry."""

    key: str


class Doubt(msgspec.Struct, frozen=True, tag="doubt"):
    """The back end may have run the request; its answer was lost."""

    key: str


class Forget(msgspec.Struct, frozen=True, tag="forget"):
    """Rows whose key is older than ``before_ms`` expire, and intents for such keys are void from now on."""

    before_ms: int


LedgerEntry = Intent | Result | Refusal | Doubt | Forget

_decoder = msgspec.msgpack.Decoder(LedgerEntry)


class LedgerRow(msgspec.Struct, frozen=True):
    """Recorded state of one key."""

    phase: Phase
    epoch: int
    request_digest: str
    status: int = 0
    body: bytes = b""


def key_time_ms(key: str) -> int | None:
    """Return the Unix time in milliseconds inside a version 7 UUID, None if the key is not one.

    Source: RFC 9562, section 5.7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> UUID_TIME_SHIFT_BITS


def canonical_key(tenant: str, key: str) -> str:
    """Return the key under which a tenant's request is recorded.

    It is the same for all spellings of a UUID.

    Raises:
        ValueError: the key is not a UUID.
    """
    return f"{tenant}/{uuid.UUID(key)}"


def shard_of(key: str, num_shards: int) -> int:
    """Return the number of the ledger shard of a canonical key."""
    return xxhash.xxh64_intdigest(key.encode()) % num_shards


class LedgerState(msgspec.Struct):
    """Rows by canonical key.

    Attributes:
        horizon_ms: keys older than this Unix time in milliseconds have expired.
    """

    rows: dict[str, LedgerRow] = {}
    horizon_ms: int = 0

    def begin_epoch(self, epoch: int) -> None:
        """Set open intents of previous owners to unknown, since those owners may have dispatched them."""
        for key, row in self.rows.items():
            if row.phase is Phase.INTENT:
                self.rows[key] = msgspec.structs.replace(row, phase=Phase.UNKNOWN)

    def apply_entry(self, offset: int, epoch: int, entry: bytes) -> str | None:
        """See `StreamState.apply_entry`."""
        try:
            decoded = _decoder.decode(entry)
        except msgspec.DecodeError as error:
            return f"undecodable entry: {error}"
        match decoded:
            case Intent():
                return self._apply_intent(epoch, decoded)
            case Result():
                row = LedgerRow(Phase.COMPLETED, epoch, "", decoded.status, decoded.body)
                return self._close_intent(epoch, decoded.key, row)
            case Refusal():
                return self._close_intent(epoch, decoded.key, LedgerRow(Phase.NOT_RUN, epoch, ""))
            case Doubt():
                return self._close_intent(epoch, decoded.key, LedgerRow(Phase.UNKNOWN, epoch, ""))
            case Forget():
                return self._apply_forget(decoded.before_ms)

    def _apply_intent(self, epoch: int, intent: Intent) -> str | None:
        if (key_time_ms(_uuid_part(intent.key)) or 0) < self.horizon_ms:
            return "key is older than the ledger remembers"
        row = self.rows.get(intent.key)
        if row is not None and row.phase is not Phase.NOT_RUN:
            return f"key is {row.phase.value} already"
        if row is not None and row.request_digest != intent.request_digest:
            return "key was used with another request"
        self.rows[intent.key] = LedgerRow(Phase.INTENT, epoch, intent.request_digest)
        return None

    def _close_intent(self, epoch: int, key: str, closing: LedgerRow) -> str | None:
        row = self.rows.get(key)
        if row is None or row.phase is not Phase.INTENT or row.epoch != epoch:
            return "no open intent of this epoch"
        self.rows[key] = msgspec.structs.replace(closing, request_digest=row.request_digest)
        return None

    def _apply_forget(self, before_ms: int) -> str | None:
        if before_ms <= self.horizon_ms:
            return "the horizon cannot move back"
        self.horizon_ms = before_ms
        old = [key for key in self.rows if (key_time_ms(_uuid_part(key)) or 0) < before_ms]
        for key in old:
            del self.rows[key]
        return None


def _uuid_part(canonical: str) -> str:
    return canonical.rpartition("/")[2]
