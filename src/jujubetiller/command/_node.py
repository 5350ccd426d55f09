"""The ``node`` command."""

import importlib

import result

from jujubetiller.command import _output, _settings_file


def node(*, settings: str) -> int:
    """Run a node until it is told to stop.

    :param settings: the settings file in JSON, or - for standard input
    """
    loaded = _settings_file.load_settings_file(settings)
    if isinstance(loaded, result.Err):
        return _output.report(loaded.err_value)
    # The other commands need neither the node's modules nor their start time.
    module = importlib.import_module("jujubetiller.node")
    return int(module.run(loaded.ok_value))
