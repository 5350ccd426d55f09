"""Dispatch from the command line to one function per command."""

from collections.abc import Callable, Sequence

import defopt

from jujubetiller import codes
from jujubetiller.command import (
    _check_settings,
    _check_ticket,
    _explain,
    _mesh,
    _node,
    _output,
    _status,
    _version,
)

COMMANDS: dict[str, Callable[..., int]] = {
    "node": _node.node,
    "mesh": _mesh.mesh,
    "check-settings": _check_settings.check_settings,
    "check-ticket": _check_ticket.check_ticket,
    "status": _status.status,
    "explain": _explain.explain,
    "version": _version.version,
}


def run(arguments: Sequence[str]) -> int:
    """Run the command in ``arguments`` and return its exit status.

    The status is 0, 1 for a check that failed, or 2 for a wrong command line.
    """
    try:
        return defopt.run(
            COMMANDS,
            argv=list(arguments),
            argparse_kwargs={"prog": "jujubetiller"},
        )
    except SystemExit as exit_request:
        if exit_request.code != _output.USAGE_STATUS:
            raise
    # argparse already printed what it does not accept.
    return _output.report(
        codes.Problem(
            codes.ResultCode.BAD_COMMAND,
            "arguments",
            f"allowed are the commands {', '.join(COMMANDS)}; "
            "--help after a command shows its arguments",
        )
    )
