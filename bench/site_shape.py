"""Describes a site and makes its plan and its ticket."""

from typing import Any

import attrs

from standins import site


@attrs.frozen
class SiteShape:
    """Services, zones and request kinds, from which plans and tickets are made."""

    zones: tuple[str, ...]
    slots: dict[str, int]
    """Slots of each service's instances."""

    paths: dict[str, dict[str, Any]]
    """Paths of each service's stand-in targets."""

    kinds: dict[str, dict[str, Any]]
    """Fields of each request kind."""

    retry_tokens: int

    def make_ticket(self, number: int = 1) -> dict[str, Any]:
        """Return the ticket that describes services and request kinds."""
        objects: dict[str, Any] = {
            f"service/{name}": {"slots": slots} for name, slots in self.slots.items()
        }
        for name, fields in self.kinds.items():
            objects[f"request_kind/{name}"] = {
                "retry_tokens": self.retry_tokens,
                **fields,
            }
        return {"number": number, "author": "operations", "objects": objects}

    def make_plan(
        self,
        services: tuple[str, ...] = (),
        zones: tuple[str, ...] = (),
        *,
        with_nodes: bool = True,
        node: dict[str, Any] | None = None,
    ) -> site.SitePlan:
        """Return the plan of a site with an instance of each service in each zone.

        Without ``services`` or ``zones``, it has all of them.
        """
        instances = [
            site.InstancePlan(
                instance=f"{service}-{index}",
                service=service,
                zone=zone,
                target={"slots": self.slots[service], "paths": self.paths[service]},
                node={"limits": {"slots": self.slots[service]}, **(node or {})},
            )
            for service in services or self.slots
            for index, zone in enumerate(zones or self.zones, start=1)
        ]
        return site.SitePlan(
            tuple(instances), (self.make_ticket(),), with_nodes=with_nodes
        )
