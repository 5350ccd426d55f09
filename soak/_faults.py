"""The faults of the processes and of the links between them."""

import signal
from collections.abc import Callable, Coroutine
from typing import Any

from soak import _context, _link, _seeds, _site, _traffic

RESTART_PAUSE_S = 0.2
POLL_S = 0.05
DRAIN_NOTICE_S = 2.5
"""Time for callers to notice a draining instance; new requests count after it."""

STOP_SLACK_S = 0.5
SHORT_S, LONG_S = 0.3, 2.5
"""The shortest and the longest duration of a fault."""

LIMITED_S = 6.0
"""How long an instance names a rate limit; the limit binds after half of it."""

LOST_CHANGES = (1, 3, 8)
"""How many changes a restored store may lack."""

REWRITE_S = 0.7
"""Time after a restore until operators and instances write again."""

CRASHING_S = 5.0
"""How long copies of a request come that crashes its instances."""

RATE_LIMITS = ("0.5", "3", "12")
DELAYS_S = (0.02, 0.1, 0.3)

Fault = Callable[[_context.Context], Coroutine[Any, Any, None]]
"""Runs one fault, or one planned operation, to its end."""


async def kill_node(context: _context.Context) -> None:
    """Kill the process of a node and start it again."""
    node = context.pick_node()
    if node.name in context.reserved or node.process is None:
        return
    context.reserved.add(node.name)
    context.note(f"kill {node.name}")
    node.process.kill()
    node.process.wait()
    await context.sleep(RESTART_PAUSE_S)
    context.start_node(node)
    context.reserved.discard(node.name)


async def stop_node(context: _context.Context) -> None:
    """Stop a node as the platform does, and start it again."""
    node = context.pick_node()
    process = node.process
    if node.name in context.reserved or process is None:
        return
    if not context.has_started(node):
        return
    context.reserved.add(node.name)
    context.note(f"stop {node.name}")
    process.send_signal(signal.SIGTERM)
    was_frozen = False
    ends_by_s = context.reactor.seconds() + _site.GRACE_S + STOP_SLACK_S
    while process.poll() is None and context.reactor.seconds() < ends_by_s:
        was_frozen = was_frozen or node.name in context.frozen
        await context.sleep(POLL_S)
    code = process.poll()
    if code is None:
        process.kill()
        process.wait()
    if code != 0 and not was_frozen:
        context.violations.append(f"stop of {node.name} ended with {code}")
    await context.sleep(RESTART_PAUSE_S)
    context.start_node(node)
    context.reserved.discard(node.name)


async def freeze_node(context: _context.Context) -> None:
    """Suspend the process of a node for the duration of a fault."""
    node = context.pick_node()
    process = node.process
    if node.name in context.reserved or process is None:
        return
    context.note(f"freeze {node.name}")
    context.frozen.add(node.name)
    process.send_signal(signal.SIGSTOP)
    await wait_duration(context)
    process.send_signal(signal.SIGCONT)
    await context.sleep(POLL_S)
    context.frozen.discard(node.name)


async def change_configuration(context: _context.Context) -> None:
    """Publish a configuration with one more route."""
    context.publish()


async def change_settings(context: _context.Context) -> None:
    """Change the settings file of a node, with or without a SIGHUP."""
    node = context.pick_node()
    context.site.write_settings(node, comment=f"changed at {context.reactor.seconds()}")
    context.note(f"settings of {node.name}")
    is_running = (
        node.process is not None
        and node.process.poll() is None
        and context.has_started(node)
    )
    if is_running and context.source.random() < 0.5:
        assert node.process is not None
        node.process.send_signal(signal.SIGHUP)


async def drain_instance(context: _context.Context) -> None:
    """List an instance as draining, then as newly started."""
    node = context.pick_node()
    key = f"instance of {node.service}"
    if key in context.reserved:
        # The other instance of the service must stay available.
        return
    context.reserved.add(key)
    context.note(f"drain {node.name}")
    context.site.list_instance(node, "draining")
    runs = await count_late_runs(context, node)
    if runs and not context.is_disturbed:
        context.violations.append(
            f"{runs} requests ran at {node.name} while it drained"
        )
    context.site.list_instance(node)
    context.reserved.discard(key)


async def count_late_runs(context: _context.Context, node: _site.Node) -> int:
    """Return how many requests run at an instance after callers had time to notice."""
    await context.sleep(DRAIN_NOTICE_S)
    before: int = context.site.run_command("load")[node.name]
    await context.sleep(1.0)
    after: int = context.site.run_command("load")[node.name]
    return after - before


async def leave_instance(context: _context.Context) -> None:
    """Let an instance say in its answers that it leaves, then start again.

    The store goes on listing it as ready.
    """
    node = context.pick_node()
    key = f"instance of {node.service}"
    if key in context.reserved:
        return
    context.reserved.add(key)
    context.note(f"leave {node.name}")
    context.site.run_command("notices", instance=node.name, leaving=True)
    told_at_s = context.reactor.seconds()
    runs = await count_late_runs(context, node)
    # A node that has started since has not heard of it.
    has_restarted = any(at_s > told_at_s for at_s in context.started_at_s.values())
    if runs and not context.is_disturbed and not has_restarted:
        context.violations.append(
            f"{runs} requests ran at {node.name} after it said that it leaves"
        )
    context.site.run_command("notices", instance=node.name, leaving=False)
    context.site.list_instance(node)
    context.reserved.discard(key)


