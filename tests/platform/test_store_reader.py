"""Guards against changes of the store that are lost, delayed or applied twice."""

import random
from typing import Any

import attrs
import pytest
import result
from twisted.internet import defer, task
from twisted.web import http_headers

from jujubetiller import http_reads, platform, published, settings
from jujubetiller.platform import _store_answer
from standins import store
from tests import reactor_clock


@attrs.define
class Read:
    """A request that the store has not answered yet."""

    path: str
    done: defer.Deferred[Any]
    timeout: Any


class FakeReader:
    """Answers reads from a store, or with the failure that a test sets."""

    def __init__(
        self, reactor: task.Clock, published_store: store.PublishedStore
    ) -> None:
        self.reactor = reactor
        self.store = published_store
        self.failure: Any = None
        self.headers: list[tuple[str, str]] = []
        """Headers of the answers in place of those of the store."""

        self.paths: list[str] = []
        self.waiting: list[Read] = []

    def get(self, path: str, timeout_ms: float, max_bytes: int) -> defer.Deferred[Any]:
        self.paths.append(path)
        done: defer.Deferred[Any] = defer.Deferred(lambda _: None)
        if self.failure is not None:
            self.reactor.callLater(0, done.callback, self.failure)
            return done
        late = self.reactor.callLater(timeout_ms / 1000.0, self.time_out, done)
        self.waiting.append(Read(path, done, late))
        self.reactor.callLater(0, self.answer_waiting)
        return done

    def time_out(self, done: defer.Deferred[Any]) -> None:
        self.waiting = [read for read in self.waiting if read.done is not done]
        if not done.called:
            done.callback(result.Err(http_reads.ReadProblem.SILENT))

    def answer_waiting(self) -> None:
        """Answer the reads that the store has an answer for."""
        for read in tuple(self.waiting):
            answer = self.store.answer(read.path)
            if answer is not None:
                self.waiting.remove(read)
                read.timeout.cancel()
                read.done.callback(result.Ok(self.make_answer(*answer)))

    def make_answer(self, status: int, body: bytes) -> http_reads.HttpAnswer:
        """Return an answer of the store with its headers, or with those of the test."""
        headers = http_headers.Headers()
        for name, value in self.headers or self.store.headers():
            headers.addRawHeader(name, value)
        return http_reads.HttpAnswer(status, body, headers)


class World:
    """A reader of a store on a reactor that only the test advances."""

    def __init__(self, **changes: Any) -> None:
        self.reactor = task.Clock()
        self.store = store.PublishedStore(**changes)
        self.state = published.PublishedState(platform.PlatformDecoder())
        self.source = platform.StoreReader(
            self.reactor,
            reactor_clock.ReactorClock(self.reactor),
            random.Random(5),
            settings.StoreSettings(settings.Address("127.0.0.9", 80)),
            self.state,
        )
        self.reader = FakeReader(self.reactor, self.store)
        self.source.reader = self.reader  # type: ignore[assignment]

    def run(self, seconds: float = 0.6) -> None:
        for _ in range(int(seconds * 100)):
            self.reactor.advance(0.01)
            self.reader.answer_waiting()

    def values(self) -> dict[str, bytes | None]:
        return {key: item.value for key, item in self.state.items.items()}


def test_pages_are_read_to_the_end_and_the_watch_returns_the_rest() -> None:
    world = World(page_items=3)
    for number in range(8):
        world.store.put(f"k{number}", b"%d" % number)
    world.source.start()
    world.run()
    assert len(world.values()) == 8
    world.store.put("k3", b"new")
    world.store.remove("k5")
    world.run()
    assert world.values()["k3"] == b"new"
    assert "k5" not in world.values()
    listings = [path for path in world.reader.paths if "kv-range" in path]
    assert len(listings) == 3


def test_a_stale_listing_is_completed_by_the_watch() -> None:
    world = World()
    world.store.put("a", b"1")
    world.store.stale_revision = world.store.revision
    world.store.put("b", b"2")
    world.source.start()
    world.run()
    assert world.values() == {"a": b"1", "b": b"2"}


def test_after_the_history_expired_a_fresh_listing_is_read() -> None:
    """Guards against a missed removal that the store dropped from its history."""
    world = World()
    world.store.put("a", b"1")
    world.store.put("b", b"2")
    world.source.start()
    world.run()
    world.reader.waiting.clear()
    world.store.remove("a")
    world.store.put("c", b"3")
    world.store.compact()
    world.store.stale_revision = 2
    world.run(7.0)
    assert world.values() == {"b": b"2", "c": b"3"}
    assert "serializable" not in [p for p in world.reader.paths if "range" in p][-1]


