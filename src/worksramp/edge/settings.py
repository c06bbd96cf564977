"""Read the settings of an edge node from a TOML file, and check them."""

import math
import tomllib
from enum import StrEnum
from pathlib import Path

import msgspec

from worksramp.addresses import reason_bad_address, reason_cannot_listen
from worksramp.logs import LEVELS
from worksramp.routing.held_bytes import MAX_ANSWER_B, MAX_HELD_B
from worksramp.settings_error import SettingsError

MAX_PARTITIONS = 4096


class EdgeBounds(msgspec.Struct, frozen=True):
    """Time bounds that the deployment guarantees or requires, in seconds.

    The node's timers are derived from them.

    Attributes:
        configuration_apply: time within which an accepted configuration is in force.
        grace: time after a stop signal at which the platform kills the process.
        lease: time within which two machines must not give orders to the same worker in turn.
        settle: time within which every node has an accepted batch or result.
        status: time for which results are kept.
        acknowledge: time within which a call about a batch is answered.
        drain: time after which a draining worker gets no new work.
        cancel: time after the end of a batch within which its items may still reach a worker.
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
    """Address and limits of the platform's store.

    Attributes:
        address: ``ip:port`` of the store.
        max_record_bytes: largest size of one record.
        max_call_bytes: largest size of one call.
        num_partitions: number of partitions of a topic; must be the same on all nodes.
    """

    address: str
    max_record_bytes: int = 262_144
    max_call_bytes: int = 2_097_152
    num_partitions: int = 1


class MachineSettings(msgspec.Struct, frozen=True):
    """Processor time and memory that the machine gives to this process.

    Attributes:
        cpu_share: share of each core.
        cpu_speed: speed of a core, as a multiple of an ordinary core.
        memory_mb: memory above which the process is killed, in MB.
    """

    cpu_share: float = 1.0
    cpu_speed: float = 2.0
    memory_mb: float = 128.0

    @property
    def num_cores(self) -> float:
        """Processor time in ordinary cores."""
        return self.cpu_share * self.cpu_speed


class AnswerSettings(msgspec.Struct, frozen=True):
    """Limits of the answers that workers send.

    Attributes:
        max_bytes: largest body of one answer, and largest event of a stream.
        max_held_bytes: most bytes that the node holds of all answers that are not whole yet.
    """

    max_bytes: int = MAX_ANSWER_B
    max_held_bytes: int = MAX_HELD_B


class DutySettings(msgspec.Struct, frozen=True):
    """Duties towards the platform that one node at a time carries out.

    Attributes:
        address: ``ip:port`` of the platform's interface for them.
        kinds: duties in force, some of `DutyKind`; others are ignored.
        window_s: length of a window of usage, in seconds.
        usage_late_s: seconds after the end of a window at which its report is due.
    """

    address: str
    kinds: tuple[str, ...] = ()
    window_s: float = 5.0
    usage_late_s: float = 10.0


class DutyKind(StrEnum):
    """Kind of a duty."""

    USAGE = "metering"
    SCALING = "scaling"


class EdgeSettings(msgspec.Struct, frozen=True):
    """All settings of one edge node; unknown fields in a file are ignored, so that newer files work.

    Attributes:
        node_id: name of the node.
        zone: zone of the node.
        listen: ``ip:port`` for callers.
        store: platform's store.
        ready_listen: ``ip:port`` for readiness checks; empty to use that for callers.
        metrics_listen: ``ip:port`` for metrics; empty for none.
        max_loading: workers that may load weights at the same time, None for a share of the fleet.
        log_level: lowest level that is logged, one of `worksramp.logs.LEVELS`.
        switched_off: names of mechanisms to switch off, to measure their effect.
        machine: processor time and memory of the machine.
        bounds: time bounds of the deployment.
        answers: limits of the answers that workers send.
        duties: duties towards the platform, None for none.
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
    answers: AnswerSettings = AnswerSettings()
    duties: DutySettings | None = None


def load_edge_settings(file: str) -> EdgeSettings:
    """Read and check a settings file.

    Raises:
        SettingsError: the file cannot be used; the error has its name, the path of the field and the reason.
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
    _check_settings(file, settings)
    return settings


def check_listen(file: str, settings: EdgeSettings) -> None:
    """Check that servers can listen where the settings say.

    Raises:
        SettingsError: a port is in use, or an address is not one of this machine.
    """
    for path in ("listen", "ready_listen", "metrics_listen"):
        address = getattr(settings, path)
        reason = reason_cannot_listen(address) if address else None
        if reason is not None:
            raise SettingsError(file, path, reason)


def _check_settings(file: str, settings: EdgeSettings) -> None:
    addresses = {"listen": settings.listen, "store.address": settings.store.address}
    addresses |= {"ready_listen": settings.ready_listen} if settings.ready_listen else {}
    addresses |= {"metrics_listen": settings.metrics_listen} if settings.metrics_listen else {}
    addresses |= {"duties.address": settings.duties.address} if settings.duties else {}
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
        ("answers.max_bytes", settings.answers.max_bytes),
        ("answers.max_held_bytes", settings.answers.max_held_bytes),
        ("machine.cpu_share", settings.machine.cpu_share),
        ("machine.cpu_speed", settings.machine.cpu_speed),
        ("machine.memory_mb", settings.machine.memory_mb),
        ("duties.window_s", None if settings.duties is None else settings.duties.window_s),
        ("duties.usage_late_s", None if settings.duties is None else settings.duties.usage_late_s),
    ):
        if number is not None and not 0 < number < math.inf:
            raise SettingsError(file, path, f"must be greater than 0 and finite, is {number}")
    if settings.store.num_partitions > MAX_PARTITIONS:
        reason = f"must be {MAX_PARTITIONS} at most, is {settings.store.num_partitions}"
        raise SettingsError(file, "store.num_partitions", reason)
