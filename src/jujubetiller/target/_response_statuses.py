"""The statuses of the responses to one request."""

from jujubetiller import calls

SWITCHING_PROTOCOLS = 101

INTERIM_STATUSES = frozenset(range(100, 200)) - {SWITCHING_PROTOCOLS}
"""Also those that are not known: a client may ignore them (RFC 9110, 15.2)."""

MAX_INTERIM = 32
"""Interim responses before the final one. Targets send one or two, and a progress
report (102) every few seconds at most."""


class ResponseStatuses:
    """Tracks whether the responses to a request can be passed on."""

    def __init__(self) -> None:
        self.is_invalid = False
        """Whether the response can never be passed on."""

        self.interim_count = 0
        """Interim responses to the request in progress."""

    def start_request(self) -> None:
        """Expect the responses to a new request."""
        self.is_invalid = False
        self.interim_count = 0

    def record(self, status: int, has_length: bool) -> None:
        """Record the status of a response whose head is complete.

        101 is invalid, as nothing asked for another protocol. An interim response has
        no body, so one that names a length is meant as the final one.
        """
        if status in INTERIM_STATUSES:
            self.interim_count += 1
            too_many = self.interim_count > MAX_INTERIM
            self.is_invalid = self.is_invalid or too_many or has_length
        elif status not in calls.FINAL_STATUSES:
            self.is_invalid = True