def test_a_watch_that_times_out_is_started_again() -> None:
    world = World()
    world.store.put("a", b"1")
    world.source.start()
    world.run()
    lost = world.reader.waiting.pop()
    world.store.put("a", b"2")
    lost.timeout.reset(5.0)
    world.run(6.0)
    assert world.values() == {"a": b"2"}


@pytest.mark.parametrize(
    "failure",
    [
        result.Err(http_reads.ReadProblem.UNREACHABLE),
        result.Ok(http_reads.HttpAnswer(503, b"")),
        result.Ok(http_reads.HttpAnswer(429, b"")),
        result.Ok(http_reads.HttpAnswer(200, b"{")),
        result.Ok(http_reads.HttpAnswer(200, b'{"items": 5, "as_of": 3}')),
        result.Ok(http_reads.HttpAnswer(200, b'{"items": [{"key": 1}], "as_of": 3}')),
    ],
)
def test_reads_of_a_failing_store_back_off_until_it_recovers(
    failure: Any,
) -> None:
    world = World()
    world.store.put("a", b"1")
    world.reader.failure = failure
    world.source.start()
    world.run(20.0)
    assert 15 < len(world.reader.paths) < 45
    assert world.source.age_ms() == -1
    world.reader.failure = None
    world.run(1.5)
    assert world.values() == {"a": b"1"}
    assert world.source.age_ms() >= 0
    assert world.source.recovered_at_ms() > 19_000


def test_changes_in_a_series_are_read_together() -> None:
    """Guards against a request to the store for each change."""
    world = World()
    world.store.put("a", b"0")
    world.source.start()
    world.run()
    before = len(world.reader.paths)
    for number in range(40):
        world.store.put("a", b"%d" % number)
        world.run(0.1)
    world.run(0.6)
    assert world.values() == {"a": b"39"}
    assert len(world.reader.paths) - before <= 12


def test_a_stopped_reader_reads_no_more() -> None:
    world = World()
    world.source.start()
    world.run()
    asked = len(world.reader.paths)
    world.source.stop()
    world.run(10.0)
    assert len(world.reader.paths) == asked


def start_world(**changes: Any) -> World:
    world = World(**changes)
    for key in ("a", "b", "c"):
        world.store.put(key, b"1")
    world.source.start()
    world.run()
    return world


BAD_EPOCHS = ["", "one", "-3", "1.5", "9" * 400, str(2**53 + 1), "0x2", "\u0662"]


@pytest.mark.parametrize("epoch", BAD_EPOCHS)
def test_an_answer_with_a_wrong_epoch_keeps_the_last_good_one(epoch: str) -> None:
    world = start_world()
    world.reader.headers = [("Store-Era", epoch)]
    world.store.put("a", b"2")
    world.run(1.0)
    assert world.values()["a"] == b"2"
    assert world.state.revision.epoch == 1
    assert world.source.epoch_reader.malformed > 0


def test_answers_without_an_epoch_are_of_the_last_history() -> None:
    world = start_world()
    world.reader.headers = [("Other", "1")]
    world.store.put("a", b"2")
    world.run(1.0)
    assert world.values()["a"] == b"2"
    assert world.state.revision == published.Revision(1, world.store.revision)


def test_answers_of_an_older_history_change_nothing() -> None:
    world = start_world()
    world.store.restore(world.store.revision)
    world.store.put("d", b"1")
    world.run(1.0)
    assert world.state.revision.epoch == 2
    world.reader.headers = [("Store-Era", "1")]
    world.store.put("a", b"2")
    before = len(world.reader.paths)
    world.run(20.0)
    assert world.values()["a"] == b"1"
    assert 10 < len(world.reader.paths) - before < 60
    world.reader.headers = []
    world.run(2.0)
    assert world.values()["a"] == b"2"


def test_one_wrong_header_does_not_lead_to_another_history() -> None:
    """Guards against a fleet that rejects the store for the rest of its life."""
    world = start_world()
    world.reader.headers = [("Store-Era", "77")]
    world.store.put("a", b"2")
    world.reader.answer_waiting()
    world.reader.headers = []
    world.run(2.0)
    assert world.values()["a"] == b"2"
    assert world.state.revision == published.Revision(1, world.store.revision)


def test_pages_of_two_histories_are_no_listing() -> None:
    """Guards against a list of which one page is from before a restore."""
    world = World(page_items=2)
    for number in range(6):
        world.store.put(f"k{number}", b"old")
    copied_revision = world.store.revision
    answer = world.store.answer

    def restore_before_the_second_page(uri: str) -> Any:
        if "after=k1" in uri and world.store.epoch == 1:
            world.store.restore(copied_revision - 5)
            world.store.put("k0", b"new")
        return answer(uri)

    world.store.answer = restore_before_the_second_page  # type: ignore[method-assign]
    world.source.start()
    world.run(2.0)
    assert world.values() == {"k0": b"new"}
    assert world.state.revision.epoch == 2


