"""Handling of clients' requests for execution keys."""

import json
from collections.abc import Callable

import result

from jujubetiller import codes, edge, keys, routing, streams, tickets
from jujubetiller.node import _node_parts, _replies

_Code = codes.ResultCode


class KeySite:
    """Answers ``POST /_keys/<kind>`` with a key whose owner is reachable."""

    def __init__(self, parts: _node_parts.NodeParts) -> None:
        self.parts = parts

    def handle(
        self, method: str, kind_name: str, reply: Callable[[edge.EdgeReply], None]
    ) -> Callable[[], None]:
        """Choose an instance and mint a key once a stream to it is open."""
        kind = self.parts.tickets.request_kinds.get(kind_name)
        if kind is None or method != "POST":
            detail = "allowed is POST /_keys/<request kind in force>"
            reply(_replies.render_refusal(_Code.UNKNOWN_REQUEST_KIND, detail))
            return edge.do_nothing
        chosen = self.parts.router.choose(kind.service)
        if isinstance(chosen, result.Err):
            reply(_replies.render_refusal(chosen.err_value))
            return edge.do_nothing
        instance = chosen.ok_value
        if instance.instance == self.parts.settings.instance:
            epoch = self.parts.executions.epochs.current()
            reply(self.mint(kind, instance, self.parts.state.boot_id, epoch))
            return edge.do_nothing

        def connected(identity: streams.PeerIdentity | None) -> None:
            if identity is None or identity.instance != instance.instance:
                self.parts.router.mark_unreachable(instance)
                reply(_replies.render_refusal(_Code.PEER_UNREACHABLE))
            else:
                reply(self.mint(kind, instance, identity.boot_id, identity.key_epoch))

        self.parts.pool.connect(
            instance.address,
            self.parts.settings.streams.connect_timeout_ms,
            connected,
        )
        return edge.do_nothing

    def mint(
        self,
        kind: tickets.RequestKind,
        instance: routing.RoutableInstance,
        boot_id: str,
        epoch: int,
    ) -> edge.EdgeReply:
        """Return the HTTP answer with a new key that ``instance`` owns."""
        text, key = self.parts.key_signer.mint(
            self.parts.random,
            kind.service,
            kind.name,
            instance.instance,
            boot_id,
            epoch,
        )
        return _render_key(text, key)


def _render_key(text: str, key: keys.ExecutionKey) -> edge.EdgeReply:
    body = {"key": text, "kind": key.kind, "owner": key.owner_instance}
    return edge.EdgeReply(
        status=200,
        headers=[
            ("Content-Type", "application/json"),
            ("Jujubetiller-Code", "0"),
            ("Jujubetiller-Outcome", codes.Outcome.ANSWERED.value),
            ("Jujubetiller-Key", text),
        ],
        body=json.dumps(body).encode() + b"\n",
    )
