"""The state that the faults of one run share."""

import random
from typing import Any

import attrs
from twisted.internet import defer, task

from soak import _site

INTERPRETER_START_S = 0.3


@attrs.define(eq=False)
class Context:
    """Holds the site, the random source and the violations and events so far."""

    reactor: Any
    site: _site.SoakSite
    source: random.Random

    reserved: set[str] = attrs.field(factory=set)
    """Nodes that a fault is restarting, and services with a draining instance."""

    frozen: set[str] = attrs.field(factory=set)
    violations: list[str] = attrs.field(factory=list)
    events: list[str] = attrs.field(factory=list)
    published_at_s: dict[int, float] = attrs.field(factory=dict)

    started_at_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    """When each process of each node was started."""

    is_disturbed: bool = False
    """Whether the run includes unplanned faults."""

    def sleep(self, seconds: float) -> "defer.Deferred[None]":
        """Return a deferred that fires after ``seconds``."""
        waited: defer.Deferred[None] = task.deferLater(self.reactor, seconds)
        return waited

    def note(self, event: str) -> None:
        """Record an event with its time."""
        self.events.append(f"{self.reactor.seconds():.3f} {event}")

    def start_node(self, node: _site.Node) -> None:
        """Start the process of a node."""
        self.site.start_node(node)
        self.started_at_s[(node.name, node.lifetime)] = self.reactor.seconds()

    def has_started(self, node: _site.Node) -> bool:
        """Return whether the interpreter of a node had time to start the program.

        Until its first line runs, no program can handle a signal (seed 33).
        """
        started_at_s = self.started_at_s[(node.name, node.lifetime)]
        return bool(self.reactor.seconds() - started_at_s > INTERPRETER_START_S)

    def publish(self) -> None:
        """Publish the next configuration."""
        version = self.site.version + 1
        self.site.publish(version)
        self.published_at_s[version] = self.reactor.seconds()
        self.note(f"configuration {version}")

    def pick_node(self) -> _site.Node:
        """Return a node whose process no other fault is restarting, if there is one."""
        free = [n for n in self.site.nodes.values() if n.name not in self.reserved]
        return self.source.choice(free or list(self.site.nodes.values()))