@pytest.mark.parametrize("status", [503, 429, 410, 404])
def test_an_answer_of_any_status_shows_a_restore(status: int) -> None:
    world = start_world()
    world.store.restore(world.store.revision - 1)
    world.store.put("d", b"new")
    failure = http_reads.HttpAnswer(
        status, b"", http_headers.Headers({"Store-Era": ["2"]})
    )
    read = world.reader.waiting.pop()
    read.timeout.cancel()
    read.done.callback(result.Ok(failure))
    world.run(1.0)
    assert world.values() == {"a": b"1", "b": b"1", "d": b"new"}


def test_a_history_that_peers_bring_is_watched_at_once_without_a_listing() -> None:
    """Guards against a fleet whose nodes all list the store after a restore."""
    world = start_world()
    listings = len([path for path in world.reader.paths if "range" in path])
    world.store.restore(world.store.revision - 1)
    items = tuple(
        published.PublishedItem(key, published.Revision(2, row["revision"]), b"1")
        for key, row in world.store.items.items()
    )
    revision = published.Revision(2, world.store.revision)
    world.state.apply(published.Changes(revision, items, True))
    assert world.source.age_ms() == -1
    world.store.put("c", b"new")
    world.run(0.6)
    assert world.values()["c"] == b"new"
    assert world.source.age_ms() >= 0
    assert len([p for p in world.reader.paths if "range" in p]) == listings


def test_a_store_that_expires_each_history_is_not_listed_without_a_pause() -> None:
    world = start_world()
    before = len(world.reader.paths)
    for _ in range(200):
        world.store.history_from = world.store.revision + 1
        world.run(0.02)
        world.store.history_from = world.store.revision + 1
    assert len(world.reader.paths) - before < 40


BAD_ROWS: list[Any] = [
    {"key": "b", "value": "no base64", "revision": 3},
    {"key": "b", "value": "YQ==", "revision": "x"},
    {"key": "b", "value": None, "revision": 3},
    {"key": "b\ud800", "value": "YQ==", "revision": 3},
    {"key": "", "value": "YQ==", "revision": 3},
]


@pytest.mark.parametrize("page_items", [1, 500])
def test_an_item_that_cannot_be_read_costs_no_other(page_items: int) -> None:
    world = World(page_items=page_items)
    for key in ("a", "b", "c"):
        world.store.put(key, b"1")
    for item in (world.store.items["b"], world.store.items["c"]):
        item["value"] = "no base64"
    world.store.put("d", b"1")
    world.source.start()
    world.run()
    assert set(world.values()) == {"a", "d"}
    world.store.put("e", b"1")
    world.store.events[-1]["value"] = None
    world.store.put("f", b"1")
    world.run()
    assert set(world.values()) == {"a", "d", "f"}
    assert world.source.read_counters()["item_malformed"] == 3
    assert world.source.read_counters()["answer_malformed"] == 0


@pytest.mark.parametrize("row", BAD_ROWS)
def test_a_listing_with_a_row_that_cannot_be_read_is_applied(row: Any) -> None:
    answer = _store_answer.StoreAnswer(
        200,
        {"items": [row, {"key": "c", "value": "YQ==", "revision": 3}], "as_of": 4},
        1,
    )
    rows = answer.read_items("items")
    assert [item.key for item in rows.items] == ["c"]
    assert len(rows.problems) == 1
    assert rows.last_key == "c"


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"5", b"{}", b'{"items": 5}', b'{"items": [5]}', b"[" * 100_000],
)
def test_a_page_that_can_not_be_read_names_no_node(body: bytes) -> None:
    """Guards against a node that never starts because of one wrong answer."""
    world = World()
    seen: list[tuple[published.PublishedItem, ...]] = []
    world.reader.store = None  # type: ignore[assignment]
    world.source.peek(seen.append)
    world.reader.waiting[0].done.callback(
        result.Ok(http_reads.HttpAnswer(200, body, http_headers.Headers()))
    )
    assert seen == [()]


def test_a_page_is_read_stale_and_changes_nothing() -> None:
    world = World()
    world.store.put("servers/a", b"1")
    seen: list[tuple[published.PublishedItem, ...]] = []
    world.source.peek(seen.append)
    world.run(0.1)
    assert [item.key for item in seen[0]] == ["servers/a"]
    assert "serializable=1" in world.reader.paths[0]
    assert world.values() == {}
