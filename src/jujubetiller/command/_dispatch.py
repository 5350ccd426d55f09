"""The entry point of the command line."""

import importlib
import os
import signal
import types
from collections.abc import Sequence

MESH_COMMAND = "mesh"


def run(arguments: Sequence[str]) -> int:
    """Run the command in ``arguments`` and return its exit status.

    The status is 0, 1 for a check that failed, or 2 for a wrong command line.
    """
    if MESH_COMMAND in arguments[:1]:
        _prepare_signals()
    if list(arguments) == [MESH_COMMAND]:
        # The command-line parser takes 10 MB, a quarter of a node's memory.
        mesh = importlib.import_module("jujubetiller.command._mesh")
        return int(mesh.mesh())
    runner = importlib.import_module("jujubetiller.command._run")
    return int(runner.run(arguments))


def _prepare_signals() -> None:
    """Handle the platform's signals until the running node does so itself.

    With the default actions, SIGHUP after a change of the settings file would end
    a starting node, and a planned stop would look like a failure.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _end_before_start)


def _end_before_start(number: int, frame: types.FrameType | None) -> None:
    """End the process with status 0: it has not received a request yet.

    An exception could be lost in a finalizer, and the node would keep running.
    """
    os._exit(0)
