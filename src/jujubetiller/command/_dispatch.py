"""The entry of the command line."""

import importlib
from collections.abc import Sequence

from jujubetiller.command import _mesh

MESH_ARGUMENTS = ["mesh"]


def run(arguments: Sequence[str]) -> int:
    """Run the command in ``arguments`` and return its exit status.

    The status is 0, 1 for a check that failed, or 2 for a wrong command line.
    """
    if list(arguments) == MESH_ARGUMENTS:
        # The parser of command lines takes 10 MB, a quarter of a node's memory.
        return _mesh.mesh()
    runner = importlib.import_module("jujubetiller.command._run")
    return int(runner.run(arguments))
