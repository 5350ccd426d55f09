"""What can happen to the processes and the links between them."""

import signal
from collections.abc import Callable, Coroutine
from typing import Any

from soak import _context, _link, _site

RESTART_PAUSE_S = 0.2
POLL_S = 0.05
DRAIN_NOTICE_S = 2.5
"""An instance reports that it drains this long before it counts as gone."""

STOP_SLACK_S = 0.5
SHORT_S, LONG_S = 0.3, 2.5
"""How long a fault lasts at least and at most."""

DELAYS_S = (0.02, 0.1, 0.3)

Fault = Callable[[_context.Context], Coroutine[Any, Any, None]]
"""Plays one fault, or one piece of planned work, to its end."""


async def kill_node(context: _context.Context) -> None:
    """Kill the process of a node and start it again."""
    node = context.pick_node()
    if node.name in context.in_work or node.process is None:
        return
    context.in_work.add(node.name)
    context.note(f"kill {node.name}")
    node.process.kill()
    node.process.wait()
    await context.sleep(RESTART_PAUSE_S)
    context.start_node(node)
    context.in_work.discard(node.name)


async def stop_node(context: _context.Context) -> None:
    """Stop a node as the platform does, and start it again."""
    node = context.pick_node()
    process = node.process
    if node.name in context.in_work or process is None:
        return
    if not context.has_begun(node):
        return
    context.in_work.add(node.name)
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
    context.in_work.discard(node.name)


async def freeze_node(context: _context.Context) -> None:
    """Let a process stand still for a while."""
    node = context.pick_node()
    process = node.process
    if node.name in context.in_work or process is None:
        return
    context.note(f"freeze {node.name}")
    context.frozen.add(node.name)
    process.send_signal(signal.SIGSTOP)
    await last(context)
    process.send_signal(signal.SIGCONT)
    await context.sleep(POLL_S)
    context.frozen.discard(node.name)


async def change_configuration(context: _context.Context) -> None:
    """Publish a configuration with one route more."""
    context.publish()


async def change_settings(context: _context.Context) -> None:
    """Change the settings file of a node, with a signal or without."""
    node = context.pick_node()
    context.site.write_settings(node, comment=f"changed at {context.reactor.seconds()}")
    context.note(f"settings of {node.name}")
    is_running = (
        node.process is not None
        and node.process.poll() is None
        and context.has_begun(node)
    )
    if is_running and context.source.random() < 0.5:
        assert node.process is not None
        node.process.send_signal(signal.SIGHUP)


async def drain_instance(context: _context.Context) -> None:
    """Let an instance report that it drains, then start again."""
    node = context.pick_node()
    key = f"instance of {node.service}"
    if key in context.in_work:
        # One instance of each service stays.
        return
    context.in_work.add(key)
    context.note(f"drain {node.name}")
    context.site.list_instance(node, "draining")
    await context.sleep(DRAIN_NOTICE_S)
    before = context.site.tell("load")[node.name]
    await context.sleep(1.0)
    after = context.site.tell("load")[node.name]
    if after > before and not context.is_disturbed:
        context.violations.append(
            f"{after - before} requests ran at {node.name} while it drained"
        )
    context.site.list_instance(node)
    context.in_work.discard(key)


async def stop_store(context: _context.Context) -> None:
    """Let the store turn all readers away."""
    context.note("store down")
    context.site.tell("down", down=True)
    await last(context)
    context.site.tell("down", down=False)


async def fail_instance(context: _context.Context) -> None:
    """Let an instance lose its answers or refuse requests."""
    node = context.pick_node()
    fault = context.source.choice(("lost", "shed"))
    context.note(f"{fault} at {node.name}")
    context.site.tell("fault", instance=node.name, fault=fault)
    await last(context)
    context.site.tell("fault", instance=node.name, fault="none")


async def delay_link(context: _context.Context) -> None:
    """Delay what passes on a link."""
    link = _pick_link(context, "delay")
    link.delay_s = context.source.choice(DELAYS_S)
    await last(context)
    link.delay_s = 0.0


async def reset_link(context: _context.Context) -> None:
    """Reset the connections of a link, and perhaps refuse new ones for a while."""
    link = _pick_link(context, "reset")
    link.refuses = context.source.random() < 0.5
    link.reset()
    await last(context)
    link.refuses = False


async def silence_link(context: _context.Context) -> None:
    """Lose track of the open connections of a link."""
    _pick_link(context, "silence").silence()


async def cut_link(context: _context.Context) -> None:
    """Hold up what passes on a link, in one direction or both."""
    link = _pick_link(context, "cut")
    link.hold(
        *context.source.choice(
            ((_link.Way.FORTH,), (_link.Way.BACK,), tuple(_link.Way))
        )
    )
    await last(context)
    link.hold()


async def last(context: _context.Context) -> None:
    """Wait as long as a fault lasts."""
    await context.sleep(context.source.uniform(SHORT_S, LONG_S))


def _pick_link(context: _context.Context, what: str) -> _link.Link:
    node = context.source.choice(list(context.site.nodes.values()))
    name = context.source.choice(sorted(node.links))
    context.note(f"{what} {name} of {node.name}")
    return node.links[name]


PLANNED: tuple[Fault, ...] = (
    stop_node,
    change_configuration,
    change_settings,
    drain_instance,
)

UNPLANNED: tuple[Fault, ...] = (
    kill_node,
    freeze_node,
    stop_store,
    fail_instance,
    delay_link,
    reset_link,
    silence_link,
    cut_link,
)
