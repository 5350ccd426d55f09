"""A client's request at its entry node, and why it is refused there."""

import attrs

from jujubetiller import codes, congestion, edge, routes, teams
from jujubetiller.mesh import _key_check, _retry_pause


@attrs.define
class EntryRequest:
    """A client's request, with what the checks have found out about it."""

    message: edge.EdgeMessage
    route: routes.Route | None = None
    holder: _key_check.KeyHolder | None = None
    throttle: congestion.RouteThrottle | None = None

    @property
    def team(self) -> teams.Team | None:
        """The team that sent the request, if its key names one."""
        return None if self.holder is None else self.holder.team


@attrs.frozen
class EntryRefusal:
    """Why a request does not run."""

    code: codes.ResultCode
    detail: str = ""
    pause: _retry_pause.RetryPause = _retry_pause.DEFAULT
