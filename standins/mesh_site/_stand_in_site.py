"""What the listeners of the stand-ins have in common."""

from jujubetiller import codes, edge


class StandInSite(edge.EdgeHandler):
    """Keeps its connections, and refuses what is no request."""

    def is_draining(self) -> bool:
        """Return False."""
        return False

    def refuse(self, code: codes.ResultCode, detail: str) -> edge.EdgeReply:
        """Return the answer to bytes that are no request."""
        return edge.EdgeReply(400, [], detail.encode())
