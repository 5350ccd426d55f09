"""Builds the program as a zip archive that Python runs."""

import compileall
import pathlib
import shutil
import tempfile
import zipapp

from bench.binary import _bootstrap, _content


def build(output: pathlib.Path) -> None:
    """Write the program to ``output``.

    The archive contains compiled modules without their sources; otherwise Python
    would compile every module at every start.
    """
    with tempfile.TemporaryDirectory() as directory:
        content = pathlib.Path(directory) / "content"
        _content.copy_content(content)
        extensions = content / _bootstrap.EXTENSIONS
        extensions.mkdir()
        for file in [*content.rglob("*.so")]:
            relative = file.relative_to(content)
            name = ".".join([*relative.parts[:-1], file.name.split(".")[0]])
            shutil.move(file, extensions / f"{name}.so")
        shutil.copyfile(str(_bootstrap.__file__), content / "__main__.py")
        compileall.compile_dir(
            content, quiet=2, legacy=True, stripdir=str(content), workers=1
        )
        for file in content.rglob("*.py"):
            # zipapp requires the source file of ``__main__``.
            if file != content / "__main__.py":
                file.unlink()
        output.parent.mkdir(parents=True, exist_ok=True)
        zipapp.create_archive(
            content, output, interpreter="/usr/bin/env python3.11", compressed=True
        )
