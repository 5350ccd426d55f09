"""The roles of a node that serves teams and admits by cost, as rows of the page."""

ROWS: tuple[tuple[str, ...], ...] = (
    (
        "node that checks API keys, 10,000 teams",
        "the digests of the keys in force, one age of what is known of the store",
        "none of its own; a state answer has 9 B more. The primary reader of a zone is "
        "asked by the 189 other nodes each 0.85 s: 220 questions/s, in place of 110 at "
        "each of two readers",
        "one SHA-256 and two lookups a request",
        "two keys a team: 20,000 digests of 32 B in two tables, worked out",
        "readers prove their knowledge each 770 ms: 21 zones take 28 watches/s of the "
        "store, and 5 for the second readers (docs/design/teams.md)",
    ),
    (
        "node with quotas, 10,000 teams",
        "a bucket and a pool for each team, tokens of the teams that it serves",
        "3.3 questions/s, and one for each request of a team with less than 0.5 "
        "requests a second here: 16 questions/s and 1.7 kB/s",
        "0.05% of a core beside the streams' own",
        "not measured",
        "tokens that expire, from one coordinator in each zone (docs/design/quotas.md)",
    ),
    (
        "coordinator of a zone of 190 nodes",
        "the same, and 190 delegated shares",
        "630 rounds/s, and up to 2,500 questions/s more if no team has 0.5 requests a "
        "second at any node; about 330 kB/s",
        "5% of a core for the answers, about 60% with the cost of a call in the peer "
        "role: **missed** for control; a change of the number of VMs settles 10,000 "
        "buckets",
        "not measured",
        "first by rendezvous hash; k coordinators with a part of the teams each would "
        "divide the questions by k",
    ),
    (
        "entry node, admission by cost",
        "at most 4,096 routes and teams, costs of 1,024 kinds",
        "none of its own: an answer has about 12 B for each service that was full in "
        "the last 10 s, and as much for costs in each eighth answer",
        "0.4 to 0.6 us a decision; 0.9 to 1.3 ms for 300 routes and teams each 0.2 s "
        "while a service is full",
        "one entry each",
        "fractions that follow what targets' nodes report; nothing depends on the "
        "number of VMs (docs/design/admission.md)",
    ),
    (
        "entry node, placing by room",
        "one report for each instance that it calls, a share for each service",
        "none of its own; 2 to 6 B an answer",
        "a choice 3.2 us in place of 2.5; 3 us more a call for reports",
        "one small object for each instance",
        "draw by learned throughput, a second candidate if the first lacks room "
        "(docs/design/placing.md)",
    ),
    (
        "node beside a target, learned limit",
        "256 baselines of kinds, one window",
        "none",
        "3.1 us a call more than with a fixed limit",
        "below 100 KB, worked out",
        "trials between two limits (docs/design/target-limits.md)",
    ),
    (
        "account of memory",
        "one entry for each HTTP connection that holds memory",
        "none",
        "a check 10 times a second; a few additions a request",
        "bounded by memory_mb less 56 MB",
        "connections that hold most are not read, large requests are refused "
        "(docs/design/memory.md)",
    ),
)
