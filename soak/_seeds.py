"""Seeds that failed in the past, each with its cause."""

SEEDS_BEFORE_NOTICES = (
    4,  # SIGHUP ended a node that was still starting
    9,  # the same, and SIGTERM, with planned operations only
    16,  # a node that got SIGTERM while it was starting exited as failed
    24,  # a request was abandoned for an unreachable instance or by a stopping node
    39,  # the exit of a node that was still starting was lost in a finalizer
)
"""They failed before instances could name limits or say that they leave."""

SEEDS_BEFORE_RESTORES = (
    231,  # a node that was starting read half-written settings and exited
)
"""They failed before stores were restored from copies."""

SEEDS_BEFORE_CRASHES: tuple[int, ...] = ()
"""They failed before there were requests that crash instances."""

FAILED_SEEDS = (
    *SEEDS_BEFORE_NOTICES,
    *SEEDS_BEFORE_RESTORES,
    *SEEDS_BEFORE_CRASHES,
)

# Seeds 26, 27, 29 and 32 failed by the cause of seed 16. Seed 33 sent a signal before
# the interpreter ran the first line of the program, which no program can handle.