async def limit_instance(context: _context.Context) -> None:
    """Let an instance name a rate limit in its answers."""
    node = context.pick_node()
    key = f"limit of {node.name}"
    if key in context.reserved:
        return
    context.reserved.add(key)
    rate_limit = context.source.choice(RATE_LIMITS)
    context.note(f"limit {rate_limit} of {node.name}")
    context.site.run_command("notices", instance=node.name, rate_limit=rate_limit)
    await context.sleep(LIMITED_S)
    context.site.run_command("notices", instance=node.name, rate_limit="")
    context.reserved.discard(key)


async def stop_store(context: _context.Context) -> None:
    """Let the store refuse all readers."""
    context.note("store down")
    context.site.run_command("down", down=True)
    await wait_duration(context)
    context.site.run_command("down", down=False)


async def restore_store(context: _context.Context) -> None:
    """Bring the store back from a copy that lacks its last changes."""
    lost = context.source.choice(LOST_CHANGES)
    context.note(f"store restored without {lost} changes")
    context.site.run_command("down", down=True)
    await context.sleep(context.source.uniform(0.0, SHORT_S))
    context.site.run_command("restore", changes=lost)
    context.site.run_command("down", down=False)
    await context.sleep(REWRITE_S)
    context.site.publish(context.site.version)
    for node in context.site.nodes.values():
        if f"instance of {node.service}" not in context.reserved:
            context.site.list_instance(node)


async def fail_instance(context: _context.Context) -> None:
    """Let a target lose its responses or shed requests."""
    node = context.pick_node()
    fault = context.source.choice(("lost", "shed"))
    context.note(f"{fault} at {node.name}")
    context.site.run_command("fault", instance=node.name, fault=fault)
    await wait_duration(context)
    context.site.run_command("fault", instance=node.name, fault="none")


async def send_crashing_request(context: _context.Context) -> None:
    """Let copies of one request crash the instances that run them."""
    if context.site.crashing is not None:
        return
    route = context.source.choice(_traffic.NON_IDEMPOTENT[:1] + _traffic.ROUTES[:1])
    name = f"crashing-{len(context.events)}"
    context.note(f"/{route}/{name} crashes instances")
    context.site.run_command("crash_on", paths=[f"/{route}/{name}"])
    context.site.crashing = (route, name)
    await context.sleep(CRASHING_S)
    context.site.crashing = None
    context.note(f"crashes: {len(context.site.run_command('crashes'))}")


async def delay_link(context: _context.Context) -> None:
    """Delay the bytes on a link."""
    link = _pick_link(context, "delay")
    link.delay_s = context.source.choice(DELAYS_S)
    await wait_duration(context)
    link.delay_s = 0.0


async def reset_link(context: _context.Context) -> None:
    """Reset the connections of a link; half of the time refuse new ones for a while."""
    link = _pick_link(context, "reset")
    link.refuses = context.source.random() < 0.5
    link.reset()
    await wait_duration(context)
    link.refuses = False


async def silence_link(context: _context.Context) -> None:
    """Drop all further bytes on the open connections of a link."""
    _pick_link(context, "silence").silence()


async def cut_link(context: _context.Context) -> None:
    """Hold back the bytes on a link, in one direction or both."""
    link = _pick_link(context, "cut")
    link.hold(
        *context.source.choice(
            ((_link.Way.FORTH,), (_link.Way.BACK,), tuple(_link.Way))
        )
    )
    await wait_duration(context)
    link.hold()


async def wait_duration(context: _context.Context) -> None:
    """Wait for a random duration of a fault."""
    await context.sleep(context.source.uniform(SHORT_S, LONG_S))


def _pick_link(context: _context.Context, what: str) -> _link.Link:
    node = context.source.choice(list(context.site.nodes.values()))
    name = context.source.choice(sorted(node.links))
    context.note(f"{what} {name} of {node.name}")
    return node.links[name]


_PLANNED: tuple[Fault, ...] = (
    stop_node,
    change_configuration,
    change_settings,
    drain_instance,
)

_UNPLANNED: tuple[Fault, ...] = (
    kill_node,
    freeze_node,
    stop_store,
    fail_instance,
    delay_link,
    reset_link,
    silence_link,
    cut_link,
)


def list_faults(seed: int, is_planned: bool) -> tuple[Fault, ...]:
    """Return the faults that a run draws from.

    Seeds that failed before there were notices, restores or crashing requests keep the
    faults that they failed with.
    """
    table = _PLANNED if is_planned else _UNPLANNED
    if seed in _seeds.SEEDS_BEFORE_NOTICES:
        return table
    if seed in _seeds.SEEDS_BEFORE_RESTORES or is_planned:
        return (*table, leave_instance, limit_instance)
    table = (*table, leave_instance, limit_instance, restore_store)
    if seed in _seeds.SEEDS_BEFORE_CRASHES:
        return table
    return (*table, send_crashing_request)
