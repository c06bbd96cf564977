"""Start of a node from the file of compiled modules.

Guards against a node that does not start because the file is missing, damaged or of another Python, and
against modules that differ from those in the folders.
"""

import dataclasses
import importlib
import importlib.util
import marshal
import sys
from importlib.machinery import SourceFileLoader
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

DEPLOY = Path(__file__).parents[2] / "deploy"
SOURCE = """
import dataclasses

@dataclasses.dataclass(frozen=True)
class Point:
    x: int
"""


def load(name: str) -> Any:
    spec = importlib.util.spec_from_file_location(f"deploy_{name}", DEPLOY / f"{name}.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.fixture
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Write a package and a bundle of it, and make the start program use that folder."""
    package = tmp_path / "bundled_sample"
    package.mkdir()
    (package / "__init__.py").write_text("")
    (package / "points.py").write_text(SOURCE)
    bundle = load("bundle").Bundle()
    for name, file in (("bundled_sample", "__init__.py"), ("bundled_sample.points", "points.py")):
        loader = SourceFileLoader(name, str(package / file))
        bundle.add_module(name, loader, tmp_path, file == "__init__.py")
    (tmp_path / "start.bundle").write_bytes(bundle.encode())
    return tmp_path


def start_in(folder: Path, monkeypatch: pytest.MonkeyPatch) -> Any:
    start = load("start")
    monkeypatch.setattr(start, "FOLDER", str(folder))
    monkeypatch.setattr(start, "BUNDLE", str(folder / "start.bundle"))
    return start


def test_modules_come_from_the_file_and_name_their_sources(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    importer = start_in(folder, monkeypatch).read_bundle()
    monkeypatch.setattr(sys, "meta_path", [importer, *sys.meta_path])
    points: ModuleType = importlib.import_module("bundled_sample.points")
    assert points.__file__ == str(folder / "bundled_sample" / "points.py")
    assert points.Point(1) == points.Point(1)
    importer.release()
    assert importer.find_spec("bundled_sample") is None


def test_methods_of_data_classes_run_compiled_or_as_text(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    importer = start_in(folder, monkeypatch).read_bundle()
    recorder = load("bundle").MethodRecorder()
    monkeypatch.setitem(vars(dataclasses), "exec", recorder)
    dataclasses.make_dataclass("Made", ["x"])
    assert recorder.codes
    monkeypatch.setitem(vars(dataclasses), "exec", importer.exec_method)
    made = dataclasses.make_dataclass("Made", ["x"])
    assert made(3) == made(3) and made(3) != made(4)


@pytest.mark.parametrize(
    ("content", "reason"),
    [
        (b"", "damaged"),
        (b"\x00\x00\x00\x02ab", "damaged"),
        (b"\x00\x00\x00\x10" + marshal.dumps((b"xx", {}, {})).ljust(16), "another Python"),
    ],
)
def test_an_unusable_file_is_refused_with_its_reason(
    folder: Path, monkeypatch: pytest.MonkeyPatch, content: bytes, reason: str
) -> None:
    start = start_in(folder, monkeypatch)
    (folder / "start.bundle").write_bytes(content)
    with pytest.raises(ValueError, match=reason):
        start.read_bundle()
    (folder / "start.bundle").unlink()
    with pytest.raises(OSError):
        start.read_bundle()
