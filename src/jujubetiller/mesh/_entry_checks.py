"""The checks of a client's request at its entry node."""

from collections.abc import Callable

import attrs
import result

from jujubetiller import codes, congestion, edge, routes, teams
from jujubetiller.mesh import (
    _entry_decision,
    _entry_refusal,
    _ingress_call,
    _key_check,
    _mesh_parts,
    _request,
    _retry_pause,
)

_Code = codes.ResultCode


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


class LaterVerdict:
    """The verdict of a check that answers later.

    The check calls ``give``, with None to admit the request. The first call counts.
    ``cancel`` is called if the client goes away before.
    """

    def __init__(self, cancel: Callable[[], None] = edge.do_nothing) -> None:
        self.cancel = cancel
        self.is_given = False
        self.refusal: EntryRefusal | None = None
        self.on_given: Callable[[EntryRefusal | None], None] | None = None

    def give(self, refusal: EntryRefusal | None) -> None:
        """Continue with the next check, or refuse the request."""
        if self.is_given:
            return
        self.is_given = True
        self.refusal = refusal
        on_given, self.on_given = self.on_given, None
        if on_given is not None:
            on_given(refusal)

    def when_given(self, on_given: Callable[[EntryRefusal | None], None]) -> None:
        """Call ``on_given`` once with the verdict, at once if it is given already."""
        if self.is_given:
            on_given(self.refusal)
        else:
            self.on_given = on_given


Verdict = EntryRefusal | LaterVerdict | None
Check = Callable[[_mesh_parts.MeshParts, EntryRequest], Verdict]

Admit = Callable[[EntryRequest], Callable[[], None]]
"""Starts the call of a request and returns what cancels it."""

Refuse = Callable[[EntryRefusal], None]


def check_ready(parts: _mesh_parts.MeshParts, entry: EntryRequest) -> Verdict:
    """Refuse requests before the node knows a configuration and the instances."""
    if parts.is_ready():
        return None
    return EntryRefusal(_Code.NOT_READY, "no configuration has been read yet")


def check_route(parts: _mesh_parts.MeshParts, entry: EntryRequest) -> Verdict:
    """Find the route of a request; refuse it if there is none."""
    message = entry.message
    host = _ingress_call.find_header(message.headers, "host") or ""
    entry.route = parts.configuration.table.find(host, message.path)
    if entry.route is not None:
        return None
    return EntryRefusal(_Code.NO_ROUTE, f"host {host!r}, path {message.path!r}")


def check_key(parts: _mesh_parts.MeshParts, entry: EntryRequest) -> Verdict:
    """Find the team of a request; refuse it without a key that may be used now."""
    configuration, route = parts.configuration.current, entry.route
    if configuration is None or route is None:
        return EntryRefusal(_Code.NOT_READY)
    checked = parts.keys.check(configuration, route, entry.message.headers)
    if isinstance(checked, result.Ok):
        entry.holder = checked.ok_value
        return None
    code = checked.err_value
    parts.metrics.count_refusal(code.value)
    request_id = entry.message.control.get(parts.headers.request_id, "")
    parts.keys.log_refusal(request_id, route.name, code, configuration.version)
    return EntryRefusal(code)


def check_admission(parts: _mesh_parts.MeshParts, entry: EntryRequest) -> Verdict:
    """Refuse a request if a service that it needs lacks room for it."""
    route, team = entry.route, entry.team
    if route is None:
        return EntryRefusal(_Code.NO_ROUTE)
    priority_class = _request.find_priority_class(parts, route, team)
    team_name = "" if team is None else team.name
    throttle = parts.throttles.find(_request.name_throttle(route, team), priority_class)
    entry.throttle = throttle
    if _entry_decision.admits(parts, throttle, route.name, priority_class, team_name):
        return None
    _entry_refusal.report_overload(parts, route, throttle, entry.message, team_name)
    refused_share = _entry_decision.refused_share(parts, route.name, team_name)
    return EntryRefusal(
        _Code.OVERLOADED_DOWNSTREAM,
        pause=_retry_pause.RetryPause(refused_share=refused_share),
    )


CHECKS: tuple[Check, ...] = (check_ready, check_route, check_key, check_admission)
"""The checks in their order, cheapest and most certain first."""


class EntryRun:
    """Takes one request through the checks; one of them may answer later."""

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        entry: EntryRequest,
        admit: Admit,
        refuse: Refuse,
        checks: tuple[Check, ...] = CHECKS,
    ) -> None:
        self.parts = parts
        self.entry: EntryRequest | None = entry
        """Dropped when the checks are over, since it holds the body of the request."""

        self.ends: tuple[Admit, Refuse] | None = (admit, refuse)
        """Dropped when the checks are over: they refer to the request, which refers to
        this object."""

        self.checks = checks
        self.position = 0
        self.cancel_step: Callable[[], None] = edge.do_nothing
        """Cancels what the request waits for: a check or its call."""

    def advance(self) -> None:
        """Carry out the checks that are left, then admit or refuse the request."""
        while self.entry is not None and self.position < len(self.checks):
            verdict = self.checks[self.position](self.parts, self.entry)
            self.position += 1
            if isinstance(verdict, LaterVerdict):
                self.cancel_step = verdict.cancel
                verdict.when_given(self._continue)
                return
            if verdict is not None:
                self._end(verdict)
                return
        self._end(None)

    def cancel(self) -> None:
        """Cancel the request after its client has disconnected."""
        self.ends = self.entry = None
        self.cancel_step()

    def _continue(self, refusal: EntryRefusal | None) -> None:
        self.cancel_step = edge.do_nothing
        if refusal is not None:
            self._end(refusal)
        elif self.ends is not None:
            self.advance()

    def _end(self, refusal: EntryRefusal | None) -> None:
        ends, self.ends = self.ends, None
        entry, self.entry = self.entry, None
        if ends is None or entry is None:
            return
        admit, refuse = ends
        if refusal is None:
            self.cancel_step = admit(entry)
        else:
            refuse(refusal)
