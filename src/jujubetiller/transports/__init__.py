"""Writing to Twisted transports without an extra reactor turn."""

from jujubetiller.transports._send_now import send_now

__all__ = ["send_now"]
