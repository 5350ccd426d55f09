"""Counts of tokens and refusals."""

import attrs


@attrs.define
class QuotaCounters:
    """What a node has done with tokens since it started."""

    granted: float = 0.0
    """Tokens that this node got from coordinators."""

    used: int = 0
    """Tokens with which requests of this node were admitted."""

    given_back: int = 0
    """Tokens of requests that did not run, which could still be used."""

    refused: int = 0
    """Requests that got no token."""

    over_bound: int = 0
    """Refusals because too many requests waited for tokens of the team."""

    granted_to_nodes: float = 0.0
    """Tokens that this node granted to nodes of its zone, itself included."""

    granted_to_zones: float = 0.0
    """Tokens that this node granted to coordinators of other zones."""

    borrowed: float = 0.0
    """Tokens that this node got from coordinators of other zones."""

    questions: int = 0
    """Questions sent to other nodes."""

    unanswered: int = 0
    """Questions without an answer in time."""

    rejected: int = 0
    """Messages that could not be decoded."""
