"""Guards against a spill that opens streams from the whole fleet to one instance."""

import collections
import random

import pytest

from jujubetiller import clock, routing, settings

ROUTERS = 200
OTHERS = 20
DRAWN = 3
MEAN = ROUTERS * DRAWN / OTHERS


@pytest.mark.parametrize(("highest", "is_bounded"), [(DRAWN, True), (OTHERS, False)])
def test_callers_spread_over_the_instances_of_other_zones(
    highest: int, is_bounded: bool
) -> None:
    instances = [
        routing.RoutableInstance(
            f"ledger-{at}", "ledger", f"zone-{at}", "127.0.0.1", 1, 1, "boot"
        )
        for at in range(OTHERS)
    ]
    callers: collections.Counter[str] = collections.Counter()
    for seed in range(ROUTERS):
        router = routing.Router(
            clock.ManualClock(),
            random.Random(seed),
            settings.RoutingSettings(other_zone_instances=highest),
            "own",
        )
        for _ in range(2):  # A later list must not change the selection.
            router.update_instances(instances)
        callers.update({router.choose("ledger").unwrap().instance for _ in range(100)})
    assert (max(callers.values()) < 2 * MEAN) is is_bounded
    assert len(callers) == OTHERS
