"""Guards against nodes whose knowledge of the store is older than they take it for."""

import attrs
import pytest

from tests.mesh import store_fault_sequence

BOUNDS = 'strict_revoke = true\nconfig_apply = "2s"\n'


@attrs.frozen
class FalseAge:
    """A node that lacked a change as of the time at which it claims to know all."""

    at_ms: float
    node: str
    known_as_of_ms: float
    known: tuple[int, int]
    stored: tuple[int, int]


class AgeSequence(store_fault_sequence.StoreFaultSequence):
    """Compares what nodes claim to know with the history of the store."""

    def __init__(self, seed: int) -> None:
        self.stored: list[tuple[float, tuple[int, int]]] = []
        self.false_ages: list[FalseAge] = []
        self.claims = 0
        super().__init__(seed, BOUNDS)

    def check(self) -> None:
        super().check()
        now_ms = self.now_ms()
        store = self.fleet.store
        self.stored.append((now_ms, (store.epoch, store.revision)))
        for name, node in self.fleet.nodes.items():
            if self.fleet.network.processes[name].is_dead:
                continue
            as_of_ms = node.parts.state_age.known_as_of_ms
            before = [each for at_ms, each in self.stored if at_ms <= as_of_ms]
            if not before:
                continue
            self.claims += 1
            revision = node.state.revision
            known = (revision.epoch, revision.number)
            if known < before[-1]:
                self.false_ages.append(
                    FalseAge(now_ms, name, as_of_ms, known, before[-1])
                )


@pytest.mark.parametrize("seed", range(101, 113))
def test_no_node_claims_to_know_what_it_does_not(seed: int) -> None:
    sequence = AgeSequence(seed)
    sequence.run(has_silences=seed % 2 == 0)
    assert sequence.false_ages == []
    assert sequence.claims > 1_000
    assert sequence.late == []
