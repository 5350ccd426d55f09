"""Clients that have sent several requests ahead leave before their time limit."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import client, http, instance, site  # noqa: E402

GONE_S = 0.5
FEW = 5
"""Requests that may reach an instance later than that; the rule says a few."""

DEADLINE_MS = 6000
WORK_S = 1.5
LEAVE_S = 0.3
CLIENTS = 6
"""Clients of each machine."""

REQUESTS_AHEAD = 16
ZONES = ("khomas-a", "khomas-b", "khomas-c", "khomas-d")
SERVICE = "kafi81c"


async def look_up(
    node: site.Node, count: int, leaves: bool
) -> tuple[list[str], float, int]:
    """Send requests on one connection; leave early, or read all the answers.

    Returns the ids, when the connection was closed, and the number of answers.
    """
    reader, writer = await asyncio.open_connection(*node.egress)
    ids = [client.make_id() for _ in range(count)]
    for request in ids:
        writer.write(client.encode_request(request, "GET", "/leny950/2f", DEADLINE_MS))
    await writer.drain()
    answers = 0
    if leaves:
        await asyncio.sleep(LEAVE_S)
    else:
        for _ in ids:
            await http.read_message(reader)
            answers += 1
    writer.close()
    return ids, time.monotonic(), answers


async def play(place: site.Site) -> int:
    """Play the case and return the exit status."""
    machines = [(SERVICE, zone) for zone in ZONES]
    await place.start(machines, lambda path: WORK_S, lambda path: b"x" * 400)
    await place.configure(5, [site.make_rule("leny950", SERVICE, "idempotent", "6s")])
    if not await place.start_nodes():
        place.record("the nodes were not ready in time")
        return site.NOT_RUN
    await asyncio.sleep(4.0)
    leaves = site.has_trouble()
    ends = await asyncio.gather(
        *(
            look_up(node, REQUESTS_AHEAD, leaves)
            for node in place.nodes
            for _ in range(CLIENTS)
        )
    )
    await asyncio.sleep(6.0)
    closed_s = {request: end_s for ids, end_s, _ in ends for request in ids}
    place.record(f"{sum(answers for _, _, answers in ends)} answers read")
    return judge(place, closed_s)


def judge(place: site.Site, closed_s: dict[str, float]) -> int:
    """Return 1 if instances got, or went on with, requests of clients that had left."""
    late: list[instance.Run] = []
    lasting = 0
    worked_on = 0
    for node in place.nodes:
        for run in node.instance.runs:
            left_s = closed_s[run.request]
            after_s = run.at_s - left_s
            is_late = after_s > GONE_S
            if is_late:
                late.append(run)
            elif after_s < 0 and run.at_s + WORK_S > left_s + GONE_S:
                lasting += 1
                worked_on += run.ended_s > left_s + GONE_S
            place.record(
                f"request {run.request} reaches {run.instance} {after_s:.3f} s after "
                f"its client has left, ends {run.ended_s - left_s:.3f} s after it, "
                f"{run.end}"
            )
    place.record(f"{len(late)} requests reached an instance over half a second later")
    place.record(
        f"{worked_on} of {lasting} requests that would have lasted so long were still "
        "worked on half a second later"
    )
    return site.BROKEN if len(late) > FEW or worked_on * 4 > lasting else site.HELD


if __name__ == "__main__":
    sys.exit(site.run_case(play, __file__))
