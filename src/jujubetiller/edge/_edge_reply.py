"""The answer to an HTTP request."""

import attrs


@attrs.define
class EdgeReply:
    """A complete HTTP answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
