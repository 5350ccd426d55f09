"""Handling of the HTTP requests with which the own target makes calls."""

from collections.abc import Callable

import result

from jujubetiller import codes, edge, retries, tickets
from jujubetiller.node import _nested_call, _site

_Code = codes.ResultCode


class ServiceSite(_site.Site):
    """Starts nested calls in the context of the call that the target is running."""

    def start_call(
        self,
        message: edge.EdgeMessage,
        kind: tickets.RequestKind,
        path: str,
        deadline_ms: float,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Start a nested call, or a call tree without retry tokens.

        The latter is for requests that carry no context.
        """
        context = self.find_context(message)
        if isinstance(context, result.Err):
            self.refuse_message(message, context.err_value, reply)
            return edge.do_nothing
        request = _site.make_request(message, kind, path)
        nested_call = _nested_call.NestedCall(
            self.parts, context.ok_value, kind, request, deadline_ms, reply
        )
        # A running call may still make nested calls while the node drains.
        code = None if context.ok_value is not None else self.find_blocking_code()
        nested_call.start(code)
        return nested_call.cancel

    def find_context(
        self, message: edge.EdgeMessage
    ) -> result.Result[retries.CallContext | None, codes.Problem]:
        """Return the context named in the request, or ``None`` if it names none."""
        context_id = message.control.get(edge.CONTEXT_HEADER)
        if context_id is None:
            return result.Ok(None)
        context = self.parts.contexts.find(context_id)
        if context is None:
            return result.Err(
                codes.Problem(
                    _Code.BAD_CONTEXT,
                    "Jujubetiller-Context",
                    "allowed are contexts of calls that run at this node's target",
                )
            )
        return result.Ok(context)
