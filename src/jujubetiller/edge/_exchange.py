"""One request of a connection and its answer."""

from collections.abc import Callable

import attrs

from jujubetiller.edge import _edge_reply


@attrs.define(eq=False)
class Exchange:
    """A request whose answer is not written yet."""

    method: bytes
    keep_alive: bool
    """Whether the client keeps the connection for further requests."""

    held_bytes: int = 0
    """Memory of the request's head and body until it is answered."""

    reply: _edge_reply.EdgeReply | None = None
    """The answer, held until all earlier requests are answered."""

    cancel: Callable[[], None] | None = None
