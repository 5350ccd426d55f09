"""Guards against confirmed changes that faults of the store keep out of force."""

import pytest

from tests.mesh import store_fault_sequence


@pytest.mark.parametrize("seed", range(1, 25))
def test_confirmed_versions_are_in_force_in_time_after_faults_of_the_store(
    seed: int,
) -> None:
    sequence = store_fault_sequence.StoreFaultSequence(seed)
    sequence.run()
    assert sequence.late == []
    assert set(sequence.fleet.versions().values()) == {sequence.version}


@pytest.mark.parametrize("seed", range(1, 25))
def test_confirmed_versions_are_in_force_in_time_after_connections_went_silent(
    seed: int,
) -> None:
    """Guards against readers that take a silent connection for a calm store."""
    sequence = store_fault_sequence.StoreFaultSequence(seed)
    sequence.run(has_silences=True)
    assert sequence.late == []
    assert set(sequence.fleet.versions().values()) == {sequence.version}
