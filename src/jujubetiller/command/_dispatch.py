"""The entry of the command line."""

import importlib
import signal
from collections.abc import Sequence

MESH_COMMAND = "mesh"


def run(arguments: Sequence[str]) -> int:
    """Run the command in ``arguments`` and return its exit status.

    The status is 0, 1 for a check that failed, or 2 for a wrong command line.
    """
    if MESH_COMMAND in arguments[:1]:
        # The platform sends SIGHUP at any time. Until the node follows its settings
        # file, the signal would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if list(arguments) == [MESH_COMMAND]:
        # The parser of command lines takes 10 MB, a quarter of a node's memory.
        mesh = importlib.import_module("jujubetiller.command._mesh")
        return int(mesh.mesh())
    runner = importlib.import_module("jujubetiller.command._run")
    return int(runner.run(arguments))
