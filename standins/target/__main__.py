"""Run a target: ``python -m standins.target JSON``.

The JSON is a ``TargetPlan``. The first line of output gives the port as ``http``.
"""

import sys

from twisted.web import server

from standins import process, target


def main() -> None:
    """Start the HTTP listener and run the reactor."""
    plan = process.parse_arguments((sys.argv[1:] or ["{}"])[0], target.TargetPlan)
    site = target.TargetSite(plan, process.reactor)
    process.run({"http": process.listen(server.Site(site), plan.port)})


main()
