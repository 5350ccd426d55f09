"""Run the load driver: ``python -m standins.load JSON``.

The JSON is a ``LoadPlan``. The first line of output is an empty object (there
are no ports), and the second one is the summary, after which the process ends.
"""

import json
import sys

from standins import load, process


def main() -> None:
    """Run the load and print its summary."""
    plan = process.parse_arguments((sys.argv[1:] or ["{}"])[0], load.LoadPlan)

    def finish() -> None:
        print(json.dumps(driver.summary()), flush=True)
        process.stop()

    driver = load.LoadDriver(plan, process.reactor, finish)
    process.reactor.callWhenRunning(driver.start)
    process.run({})


main()
