"""Run the store and the instances: ``python -m standins.mesh_site JSON``.

The JSON lists the instances with their services and hosts. The first line of output
is a JSON object with the ports ``store``, ``operator`` and ``app``.
"""

import sys

import attrs

from jujubetiller import clock, edge
from standins import mesh_site, process, store


@attrs.frozen
class Instance:
    """One instance; all use the same port, each on its own loopback address."""

    name: str
    service: str
    host: str


@attrs.frozen
class Arguments:
    """The arguments of the process."""

    instances: tuple[Instance, ...]
    app_port: int
    work_ms: float = 5.0


MAX_BODY_BYTES = 67_108_864
MAX_CONNECTIONS = 1_000


def make_factory(handler: edge.EdgeHandler) -> edge.EdgeFactory:
    """Return the protocol factory of a listener that uses ``handler``."""
    return edge.PipelinedFactory(
        process.reactor, clock.SystemClock(), handler, MAX_BODY_BYTES, MAX_CONNECTIONS
    )


def main() -> None:
    """Listen on all ports and run until the process is stopped."""
    arguments = process.parse_arguments(sys.argv[1], Arguments)
    store_site = mesh_site.StoreSite(process.reactor, store.PublishedStore())
    instances = {}
    crash_plan = mesh_site.CrashPlan()
    for instance in arguments.instances:
        site = mesh_site.InstanceSite(
            process.reactor, instance.name, instance.service, arguments.work_ms
        )
        instances[instance.name] = site
        mesh_site.InstanceListener(
            process.reactor,
            site,
            crash_plan,
            make_factory,
            instance.host,
            arguments.app_port,
        ).open()
    operator = mesh_site.OperatorSite(store_site, instances, crash_plan)
    process.run(
        {
            "store": process.listen(make_factory(store_site)),
            "operator": process.listen(make_factory(operator)),
            "app": arguments.app_port,
        }
    )


main()
