"""Settings named on the command line."""

import importlib
import os
import stat
import time
from collections.abc import Callable

import result

from jujubetiller import codes, settings
from jujubetiller.command import _output

CHANGE_PAUSE_S = 0.1
MAX_READS = 6


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


def load_changing_platform_settings_file(
    name: str, sleep: Callable[[float], None] = time.sleep
) -> result.Result[settings.MeshSettings, codes.Problem]:
    """Return the settings in a file that may be written at this moment.

    A node may start while the file is written, and then reads only its beginning. If
    the settings are wrong and the file changes within ``CHANGE_PAUSE_S``, it is read
    again, up to ``MAX_READS`` times in all.
    """
    version = _read_version(name)
    loaded = load_platform_settings_file(name)
    for _ in range(MAX_READS - 1):
        if isinstance(loaded, result.Ok) or version is None:
            break
        sleep(CHANGE_PAUSE_S)
        version_before, version = version, _read_version(name)
        if version == version_before:
            break
        loaded = load_platform_settings_file(name)
    return loaded


def _read_version(name: str) -> tuple[int, int] | None:
    """Return what changes when the file is written, or None if it is no plain file."""
    try:
        status = os.stat(name)
    except OSError:
        return None
    if not stat.S_ISREG(status.st_mode):
        return None
    return status.st_mtime_ns, status.st_size
