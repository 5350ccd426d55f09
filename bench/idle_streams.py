"""Measures what idle streams between nodes cost.

At the design scale a node has about two hundred streams in each direction, more
than it gets from a fleet of processes on one machine. Here one process opens them to
another, which listens on one port per stream. The baseline is the same process
without streams.
"""

import json
import sys
import time
from typing import Any

from twisted.internet import reactor as _reactor

from bench import figures, processes, stream_round_trip
from jujubetiller import calls, clock, settings
from standins import process, site

COUNTS = (0, 100, 200)
WARM_UP_S = 4.0
"""Longer than the heartbeat interval of an idle stream."""

MEASURED_S = 5.0

CONTROL_BOUND_PERCENT = 3.1
DESIGN_STREAMS = 196
"""Streams in each direction: to the nodes of a zone and to six neighbours."""

reactor: Any = _reactor


def serve(count: int) -> None:
    """Listen on ``count`` ports (at least one) and run."""
    pool = stream_round_trip.make_pool("server")
    ports = [
        pool.listen(settings.Address("127.0.0.1", 0)).getHost().port  # type: ignore[attr-defined]
        for _ in range(max(1, count))
    ]
    process.run({str(at): port for at, port in enumerate(ports)})


def call(ports: list[int]) -> None:
    """Open a stream to each port by sending one call, and run."""
    pool = stream_round_trip.make_pool("caller")
    time_source = clock.SystemClock()
    for port in ports:
        request = calls.CallRequest(
            "bench", "POST", "/echo", "echo", 1, 200, True, 0, 3, "tree-1234", 1, 1
        )
        deadline = calls.Deadline.after(time_source, stream_round_trip.DEADLINE_MS)
        address = settings.Address("127.0.0.1", port)
        pool.send_call(address, request, deadline, lambda answer: None)
    process.run({"caller": 0})


def measure_count(count: int) -> tuple[list[float], list[float]]:
    """Return percent of a core and resident MB of the server and the caller."""
    server = site.Child("bench.idle_streams", ["serve", str(count)])
    children = [server]
    try:
        ports = list(server.read_hello().values())[:count]
        children.append(site.Child("bench.idle_streams", ["call", json.dumps(ports)]))
        children[1].read_hello()
        time.sleep(WARM_UP_S)
        pids = [child.process.pid for child in children]
        before, started_s = (
            list(map(processes.read_processor_s, pids)),
            time.perf_counter(),
        )
        time.sleep(MEASURED_S)
        after, seconds = (
            list(map(processes.read_processor_s, pids)),
            time.perf_counter() - started_s,
        )
        spent = [
            (new - old) / seconds * 100 for old, new in zip(before, after, strict=True)
        ]
        return spent, list(map(processes.read_resident_mb, pids))
    finally:
        for child in children:
            child.close()


def measure() -> list[figures.Figure]:
    """Measure all counts and fit slopes."""
    measured = [measure_count(count) for count in COUNTS]
    counts = [float(count) for count in COUNTS]
    found = []
    total = 0.0
    for at, side in enumerate(("taken", "opened")):
        percents = [spent[at] for spent, _ in measured]
        slope, base = figures.fit_slope(counts, percents)
        size, _ = figures.fit_slope(counts, [resident[at] for _, resident in measured])
        total += slope * DESIGN_STREAMS
        found += [
            figures.Figure(f"idle stream {side}: processor", slope, "%", base),
            figures.Figure(f"idle stream {side}: memory", size * 1000, "KB"),
        ]
    found.append(
        figures.Figure(
            f"idle streams: processor of {DESIGN_STREAMS} each way",
            *(total, "%", measured[0][0][1], CONTROL_BOUND_PERCENT),
        )
    )
    return found


if __name__ == "__main__":
    if len(sys.argv) == 1:
        figures.print_figures(measure())
    elif sys.argv[1] == "serve":
        serve(int(sys.argv[2]))
    else:
        call(json.loads(sys.argv[2]))
