"""The moments of a graceful shutdown."""

import attrs

REFUSE_PEERS_MS = 2_200.0
"""Peers send calls until then. This is earlier than for clients, so that the calls
which the target makes for its last requests are still accepted."""

REFUSE_CLIENTS_MS = 2_800.0
"""Clients have detected the stop by then: the platform takes out a node that has failed
two readiness checks, a second apart."""

END_MARGIN_MS = 600.0
"""Time to write the last answers and to exit before the platform kills the process."""

MAX_REFUSE_PEERS_SHARE = 0.4
MAX_REFUSE_CLIENTS_SHARE = 0.5
MAX_END_MARGIN_SHARE = 0.1
"""Bounds, as parts of the grace period, for grace periods that are short."""


@attrs.frozen
class DrainTimes:
    """When a draining node changes what it accepts, in ms from the start of the drain.

    What clients and peers need in order to detect the stop does not depend on the
    grace period. A longer one only leaves more time for the requests in flight.
    """

    refuse_peers_ms: float
    refuse_clients_ms: float
    end_ms: float
    """When the requests that are still in flight are ended."""


def plan_drain(grace_ms: float) -> DrainTimes:
    """Return the times for a process that is killed ``grace_ms`` after its SIGTERM."""
    margin_ms = min(END_MARGIN_MS, MAX_END_MARGIN_SHARE * grace_ms)
    return DrainTimes(
        refuse_peers_ms=min(REFUSE_PEERS_MS, MAX_REFUSE_PEERS_SHARE * grace_ms),
        refuse_clients_ms=min(REFUSE_CLIENTS_MS, MAX_REFUSE_CLIENTS_SHARE * grace_ms),
        end_ms=grace_ms - margin_ms,
    )
