"""Settings of one node: a TOML file decoded into checked structs, with flags over it.

A wrong key, type, address or unit stops the start with the file, the path in it and the reason.
"""

import math
import re
import tomllib
from enum import StrEnum
from pathlib import Path

import msgspec

from worksramp.addresses import reason_bad_address
from worksramp.logs import LEVELS
from worksramp.routing.subset import DEFAULT_SUBSET_SIZE
from worksramp.settings_error import SettingsError

SHA256_PATTERN = re.compile(r"^[0-9a-f]{64}$")
#: Each shard has a stream of its own in the log.
MAX_LEDGER_SHARDS = 4096
ZONE_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")


class Role(StrEnum):
    """What a node does."""

    GATEWAY = "gateway"
    COORDINATOR = "coordinator"


class KeyRole(StrEnum):
    """What the holder of an API key may do."""

    CALLER = "caller"
    TRAINER = "trainer"
    OPERATOR = "operator"


class ApiKey(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One bearer key, kept as a digest.

    Attributes:
        sha256: lower-case hexadecimal SHA-256 of the key.
    """

    tenant: str
    role: KeyRole
    sha256: str


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services, ``ip:port``."""

    log: str
    weight_store: str
    machine_list: str


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything one node is told.

    Attributes:
        node_id: name of the machine; the process adds a random part at each start.
        listen: ``ip:port`` of the HTTP API.
        peer_listen: ``ip:port`` for other nodes, TCP and UDP.
        num_ledger_shards: slices of the ledger; the same on all nodes, for good.
        subset_size: workers of each group that this node uses.
        drain_seconds: longest wait for requests in flight at a planned stop.
        default_deadline_seconds: deadline of a request that names none.
    """

    node_id: str
    zone: str
    listen: str
    peer_listen: str
    platform: PlatformSettings
    roles: tuple[Role, ...] = (Role.GATEWAY, Role.COORDINATOR)
    keys: tuple[ApiKey, ...] = ()
    num_ledger_shards: int = 8
    subset_size: int = DEFAULT_SUBSET_SIZE
    drain_seconds: float = 60.0
    default_deadline_seconds: float = 60.0
    log_level: str = "info"


def load_settings(file: str, overrides: dict[str, str] | None = None) -> NodeSettings:
    """Read a settings file, put flags over it, and check it.

    Raises:
        SettingsError: it cannot be used; nothing was started.
    """
    try:
        raw = tomllib.loads(Path(file).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(file, "(file)", f"cannot be read: {error}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(file, "(file)", f"is not TOML: {error}") from error
    raw |= overrides or {}
    try:
        settings = msgspec.convert(raw, NodeSettings)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$.")
        raise SettingsError(file, path.rstrip("`") or "(top)", reason) from error
    _check(file, settings)
    return settings


def _check(file: str, settings: NodeSettings) -> None:
    addresses = {
        "listen": settings.listen,
        "peer_listen": settings.peer_listen,
        "platform.log": settings.platform.log,
        "platform.weight_store": settings.platform.weight_store,
        "platform.machine_list": settings.platform.machine_list,
    }
    for path, address in addresses.items():
        reason = reason_bad_address(address)
        if reason is not None:
            raise SettingsError(file, path, reason)
    _check_names(file, settings)
    for index, key in enumerate(settings.keys):
        if not SHA256_PATTERN.match(key.sha256):
            raise SettingsError(file, f"keys[{index}].sha256", "must be 64 lower-case hexadecimal digits")
    _check_positive(file, settings)


def _check_names(file: str, settings: NodeSettings) -> None:
    if settings.peer_listen == settings.listen:
        raise SettingsError(file, "peer_listen", "must differ from listen")
    if not settings.node_id.strip():
        raise SettingsError(file, "node_id", "must not be empty")
    if settings.log_level not in LEVELS:
        raise SettingsError(file, "log_level", f"must be one of {', '.join(LEVELS)}")
    if not ZONE_PATTERN.match(settings.zone):
        raise SettingsError(file, "zone", f"{settings.zone!r} has other characters than a-z, 0-9 and -")
    if not settings.roles:
        raise SettingsError(file, "roles", "at least one role is needed")
    if len(set(settings.roles)) < len(settings.roles):
        raise SettingsError(file, "roles", "a role stands twice")


def _check_positive(file: str, settings: NodeSettings) -> None:
    for path in ("num_ledger_shards", "subset_size", "drain_seconds", "default_deadline_seconds"):
        value = getattr(settings, path)
        if not math.isfinite(value) or value <= 0:
            raise SettingsError(file, path, f"must be greater than 0 and finite, is {value}")
    if settings.num_ledger_shards > MAX_LEDGER_SHARDS:
        raise SettingsError(file, "num_ledger_shards", f"must be at most {MAX_LEDGER_SHARDS}")
