"""One run of the soak."""

import pathlib
import random
from typing import Any

import attrs
from twisted.internet import defer

from soak import _context, _faults, _promises, _site, _traffic
from standins import client, mesh_site

CLIENTS = 12
PAUSES_S = (0.05, 0.8)
"""The shortest and the longest pause between the starts of two faults."""

PLANNED_ONLY_EVERY = 3
"""Every third seed has only planned operations, which must interrupt no request."""

READY_S = 20.0
READY_PER_NODE_S = 0.5
WATCH_S = 0.1
UNPLANNED_SHARE = 0.7


@attrs.frozen
class Outcome:
    """The result of a run."""

    seed: int
    is_planned_only: bool
    requests: int
    served: int
    recovery_s: float | None
    violations: tuple[str, ...]
    events: tuple[str, ...]


async def run(
    reactor: Any,
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    per_service: int = _site.PER_SERVICE,
) -> Outcome:
    """Start the faults of ``seed`` for ``seconds`` and check the promises."""
    source = random.Random(seed)
    base = mesh_site.find_port_base()
    site = _site.SoakSite(reactor, folder, base, per_service)
    context = _context.Context(reactor, site, source)
    # An interrupted soak must not leave its processes running.
    trigger = reactor.addSystemEventTrigger("before", "shutdown", site.close)
    try:
        return await _run_soak(context, seed, seconds)
    finally:
        for port in site.ports:
            port.stopListening()
        site.close()
        reactor.removeSystemEventTrigger(trigger)


async def _run_soak(context: _context.Context, seed: int, seconds: float) -> Outcome:
    site = context.site
    is_planned_only = seed % PLANNED_ONLY_EVERY == 0
    site.open_links()
    site.publish(_site.FIRST_VERSION)
    for node in site.nodes.values():
        site.list_instance(node)
        context.start_node(node)
    clients = max(CLIENTS, len(site.nodes))
    traffic = _traffic.Traffic(context.reactor, site, random.Random(seed), clients)
    await _wait_ready(context, traffic)
    stopped = traffic.start()
    watching = defer.ensureDeferred(_watch_processes(context, traffic))
    await _run_faults(context, seed, seconds, is_planned_only)
    ended_at_s = context.reactor.seconds()
    recovery_s = await _wait_recovery(context, traffic, ended_at_s)
    traffic.is_stopped = True
    await stopped
    await watching
    violations = context.violations + _check(context, traffic, is_planned_only)
    if recovery_s is None:
        violations.append(f"no recovery within {_promises.RECOVERY_S} s")
    return Outcome(
        seed=seed,
        is_planned_only=is_planned_only,
        requests=len(traffic.attempts),
        served=sum(attempt.status == 200 for attempt in traffic.attempts),
        recovery_s=recovery_s,
        violations=tuple(violations),
        events=tuple(context.events),
    )


async def _wait_ready(context: _context.Context, traffic: _traffic.Traffic) -> None:
    """Wait until each node serves a request."""
    waiting = list(context.site.nodes)
    until_s = context.reactor.seconds() + READY_S + READY_PER_NODE_S * len(waiting)
    sender = client.Client(context.reactor, connections=1)
    while waiting and context.reactor.seconds() < until_s:
        number = len(traffic.attempts)
        attempt = await traffic.send(sender, waiting[-1], f"ready-{number}")
        if attempt.status == 200:
            waiting.pop()
        else:
            await context.sleep(WATCH_S)
    if waiting:
        context.violations.append(f"never ready: {', '.join(waiting)}")


async def _run_faults(
    context: _context.Context, seed: int, seconds: float, is_planned_only: bool
) -> None:
    active: list[defer.Deferred[None]] = []
    until_s = context.reactor.seconds() + seconds
    context.is_disturbed = not is_planned_only
    while context.reactor.seconds() < until_s:
        is_planned = is_planned_only or context.source.random() > UNPLANNED_SHARE
        fault = context.source.choice(_faults.list_faults(seed, is_planned))
        active.append(defer.ensureDeferred(fault(context)))
        await context.sleep(context.source.uniform(*PAUSES_S))
    await defer.gatherResults(active, consumeErrors=True)


async def _watch_processes(
    context: _context.Context, traffic: _traffic.Traffic
) -> None:
    """Report node processes that exit unexpectedly, and restart them."""
    while not traffic.is_stopped:
        for node in context.site.nodes.values():
            if node.name in context.reserved or node.process is None:
                continue
            code = node.process.poll()
            if code is not None:
                context.violations.append(f"{node.name} ended by itself with {code}")
                context.start_node(node)
        await context.sleep(WATCH_S)


async def _wait_recovery(
    context: _context.Context, traffic: _traffic.Traffic, ended_at_s: float
) -> float | None:
    """Return the time until nearly all requests are served again, None if too long."""
    until_s = ended_at_s + _promises.RECOVERY_S + _traffic.DEADLINE_MS / 1_000
    while context.reactor.seconds() < until_s:
        await context.sleep(1.0)
        # A second is assessed only after the deadline of its requests.
        now_s = context.reactor.seconds() - _traffic.DEADLINE_MS / 1_000
        ended = [a for a in traffic.attempts if a.sent_at_s < now_s]
        recovery_s = _promises.find_recovery_s(ended, ended_at_s)
        if recovery_s is not None and recovery_s <= _promises.RECOVERY_S:
            return recovery_s
    return None


def _check(
    context: _context.Context, traffic: _traffic.Traffic, is_planned_only: bool
) -> list[str]:
    attempts = traffic.attempts
    runs = context.site.run_command("runs")
    found = _promises.check_runs(attempts, runs)
    found += _promises.check_versions(attempts)
    found += _promises.check_rate_limits(context.site.run_command("limits"))
    if is_planned_only:
        found += _promises.check_planned_work(attempts, runs)
        found += _promises.check_in_force(
            attempts, context.published_at_s, context.started_at_s
        )
    return found
