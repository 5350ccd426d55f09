"""Builds the candidates that were not chosen, so that they can be compared again."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from bench.binary import _content


def build_shiv(output: pathlib.Path) -> None:
    """Write a shiv archive to ``output``."""
    with tempfile.TemporaryDirectory() as directory:
        content = pathlib.Path(directory) / "content"
        _content.copy_content(content)
        subprocess.run(
            [
                *(sys.executable, "-m", "shiv", "--compressed"),
                *("--site-packages", str(content), "--python", sys.executable),
                *("--entry-point", "jujubetiller.__main__:main"),
                *("--output-file", str(output)),
            ],
            check=True,
            stdout=subprocess.DEVNULL,
        )


def build_pyinstaller(output: pathlib.Path, one_file: bool) -> None:
    """Write a PyInstaller program to ``output``, as a file or a directory."""
    with tempfile.TemporaryDirectory() as directory:
        work = pathlib.Path(directory)
        script = work / "program.py"
        script.write_text("from jujubetiller import __main__\n__main__.main()\n")
        subprocess.run(
            [
                *(sys.executable, "-m", "PyInstaller", "--log-level", "ERROR"),
                *("--onefile" if one_file else "--onedir", "--strip", "--noconfirm"),
                *("--collect-submodules", "jujubetiller", "--name", output.name),
                # These packages import their submodules by names computed at run time.
                *("--collect-all", "pockets", "--collect-all", "docutils"),
                *("--distpath", str(work / "dist"), "--workpath", str(work / "build")),
                *("--specpath", str(work), str(script)),
            ],
            check=True,
            env=os.environ | {"PYTHONPATH": str(_content.ROOT / "src")},
        )
        shutil.move(work / "dist" / output.name, output)
