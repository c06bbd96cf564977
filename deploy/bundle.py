"""Write the compiled modules that a node imports at its start into one file, `start.bundle`.

    python -S deploy/bundle.py FOLDER

Importing some 500 modules from folders takes thousands of calls of the operating system. `deploy/start.py`
reads the file with one call and imports the modules from it. Modules that are not in it are imported from
their folders as usual.

The file also holds the compiled form of the methods that `dataclasses` writes as text for each data class,
which would otherwise be compiled at every start.
"""

import builtins
import dataclasses
import importlib
import importlib.util
import marshal
import os
import struct
import sys
from importlib.machinery import SourceFileLoader
from pathlib import Path
from types import CodeType
from typing import Any

#: Length of the head (version of the code and index), written before it.
HEAD_LENGTH = struct.Struct(">I")
ENTRY_POINT = "worksramp_platform.process"
LIBRARY = Path(os.__file__).parent
#: Modules that are imported only while a node runs.
IMPORTED_LATER = ("anyio._backends._asyncio", "encodings.idna")


class MethodRecorder:
    """Stands in for `exec` in `dataclasses`, and records the texts of the methods that are compiled there.

    Attributes:
        codes: compiled methods by their texts.
    """

    def __init__(self) -> None:
        self.codes: dict[str, CodeType] = {}

    def __call__(self, text: str, *namespaces: Any) -> None:
        """Compile and run the text of a method."""
        code = self.codes[text] = compile(text, "<string>", "exec")
        builtins.exec(code, *namespaces)


class Bundle:
    """Index and code of modules and methods."""

    def __init__(self) -> None:
        self.modules: dict[str, tuple[int, int, str, bool]] = {}
        self.methods: dict[str, tuple[int, int]] = {}
        self._code = bytearray()

    def add_module(self, name: str, loader: SourceFileLoader, folder: Path, is_package: bool) -> None:
        """Add a module, with its source file relative to ``folder`` or to the standard library."""
        file = Path(loader.path)
        root, prefix = (folder, "deps") if file.is_relative_to(folder) else (LIBRARY, "lib")
        position = self._add(loader.get_code(loader.name))
        self.modules[name] = (*position, f"{prefix}/{file.relative_to(root)}", is_package)

    def add_method(self, text: str, code: CodeType) -> None:
        """Add a method of a data class."""
        self.methods[text] = self._add(code)

    def _add(self, code: CodeType | None) -> tuple[int, int]:
        data = marshal.dumps(code)
        self._code += data
        return len(self._code) - len(data), len(data)

    def encode(self) -> bytes:
        """Return the content of the file."""
        head = marshal.dumps((importlib.util.MAGIC_NUMBER, self.modules, self.methods))
        return HEAD_LENGTH.pack(len(head)) + head + bytes(self._code)


def build_bundle(folder: Path) -> Bundle:
    """Import the entry point and return a bundle of all that this loaded."""
    recorder = MethodRecorder()
    vars(dataclasses)["exec"] = recorder
    for name in (ENTRY_POINT, *IMPORTED_LATER):
        importlib.import_module(name)
    bundle = Bundle()
    for name, module in sorted(sys.modules.items()):
        spec = getattr(module, "__spec__", None)
        is_own = name == "__main__"
        if not is_own and spec is not None and isinstance(spec.loader, SourceFileLoader):
            bundle.add_module(name, spec.loader, folder, spec.submodule_search_locations is not None)
    for text, code in recorder.codes.items():
        bundle.add_method(text, code)
    return bundle


def main() -> None:
    """Write the bundle into the folder that holds the libraries and the product."""
    folder = Path(sys.argv[1]).resolve()
    sys.path.insert(0, str(folder))
    (folder / "start.bundle").write_bytes(build_bundle(folder).encode())


if __name__ == "__main__":
    main()
