"""Start-up and shutdown of a stand-in process."""

import contextlib
import json
import os
import signal
import sys
from collections.abc import Mapping
from typing import Any, TypeVar

import result
import zope.interface
from twisted.internet import error, interfaces, reactor as installed_reactor

from jujubetiller import codes, schema

# The reactor's methods are set at run time, so mypy does not know them.
reactor: Any = installed_reactor

READ_BYTES = 65_536

_Structured = TypeVar("_Structured")


@zope.interface.implementer(interfaces.IReadDescriptor)
class StandardInput:
    """Stops the reactor when standard input closes."""

    def fileno(self) -> int:
        """Return the file descriptor of standard input."""
        return 0

    def doRead(self) -> None:
        """Discard input and stop the reactor at end of file."""
        if not os.read(0, READ_BYTES):
            self.connectionLost(None)

    def connectionLost(self, reason: object) -> None:
        """Stop the reactor: Twisted calls this when a pipe closes without data."""
        reactor.removeReader(self)
        stop()

    def logPrefix(self) -> str:
        """Return the name for Twisted's log lines."""
        return "standard input"


def parse_arguments(text: str, shape: type[_Structured]) -> _Structured:
    """Return the JSON ``text`` as ``shape``, or exit with status 2 if invalid."""
    parsed = schema.parse_json(text, codes.ResultCode.BAD_COMMAND)
    if isinstance(parsed, result.Ok):
        checked = schema.structure(parsed.ok_value, shape, codes.ResultCode.BAD_COMMAND)
        if isinstance(checked, result.Ok):
            return checked.ok_value
        parsed = checked
    print(parsed.err_value, file=sys.stderr)
    sys.exit(2)


def listen(factory: Any, port: int = 0) -> int:
    """Listen on loopback and return the port."""
    return int(reactor.listenTCP(port, factory, interface="127.0.0.1").getHost().port)


def stop() -> None:
    """Stop the reactor; do nothing if it has stopped already."""
    with contextlib.suppress(error.ReactorNotRunning):
        reactor.stop()


def run(ports: Mapping[str, int]) -> None:
    """Print ``ports`` and run until standard input closes or SIGTERM arrives."""

    def announce() -> None:
        # Twisted's own SIGTERM handler fails if the reactor has just stopped because
        # standard input closed. The ports are printed last, so that a process that
        # has read them can send SIGTERM safely.
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(stop))
        print(json.dumps(dict(ports)), flush=True)

    reactor.addReader(StandardInput())
    reactor.callWhenRunning(announce)
    reactor.run()
