"""The roles of a node, as rows of the capacity page."""

from bench import capacity_model, capacity_team_rows

HEADER = ("role", "state", "messages", "processor", "memory", "mechanism")


def make_rows(model: capacity_model.CapacityModel) -> list[tuple[str, ...]]:
    """Return a row for each role."""
    scale = model.scale
    calls = scale.calls_per_node
    streams = scale.own_zone_streams
    platform_bytes = model.reader_bytes_per_s * scale.readers
    return [
        (
            "entry node",
            "pressure and latency by service and kind, open calls",
            f"{calls:.0f} calls/s out: {scale.client_calls_per_node:.0f} from clients "
            f"and {calls - scale.client_calls_per_node:.0f} nested ones of its own "
            "target if all trees are "
            f"{scale.depth} deep; all from clients if none is nested",
            f"{calls * model.entry_us / 1e4:.1f}% of a core "
            f"({model.entry_us:.0f} us a call)",
            f"up to {streams:.0f} streams out, "
            f"{streams * model.measured['idle stream opened: memory'] / 1000:.1f} MB",
            "own zone first, two random choices, early refusal by pressure",
        ),
        (
            "node beside a target",
            "limit, queue, contexts, execution table",
            f"{calls:.0f} calls/s in",
            f"{calls * model.peer_us / 1e4:.1f}% of a core "
            f"({model.peer_us:.0f} us a call)",
            f"up to {calls * 60:,.0f} keys an epoch if every call has one "
            "(bound 50,000); 143 B a key (docs/decisions/keys.md)",
            "limit from latency, priority queue, keys bound to the process",
        ),
        (
            "the same, for a target that names a rate limit",
            "a token bucket here, and a share at each node that calls it",
            "none of its own: an answer has 11 B more (19 B with a limit), a call 1 B "
            "(9 B if its sender knows a limit)",
            "1.3 us a call for headers and rates, 1.1 us more while there is a limit",
            "two meters and one bucket; a share is kept with an instance's latency",
            "all calls pass here, so one node counts for the fleet; callers follow the "
            "factor in its answers (docs/incidents/0007)",
        ),
        (
            "the same, after a crash of its target",
            "up to 256 reports of crashes, 9 kB each if 200 requests were running",
            "to each of the other 20 nodes of the service: 1.9 kB a crash with 200 "
            "running requests, 23 B for each begin and end of a trial; a comparison of "
            "some bytes a second while a crash is known",
            "0.4 us a call while no crash is known, 9.4 us while one is",
            "2.3 MB for 256 unexplained crashes with 200 requests each; an explained "
            "one keeps a single fingerprint",
            "only nodes of one service need to know; nothing for the rest of the fleet "
            "(docs/incidents/0011)",
        ),
        (
            "node that asks a reader of the users' store",
            "who of its zone reads, as far as it knows; published items as below",
            "one request and its answer in 0.35 of the time in which a configuration "
            "must be in force; 4.3 frames/s and 226 B/s received at 60 simulated nodes "
            "in 5 zones, 7.2 and 300 at 20 (there, half of the nodes read)",
            "1.8 ms for a changed instance at 195 before its service alone was "
            "updated, 0.9 ms since",
            "one entry for each node of its zone",
            "rendezvous order of the zone (docs/decisions/store-readers.md)",
        ),
        (
            "reader of the users' store",
            "the same",
            f"10 readers of 5 zones at 20, 60 and 200 simulated nodes, so "
            f"{scale.readers} at {scale.zones} zones; a watch each 4 s (of the primary "
            "reader each 1.4 to 1.8 s), and one in 0.2 to 1 s while there are changes; "
            "a change costs 6 messages in its zone and "
            f"{scale.zones - 1} to other zones",
            "not measured apart",
            "the same",
            "two of a zone; push along a tree of fan-out 6, rounds as the safety net",
        ),
        *capacity_team_rows.ROWS,
        (
            "reader of the platform",
            "versions of the index, its zone's list and the list of zones",
            f"{scale.watches_per_reader / scale.watch_s:.1f} watches/s; receives "
            f"{model.reader_bytes_per_s:,.0f} B/s, of it the whole index "
            f"({model.index_bytes / 1000:.0f} KB at {scale.objects:,} objects) for "
            "each ticket",
            "not measured apart; part of the idle process below",
            f"{model.index_bytes / 1e6:.2f} MB while an index is read",
            f"{scale.readers_per_zone} by rendezvous hash in each zone, "
            f"{scale.readers} in all",
        ),
        (
            "ordinary node in the control exchange",
            f"{scale.nodes:,} records, {scale.objects:,} objects",
            f"sends {model.exchange_bytes_per_s:,.0f} B/s of messages, and "
            f"{model.heartbeat_bytes_per_s(streams):,.0f} B/s of heartbeats on "
            f"{streams:.0f} idle streams each way",
            f"{model.control_percent:.3f}% of a core for the exchange; the idle "
            f"process took {model.process_percent:.2f}% in a fleet of 48, and "
            f"{streams:.0f} idle streams each way add "
            f"{model.streams_percent(streams):.2f}%",
            f"{model.state_mb:.1f} MB of tickets and membership",
            f"digests to {scale.neighbours} neighbours a second, pushes of news",
        ),
        (
            "platform",
            f"an index of {model.index_bytes / 1000:.0f} KB, {scale.zones} lists",
            f"{scale.watch_reads_per_s:.0f} watches/s and "
            f"{scale.tickets_per_s * scale.readers:.1f} ticket reads/s of "
            f"{scale.reads_per_s:,.0f} reads/s allowed; sends "
            f"{platform_bytes / 1000:,.0f} KB/s",
            "outside the product",
            "outside the product",
            "watches that wait; nothing is written",
        ),
    ]
