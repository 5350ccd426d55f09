"""What one node recorded about one call."""

import attrs


@attrs.frozen
class HopRecord:
    """Holds the facts that decided how a call ended at one node."""

    instance: str
    service: str

    rule: str
    """Name of the rule that decided, for example ``queue`` or ``pressure``."""

    code: int
    """Result code number."""

    wait_ms: float = 0.0
    """Time in the queue."""

    run_ms: float = 0.0
    """Time at the target, its nested calls included."""

    limit: int = 0
    """Concurrency limit in force."""

    in_flight: int = 0
    queue_length: int = 0
    deadline_left_ms: float = 0.0
    ticket_number: int = 0
    attempts: int = 1

    platform_age_ms: float = -1.0
    """Time since the platform last answered a reader of the node's zone.

    It is negative if the node knows of no answer.
    """

    depth: int = 0
