"""Names of the headers that callers, nodes and instances exchange."""

import attrs

from jujubetiller import notices


@attrs.frozen
class HeaderNames:
    """Header names in lower case, as callers and targets of the node use them."""

    request_id: str
    """Identifies one request of a client; targets return it in their response."""

    deadline_ms: str
    """Milliseconds that the sender will wait."""

    server_stamp: str
    """Marks a response that the target itself produced."""

    expected_instance: str
    """The only instance that may run the request."""

    not_run: str
    """States that the instance did not run the request."""

    caller_service: str
    """The service on the VM of the entry node."""

    team: str
    """The team that sent the request; only nodes set it."""

    authorization: str
    """The header in which a client sends its API key."""

    notices: notices.NoticeNames
    """Headers in which a target describes its own state."""
