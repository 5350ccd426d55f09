"""The checks of a client's request at its entry node."""

from collections.abc import Callable

import attrs
import result

from jujubetiller import codes, edge, routes
from jujubetiller.mesh import _ingress_call, _key_check, _mesh_parts

_Code = codes.ResultCode


@attrs.define
class EntryRequest:
    """A client's request, with what the checks have found out about it."""

    message: edge.EdgeMessage
    route: routes.Route | None = None
    holder: _key_check.KeyHolder | None = None


@attrs.frozen
class EntryRefusal:
    """Why a request does not run."""

    code: codes.ResultCode
    detail: str = ""


class LaterVerdict:
    """The verdict of a check that answers later.

    The check calls ``give`` once, with None to admit the request. ``cancel`` is called
    if the client goes away before.
    """

    def __init__(self, cancel: Callable[[], None] = edge.do_nothing) -> None:
        self.cancel = cancel
        self.given: Callable[[EntryRefusal | None], None] | None = None

    def give(self, refusal: EntryRefusal | None) -> None:
        """Continue with the next check, or refuse the request."""
        given, self.given = self.given, None
        if given is not None:
            given(refusal)


Verdict = EntryRefusal | LaterVerdict | None
Check = Callable[[_mesh_parts.MeshParts, EntryRequest], Verdict]


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


CHECKS: tuple[Check, ...] = (check_ready, check_route, check_key)
"""The checks in their order, cheapest and most certain first."""


class EntryRun:
    """Takes one request through the checks; one of them may answer later."""

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        entry: EntryRequest,
        admit: Callable[[EntryRequest], Callable[[], None]],
        refuse: Callable[[EntryRefusal], None],
        checks: tuple[Check, ...] = CHECKS,
    ) -> None:
        self.parts = parts
        self.entry = entry
        self.admit = admit
        self.refuse = refuse
        self.checks = checks
        self.position = 0
        self.cancel_step: Callable[[], None] = edge.do_nothing
        """Cancels what the request waits for: a check or its call."""

        self.is_cancelled = False

    def advance(self) -> None:
        """Carry out the checks that are left, then admit or refuse the request."""
        while self.position < len(self.checks):
            verdict = self.checks[self.position](self.parts, self.entry)
            self.position += 1
            if isinstance(verdict, LaterVerdict):
                verdict.given = self._continue
                self.cancel_step = verdict.cancel
                return
            if verdict is not None:
                self.refuse(verdict)
                return
        self.cancel_step = self.admit(self.entry)

    def cancel(self) -> None:
        """Cancel the request after its client has disconnected."""
        self.is_cancelled = True
        self.cancel_step()

    def _continue(self, refusal: EntryRefusal | None) -> None:
        self.cancel_step = edge.do_nothing
        if self.is_cancelled:
            return
        if refusal is not None:
            self.refuse(refusal)
            return
        self.advance()
