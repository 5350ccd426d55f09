"""The text of the ``status`` command."""

import collections

from jujubetiller import admin

STATES = ("live", "draining", "leaving", "unreachable")


def render_status(view: admin.NodeView) -> str:
    """Return the state of a node as a human-readable table."""
    age = (
        f"heard {view.platform_age_ms / 1000:.1f} s ago"
        if view.platform_age_ms >= 0
        else "never heard"
    )
    limit = view.limit
    lines = [
        f"node       {view.instance} ({view.service}, {view.zone}), "
        f"incarnation {view.incarnation}, version {view.version}",
        f"ready      {'yes' if view.ready else 'no'}",
        f"draining   {'yes' if view.draining else 'no'}",
        f"platform   {age}",
        f"ticket     {view.ticket_number} in force",
        f"conflicts  {view.ticket_conflicts}",
        f"limit      {limit.limit} of {limit.slots} slots ({limit.policy}), "
        f"{limit.in_flight} in flight, {limit.queue_length} queued",
        "",
        *render_instances(view.instances),
    ]
    return "\n".join(lines) + "\n"


def render_instances(instances: tuple[admin.InstanceView, ...]) -> list[str]:
    """Return a line for each service and zone with the count of each state."""
    counts: dict[tuple[str, str], collections.Counter[str]] = {}
    for instance in instances:
        place = (instance.service, instance.zone)
        counts.setdefault(place, collections.Counter())[instance.state] += 1
    rows: list[tuple[str, ...]] = [("service", "zone", *STATES)]
    rows += [
        (*place, *(str(states[state]) for state in STATES))
        for place, states in sorted(counts.items())
    ]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) if number < 2 else cell.rjust(width)
            for number, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        for row in rows
    ]
