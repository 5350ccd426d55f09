"""Running a node as a process."""

import gc
import json
import random
import secrets
import sys

import logbook
from twisted.internet import error, reactor as twisted_reactor

from jujubetiller import clock, logs, settings
from jujubetiller.node import _counter_groups, _node

_LOG = logbook.Logger("jujubetiller.node")

SEED_BITS = 256

GC_THRESHOLDS = (50_000, 20, 100)
"""High, because a full collection blocks the event loop for several milliseconds.
Objects that live for the whole run are frozen after the start, and calls create few
reference cycles."""


def run(node_settings: settings.NodeSettings) -> int:
    """Run a node until SIGTERM or SIGINT and return its exit status.

    The first line on standard output is JSON with the addresses in use.
    """
    system_clock = clock.SystemClock()
    log_handler = logs.start_logging(node_settings.logs, system_clock, sys.stderr)
    node = _node.Node(
        twisted_reactor,
        system_clock,
        clock.UnixClock(),
        # Seeded by the operating system. SystemRandom would make a system call for
        # each number.
        random.Random(secrets.randbits(SEED_BITS)),
        node_settings,
    )
    node.parts.metrics.export([_counter_groups.make_log_group(log_handler)])
    try:
        node.start()
    except error.CannotListenError as failure:
        _LOG.error("cannot listen on {}:{}", failure.interface, failure.port)
        return 1
    addresses = {
        name: {"host": address.host, "port": address.port}
        for name, address in node.bound_addresses().items()
    }
    print(json.dumps({"instance": node_settings.instance, **addresses}), flush=True)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    stopping = _DrainBeforeStop(node)
    twisted_reactor.addSystemEventTrigger("before", "shutdown", stopping.drain)
    twisted_reactor.run()
    return 0


class _DrainBeforeStop:
    """Delays the reactor's shutdown until the node has drained."""

    def __init__(self, node: _node.Node) -> None:
        self.node = node

    def drain(self) -> object:
        """Return the Deferred that the shutdown waits for."""
        return self.node.drain()
