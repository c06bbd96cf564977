"""A settings file that cannot be used raises an error with file, path and reason."""

from pathlib import Path

import pytest

from worksramp.settings import load_settings
from worksramp.settings_error import SettingsError

GOOD = """
node_id = "n"
zone = "wro-a"
listen = "127.0.0.1:8000"
peer_listen = "127.0.0.1:8001"
[platform]
log = "127.0.0.1:1"
weight_store = "127.0.0.1:2"
machine_list = "127.0.0.1:3"
"""


def write(tmp_path: Path, text: str) -> str:
    file = tmp_path / "node.toml"
    file.write_text(text, encoding="utf-8")
    return str(file)


def test_a_good_file_loads_and_flags_override_it(tmp_path: Path) -> None:
    settings = load_settings(write(tmp_path, GOOD), {"zone": "lodz-c"})
    assert settings.zone == "lodz-c"
    assert settings.platform.log == "127.0.0.1:1"


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ('zone = "wro-a"', 'zone = "wro a"', "zone"),
        ('listen = "127.0.0.1:8000"', 'listen = "localhost:8000"', "listen"),
        ('listen = "127.0.0.1:8000"', 'listen = "127.0.0.1"', "listen"),
        ('log = "127.0.0.1:1"', 'log = "127.0.0.1:99999"', "platform.log"),
        ('log = "127.0.0.1:1"', "log = 1", "platform.log"),
        ('node_id = "n"', 'node_id = "n"\nsubset_size = 0', "subset_size"),
        ('node_id = "n"', 'node_id = "n"\ndrain = 3', "(top)"),
        ('node_id = "n"', "node_id = ", "(file)"),
        ('node_id = "n"', 'node_id = ""', "node_id"),
        ('node_id = "n"', 'node_id = "n"\nroles = ["gateway", "gateway"]', "roles"),
        ('node_id = "n"', 'node_id = "n"\ndrain_seconds = nan', "drain_seconds"),
        ('node_id = "n"', 'node_id = "n"\ndrain_seconds = inf', "drain_seconds"),
        ('node_id = "n"', 'node_id = "n"\nmemory_mb = 0', "memory_mb"),
        ('node_id = "n"', 'node_id = "n"\nnum_ledger_shards = 10000000000', "num_ledger_shards"),
        ('node_id = "n"', 'node_id = "n"\nlog_level = "loud"', "log_level"),
        ('peer_listen = "127.0.0.1:8001"', 'peer_listen = "127.0.0.1:8000"', "peer_listen"),
        ('listen = "127.0.0.1:8000"', 'listen = "::1:8000"', "listen"),
    ],
)
def test_a_bad_file_names_the_path(tmp_path: Path, old: str, new: str, path: str) -> None:
    file = write(tmp_path, GOOD.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(file)
    assert (caught.value.file, caught.value.path) == (file, path)


def test_a_missing_file_raises_a_settings_error(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings(str(tmp_path / "none.toml"))
