"""Metrics and log lines about the connections of the HTTP listeners."""

from collections.abc import Mapping

import logbook

from jujubetiller import edge, metrics

_LOG = logbook.Logger("jujubetiller.mesh")


class ConnectionWatch:
    """Reports the connections that listeners refused, or closed to make room."""

    def __init__(self, edges: Mapping[str, edge.PipelinedFactory]) -> None:
        self.edges = edges
        """The listeners by name; listeners may still be added."""

        self.logged: dict[str, tuple[int, int]] = {}
        """Refused and evicted connections of each listener up to its latest line."""

    def make_group(self) -> metrics.CounterGroup:
        """Return the metrics of all listeners."""
        return metrics.CounterGroup(
            "listener_connections",
            "HTTP connections that are open, refused, or closed to make room.",
            self.read,
            is_counter=False,
        )

    def read(self) -> Mapping[str, float]:
        """Return the numbers of connections by listener and event."""
        values: dict[str, float] = {}
        for name, factory in self.edges.items():
            values[f"{name}_open"] = len(factory.channels)
            values[f"{name}_refused"] = factory.connections_refused
            values[f"{name}_evicted"] = factory.connections_evicted
        return values

    def log_changes(self) -> None:
        """Log what has happened at each listener since its latest line."""
        for name, factory in self.edges.items():
            counts = factory.connections_refused, factory.connections_evicted
            refused, evicted = self.logged.get(name, (0, 0))
            if counts == (refused, evicted):
                continue
            self.logged[name] = counts
            _LOG.warning(
                "connections refused, or closed to make room for new ones",
                extra={
                    "listener": name,
                    "open": len(factory.channels),
                    "limit": factory.max_connections,
                    "refused": counts[0] - refused,
                    "evicted": counts[1] - evicted,
                },
            )
