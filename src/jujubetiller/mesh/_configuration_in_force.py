"""The configuration that a node follows."""

import zlib

import logbook
import result

from jujubetiller import published, routes

_LOG = logbook.Logger("jujubetiller.mesh")


class ConfigurationInForce:
    """Follows the highest version that was ever seen, so that it never reverts."""

    def __init__(self, decoder: published.ItemDecoder, node: str) -> None:
        self.decoder = decoder
        self.start = zlib.crc32(node.encode())
        self.current: routes.Configuration | None = None
        self.table = routes.RouteTable(())
        self.choices: dict[str, routes.WeightedChoice] = {}
        self.rejected = 0

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return 0 if self.current is None else self.current.version

    def is_service(self, name: str) -> bool:
        """Return whether ``name`` is a service; without a configuration, any is."""
        return self.current is None or name in self.current.services

    def take(self, items: list[published.PublishedItem]) -> None:
        """Put a newer configuration among ``items`` in force."""
        for item in items:
            if item.value is not None and self.decoder.is_configuration(item.key):
                self._take_item(item)

    def choose_service(self, route: routes.Route) -> str:
        """Return the service that gets the next request of ``route``."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        choice = self.choices.get(route.name)
        if choice is None or choice.destinations != route.destinations:
            choice = routes.WeightedChoice(route.destinations, self.start)
            self.choices[route.name] = choice
        return choice.next_service()

    def _take_item(self, item: published.PublishedItem) -> None:
        decoded = self.decoder.decode_configuration(item)
        if isinstance(decoded, result.Err):
            self.rejected += 1
            _LOG.warning("configuration rejected: {}", decoded.err_value)
            return
        configuration = decoded.ok_value
        if configuration.version <= self.version:
            return
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
                "revision": item.revision,
                "routes": len(configuration.routes),
            },
        )
