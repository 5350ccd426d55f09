"""Changes of the settings file while the node runs."""

import pathlib
from collections.abc import Callable
from typing import Any

import logbook
import result

from jujubetiller import codes, settings

_LOG = logbook.Logger("jujubetiller.mesh")

LOOK_MS = 1_000.0
"""The file may change without a signal."""

Loader = Callable[[bytes], result.Result[settings.MeshSettings, codes.Problem]]


class SettingsFile:
    """Reads the settings file again when it changes; bad ones change nothing."""

    def __init__(
        self,
        reactor: Any,
        path: pathlib.Path,
        load: Loader,
        on_change: Callable[[settings.MeshSettings], None],
    ) -> None:
        self.reactor = reactor
        self.path = path
        self.load = load
        self.on_change = on_change
        self.content = path.read_bytes()

    def start(self) -> None:
        """Begin to look at the file."""
        self.reactor.callLater(LOOK_MS / 1000.0, self._look_again)

    def look(self) -> None:
        """Take in the file if it changed."""
        try:
            content = self.path.read_bytes()
        except OSError as error:
            _LOG.warning("settings file cannot be read: {}", error.strerror)
            return
        if content == self.content:
            return
        self.content = content
        loaded = self.load(content)
        if isinstance(loaded, result.Err):
            _LOG.error("settings rejected, the old ones hold: {}", loaded.err_value)
            return
        self.on_change(loaded.ok_value)

    def _look_again(self) -> None:
        self.look()
        self.start()
