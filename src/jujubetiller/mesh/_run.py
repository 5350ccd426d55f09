"""Runs a node as a process."""

import gc
import pathlib
import random
import secrets
import signal
import sys
from typing import Any

import logbook
from twisted.internet import error

from jujubetiller import clock, logs, memory, published, reactors, settings
from jujubetiller.mesh import _header_names, _log_output, _mesh_node, _settings_file

_LOG = logbook.Logger("jujubetiller.mesh")

SEED_BITS = 256

GC_THRESHOLDS = (50_000, 20, 100)
"""Collections are rare, because a full one blocks the event loop for several
milliseconds. Objects that exist after the start are frozen, and calls create few
reference cycles."""


def run(
    path: pathlib.Path,
    load: _settings_file.Loader,
    node_settings: settings.MeshSettings,
    headers: _header_names.HeaderNames,
    decoder: published.ItemDecoder,
    make_source: Any,
) -> int:
    """Run a node until SIGTERM or SIGINT and return its exit status.

    ``make_source`` is called with the reactor, the clock, the random source, the
    store's settings and the state that the source updates. Logs go to standard
    output.
    """
    time_source = clock.TurnClock(clock.SystemClock())
    reactors.install(time_source)
    # Imported after the reactor is installed: the import would install the default one.
    from twisted.internet import reactor as installed_reactor

    twisted_reactor: Any = installed_reactor
    log_handler = logs.start_logging(node_settings.logs, time_source, sys.stdout)
    memory.return_freed_memory()
    # Seeded by the operating system; SystemRandom would make a system call each time.
    random_source = random.Random(secrets.randbits(SEED_BITS))
    node = _mesh_node.MeshNode(
        twisted_reactor,
        time_source,
        random_source,
        node_settings,
        headers,
        decoder,
        lambda state: make_source(
            twisted_reactor, time_source, random_source, node_settings.store, state
        ),
    )
    _log_output.LogOutput(twisted_reactor, log_handler, node.parts.metrics).start()
    try:
        node.start()
    except error.CannotListenError as failure:
        _LOG.error("cannot listen on {}:{}", failure.interface, failure.port)
        return 1
    settings_file = _settings_file.SettingsFile(
        twisted_reactor, path, load, node.reload
    )
    settings_file.start()
    signal.signal(
        signal.SIGHUP,
        lambda *_: twisted_reactor.callFromThread(settings_file.reload_if_changed),
    )
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
    twisted_reactor.addSystemEventTrigger("before", "shutdown", node.drain)
    twisted_reactor.run()
    log_handler.output.flush()
    return 0
