"""The ``check-settings`` command."""

import result

from jujubetiller.command import _output, _settings_file

PLATFORM_SUFFIX = ".toml"


def check_settings(file: str) -> int:
    """Check a settings file.

    :param file: the settings file in JSON, or - for standard input; a file whose
        name ends with .toml is checked as one of the users' platform
    """
    if file.endswith(PLATFORM_SUFFIX):
        return _check_platform_settings(file)
    loaded = _settings_file.load_settings_file(file)
    if isinstance(loaded, result.Err):
        return _output.report(loaded.err_value)
    node_settings = loaded.ok_value
    print(
        f"valid: instance {node_settings.instance} of service "
        f"{node_settings.service} in zone {node_settings.zone}"
    )
    return _output.OK_STATUS


def _check_platform_settings(file: str) -> int:
    loaded = _settings_file.load_platform_settings_file(file)
    if isinstance(loaded, result.Err):
        return _output.report(loaded.err_value)
    mesh_settings = loaded.ok_value
    print(
        f"valid: node {mesh_settings.node} of service "
        f"{mesh_settings.service} in zone {mesh_settings.zone}"
    )
    return _output.OK_STATUS
