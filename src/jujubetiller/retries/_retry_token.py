"""The content of a client retry token."""

import attrs

from jujubetiller import codes


@attrs.frozen
class RetryToken:
    """Permits a client to send a request again with its tree's remaining tokens."""

    token_id: str
    tree_id: str

    tokens: int
    """Retry tokens for the call tree of the client's retry."""

    service: str
    kind: str

    expires_at_ms: int
    """Unix time in milliseconds."""

    unknown_code: codes.ResultCode | None = None
    """Code of an earlier attempt that may have run, or None if none may have."""

    unknown_key: str = ""
    """Digest of the execution key of that attempt; empty if it had none."""
