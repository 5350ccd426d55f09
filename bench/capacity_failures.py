"""The failure days, as rows of the capacity page."""

from bench import capacity_model

HEADER = ("day", "during", "the moment after", "carried")

PUSH_WINDOW_S = 4.0
"""Updates about a failure should reach all nodes as fast as a ticket does."""

SUSPECT_S = 1.5

TAKEOVER_S = 2.5

STORE_PAGES = 8
"""Pages of a listing of 4,000 instances; a page has 500."""


def _describe_loss(
    model: capacity_model.CapacityModel, zones: int, name: str
) -> tuple[str, ...]:
    scale = model.scale
    lost = scale.nodes_per_zone * zones
    rate = scale.calls_per_s / (scale.nodes - lost)
    burst = model.news_bytes(lost) / PUSH_WINDOW_S
    ratio = burst / scale.control_bytes_per_s
    spread_s = model.news_bytes(lost) / scale.control_bytes_per_s
    return (
        name,
        f"{lost:.0f} nodes gone; if their callers move, each other node has "
        f"{rate:.0f} calls/s each way, {model.call_percent(rate):.1f}% of a core; "
        f"streams to them close within {SUSPECT_S} s",
        f"{lost:.0f} changed records: about {model.news_bytes(lost) / 1000:.0f} KB "
        f"sent by each node; within {PUSH_WINDOW_S:.0f} s that is "
        f"{burst / 1000:.0f} KB/s, {ratio:.1f} times the limit; at the limit it takes "
        f"{spread_s:.0f} s",
        "calls yes; control bytes **no** for that moment, yes as an average of "
        f"{spread_s:.0f} s",
    )


def make_rows(model: capacity_model.CapacityModel) -> list[tuple[str, ...]]:
    """Return a row for each failure day."""
    scale = model.scale
    per_zone = scale.nodes_per_zone
    join_bytes = model.measured["join: bytes that a starting node receives"]
    pull_us = model.measured["control at 4000 instances: pull of everything"]
    start_reads = scale.nodes * scale.watches_per_reader
    held_tickets = scale.tickets_per_day / 24
    zones_per_region = scale.zones / scale.regions
    return [
        _describe_loss(model, 1, "a zone lost"),
        _describe_loss(model, int(zones_per_region), "a region lost"),
        (
            "a lost zone comes back",
            f"{per_zone:.0f} nodes start; each takes {join_bytes / 1000:.0f} KB from a "
            f"neighbour, which spends {pull_us / 1000:.0f} ms on it",
            f"all of them read the platform because they know nobody: "
            f"{per_zone * scale.watches_per_reader:.0f} reads at once; each opens up "
            f"to {model.scale.own_zone_streams:.0f} streams, "
            f"{model.scale.own_zone_streams:.0f} ms of connection time at 1 ms each",
            "yes; the joining node's bytes are "
            f"{join_bytes / scale.control_bytes_per_s:.0f} s of the limit, once",
        ),
        (
            "both readers of a zone fail",
            f"the next ones by hash read after about {TAKEOVER_S} s",
            "at worst all of the zone read before they hear each other: "
            f"{per_zone * scale.watches_per_reader / scale.watch_s:.0f} reads/s",
            "reads yes; a ticket published in that gap reaches the zone by pushes "
            "from other zones, or after the takeover",
        ),
        (
            "1,200 replacements and 8 failures",
            f"one each {1 / scale.replacements_per_s:.0f} s; "
            f"{scale.replacements_per_s * model.news_bytes(1):.0f} B/s a node",
            f"a joining node takes {join_bytes / 1000:.0f} KB",
            "yes",
        ),
        (
            "the platform down for an hour",
            "everything goes on with what is known; every node becomes an acting "
            "reader, at most about 1,070 attempts/s (docs/decisions/control.md)",
            f"{held_tickets:.0f} tickets wait; acting readers are paced to 1,967 of "
            f"{scale.reads_per_s:,.0f} reads/s, see the index after up to 3 s and "
            "fetch a ticket after up to 8 s, unless a neighbour pushes it first",
            "reads yes; 4 s **not certain** in the first moment, by up to 7 s",
        ),
        (
            "regions lose each other for an hour",
            f"{scale.regions} parts of {scale.nodes_per_region:.0f} nodes; each zone "
            "keeps its readers; a part without the platform gets no tickets",
            f"at most {held_tickets:.0f} tickets differ; one digest finds it, one pull "
            "brings the differing buckets",
            "yes for parts that reach the platform; **no** mechanism can keep 4 s "
            "for the others",
        ),
        (
            "the whole fleet starts at once",
            f"{start_reads:,} reads that are not paced, {scale.reads_per_s:,.0f} a "
            f"second allowed",
            f"at least {start_reads / scale.reads_per_s:.0f} s of reads; refused ones "
            "back off 5 to 10 s",
            f"**no**: {start_reads / scale.reads_per_s:.0f} times the rate in the "
            "first second; the platform refuses the rest",
        ),
        (
            "the users' store comes back from a copy",
            f"{STORE_PAGES} pages a listing, by the readers only: "
            f"{STORE_PAGES * scale.readers:,} reads",
            "each zone gets the list from its readers: one announcement, then a "
            f"request of each of {per_zone:.0f} nodes, 1.2 MB each at {scale.nodes:,} "
            "instances",
            "worked out, not measured: reads yes; a reader sends "
            f"{per_zone / 2 * 1.2:.0f} MB, which takes some 9 s on a link of 100 "
            "Mbit/s, so 4 s are **not certain** for a version of that moment",
        ),
    ]
