"""Memory for data that arrives in parts."""

from jujubetiller.buffers._body_buffer import BodyBuffer

__all__ = ["BodyBuffer"]
