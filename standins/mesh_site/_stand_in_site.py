"""The base class of the stand-ins' request handlers."""

from jujubetiller import codes, edge


class StandInSite(edge.EdgeHandler):
    """Never drains, and answers 400 to input that is not an HTTP request."""

    def is_draining(self) -> bool:
        """Return False: connections are always kept open."""
        return False

    def refuse(self, code: codes.ResultCode, detail: str) -> edge.EdgeReply:
        """Return the answer to input that is not a valid request."""
        return edge.EdgeReply(400, [], detail.encode())
