"""Settings named on the command line."""

import importlib

import result

from jujubetiller import codes, settings
from jujubetiller.command import _output


def load_settings_file(
    name: str,
) -> result.Result[settings.NodeSettings, codes.Problem]:
    """Return the checked settings in the file ``name``."""
    content = _output.read_file(name)
    if isinstance(content, result.Err):
        return content
    return settings.load_settings(content.ok_value)


def load_platform_settings_file(
    name: str,
) -> result.Result[settings.MeshSettings, codes.Problem]:
    """Return the checked settings of the users' platform in the file ``name``."""
    content = _output.read_file(name)
    if isinstance(content, result.Err):
        return content
    # The other commands need neither the modules nor their start time.
    platform = importlib.import_module("jujubetiller.platform")
    loaded: result.Result[settings.MeshSettings, codes.Problem]
    loaded = platform.load_settings(content.ok_value)
    return loaded
