"""Configuration with optimistic concurrency, as a fold of one shared stream that has no owner.

A publish is accepted iff its expected revision is the tenant's current one and its document is valid under
the schema version it names. Every node reaches the same verdicts in the same order and never moves back.

See Also:
    docs/design/configuration.md
"""

from collections.abc import Callable, Mapping

import msgspec

from worksramp.coordination.fold import Accepted, Void

MAX_KEPT_VERDICTS = 2_000


class Publish(msgspec.Struct, frozen=True):
    """One configuration record.

    Attributes:
        change_id: chosen by the publisher; a second record with the same id has no effect.
        expected_revision: revision that this change is based on; 0 for the tenant's first.
        schema_version: version of the frozen rules that the document is checked against.
    """

    change_id: str
    tenant: str
    expected_revision: int
    schema_version: int
    document: bytes


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """Another change was accepted first."""

    current_revision: int


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """The document violates a rule; ``path`` names the field."""

    path: str
    reason: str


class InForce(msgspec.Struct, frozen=True, tag="accepted"):
    """The change was accepted as this revision."""

    revision: int
    offset: int


class Unsupported(msgspec.Struct, frozen=True, tag="unsupported"):
    """This release does not support the schema version and cannot check the change."""

    schema_version: int


PublishVerdict = InForce | Conflict | Invalid | Unsupported
Validator = Callable[[bytes], Invalid | None]


class TenantConfiguration(msgspec.Struct, frozen=True):
    """Configuration in force for one tenant."""

    tenant: str
    revision: int
    offset: int
    schema_version: int
    document: bytes


class ConfigurationSnapshot(msgspec.Struct, frozen=True):
    """The folded configuration stream up to ``next_offset``."""

    next_offset: int
    tenants: dict[str, TenantConfiguration]
    stalled_tenants: tuple[str, ...]
    verdicts: dict[str, PublishVerdict]


class ConfigurationFold:
    """Fold of the configuration stream.

    Args:
        validators: the frozen validator of each schema version that this release supports.
    """

    def __init__(self, validators: Mapping[int, Validator]) -> None:
        self.next_offset = 0
        self.tenants: dict[str, TenantConfiguration] = {}
        self.stalled_tenants: set[str] = set()
        self._validators = validators
        self._verdicts: dict[str, PublishVerdict] = {}

    def apply(self, offset: int, record: bytes) -> Accepted | Void:
        """Fold one record and return whether it took effect.

        Args:
            offset: offset of the record; must be ``next_offset``.
            record: bytes as read from the log; an undecodable record is void.

        Raises:
            ValueError: a record was skipped or repeated.
        """
        if offset != self.next_offset:
            raise ValueError(f"expected offset {self.next_offset}, got {offset}")
        self.next_offset = offset + 1
        try:
            publish = msgspec.msgpack.decode(record, type=Publish)
        except msgspec.DecodeError as error:
            return Void(offset, f"undecodable: {error}")
        if publish.change_id in self._verdicts:
            return Void(offset, "duplicate change id")
        verdict = self._evaluate(offset, publish)
        self._keep_verdict(publish.change_id, verdict)
        if not isinstance(verdict, InForce):
            return Void(offset, type(verdict).__name__)
        self.tenants[publish.tenant] = TenantConfiguration(
            publish.tenant, verdict.revision, offset, publish.schema_version, publish.document
        )
        return Accepted(offset)

    def snapshot(self) -> ConfigurationSnapshot:
        """Return a snapshot of the current state, which shares nothing mutable with the fold."""
        stalled = tuple(sorted(self.stalled_tenants))
        return ConfigurationSnapshot(self.next_offset, dict(self.tenants), stalled, dict(self._verdicts))

    def restore(self, snapshot: ConfigurationSnapshot) -> bool:
        """Move forward to a snapshot; return whether it was newer, since the fold never moves back."""
        if snapshot.next_offset <= self.next_offset:
            return False
        self.next_offset = snapshot.next_offset
        self.tenants = dict(snapshot.tenants)
        self.stalled_tenants = set(snapshot.stalled_tenants)
        self._verdicts = dict(snapshot.verdicts)
        return True

    def verdict_of(self, change_id: str) -> PublishVerdict | None:
        """Return the verdict on a change, None if the change has not been read or its verdict was evicted."""
        return self._verdicts.get(change_id)

    def revision_of(self, tenant: str) -> int:
        """Return the tenant's current revision, 0 before the first."""
        current = self.tenants.get(tenant)
        return current.revision if current else 0

    def _evaluate(self, offset: int, publish: Publish) -> PublishVerdict:
        if publish.tenant in self.stalled_tenants:
            return Unsupported(publish.schema_version)
        current_revision = self.revision_of(publish.tenant)
        if publish.expected_revision != current_revision:
            return Conflict(current_revision)
        validator = self._validators.get(publish.schema_version)
        if validator is None:
            # A newer release may accept this change, so this one cannot check the tenant's later changes.
            self.stalled_tenants.add(publish.tenant)
            return Unsupported(publish.schema_version)
        return validator(publish.document) or InForce(current_revision + 1, offset)

    def _keep_verdict(self, change_id: str, verdict: PublishVerdict) -> None:
        self._verdicts[change_id] = verdict
        if len(self._verdicts) > MAX_KEPT_VERDICTS:
            del self._verdicts[next(iter(self._verdicts))]
