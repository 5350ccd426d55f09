"""The concurrency limit of a target."""

import attrs


@attrs.frozen
class LimitView:
    """The concurrency limit of a node and its current use."""

    policy: str
    limit: int
    slots: int
    in_flight: int
    queue_length: int
