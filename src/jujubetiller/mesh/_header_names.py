"""Names of the headers that callers, nodes and instances exchange."""

import attrs


@attrs.frozen
class HeaderNames:
    """Header names in lower case, as the environment of a node spells them."""

    request_id: str
    """Identifies one request of a client; instances repeat it."""

    deadline_ms: str
    """Milliseconds that the sender will wait."""

    server_stamp: str
    """Proves that an instance gave the response."""

    expected_instance: str
    """The only instance that may run the request."""

    not_run: str
    """States that the instance did not run the request."""

    caller_service: str
    """The service on the VM where the request began."""
