"""The order in which calls wait in front of the target."""

from jujubetiller import limits
from jujubetiller.mesh import _mesh_parts, _request


class ClassOrder:
    """Starts waiting calls by their classes while there are teams.

    Admission by cost has a queue that always does so; its order stays as it is.
    """

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts
        self.orders_by_class = False

    def apply(self) -> None:
        """Set the order of the queue for the configuration in force."""
        if self.parts.admission is not None:
            return
        has_teams = _request.has_teams_in_force(self.parts)
        if has_teams == self.orders_by_class:
            return
        self.orders_by_class = has_teams
        order = limits.build_order(self.parts.settings.limits.queue_order)
        self.parts.guard.set_order(limits.ClassQueueOrder() if has_teams else order)
