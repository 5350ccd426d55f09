"""The ``mesh`` command."""

import functools
import gc
import importlib
import os
import pathlib

import attrs
import result

from jujubetiller import codes
from jujubetiller.command import _features, _output, _settings_file


def mesh(*, settings: str = "") -> int:
    """Run a node on the users' platform until it is told to stop.

    :param settings: the settings file; by default the one that the environment
        variable JUJUBETILLER_CONFIG names
    """
    # Collections find next to nothing during the imports; the node enables them.
    gc.disable()
    # The other commands need neither the modules nor their start time.
    platform = importlib.import_module("jujubetiller.platform")
    name = settings or os.environ.get(platform.SETTINGS_VARIABLE, "")
    if not name:
        message = f"allowed is a file, or a path in {platform.SETTINGS_VARIABLE}"
        return _output.report(
            codes.Problem(codes.ResultCode.BAD_COMMAND, "settings", message)
        )
    features = _features.read_features(os.environ)
    if isinstance(features, result.Err):
        return _output.report(features.err_value)
    loaded = _settings_file.load_changing_platform_settings_file(name)
    if isinstance(loaded, result.Err):
        return _output.report(loaded.err_value)
    module = importlib.import_module("jujubetiller.mesh")
    return int(
        module.run(
            pathlib.Path(name),
            functools.partial(platform.load_settings, features=features.ok_value),
            attrs.evolve(loaded.ok_value, features=features.ok_value),
            platform.HEADERS,
            platform.PlatformDecoder(),
            platform.StoreReader,
        )
    )
