"""Request handling that the HTTP listeners of a node share."""

import abc
from collections.abc import Callable

import result

from jujubetiller import calls, codes, edge, tickets
from jujubetiller.node import _explanations, _node_parts, _owners, _replies

_Code = codes.ResultCode

# Request kinds are defined by tickets, so before a node has read its tickets, it can't
# know whether a path is valid.
_NOT_READY = codes.Problem(
    _Code.NOT_READY, "path", "the node has not read its tickets yet"
)


class Site(edge.EdgeHandler):
    """Finds the request kind of an HTTP request and starts the call."""

    def __init__(self, parts: _node_parts.NodeParts) -> None:
        self.parts = parts

    def is_draining(self) -> bool:
        """Return whether connections are to be closed after their answer."""
        return self.parts.state.draining

    def refuse(self, code: codes.ResultCode, detail: str) -> edge.EdgeReply:
        """Return the HTTP answer for a request that started no call."""
        return _replies.render_refusal(code, detail)

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Find the request kind, check the deadline and start the call."""
        found = self.find_kind(message)
        if isinstance(found, result.Err):
            problem = found.err_value if self.parts.state.ready else _NOT_READY
            self.refuse_message(message, problem, reply)
            return edge.do_nothing
        kind, path = found.ok_value
        deadline_ms = self.parse_deadline(message, kind)
        if isinstance(deadline_ms, result.Err):
            self.refuse_message(message, deadline_ms.err_value, reply)
            return edge.do_nothing
        return self.start_call(message, kind, path, deadline_ms.ok_value, reply)

    @abc.abstractmethod
    def start_call(
        self,
        message: edge.EdgeMessage,
        kind: tickets.RequestKind,
        path: str,
        deadline_ms: float,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Start the call for a request; return the function that cancels it."""

    def refuse_message(
        self,
        message: edge.EdgeMessage,
        problem: codes.Problem,
        reply: Callable[[edge.EdgeReply], None],
    ) -> None:
        """Refuse an invalid request, after sealing its key if it carries one.

        The seal is needed because the request may be a duplicate of one that runs
        under the same key.
        """
        text = message.control.get(edge.KEY_HEADER, "")
        verified = self.parts.key_signer.verify(text) if text else None

        def end(answer: calls.CallAnswer) -> None:
            refused = codes.Problem(answer.code, problem.field, problem.message)
            reply(self.refuse_unkeyed(message, refused))

        _owners.refuse_after_seal(
            self.parts,
            verified.ok_value if isinstance(verified, result.Ok) else None,
            text,
            calls.make_refusal(problem.code),
            end,
        )

    def refuse_unkeyed(
        self, message: edge.EdgeMessage, problem: codes.Problem
    ) -> edge.EdgeReply:
        """Return the refusal, with a call record, of a request that started no call.

        The request must carry no key that may still run.
        """
        refusal = self.refuse(problem.code, f"{problem.field}: {problem.message}")
        request = calls.CallRequest(
            service=message.path[1:].partition("/")[0],
            method=message.method,
            path=message.path,
            kind="",
            priority_class=0,
            rank=0,
            idempotent=False,
            deadline_left_ms=0.0,
        )
        answer = calls.make_refusal(problem.code)
        record = _explanations.make_record(self.parts, request, answer, 0.0, 0.0)
        refusal.headers.append(("Jujubetiller-Record", record))
        return refusal

    def find_kind(
        self, message: edge.EdgeMessage
    ) -> result.Result[tuple[tickets.RequestKind, str], codes.Problem]:
        """Return the request kind and the path that follows the service name."""
        service, slash, rest = message.path[1:].partition("/")
        path = f"/{rest}" if slash else "/"
        state = self.parts.tickets
        kind = state.find_request_kind(service, message.method, path)
        if kind is not None:
            return result.Ok((kind, path))
        if service not in state.services:
            detail = "allowed are services that a ticket in force describes"
            return result.Err(codes.Problem(_Code.UNKNOWN_SERVICE, "path", detail))
        detail = "allowed are methods and paths that a request kind describes"
        return result.Err(codes.Problem(_Code.UNKNOWN_REQUEST_KIND, "path", detail))

    def parse_deadline(
        self, message: edge.EdgeMessage, kind: tickets.RequestKind
    ) -> result.Result[float, codes.Problem]:
        """Return the time left in milliseconds, at most the kind's deadline."""
        text = message.control.get(edge.DEADLINE_HEADER)
        if text is None:
            return result.Ok(float(kind.deadline_ms))
        if not text.isascii() or not text.isdigit() or len(text) > 9:
            detail = "allowed are whole numbers of milliseconds"
            return result.Err(
                codes.Problem(_Code.BAD_DEADLINE, "Jujubetiller-Deadline-Ms", detail)
            )
        return result.Ok(float(min(int(text), kind.deadline_ms)))

    def find_blocking_code(self) -> codes.ResultCode | None:
        """Return the code that refuses all new calls at present, or ``None``."""
        state = self.parts.state
        if state.draining:
            return _Code.DRAINING
        if not state.ready:
            return _Code.NOT_READY
        if state.calls_under_way >= self.parts.settings.limits.max_calls:
            return _Code.TOO_MANY_CALLS
        return None


def make_request(
    message: edge.EdgeMessage, kind: tickets.RequestKind, path: str
) -> calls.CallRequest:
    """Return the call for an HTTP request, as the root of a call tree."""
    return calls.CallRequest(
        service=kind.service,
        method=message.method,
        path=path,
        kind=kind.name,
        priority_class=kind.priority_class,
        rank=0,
        idempotent=kind.idempotent,
        deadline_left_ms=0.0,
        key=message.control.get(edge.KEY_HEADER, ""),
        headers=message.headers,
        body=message.body,
    )
