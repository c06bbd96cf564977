"""Read the settings of a node from a TOML file and flags, and check them.

A wrong key, type, address or value stops the node at its start, with an error that names the file, the path
in it and the reason.
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
#: Bounded because each shard has its own stream in the log.
MAX_LEDGER_SHARDS = 4096
ZONE_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")


class Role(StrEnum):
    """Role of a node."""

    GATEWAY = "gateway"
    COORDINATOR = "coordinator"


class KeyRole(StrEnum):
    """Role of the holder of an API key, which decides what calls are allowed."""

    CALLER = "caller"
    TRAINER = "trainer"
    OPERATOR = "operator"


class ApiKey(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One bearer key, stored as a digest.

    Attributes:
        tenant: tenant that the key belongs to.
        role: role of the key's holder.
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
    """All settings of one node.

    Attributes:
        node_id: name of the machine; the process adds a random part at each start.
        zone: zone of the node.
        listen: ``ip:port`` of the HTTP API.
        peer_listen: ``ip:port`` for other nodes, TCP and UDP.
        platform: addresses of the platform's services.
        roles: roles of the node.
        keys: API keys that the node accepts.
        num_ledger_shards: shards of the ledger; must be the same on all nodes and never change.
        subset_size: workers of each group that this node uses.
        drain_seconds: longest wait for requests in flight at a planned stop.
        default_deadline_seconds: deadline of a request that has none of its own.
        memory_mb: memory that the process may take, in MB, shared out to bodies and connections of callers.
        log_level: lowest level that is logged, one of `worksramp.logs.LEVELS`.
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
    memory_mb: float = 1024.0
    log_level: str = "info"


def load_settings(file: str, overrides: dict[str, str] | None = None) -> NodeSettings:
    """Read a settings file, apply overrides, and check the result.

    Args:
        file: path of the TOML file.
        overrides: values of top-level fields that replace those in the file.

    Raises:
        SettingsError: the settings cannot be used; nothing was started.
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
    _check_settings(file, settings)
    return settings


def _check_settings(file: str, settings: NodeSettings) -> None:
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
        raise SettingsError(file, "zone", f"{settings.zone!r} is not up to 63 characters of a-z, 0-9 and -")
    if not settings.roles:
        raise SettingsError(file, "roles", "must have at least one role")
    if len(set(settings.roles)) < len(settings.roles):
        raise SettingsError(file, "roles", "must not list a role twice")


def _check_positive(file: str, settings: NodeSettings) -> None:
    for path in (
        "num_ledger_shards",
        "subset_size",
        "drain_seconds",
        "default_deadline_seconds",
        "memory_mb",
    ):
        value = getattr(settings, path)
        if not math.isfinite(value) or value <= 0:
            raise SettingsError(file, path, f"must be greater than 0 and finite, is {value}")
    if settings.num_ledger_shards > MAX_LEDGER_SHARDS:
        raise SettingsError(file, "num_ledger_shards", f"must be at most {MAX_LEDGER_SHARDS}")
