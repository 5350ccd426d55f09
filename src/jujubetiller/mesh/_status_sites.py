"""The sites for readiness and metrics."""

from collections.abc import Callable

from jujubetiller import codes, edge
from jujubetiller.mesh import _mesh_parts

_METRICS_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
_JSON_TYPE = ("Content-Type", "application/json")


class StatusSite(edge.EdgeHandler):
    """Answers requests for any path with the reply that ``make_reply`` returns."""

    def __init__(self, make_reply: Callable[[], edge.EdgeReply]) -> None:
        self.make_reply = make_reply

    def is_draining(self) -> bool:
        """Return False, as the platform polls over one connection during a drain."""
        return False

    def refuse(self, code: codes.ResultCode, detail: str) -> edge.EdgeReply:
        """Return the answer to a malformed request."""
        return edge.EdgeReply(400, [], f"{code.value} {detail}\n".encode())

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Answer immediately."""
        reply(self.make_reply())
        return edge.do_nothing


def make_readiness(parts: _mesh_parts.MeshParts) -> edge.EdgeReply:
    """Return 200, or 503 with the result code that a request would get."""
    code = codes.ResultCode.ANSWERED
    if parts.state.draining:
        code = codes.ResultCode.DRAINING
    elif not parts.is_ready():
        code = codes.ResultCode.NOT_READY
    is_ready = code is codes.ResultCode.ANSWERED
    body = f'{{"ready": {str(is_ready).lower()}, "reason": "{code.name}"}}\n'
    return edge.EdgeReply(200 if is_ready else 503, [_JSON_TYPE], body.encode())


def make_metrics(parts: _mesh_parts.MeshParts) -> edge.EdgeReply:
    """Return all metrics in the text format of Prometheus."""
    return edge.EdgeReply(200, [_METRICS_TYPE], parts.metrics.render())
