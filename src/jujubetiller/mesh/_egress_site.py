"""The listener for clients and for the target on the same VM."""

import functools
from collections.abc import Callable

from jujubetiller import calls, codes, edge, routes
from jujubetiller.mesh import (
    _egress_call,
    _entry_request,
    _entry_run,
    _mesh_parts,
    _replies,
)

_MAX_DEADLINE_DIGITS = 9


class EgressSite(edge.EdgeHandler):
    """Finds the route of each request and starts its call."""

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts

    def is_draining(self) -> bool:
        """Return whether connections are to be closed after their current answer."""
        return self.parts.state.draining

    def refuse(self, code: codes.ResultCode, detail: str) -> edge.EdgeReply:
        """Return the answer to a request that the listener refuses."""
        return _replies.render_refusal(code, detail, self.parts.random)

    def refuse_entry(self, refusal: _entry_request.EntryRefusal) -> edge.EdgeReply:
        """Return the answer to a request that a check refuses."""
        return _replies.render_refusal(
            refusal.code, refusal.detail, self.parts.random, refusal.pause
        )

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Start the call of a request, or refuse it."""
        run = _entry_run.EntryRun(
            self.parts,
            _entry_request.EntryRequest(message),
            functools.partial(self.admit, reply),
            lambda refusal: reply(self.refuse_entry(refusal)),
        )
        run.advance()
        return run.cancel

    def admit(
        self,
        reply: Callable[[edge.EdgeReply], None],
        entry: _entry_request.EntryRequest,
    ) -> Callable[[], None]:
        """Start the call of a request that passed the checks."""
        message, route, throttle = entry.message, entry.route, entry.throttle
        assert route is not None
        assert throttle is not None
        deadline = self.find_deadline(message, route)
        call = _egress_call.EgressCall(
            self.parts, message, route, deadline, reply, throttle, entry.holder
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
