"""Limits of the requests of clients."""

import attrs


@attrs.frozen
class RequestBounds:
    """The limits of one request and of its connection."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0
