"""Handling of clients' HTTP requests."""

from collections.abc import Callable

import result

from jujubetiller import codes, edge, keys, retries, tickets
from jujubetiller.node import (
    _client_call,
    _key_site,
    _node_parts,
    _site,
)

_Code = codes.ResultCode
_KEYS_PREFIX = "/_keys/"


class EdgeSite(_site.Site):
    """Starts a call tree for each client request and mints execution keys."""

    def __init__(self, parts: _node_parts.NodeParts) -> None:
        super().__init__(parts)
        self.key_site = _key_site.KeySite(parts)

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Handle a request for an execution key, or start a call."""
        if message.path.startswith(_KEYS_PREFIX):
            return self.key_site.handle(
                message.method, message.path.removeprefix(_KEYS_PREFIX), reply
            )
        return super().handle(message, reply)

    def start_call(
        self,
        message: edge.EdgeMessage,
        kind: tickets.RequestKind,
        path: str,
        deadline_ms: float,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Start the call tree of a client's request."""
        caller_key = self.read_key(message, kind)
        if isinstance(caller_key, result.Err):
            reply(self.refuse_unkeyed(message, caller_key.err_value))
            return edge.do_nothing
        token = self.read_token(message, kind)
        if isinstance(token, result.Err):
            self.refuse_message(message, token.err_value, reply)
            return edge.do_nothing
        request = _site.make_request(message, kind, path)
        client_call = _client_call.ClientCall(
            self.parts,
            kind,
            request,
            deadline_ms,
            reply,
            caller_key.ok_value,
            token.ok_value,
        )
        client_call.start(self.find_blocking_code())
        return client_call.cancel

    def read_key(
        self, message: edge.EdgeMessage, kind: tickets.RequestKind
    ) -> result.Result[keys.ExecutionKey | None, codes.Problem]:
        """Return the client's execution key after checking that it is for ``kind``."""
        text = message.control.get(edge.KEY_HEADER)
        if text is None:
            return result.Ok(None)
        verified = self.parts.key_signer.verify(text)
        if isinstance(verified, result.Err):
            return verified
        key = verified.ok_value
        if (key.service, key.kind) != (kind.service, kind.name):
            return result.Err(
                codes.Problem(
                    _Code.BAD_KEY,
                    "Jujubetiller-Key",
                    "allowed are keys that were minted for this request kind",
                )
            )
        return result.Ok(key)

    def read_token(
        self, message: edge.EdgeMessage, kind: tickets.RequestKind
    ) -> result.Result[retries.RetryToken | None, codes.Problem]:
        """Return the client's retry token and mark it as used."""
        text = message.control.get(edge.RETRY_TOKEN_HEADER)
        if text is None:
            return result.Ok(None)
        return self.parts.client_retries.redeem(text, kind.service, kind.name)
