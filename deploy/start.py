"""Start a node, with its modules read from the file that `deploy/bundle.py` has written beside this one.

Without that file, or with one of another Python version, the modules are imported from their folders.
"""

import gc
import marshal
import os
import sys
from _frozen_importlib import ModuleSpec
from _frozen_importlib_external import MAGIC_NUMBER
from types import ModuleType

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

FOLDER = os.path.dirname(os.path.abspath(__file__))
BUNDLE = os.path.join(FOLDER, "start.bundle")
#: Length in bytes of the number before the head, which is the head's length.
LENGTH_SIZE = 4


class BundleImporter:
    """Finds and loads the modules of a bundle.

    Args:
        modules: offset and size of each module's code, its source file and whether it is a package.
        methods: offset and size of the code of each method of a data class, by its text.
        code: code of all modules and methods.
    """

    def __init__(
        self,
        modules: dict[str, tuple[int, int, str, bool]],
        methods: dict[str, tuple[int, int]],
        code: memoryview,
    ) -> None:
        self._modules = modules
        self._methods = methods
        self._code = code
        self._roots = {"deps": FOLDER, "lib": os.path.dirname(os.__file__)}

    def find_spec(self, name: str, path: object = None, target: object = None) -> ModuleSpec | None:
        """Return the spec of a module, None if the bundle does not hold it."""
        entry = self._modules.get(name)
        if entry is None:
            return None
        _, _, source, is_package = entry
        root, _, file = source.partition("/")
        origin = os.path.join(self._roots[root], file)
        spec = ModuleSpec(name, None, origin=origin, is_package=is_package)
        spec.loader = self  # type: ignore[assignment]
        spec.has_location = True
        if is_package:
            # Modules that are not in the bundle are found in the package's folder.
            spec.submodule_search_locations = [os.path.dirname(origin)]
        return spec

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Leave the creation of the module to Python."""
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Run the code of a module."""
        offset, size, _, _ = self._modules[module.__name__]
        exec(marshal.loads(self._code[offset : offset + size]), module.__dict__)

    def exec_method(self, text: str, *namespaces: "Any") -> None:
        """Stand in for `exec` in `dataclasses`: run the text of a method, compiled already if it is known."""
        if text in self._methods:
            offset, size = self._methods[text]
            exec(marshal.loads(self._code[offset : offset + size]), *namespaces)
        else:
            exec(text, *namespaces)

    def release(self) -> None:
        """Free the memory of the bundle; modules imported later come from their folders."""
        self._modules.clear()
        self._methods.clear()
        self._code = memoryview(b"")


def read_bundle() -> BundleImporter:
    """Return the importer of the bundle.

    Raises:
        OSError: there is no bundle.
        ValueError: it was written by another Python, or is damaged.
    """
    with open(BUNDLE, "rb", buffering=0) as file:
        data = memoryview(file.read())
    head_end = LENGTH_SIZE + int.from_bytes(data[:LENGTH_SIZE], "big")
    try:
        magic, modules, methods = marshal.loads(data[LENGTH_SIZE:head_end])
    except (EOFError, TypeError, ValueError) as error:
        raise ValueError(f"damaged: {error}") from error
    if magic != MAGIC_NUMBER:
        raise ValueError("written by another Python")
    return BundleImporter(modules, methods, data[head_end:])


def main() -> None:
    """Import the product and run a node. Signals are kept for it from here on."""
    from worksramp.signals import SignalInbox

    signals = SignalInbox()
    signals.install()
    # Nothing that imports create becomes garbage.
    gc.disable()
    importer: BundleImporter | None = None
    try:
        importer = read_bundle()
        sys.meta_path.insert(0, importer)
        import dataclasses

        vars(dataclasses)["exec"] = importer.exec_method
    except (OSError, ValueError) as error:
        print(f"{BUNDLE}: {error}; modules are imported from their folders", file=sys.stderr)
    from worksramp_platform.process import main as run_node

    if importer is not None:
        importer.release()
    gc.enable()
    run_node(signals)


if __name__ == "__main__":
    main()
