"""Reloading of the settings file while the node runs."""

import pathlib
from collections.abc import Callable
from typing import Any

import logbook
import result

from jujubetiller import codes, settings

_LOG = logbook.Logger("jujubetiller.mesh")

POLL_MS = 1_000.0
"""The file is polled, as it may change without a signal."""

Loader = Callable[[bytes], result.Result[settings.MeshSettings, codes.Problem]]


class SettingsFile:
    """Reloads the settings file when it changes; invalid settings are not applied."""

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
        """Start to poll the file."""
        self.reactor.callLater(POLL_MS / 1000.0, self._poll)

    def reload_if_changed(self) -> None:
        """Load the file if its content changed."""
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
            _LOG.error("settings rejected, keeping the old ones: {}", loaded.err_value)
            return
        self.on_change(loaded.ok_value)

    def _poll(self) -> None:
        # Scheduled first, so that an exception below does not end the polling.
        self.start()
        self.reload_if_changed()
