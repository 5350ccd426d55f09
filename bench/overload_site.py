"""The two sites scaled down to one machine, with and without nodes."""

import copy
from types import ModuleType
from typing import Any

import attrs

from bench import khomas, klang
from standins import site

SLOTS_DIVISOR = 12
"""Targets get few slots, so that a request rate that the processors of one machine
can carry is enough to fill them."""

DEEP_RUN_MS = 25.0
SLOW_RUN_MS = 120.0

LAYER_RETRIES = 2
CLIENT_RETRIES = 3


@attrs.frozen
class Shape:
    """A site with its load."""

    name: str
    module: ModuleType
    deepest: str

    rates: dict[str, float]
    """Requests a second of each kind in the calm phase; each reaches the deepest
    service."""

    surge: float = 2.5

    def kinds(self) -> dict[str, Any]:
        """Return the fields of all request kinds."""
        prefix = "request_kind/"
        objects = self.module.make_ticket()["objects"]
        return {
            name.removeprefix(prefix): fields
            for name, fields in objects.items()
            if name.startswith(prefix)
        }


KLANG = Shape(
    "klang",
    klang,
    "ledger",
    {"job-status": 20.0, "list-slots": 12.0, "book-slot": 12.0, "log-batch": 6.0},
)
KHOMAS = Shape(
    "khomas",
    khomas,
    "fittings",
    {"pattern": 20.0, "stock": 10.0, "place-order": 12.0, "take-deposit": 6.0},
)


def scale_slots(slots: int) -> int:
    """Return the slots of a target scaled down to one machine.

    >>> scale_slots(190), scale_slots(15)
    (15, 2)
    """
    return max(2, slots // SLOTS_DIVISOR)


def make_paths(shape: Shape, service: str, deep_run_ms: float, retries: int) -> Any:
    """Return the path settings of the stand-in targets of ``service``."""
    paths = copy.deepcopy(shape.module.PATHS[service])
    for plan in paths.values():
        if service == shape.deepest:
            plan["run_ms"] = deep_run_ms
        for call in plan.get("calls", ()):
            call["retries"] = retries
    return paths


def make_plan(shape: Shape, with_nodes: bool) -> site.SitePlan:
    """Return the site plan; without nodes, each target retries its nested calls."""
    full = shape.module.make_plan(with_nodes=with_nodes)
    retries = 0 if with_nodes else LAYER_RETRIES
    instances = []
    for plan in full.instances:
        slots = scale_slots(shape.module.SLOTS[plan.service])
        target = {
            "slots": slots,
            "queue_length": 4 * slots,
            "paths": make_paths(shape, plan.service, DEEP_RUN_MS, retries),
        }
        node = {"limits": {"slots": slots, "queue_length": 4 * slots}}
        instances.append(attrs.evolve(plan, target=target, node=node))
    ticket = shape.module.make_ticket()
    for name, fields in ticket["objects"].items():
        if name.startswith("service/"):
            fields["slots"] = scale_slots(fields["slots"])
    return attrs.evolve(full, instances=tuple(instances), tickets=(ticket,))


def set_deep_run_ms(shape: Shape, local_site: site.LocalSite, run_ms: float) -> None:
    """Change the run time of the deepest service."""
    paths = make_paths(shape, shape.deepest, run_ms, 0)
    for plan in local_site.plan.instances:
        if plan.service == shape.deepest:
            local_site.put_target(plan.instance, "_paths", paths)


def make_loads(
    shape: Shape, local_site: site.LocalSite, phases: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the arguments of the load drivers.

    With nodes, clients send to any node; without, to the targets of the first service
    of the request kind.
    """
    described = shape.kinds()
    by_service: dict[str, list[dict[str, Any]]] = {}
    for name, rate in shape.rates.items():
        fields = described[name]
        kind = {
            "name": name,
            "service": fields["service"],
            "path": fields["path_prefix"],
            "method": fields["method"],
            "deadline_ms": fields["deadline_ms"],
            "rate": rate,
            "retries": CLIENT_RETRIES,
            "retry_mode": "hard",
        }
        by_service.setdefault(fields["service"], []).append(kind)
    common = {"phases": phases, "report_markers": 100_000}
    if local_site.plan.with_nodes:
        entries = [local_site.edge_address(name) for name in local_site.nodes]
        kinds = [kind for kinds in by_service.values() for kind in kinds]
        return [{"entries": entries, "kinds": kinds, "name": "all", **common}]
    return [
        {
            "entries": [
                local_site.target_address(plan.instance)
                for plan in local_site.plan.instances
                if plan.service == service
            ],
            "kinds": kinds,
            "name": service,
            **common,
        }
        for service, kinds in by_service.items()
    ]
