"""Settings of an edge node: a TOML file decoded into checked structs."""

import math
import tomllib
from pathlib import Path

import msgspec

from worksramp.addresses import reason_bad_address, reason_cannot_listen
from worksramp.logs import LEVELS
from worksramp.settings_error import SettingsError

MAX_PARTITIONS = 4096


class EdgeBounds(msgspec.Struct, frozen=True):
    """Bounds that the deployment promises or asks for, in seconds. Timers follow from them.

    Attributes:
        configuration_apply: an accepted configuration is in force after this.
        grace: a stopped process is killed after this.
        lease: two machines must not order one worker in turn within this.
        settle: an accepted batch or result is known everywhere after this.
        status: results are kept for this long.
        acknowledge: a call of a batch is answered within this.
        drain: a worker that leaves gets no new work after this.
        cancel: an item reaches no worker later than this after the end of its batch.
    """

    configuration_apply: float = 2.0
    grace: float = 8.0
    lease: float = 3.0
    settle: float = 1.0
    status: float = 120.0
    acknowledge: float = 4.0
    drain: float = 2.0
    cancel: float = 3.0


class StoreSettings(msgspec.Struct, frozen=True):
    """The platform's store, and what one record and one call may hold.

    Attributes:
        num_partitions: partitions of a topic; the same on all nodes.
    """

    address: str
    max_record_bytes: int = 262_144
    max_call_bytes: int = 2_097_152
    num_partitions: int = 1


class MachineSettings(msgspec.Struct, frozen=True):
    """What the machine gives to this process.

    Attributes:
        cpu_share: share of each core.
        cpu_speed: how fast a core is, as a multiple of an ordinary one.
    """

    cpu_share: float = 1.0
    cpu_speed: float = 2.0

    @property
    def num_cores(self) -> float:
        """Processor time in ordinary cores."""
        return self.cpu_share * self.cpu_speed


class EdgeSettings(msgspec.Struct, frozen=True):
    """Everything one edge node is told. Unknown fields are passed over, so that newer files work.

    Attributes:
        listen: ``ip:port`` for callers.
        ready_listen: ``ip:port`` where readiness is asked; empty for that of callers.
        metrics_listen: ``ip:port`` for figures; empty for none.
        switched_off: mechanisms that decisions are made without, to see what they are worth.
        max_loading: workers that take new weights at the same time, None for a share of the fleet.
    """

    node_id: str
    zone: str
    listen: str
    store: StoreSettings
    ready_listen: str = ""
    metrics_listen: str = ""
    max_loading: int | None = None
    log_level: str = "info"
    switched_off: tuple[str, ...] = ()
    machine: MachineSettings = msgspec.field(default_factory=MachineSettings)
    bounds: EdgeBounds = EdgeBounds()


def load_edge_settings(file: str) -> EdgeSettings:
    """Read and check a settings file.

    Raises:
        SettingsError: it cannot be used; names file, path and reason.
    """
    try:
        raw = tomllib.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(file, "(file)", f"cannot be read: {error}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(file, "(file)", f"is not TOML: {error}") from error
    try:
        settings = msgspec.convert(raw, EdgeSettings)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$.")
        raise SettingsError(file, path.rstrip("`") or "(top)", reason) from error
    _check(file, settings)
    return settings


def check_listen(file: str, settings: EdgeSettings) -> None:
    """Check that servers can listen where the settings say.

    Raises:
        SettingsError: a port is taken, or the address is not this machine's.
    """
    for path in ("listen", "ready_listen", "metrics_listen"):
        address = getattr(settings, path)
        reason = reason_cannot_listen(address) if address else None
        if reason is not None:
            raise SettingsError(file, path, reason)


def _check(file: str, settings: EdgeSettings) -> None:
    addresses = {"listen": settings.listen, "store.address": settings.store.address}
    addresses |= {"ready_listen": settings.ready_listen} if settings.ready_listen else {}
    addresses |= {"metrics_listen": settings.metrics_listen} if settings.metrics_listen else {}
    for path, address in addresses.items():
        reason = reason_bad_address(address)
        if reason is not None:
            raise SettingsError(file, path, reason)
    for path in ("node_id", "zone"):
        if not getattr(settings, path).strip():
            raise SettingsError(file, path, "must not be empty")
    for name in EdgeBounds.__struct_fields__:
        value = getattr(settings.bounds, name)
        if not math.isfinite(value) or value <= 0:
            raise SettingsError(file, f"bounds.{name}", f"must be greater than 0 and finite, is {value}")
    _check_numbers(file, settings)
    if settings.log_level not in LEVELS:
        raise SettingsError(file, "log_level", f"must be one of {', '.join(LEVELS)}")


def _check_numbers(file: str, settings: EdgeSettings) -> None:
    for path, number in (
        ("max_loading", settings.max_loading),
        ("store.max_record_bytes", settings.store.max_record_bytes),
        ("store.max_call_bytes", settings.store.max_call_bytes),
        ("store.num_partitions", settings.store.num_partitions),
        ("machine.cpu_share", settings.machine.cpu_share),
        ("machine.cpu_speed", settings.machine.cpu_speed),
    ):
        if number is not None and not 0 < number < math.inf:
            raise SettingsError(file, path, f"must be greater than 0 and finite, is {number}")
    if settings.store.num_partitions > MAX_PARTITIONS:
        reason = f"must be {MAX_PARTITIONS} at most, is {settings.store.num_partitions}"
        raise SettingsError(file, "store.num_partitions", reason)
