"""A node that counts the bytes of its sockets: ``python -m bench.counted_node``.

It reads its settings from standard input, as ``jujubetiller node --settings -``
does. On SIGUSR1 it writes a line ``bytes SENT RECEIVED`` to standard error.
"""

import signal
import sys
from typing import Any

import result
from twisted.internet import tcp

from jujubetiller import node, settings


class ByteCounter:
    """Counts the bytes of all TCP connections by wrapping Twisted's methods."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        # The connection classes offer no hook for counting bytes.
        patched: Any = tcp.Connection
        write, receive = patched.writeSomeData, patched._dataReceived

        def count_write(connection: Any, data: Any) -> Any:
            written = write(connection, data)
            if isinstance(written, int) and written > 0:
                self.sent += written
            return written

        def count_receive(connection: Any, data: Any) -> Any:
            self.received += len(data or b"")
            return receive(connection, data)

        patched.writeSomeData = count_write
        patched._dataReceived = count_receive

    def report(self, *signal_arguments: object) -> None:
        """Write the counts to standard error."""
        print(f"bytes {self.sent} {self.received}", file=sys.stderr, flush=True)


def main() -> int:
    """Run the node."""
    loaded = settings.load_settings(sys.stdin.read())
    if isinstance(loaded, result.Err):
        print(loaded.err_value, file=sys.stderr)
        return 2
    signal.signal(signal.SIGUSR1, ByteCounter().report)
    return int(node.run(loaded.ok_value))


if __name__ == "__main__":
    sys.exit(main())
