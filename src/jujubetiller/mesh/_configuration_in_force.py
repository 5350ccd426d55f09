"""The configuration that a node applies."""

import zlib

import logbook
import result

from jujubetiller import published, routes, teams
from jujubetiller.mesh import _team_changes

_LOG = logbook.Logger("jujubetiller.mesh")


class ConfigurationInForce:
    """Holds the configuration with the highest version received so far.

    Lower versions are ignored, so that a stale item never reverts the configuration.
    """

    def __init__(self, decoder: published.ItemDecoder, node: str) -> None:
        self.decoder = decoder
        self.choice_start = zlib.crc32(node.encode())
        self.current: routes.Configuration | None = None
        self.table = routes.RouteTable(())
        self.choices: dict[str, routes.WeightedChoice] = {}
        self.rejected = 0

    @property
    def version(self) -> int:
        """The version in force; 0 before the first configuration."""
        return 0 if self.current is None else self.current.version

    def is_service(self, name: str) -> bool:
        """Return whether ``name`` is a known service.

        Before the first configuration, every name is accepted.
        """
        return self.current is None or name in self.current.services

    def apply(self, items: list[published.PublishedItem]) -> None:
        """Apply a newer configuration, if ``items`` contain one."""
        for item in items:
            if item.value is not None and self.decoder.is_configuration(item.key):
                self._apply_item(item)

    def choose_service(self, route: routes.Route) -> str:
        """Return the service that gets the next request of ``route``."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        choice = self.choices.get(route.name)
        if choice is None or choice.destinations != route.destinations:
            choice = routes.WeightedChoice(route.destinations, self.choice_start)
            self.choices[route.name] = choice
        return choice.next_service()

    def _apply_item(self, item: published.PublishedItem) -> None:
        decoded = self.decoder.decode_configuration(item)
        if isinstance(decoded, result.Err):
            self.rejected += 1
            _LOG.error(
                "configuration rejected: {}",
                decoded.err_value,
                extra={"revision": str(item.revision), "version": self.version},
            )
            return
        configuration = decoded.ok_value
        if configuration.version <= self.version:
            return
        old_table = (
            teams.TeamTable() if self.current is None else (self.current.team_table)
        )
        self.current = configuration
        self.table = routes.RouteTable(configuration.routes)
        names = {route.name for route in configuration.routes}
        self.choices = {
            name: choice for name, choice in self.choices.items() if name in names
        }
        _LOG.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "revision": str(item.revision),
                "routes": len(configuration.routes),
                **_team_changes.describe_teams(configuration.team_table),
            },
        )
        changes = _team_changes.describe_key_changes(
            old_table, configuration.team_table
        )
        if changes:
            _LOG.info(
                "keys of teams changed",
                extra={"version": configuration.version, **changes},
            )
