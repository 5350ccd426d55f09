"""An instance crashes, and another one of its service leaves."""

import asyncio
import itertools
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import client, instance, site  # noqa: E402

DRAIN_S = 2.0
MARGIN_S = 0.05
DEADLINE_MS = 6000
WORK_S = 0.55
CLIENTS = 40
ZONES = ("khomas-a", "khomas-b", "khomas-c", "khomas-d")
SERVICE = "kafi81c"

_PATHS = itertools.count(1)


async def look_up(node: site.Node, sent: list[client.Sent]) -> None:
    """Send an idempotent request; retry once within the time limit after a failure."""
    path = f"/leny950/{next(_PATHS)}"
    ends_s = time.monotonic() + DEADLINE_MS / 1000
    for _ in range(2):
        left_ms = int((ends_s - time.monotonic()) * 1000)
        if left_ms < 100:
            break
        attempt = await client.send(node.egress, node.name, "GET", path, left_ms)
        sent.append(attempt)
        if attempt.status == 200:
            break


async def play(place: site.Site) -> int:
    """Play the case and return the exit status."""
    machines = [(SERVICE, zone) for zone in ZONES]
    await place.start(machines, lambda path: WORK_S, lambda path: b"x" * 400, 54)
    await place.configure(5, [site.make_rule("leny950", SERVICE, "idempotent", "6s")])
    if not await place.start_nodes():
        place.record("the nodes were not ready in time")
        return site.NOT_RUN
    await asyncio.sleep(4.0)
    crashing, leaving = place.nodes[0], place.nodes[1]
    sent: list[client.Sent] = []
    await asyncio.gather(
        *(look_up(node, sent) for node in place.nodes for _ in range(4))
    )
    lookups = [asyncio.ensure_future(look_up(crashing, sent)) for _ in range(CLIENTS)]
    await asyncio.sleep(0.2)
    if site.has_trouble():
        crashing.instance.crash()
        place.record(f"{crashing.instance.name} crashes")
    await asyncio.sleep(0.4)
    await leaving.instance.drain()
    acked_s = time.monotonic()
    place.record(f"the store accepts that {leaving.instance.name} is draining")
    await asyncio.gather(*lookups)
    await asyncio.sleep(0.5)
    return judge(place, sent, leaving, acked_s)


def judge(
    place: site.Site, sent: list[client.Sent], leaving: site.Node, acked_s: float
) -> int:
    """Return 1 if requests reached the leaving instance later than ``drain``."""
    for request in sent:
        place.record(
            f"request {request.request} {request.path} sent "
            f"{request.at_s - acked_s:.3f} s after the ack: {request.status} "
            f"{request.end} at {request.ended_s - acked_s:.3f}"
        )
    late: list[instance.Run] = []
    for node in place.nodes:
        for run in node.instance.runs:
            is_late = node is leaving and run.at_s > acked_s + DRAIN_S + MARGIN_S
            place.record(
                f"request {run.request} reaches {run.instance} "
                f"{run.at_s - acked_s:.3f} s after the ack, {run.end}"
                f"{', later than drain' if is_late else ''}"
            )
            if is_late and run.end != "not run":
                late.append(run)
    place.record(f"{len(late)} requests reached the leaving instance too late")
    return site.BROKEN if late else site.HELD


if __name__ == "__main__":
    sys.exit(site.run_case(play, __file__))
