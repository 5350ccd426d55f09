"""Measures the control exchange of fleets that are too large for processes.

Time, links and the platform are simulated; bytes, memory and processor time are
measured on the real classes of the node. The design scale has 21 zones.
"""

import functools

from bench import control_spread, figures
from jujubetiller import control, frames, settings

NETWORKS = ((5, 20), (21, 20))
"""Zones, and nodes in each."""

TICKETS = 3
FLEET = 4_000
OBJECTS = 1_000

# Entries of typical length in the JSON values that the platform serves.
LIST_ENTRY = (
    b'{"instance": "service-000-00000", "service": "service-000", "zone": "zone-00", '
    b'"host": "255.255.255.255", "peer_port": 65535, "state": "leaving"}, '
)
INDEX_ENTRY = b'"request_kind/service-000-read": 100000, '

TICKET_BOUND_S = 4.0
BYTES_BOUND = 8_000.0


def measure_network(zones: int, nodes_each: int) -> list[figures.Figure]:
    """Measure the spread of tickets and the bytes of one simulated fleet."""
    network = control_spread.start_network(
        {f"zone-{at:02}": nodes_each for at in range(zones)}
    )
    idle = control_spread.measure_idle(network)
    spread_ms, ticket_bytes = control_spread.measure_spread(
        network, range(1, 1 + TICKETS)
    )
    restart_bytes = control_spread.measure_restart(network)
    # In the baseline, tickets spread only by the periodic digests.
    digests_only = control_spread.start_network(
        {f"zone-{at:02}": nodes_each for at in range(zones)}
    )
    digests_only.sends_news = False
    digests_only_ms, _ = control_spread.measure_spread(digests_only, range(1, 2))
    name = f"simulated {zones * nodes_each} nodes in {zones} zones:"
    return [
        figures.Figure(
            f"{name} ticket in force everywhere",
            *(spread_ms / 1000, "s", digests_only_ms / 1000, TICKET_BOUND_S),
        ),
        figures.Figure(
            f"{name} messages of an idle node", idle, "B/s", None, BYTES_BOUND
        ),
        figures.Figure(f"{name} bytes a node for a ticket", ticket_bytes, "B"),
        figures.Figure(f"{name} bytes a node for a restart", restart_bytes, "B"),
    ]


def measure_exchange() -> list[figures.Figure]:
    """Measure processor time at the design scale and memory per entry."""
    small = control_spread.measure_processor(FLEET // 8)
    found = [
        figures.Figure(
            f"control at {FLEET} instances: {name}", time_us, "us", small[name]
        )
        for name, time_us in control_spread.measure_processor(FLEET).items()
    ]
    counts = (FLEET // 8, FLEET // 2, FLEET)
    for entry, load in (
        ("instance", control_spread.load_table),
        ("object", control_spread.load_state),
    ):
        load(10)
        sizes = [
            control_spread.measure_memory(functools.partial(load, count))
            for count in counts
        ]
        slope, _ = figures.fit_slope(counts, sizes)
        found.append(figures.Figure(f"control memory for an {entry}", slope, "B"))
    return found


def measure_join() -> list[figures.Figure]:
    """Return the sizes of a join, records, heartbeats and platform entries."""
    exchange = control_spread.make_exchange(FLEET)
    replies = exchange.receive("service-028-00028", control.Pull({}, {}))
    size = sum(control.measure_message(reply) for reply in replies)
    records = control_spread.make_wire_records(FLEET)
    record_bytes = sum(len(record) for record in records) / len(records)
    encoder = frames.FrameEncoder(settings.StreamSettings().max_frame_bytes)
    heartbeat = [
        encoder.encode(frame) for frame in (frames.Ping(9_999), frames.Pong(9_999))
    ]
    heartbeat_bytes = sum(len(one) for one in heartbeat if isinstance(one, bytes)) / 2
    return [
        figures.Figure("join: bytes that a starting node receives", size, "B"),
        figures.Figure("control bytes for a record", record_bytes, "B"),
        figures.Figure("control bytes for a heartbeat", heartbeat_bytes, "B"),
        figures.Figure("platform list: bytes for an instance", len(LIST_ENTRY), "B"),
        figures.Figure("platform index: bytes for an object", len(INDEX_ENTRY), "B"),
    ]


def measure() -> list[figures.Figure]:
    """Measure everything."""
    found = [*measure_exchange(), *measure_join()]
    for zones, nodes_each in NETWORKS:
        found += measure_network(zones, nodes_each)
    return found


if __name__ == "__main__":
    figures.print_figures(measure())
