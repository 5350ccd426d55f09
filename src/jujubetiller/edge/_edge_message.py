"""A request as it arrived at a listener."""

import attrs


@attrs.define
class EdgeMessage:
    """A complete HTTP request."""

    method: str

    path: str
    """Path and query, starting with a slash."""

    headers: tuple[tuple[str, str], ...]
    """End-to-end headers, forwarded to the target, without the Jujubetiller headers."""

    control: dict[str, str]
    """Jujubetiller headers, by lower-case name."""

    body: bytes
