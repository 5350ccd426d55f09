"""Admission by cost that begins with the first teams of the configuration."""

import logbook

from jujubetiller import admission
from jujubetiller.mesh import _mesh_parts, _request

_LOG = logbook.Logger("jujubetiller.mesh")


class TeamAdmission:
    """Admits requests by cost once there are teams, if the settings ask for that.

    Teams compete for services that are full; without teams the throttles by queueing
    delay decide as before. Admission by cost stays when the teams are gone.
    """

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts

    def apply(self) -> None:
        """Begin if it is due and no call is at the target or waits for it.

        Calls that began before could not be told from others. The first configuration
        arrives before the first request, so that this is mostly the case at once.
        """
        parts = self.parts
        is_asked_for = parts.settings.features.admission == "teams"
        if not is_asked_for or parts.admission is not None:
            return
        is_unused = not parts.guard.in_flight and not parts.guard.queue_length
        if not is_unused or not _request.has_teams_in_force(parts):
            return
        parts.admission = admission.NodeAdmission(
            parts.clock, parts.random, parts.guard, parts.settings.service
        )
        parts.metrics.export(admission.make_groups(parts.admission))
        _LOG.info("requests are admitted by cost from now on")
