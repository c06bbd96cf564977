"""Names of a platform's interfaces, which the stand-ins read from a file of the deployment."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of headers."""

    request_id: str
    deadline_ms: str
    expect_instance: str
    instance_id: str
    not_executed: str
    stamp: str
    versions: str


class Paths(msgspec.Struct, frozen=True):
    """Paths of calls, and path prefixes of the routes."""

    ready: str
    order: str
    report: str
    batches: str
    results_after: str
    idempotent: str
    once: str
    stream: str
    generation: str


class StoreNames(msgspec.Struct, frozen=True):
    """Topics and calls of the store."""

    control_topic: str
    workers_topic: str
    append: str
    read: str
    newest: str
    newest_after: str
    entry_start: str


class Words(msgspec.Struct, frozen=True):
    """What the stand-ins have to know of a platform and of the command that starts a node.

    Attributes:
        command: arguments of the Python interpreter that start a node.
        module_folders: folders of the nodes' modules, below the root of the project.
        settings_variable: environment variable that names the settings file.
        configuration: configuration as the operator writes it.
    """

    command: tuple[str, ...]
    module_folders: tuple[str, ...]
    settings_variable: str
    host: str
    model: str
    headers: HeaderNames
    paths: Paths
    store: StoreNames
    configuration: dict[str, Any]


def load_words(file: Path) -> Words:
    """Read the names from a TOML file.

    Raises:
        OSError: the file cannot be read.
        tomllib.TOMLDecodeError: it is not TOML.
        msgspec.ValidationError: a name is missing or has another type.
    """
    return msgspec.convert(tomllib.loads(file.read_text(encoding="utf-8")), Words)
