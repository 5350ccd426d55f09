"""The instances, tickets and options of a local site."""

from typing import Any

import attrs


@attrs.frozen
class InstancePlan:
    """Describes one instance: a target and its node."""

    instance: str
    service: str
    zone: str

    target: dict[str, Any] = attrs.field(factory=dict)
    """Fields of the stand-in target's ``TargetPlan``."""

    node: dict[str, Any] = attrs.field(factory=dict)
    """Groups of the node's settings that differ from the defaults."""


@attrs.frozen
class SitePlan:
    """Describes the instances of a site and the tickets published at its start."""

    instances: tuple[InstancePlan, ...]
    tickets: tuple[dict[str, Any], ...] = ()
    platform: dict[str, Any] = attrs.field(factory=dict)

    with_nodes: bool = True
    """If false, targets call each other directly, as a baseline to compare with."""

    def zones(self) -> list[str]:
        """Return the names of all zones."""
        return sorted({plan.zone for plan in self.instances})
