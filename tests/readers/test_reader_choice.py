"""Guards against zones without a reader, and against more readers than needed."""

import random

import pytest

from jujubetiller import clock, readers
from jujubetiller.readers import _reader_choice

ZONE = "a"
HOSTS = [f"10.0.0.{number}" for number in range(1, 31)]
ORDER = readers.order_by_rendezvous(ZONE, HOSTS)


class Fleet:
    """The choices of the nodes of one zone; some nodes are down or can't read."""

    def __init__(self, hosts: list[str] = HOSTS) -> None:
        self.clock = clock.ManualClock()
        self.down: set[str] = set()
        self.unable: set[str] = set()
        self.asked = 0
        self.choices = {
            host: readers.ReaderChoice(self.clock, random.Random(index), ZONE, host)
            for index, host in enumerate(hosts)
        }
        for choice in self.choices.values():
            choice.set_nodes(hosts)

    def run(self, rounds: int) -> None:
        """Let all nodes ask for changes once a second."""
        for _ in range(rounds):
            for host, choice in self.choices.items():
                if host not in self.down:
                    for name in choice.start_round():
                        self.ask(choice, name)
            self.clock.advance(1_000.0)

    def ask(self, choice: readers.ReaderChoice, name: str) -> None:
        self.asked += 1
        if name in self.down:
            self.pass_over(choice, name, False)
            return
        self.choices[name].record_asked()
        if name in self.unable:
            self.choices[name].hand_back()
            self.pass_over(choice, name, True)
        else:
            choice.record_reader(name)

    def pass_over(
        self, choice: readers.ReaderChoice, name: str, has_answered: bool
    ) -> None:
        choice.record_failure(name, has_answered)
        following = choice.next_to_ask()
        if following is None:
            choice.plan_reading_alone()
        else:
            self.ask(choice, following)

    def readers(self) -> set[str]:
        """Return the nodes that read and are up."""
        return {
            host
            for host, choice in self.choices.items()
            if host not in self.down and choice.is_reader()
        }


def test_nodes_that_know_the_same_choose_the_same_two() -> None:
    fleet = Fleet()
    fleet.run(5)
    assert fleet.readers() == set(ORDER[:2])


@pytest.mark.parametrize("size", [20, 60, 200])
def test_a_round_is_one_request_a_node_at_every_size(size: int) -> None:
    fleet = Fleet([f"10.0.1.{number}" for number in range(size)])
    fleet.run(10)
    assert len(fleet.readers()) == 2
    assert fleet.asked == 10 * size


@pytest.mark.parametrize("field", ["down", "unable"])
@pytest.mark.parametrize("lost", [1, 2, 3])
def test_the_next_nodes_read_in_place_of_lost_ones(field: str, lost: int) -> None:
    fleet = Fleet()
    fleet.run(2)
    getattr(fleet, field).update(ORDER[:lost])
    fleet.run(1)
    able = fleet.readers() - fleet.unable
    assert able
    fleet.run(3)
    able = fleet.readers() - fleet.unable
    assert set(ORDER[lost : lost + 1]) <= able
    assert len(able) <= 3


def test_a_reader_that_comes_back_reads_again_and_the_others_stop() -> None:
    fleet = Fleet()
    fleet.down.update(ORDER[:2])
    fleet.run(4)
    fleet.down.clear()
    fleet.run(10)
    assert fleet.readers() == set(ORDER[:2])


def test_a_store_that_is_down_for_all_is_tried_by_few_nodes() -> None:
    """Guards against all nodes of a zone that ask a store which can't answer."""
    fleet = Fleet()
    fleet.unable.update(HOSTS)
    tried: set[str] = set()
    for _ in range(8):
        fleet.run(1)
        tried |= fleet.readers()
    assert len(tried) <= _reader_choice.MAX_ASKED + 8 + 4
    fleet.unable.clear()
    fleet.run(10)
    assert fleet.readers() == set(ORDER[:2])


def test_a_node_that_reaches_no_other_one_reads_soon() -> None:
    fleet = Fleet()
    alone = ORDER[20]
    fleet.down.update(set(HOSTS) - {alone})
    fleet.run(1)
    assert fleet.readers() == {alone}


def test_a_node_that_is_not_listed_reads_only_if_it_is_asked() -> None:
    fleet = Fleet()
    choice = fleet.choices[ORDER[0]]
    choice.set_nodes(HOSTS[:0])
    assert not choice.is_reader()
    choice.record_asked()
    assert choice.is_reader()
    fleet.clock.advance(_reader_choice.ASKED_MS)
    assert not choice.is_reader()
