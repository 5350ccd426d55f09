"""Counts of tokens and refusals."""

import attrs


@attrs.define
class QuotaCounters:
    """What a node has done with tokens since it started."""

    granted: float = 0.0
    """Tokens that this node got from coordinators."""

    used: int = 0
    given_back: int = 0
    refused: int = 0
    over_bound: int = 0
    """Refusals because too many requests waited for tokens of the team."""

    granted_to_nodes: float = 0.0
    granted_to_zones: float = 0.0
    borrowed: float = 0.0
    questions: int = 0
    unanswered: int = 0
    rejected: int = 0
    """Messages that could not be decoded."""
