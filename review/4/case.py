"""Open connections to the store go silent once, and a configuration changes."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import client, instance, site  # noqa: E402

STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
MARGIN_S = 0.1

ZONES = ("shah-alam", "puchong", "klang-port")
OLD, NEW = "huvo11a", "kafi81c"
READ_INTERVAL_S = 0.05


async def send_requests(
    place: site.Site, node: site.Node, sent: list[client.Sent], end_s: float
) -> None:
    """Send a request every 50 ms, each over a connection of its own."""
    tasks = []
    while time.monotonic() < end_s:
        request = client.send(node.egress, node.name, "GET", "/leny950/2f", 5000)
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(READ_INTERVAL_S)
    sent += await asyncio.gather(*tasks)


async def play(place: site.Site) -> int:
    """Play the case and return the exit status."""
    machines = [(service, zone) for service in (OLD, NEW) for zone in ZONES]
    await place.start(machines, lambda path: 0.02, lambda path: b"x" * 400)
    rules = [site.make_rule("leny950", OLD, "idempotent", "5s")]
    await place.configure(5, rules)
    if not await place.start_nodes():
        place.record("the nodes were not ready in time")
        return site.NOT_RUN
    await asyncio.sleep(6.0)

    # An ordinary change of the configuration: a route is added.
    rules = [*rules, site.make_rule("puka111", OLD, "idempotent", "5s")]
    await place.configure(7, rules)
    await asyncio.sleep(1.2)

    silent_s = time.monotonic()
    if site.has_trouble():
        count = place.store.silence_connections()
        place.record(f"{count} open connections to the store go silent")
    await asyncio.sleep(0.5)
    rules = [site.make_rule("leny950", NEW, "idempotent", "5s"), rules[1]]
    acked_s = await place.configure(9, rules)

    judged_from_s = max(silent_s + STABLE_WINDOW_S, acked_s + CONFIG_APPLY_S) + MARGIN_S
    sent: list[client.Sent] = []
    await asyncio.gather(
        *(send_requests(place, node, sent, judged_from_s + 6) for node in place.nodes)
    )
    return judge(place, sent, judged_from_s, acked_s)


def judge(
    place: site.Site, sent: list[client.Sent], judged_from_s: float, acked_s: float
) -> int:
    """Return 1 if requests were handled as only the older version allows."""
    runs: dict[str, instance.Run] = {
        run.request: run for node in place.nodes for run in node.instance.runs
    }
    stale: list[tuple[client.Sent, instance.Run]] = []
    for request in sorted(sent, key=lambda each: each.at_s):
        run = runs.get(request.request)
        service = "-" if run is None else run.service
        after_s = request.at_s - acked_s
        is_judged = request.at_s >= judged_from_s
        place.record(
            f"request {request.request} at {request.node} sent {after_s:.3f} s after "
            f"the ack: {request.status} {request.end}, run by {service}"
            f"{'' if is_judged else ' (not judged)'}"
        )
        if is_judged and run is not None and run.service == OLD:
            stale.append((request, run))
    judged = sum(request.at_s >= judged_from_s for request in sent)
    place.record(f"{judged} requests judged, {len(stale)} run by the old service")
    if stale:
        last_s = stale[-1][0].at_s - acked_s
        nodes = len({request.node for request, _ in stale})
        place.record(f"the last was sent {last_s:.3f} s after the ack; {nodes} nodes")
    return site.BROKEN if stale else site.HELD


if __name__ == "__main__":
    sys.exit(site.run_case(play, __file__))
