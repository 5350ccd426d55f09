"""Run the configuration service: ``python -m standins.platform [JSON]``.

The JSON may set ``reads_per_second`` and the two ports. The first line of output is a
JSON object with the ports ``values`` and ``operator``.
"""

import sys

import attrs
from twisted.web import server

from jujubetiller import clock
from standins import platform, process


@attrs.frozen
class Arguments:
    """The arguments of the process; port 0 means any free port."""

    reads_per_second: int = 2_000
    values_port: int = 0
    operator_port: int = 0


def main() -> None:
    """Listen on both ports and run until the process is stopped."""
    arguments = process.parse_arguments((sys.argv[1:] or ["{}"])[0], Arguments)
    store = platform.ValueStore()
    rate = platform.ReadRate(clock.SystemClock(), arguments.reads_per_second)
    site = platform.ValueSite(store, rate, process.reactor)
    factory = platform.make_value_factory(site)
    operator = server.Site(platform.OperatorSite(site, factory))
    process.run(
        {
            "values": process.listen(factory, arguments.values_port),
            "operator": process.listen(operator, arguments.operator_port),
        }
    )


main()
