"""Edge settings: errors name file, path and reason, and a reload keeps the old settings on an error."""

import socket
from pathlib import Path

import pytest

from worksramp.edge.serve import apply_switches, reload_settings
from worksramp.edge.settings import check_listen, load_edge_settings
from worksramp.mechanisms import MECHANISMS
from worksramp.settings_error import SettingsError

GOOD = """
node_id = "n"
zone = "a"
listen = "127.0.0.1:8000"
ready_listen = "127.0.0.1:8001"
[store]
address = "127.0.0.1:1"
[bounds]
grace = 8
"""


def write(tmp_path: Path, text: str) -> str:
    file = tmp_path / "edge.toml"
    file.write_text(text, encoding="utf-8")
    return str(file)


def test_a_good_file_loads_and_unknown_fields_are_ignored(tmp_path: Path) -> None:
    settings = load_edge_settings(
        write(tmp_path, GOOD.replace("[bounds]", "[new]\nx = 1\n[bounds]\nnewer = 2"))
    )
    assert settings.bounds.grace == 8
    assert settings.bounds.lease == 3


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ('node_id = "n"', 'node_id = " "', "node_id"),
        ('zone = "a"', 'zone = ""', "zone"),
        ('listen = "127.0.0.1:8000"', 'listen = "here:8000"', "listen"),
        ('ready_listen = "127.0.0.1:8001"', 'ready_listen = "127.0.0.1:0"', "ready_listen"),
        ('address = "127.0.0.1:1"', 'address = "127.0.0.1"', "store.address"),
        ('address = "127.0.0.1:1"', 'address = "127.0.0.1:1"\nmax_call_bytes = 0', "store.max_call_bytes"),
        ("grace = 8", "grace = nan", "bounds.grace"),
        ("grace = 8", "lease = -1", "bounds.lease"),
        ("grace = 8", 'grace = "long"', "bounds.grace"),
        ('node_id = "n"', 'node_id = "n"\nlog_level = "loud"', "log_level"),
        ('node_id = "n"', 'node_id = "n"\nmax_loading = 0', "max_loading"),
        ("[store]", "[machine]\ncpu_share = nan\n[store]", "machine.cpu_share"),
        ("[store]", "[machine]\ncpu_speed = 0\n[store]", "machine.cpu_speed"),
        ("[store]", "[store]\nnum_partitions = 0", "store.num_partitions"),
        ("[store]", "[store]\nnum_partitions = 10000000000", "store.num_partitions"),
        ('node_id = "n"', "node_id", "(file)"),
    ],
)
def test_a_bad_file_names_the_path(tmp_path: Path, old: str, new: str, path: str) -> None:
    file = write(tmp_path, GOOD.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        load_edge_settings(file)
    assert (caught.value.file, caught.value.path) == (file, path)


def test_a_file_that_is_not_utf_8_raises_a_settings_error(tmp_path: Path) -> None:
    file = tmp_path / "edge.toml"
    file.write_bytes(b"\xff\xfe\x00")
    with pytest.raises(SettingsError, match="cannot be read"):
        load_edge_settings(str(file))


def test_a_port_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        file = write(tmp_path, GOOD.replace("127.0.0.1:8001", address))
        with pytest.raises(SettingsError) as caught:
            check_listen(file, load_edge_settings(file))
    assert caught.value.path == "ready_listen"
    assert "\n" not in str(caught.value)


class _StubNode:
    """Stub of a node: a reload uses its settings only."""

    def __init__(self, file: str) -> None:
        self.settings = load_edge_settings(file)


def test_a_reload_applies_new_bounds_and_keeps_settings_that_need_a_restart(tmp_path: Path) -> None:
    file = write(tmp_path, GOOD)
    node = _StubNode(file)
    write(tmp_path, GOOD.replace("grace = 8", "grace = 5").replace('zone = "a"', 'zone = "b"'))
    reload_settings(node, lambda: load_edge_settings(file))  # type: ignore[arg-type]
    assert (node.settings.bounds.grace, node.settings.zone) == (5, "a")


def test_a_damaged_file_leaves_the_old_settings_in_force(tmp_path: Path) -> None:
    file = write(tmp_path, GOOD)
    node = _StubNode(file)
    write(tmp_path, GOOD.replace("grace = 8", "grace = -1"))
    reload_settings(node, lambda: load_edge_settings(file))  # type: ignore[arg-type]
    assert node.settings.bounds.grace == 8


def test_mechanisms_are_switched_off_by_name_and_an_unknown_one_is_refused(tmp_path: Path) -> None:
    named = write(tmp_path, GOOD.replace("[store]", 'switched_off = ["early_loads"]\n[store]'))
    try:
        apply_switches(named, load_edge_settings(named))
        assert not MECHANISMS.is_on("early_loads")
        unknown = write(tmp_path, GOOD.replace("[store]", 'switched_off = ["none"]\n[store]'))
        with pytest.raises(SettingsError) as caught:
            apply_switches(unknown, load_edge_settings(unknown))
        assert caught.value.path == "switched_off"
        assert "early_loads" in caught.value.reason
    finally:
        MECHANISMS.switch_off(())
