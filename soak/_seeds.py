"""Seeds that failed once, each with its cause."""

FAILED_SEEDS = (
    4,  # SIGHUP ended a node that was still starting
    9,  # the same, and SIGTERM, while planned work alone was played
    16,  # SIGTERM ended a node that was still starting as if it had failed
)
