"""Settings of the API keys of teams."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class TeamSettings:
    """How long a node may rely on what it knows of API keys."""

    has_strict_revocation: bool = False
    """Whether no request may run with a key that was revoked ``revocation_ms`` before
    its client sent it, whatever the node that it entered at can reach."""

    revocation_ms: int = _fields.whole_number(5_000, 500, 600_000)
    """The longest time in milliseconds for which a revoked key may be used."""

    configuration_ms: int = _fields.whole_number(2_000, 100, 600_000)
    """The time in milliseconds within which a configuration, and each new key in it, is
    known to all nodes that reach the store."""
