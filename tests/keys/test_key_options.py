"""Guards against a comparison of key options whose model misses a second run."""

import pytest

from bench import key_fleet, key_options


@pytest.mark.parametrize("fault", key_options.SCHEDULES)
def test_a_key_of_a_named_instance_runs_at_most_once(fault: str) -> None:
    schedule = key_options.SCHEDULES[fault]
    fleet = key_fleet.Fleet(key_options.NamedInstance(), schedule, seed=0)
    counts = fleet.run(40_000)
    assert (counts.ran_twice, counts.refused) == (0, 0)
    assert counts.answered + counts.unknown == counts.requests


def test_the_model_detects_a_second_run() -> None:
    schedule = key_options.SCHEDULES["ticket moves the service"]
    fleet = key_fleet.Fleet(key_options.HashedPlace(), schedule, seed=0)
    assert fleet.run(40_000).ran_twice > 0
