"""Guards against published items that revert, reappear or get lost between nodes."""

import random

import hypothesis
import hypothesis.strategies as st
import logbook

from jujubetiller import published

Item = published.PublishedItem


def at(number: int, epoch: int = 0) -> published.Revision:
    return published.Revision(epoch, number)


def changes(
    number: int, *items: Item, listing: bool = False, epoch: int = 0
) -> published.Changes:
    return published.Changes(at(number, epoch), items, listing)


def test_an_older_revision_changes_nothing() -> None:
    state = published.PublishedState()
    seen: list[list[Item]] = []
    state.observers.append(seen.append)
    state.apply(changes(5, Item("a", at(5), b"new"), listing=True))
    state.apply(changes(4, Item("a", at(4), b"old")))
    state.apply(changes(5, Item("a", at(5), b"same")))
    assert state.items["a"].value == b"new"
    assert len(seen) == 1


def test_an_older_write_does_not_restore_a_removed_key() -> None:
    state = published.PublishedState()
    state.apply(changes(5, Item("a", at(5), b"x"), listing=True))
    state.apply(changes(7, Item("a", at(7), None)))
    state.apply(changes(6, Item("a", at(6), b"late")))
    assert state.items == {}
    state.apply(changes(8, Item("a", at(8), b"back")))
    assert state.items["a"].value == b"back"


def test_a_listing_removes_what_it_lacks_unless_it_changed_since() -> None:
    state = published.PublishedState()
    state.apply(
        changes(2, Item("a", at(1), b"x"), Item("b", at(2), b"y"), listing=True)
    )
    state.apply(changes(9, Item("b", at(9), b"newer")))
    state.apply(changes(6, listing=True))
    assert list(state.items) == ["b"]


def test_a_reader_that_is_behind_the_listing_gets_a_listing() -> None:
    state = published.PublishedState()
    state.apply(changes(10, Item("a", at(3), b"x"), listing=True))
    assert state.changes_since(at(0)).is_listing
    assert not state.changes_since(at(10)).is_listing
    assert state.changes_since(at(10)).items == ()


def test_dropped_removals_make_listings_necessary() -> None:
    state = published.PublishedState(max_removed=2)
    state.apply(changes(1, *[Item(str(n), at(1), b"") for n in range(4)], listing=True))
    for number in range(4):
        state.apply(changes(10 + number, Item(str(number), at(10 + number), None)))
    assert len(state.removed) == 2
    assert state.changes_since(at(10)).is_listing
    assert not state.changes_since(at(11)).is_listing


@hypothesis.given(st.integers(0, 2**32))
@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
def test_nodes_that_receive_parts_in_any_order_converge(seed: int) -> None:
    """Guards against nodes that stay different after the store was unreachable."""
    source = random.Random(seed)
    store = published.PublishedState()
    store.apply(changes(1, listing=True))
    nodes = [published.PublishedState() for _ in range(3)]
    for revision in range(2, 30):
        value = None if source.random() < 0.3 else str(revision).encode()
        store.apply(changes(revision, Item(source.choice("abc"), at(revision), value)))
        reader = source.choice(nodes)
        sender = source.choice([store, *nodes])
        if sender is not reader and sender.revision >= reader.revision:
            reader.apply(sender.changes_since(reader.revision))
    for node in nodes:
        node.apply(store.changes_since(node.revision))
        assert node.items == store.items


def test_an_error_of_one_observer_keeps_no_change_from_the_others() -> None:
    """Guards against a configuration that stops the list of instances."""
    state = published.PublishedState()
    seen: list[list[Item]] = []

    def fail(items: list[Item]) -> None:
        raise RecursionError("an unexpected error")

    state.observers.extend((fail, seen.append))
    with logbook.TestHandler() as handler:
        state.apply(changes(5, Item("a", at(5), b"x")))
    assert [[item.key for item in items] for items in seen] == [["a"]]
    assert state.observer_errors == 1
    assert handler.records[0].extra["keys"] == ["a"]
