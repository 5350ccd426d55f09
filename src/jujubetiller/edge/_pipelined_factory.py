"""The factory of connections whose requests are handled at once."""

from typing import Any

from jujubetiller import clock
from jujubetiller.edge import _edge_factory, _edge_handler, _pipelined_connection

MAX_HEAD_BYTES = 65_536


class PipelinedFactory(_edge_factory.EdgeFactory):
    """Builds connections that handle several requests of a client at once."""

    protocol = _pipelined_connection.PipelinedConnection  # type: ignore[assignment]

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        handler: _edge_handler.EdgeHandler,
        max_body_bytes: int,
        max_connections: int,
        pipeline_depth: int = 8,
        max_head_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        super().__init__(reactor, time_source, handler, max_body_bytes, max_connections)
        self.pipeline_depth = pipeline_depth
        self.max_head_bytes = max_head_bytes
