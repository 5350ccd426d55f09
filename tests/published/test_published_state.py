"""Guards against published items that revert, reappear or get lost between nodes."""

import random

import hypothesis
import hypothesis.strategies as st
import logbook
import pytest

from jujubetiller import published

Item = published.PublishedItem


class NumberedItems(published.ItemVersions):
    """Items whose values begin with a digit, which is their version."""

    def read_version(self, item: Item) -> published.PublisherVersion | None:
        digit = (item.value or b"")[:1]
        return published.PublisherVersion(0, int(digit)) if digit.isdigit() else None

    def outlives_removal(self, key: str) -> bool:
        return key == "op"


def make_state(max_removed: int = 4_096) -> published.PublishedState:
    return published.PublishedState(NumberedItems(), max_removed)


def at(number: int, epoch: int = 0) -> published.Revision:
    return published.Revision(epoch, number)


def changes(
    number: int, *items: Item, listing: bool = False, epoch: int = 0
) -> published.Changes:
    return published.Changes(at(number, epoch), items, listing)


def test_an_older_revision_changes_nothing() -> None:
    state = make_state()
    seen: list[list[Item]] = []
    state.observers.append(seen.append)
    state.apply(changes(5, Item("a", at(5), b"new"), listing=True))
    state.apply(changes(4, Item("a", at(4), b"old")))
    state.apply(changes(5, Item("a", at(5), b"same")))
    assert state.items["a"].value == b"new"
    assert len(seen) == 1


def test_an_older_write_does_not_restore_a_removed_key() -> None:
    state = make_state()
    state.apply(changes(5, Item("a", at(5), b"x"), listing=True))
    state.apply(changes(7, Item("a", at(7), None)))
    state.apply(changes(6, Item("a", at(6), b"late")))
    assert state.items == {}
    state.apply(changes(8, Item("a", at(8), b"back")))
    assert state.items["a"].value == b"back"


def test_a_listing_removes_what_it_lacks_unless_it_changed_since() -> None:
    state = make_state()
    state.apply(
        changes(2, Item("a", at(1), b"x"), Item("b", at(2), b"y"), listing=True)
    )
    state.apply(changes(9, Item("b", at(9), b"newer")))
    state.apply(changes(6, listing=True))
    assert list(state.items) == ["b"]


def test_a_reader_that_is_behind_the_listing_gets_a_listing() -> None:
    state = make_state()
    state.apply(changes(10, Item("a", at(3), b"x"), listing=True))
    assert state.changes_since(at(0)).is_listing
    assert not state.changes_since(at(10)).is_listing
    assert state.changes_since(at(10)).items == ()


@pytest.mark.parametrize("is_exact", [False, True])
def test_a_reader_at_the_revision_before_a_listing_gets_the_difference(
    is_exact: bool,
) -> None:
    """Guards against whole lists for all nodes when the store forgets its history."""
    state = make_state()
    first = changes(5, *(Item(key, at(5), b"1") for key in "abc"), listing=True)
    state.apply(first)
    behind = make_state()
    behind.apply(first)
    state.apply(
        changes(9, Item("a", at(5), b"1"), Item("b", at(8), b"2"), listing=True)
    )
    answer = state.changes_since(at(5), is_exact)
    assert answer.is_listing is not is_exact
    assert len(answer.items) == 2
    behind.apply(answer)
    assert behind.items == state.items
    between = make_state()
    between.apply(first)
    between.apply(changes(6, Item("d", at(6), b"1")))
    assert between.can_apply(answer) is not is_exact
    assert state.changes_since(at(4), is_exact).is_listing
    assert state.changes_since(at(6), is_exact).is_listing


def test_a_listing_from_several_moments_is_not_exact() -> None:
    """Guards against a key that only one of two nodes at the same revision knows."""
    state = make_state()
    state.apply(changes(5, Item("a", at(7), b"1"), listing=True))
    assert not state.is_exact()
    state.apply(changes(8, Item("b", at(8), b"1")))
    assert state.is_exact()
    state.apply(changes(9, Item("b", at(10), b"2")))
    state.apply(changes(12, Item("b", at(10), b"2"), listing=True))
    assert state.changes_since(at(9), is_exact=True).is_listing


