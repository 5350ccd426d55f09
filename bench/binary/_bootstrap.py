"""The first module of the program; it becomes ``__main__`` of the archive.

Python imports modules from the archive, but the dynamic loader of the system opens
extension modules only as files. Each extension module is written to a temporary
file when it is first imported. The file is removed as soon as the module is loaded,
so that no file is left even when the process is killed later.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import tempfile
import zipimport
from collections.abc import Sequence
from types import ModuleType
from typing import Any

EXTENSIONS = "extensions/"


class ArchivedExtensionLoader(importlib.machinery.ExtensionFileLoader):
    """Loads an extension module from a temporary file and removes the file."""

    def create_module(self, spec: importlib.machinery.ModuleSpec) -> ModuleType:
        """Load the module and remove its file."""
        try:
            return super().create_module(spec)
        finally:
            os.unlink(self.path)


class ArchivedExtensionFinder(importlib.abc.MetaPathFinder):
    """Finds extension modules in the archive and writes them to temporary files."""

    def __init__(self, archive: Any) -> None:
        self.archive = archive

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Write the extension module to a file; return its spec, or None if absent."""
        try:
            content = self.archive.get_data(f"{EXTENSIONS}{fullname}.so")
        except OSError:
            return None
        descriptor, name = tempfile.mkstemp(prefix=f"{fullname}.", suffix=".so")
        with open(descriptor, "wb") as file:
            file.write(content)
        loader = ArchivedExtensionLoader(fullname, name)
        return importlib.util.spec_from_loader(fullname, loader, is_package=False)


def start() -> None:
    """Run the program."""
    archive = zipimport.zipimporter(sys.path[0])
    sys.meta_path.insert(0, ArchivedExtensionFinder(archive))
    from jujubetiller import __main__ as program

    program.main()


if __name__ == "__main__":
    start()
