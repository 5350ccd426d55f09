"""Collects the content of the program: ``jujubetiller`` and its dependencies."""

import importlib.metadata
import pathlib
import re
import shutil
import subprocess

ROOT = pathlib.Path(__file__).resolve().parents[2]
SKIPPED_PARTS = frozenset({"test", "tests", "__pycache__", "newsfragments"})


def list_distributions() -> list[importlib.metadata.Distribution]:
    """Return the distributions that ``requirements/runtime.txt`` pins."""
    text = (ROOT / "requirements" / "runtime.txt").read_text()
    names = re.findall(r"^([A-Za-z0-9_.-]+)==", text, flags=re.MULTILINE)
    return [importlib.metadata.distribution(name) for name in names]


def copy_content(output: pathlib.Path) -> None:
    """Copy ``jujubetiller`` and its dependencies into the new directory ``output``.

    Tests of packages are left out. Debug symbols are stripped because they make up
    most of the size of the extension modules.
    """
    for distribution in list_distributions():
        for file in distribution.files or ():
            if file.parts[0] == ".." or SKIPPED_PARTS & set(file.parts):
                continue
            source = pathlib.Path(str(file.locate()))
            (output / file).parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(source, output / file)
    shutil.copytree(
        ROOT / "src" / "jujubetiller",
        output / "jujubetiller",
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    strip = shutil.which("strip")
    if strip is not None:
        extensions = [str(file) for file in output.rglob("*.so")]
        subprocess.run([strip, "--strip-debug", *extensions], check=True)