def test_dropped_removals_make_listings_necessary() -> None:
    state = make_state(max_removed=2)
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
    store = make_state()
    store.apply(changes(1, listing=True))
    nodes = [make_state() for _ in range(3)]
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
    state = make_state()
    seen: list[list[Item]] = []

    def fail(items: list[Item]) -> None:
        raise RecursionError("an unexpected error")

    state.observers.extend((fail, seen.append))
    with logbook.TestHandler() as handler:
        state.apply(changes(5, Item("a", at(5), b"x")))
    assert [[item.key for item in items] for items in seen] == [["a"]]
    assert state.observer_errors == 1
    assert handler.records[0].extra["keys"] == ["a"]


def restored(state: published.PublishedState, *items: Item) -> None:
    """Apply the listing of a newer history."""
    epoch = state.revision.epoch + 1
    moved = [Item(i.key, at(i.revision.number, epoch), i.value) for i in items]
    state.apply(changes(5, *moved, listing=True, epoch=epoch))


RESTORED_CASES = [
    ("an older value", b"7", Item("op", at(3), b"5"), b"7"),
    ("an invalid value", b"7", Item("op", at(3), b"bad"), b"7"),
    ("no value", b"7", None, b"7"),
    ("the same value", b"7", Item("op", at(3), b"7"), b"7"),
    ("a later value", b"7", Item("op", at(3), b"8"), b"8"),
]


@pytest.mark.parametrize(("case", "known", "listed", "used"), RESTORED_CASES)
def test_a_restored_store_reverts_no_value(
    case: str, known: bytes, listed: Item | None, used: bytes
) -> None:
    state = make_state()
    state.apply(changes(9, Item("op", at(9), known), listing=True))
    values = {"op": known}
    state.observers.append(lambda items: values.update({i.key: i.value for i in items}))
    restored(state, *([listed] if listed else []))
    assert values["op"] == used, case
    other = make_state()
    other.apply(state.changes_since(other.revision))
    other.observers.append(lambda items: values.update({i.key: i.value for i in items}))
    values.clear()
    other.apply_retained(state.retained.all())
    assert values.get("op", used) == used, case
    assert other.retained.digest() == state.retained.digest()


REMOVED_CASES = [
    ("its last report", Item("a", at(3), b"4"), False),
    ("an older report", Item("a", at(2), b"3"), False),
    ("its last report, written again", Item("a", at(5), b"4"), True),
    ("a later report", Item("a", at(5), b"5"), True),
]


@pytest.mark.parametrize(("case", "listed", "is_used"), REMOVED_CASES)
def test_a_removed_key_comes_back_only_when_it_was_written_again(
    case: str, listed: Item, is_used: bool
) -> None:
    """Guards against requests to an instance that left in the lost seconds."""
    state = make_state()
    state.apply(changes(3, Item("a", at(3), b"4"), listing=True))
    state.apply(changes(4, Item("a", at(4), None)))
    seen: list[Item] = []
    state.observers.append(seen.extend)
    restored(state, listed)
    assert [item.value for item in seen] == ([listed.value] if is_used else []), case


def test_changes_of_a_newer_history_need_a_listing() -> None:
    """Guards against keys that a restored store lacks and a reader keeps."""
    state = make_state()
    state.apply(changes(9, Item("a", at(9), b"1"), listing=True))
    assert not state.can_apply(changes(3, epoch=1))
    reader = make_state()
    reader.apply(state.changes_since(reader.revision))
    restored(state)
    assert state.changes_since(at(9)).is_listing
    reader.apply(state.changes_since(reader.revision))
    assert reader.items == {}
    assert reader.revision == at(5, epoch=1)


def test_what_is_retained_is_bounded() -> None:
    state = make_state()
    state.retained.max_retained = 2
    items = [Item(str(n), at(n + 1), b"1") for n in range(4)]
    state.apply(changes(4, *items, listing=True))
    for n in range(4):
        state.apply(changes(5 + n, Item(str(n), at(5 + n), None)))
    restored(state, *items)
    assert len(state.retained.all()) == 2
    assert state.retained.refused == 2


@pytest.mark.parametrize("value", [None, b"", b"bad"])
def test_an_invalid_value_of_a_peer_is_not_retained(value: bytes | None) -> None:
    state = make_state()
    state.apply(changes(3, Item("op", at(3), b"4"), listing=True))
    seen: list[Item] = []
    state.observers.append(seen.extend)
    state.apply_retained((published.RetainedItem(Item("op", at(9), value), False),))
    assert seen == []
    assert state.retained.all() == ()
