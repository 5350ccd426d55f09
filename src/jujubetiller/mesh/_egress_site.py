"""The listener for clients and for the target on the same VM."""

from collections.abc import Callable

from jujubetiller import calls, codes, edge, routes
from jujubetiller.mesh import _egress_call, _ingress_call, _mesh_parts, _replies

_Code = codes.ResultCode
_MAX_DEADLINE_DIGITS = 9


class EgressSite(edge.EdgeHandler):
    """Finds the route of each request and starts its call."""

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts

    def is_draining(self) -> bool:
        """Return whether connections are to be closed after their current answer."""
        return self.parts.state.draining

    def refuse(self, code: codes.ResultCode, detail: str) -> edge.EdgeReply:
        """Return the answer to a request that starts no call."""
        return _replies.render_refusal(code, detail, self.parts.random)

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Start the call of a request, or refuse it."""
        if not self.parts.is_ready():
            reply(self.refuse(_Code.NOT_READY, "no configuration has been read yet"))
            return edge.do_nothing
        host = _ingress_call.find_header(message.headers, "host") or ""
        route = self.parts.configuration.table.find(host, message.path)
        if route is None:
            reply(self.refuse(_Code.NO_ROUTE, f"host {host!r}, path {message.path!r}"))
            return edge.do_nothing
        call = _egress_call.EgressCall(
            self.parts, message, route, self.find_deadline(message, route), reply
        )
        call.start()
        return call.cancel

    def find_deadline(
        self, message: edge.EdgeMessage, route: routes.Route
    ) -> calls.Deadline:
        """Return the earlier of the client's deadline and the route's timeout."""
        left_ms = route.timeout_ms
        text = message.control.get(self.parts.headers.deadline_ms, "")
        if text.isascii() and text.isdigit() and len(text) <= _MAX_DEADLINE_DIGITS:
            left_ms = min(left_ms, float(text))
        return calls.Deadline.after(self.parts.clock, left_ms)
