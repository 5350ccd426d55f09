"""Guards against answers of the store that count as proofs although they are none."""

import json
import math
from typing import Any

import pytest
import result
from twisted.web import http_headers

from jujubetiller import http_reads
from tests.platform import test_store_reader


def start_world() -> tuple[test_store_reader.World, float]:
    """Return a reader that waits in a watch, and as of when it knows the store."""
    world = test_store_reader.start_world()
    assert world.reader.waiting
    return world, world.source.freshness.proofs.own_as_of_ms


def age_ms(world: test_store_reader.World) -> float:
    return world.source.freshness.proofs.own_age_ms()


def answer_watch(world: test_store_reader.World, answer: Any) -> None:
    read = world.reader.waiting.pop()
    read.timeout.cancel()
    read.done.callback(answer)


def test_a_listing_counts_from_the_start_of_its_first_page() -> None:
    world = test_store_reader.World(page_items=1)
    for key in ("a", "b", "c", "d"):
        world.store.put(key, b"1")
    assert age_ms(world) == math.inf
    started_ms = world.reactor.seconds() * 1_000.0
    world.source.start()
    while math.isinf(age_ms(world)):
        world.run(0.01)
    assert world.source.freshness.proofs.own_as_of_ms == pytest.approx(started_ms)


def ok(body: bytes, epoch: str = "1") -> Any:
    headers = http_headers.Headers({"Store-Era": [epoch]})
    return result.Ok(http_reads.HttpAnswer(200, body, headers))


@pytest.mark.parametrize(
    "answer",
    [
        result.Err(http_reads.ReadProblem.SILENT),
        result.Err(http_reads.ReadProblem.UNREACHABLE),
        *(
            result.Ok(http_reads.HttpAnswer(status, b"", http_headers.Headers()))
            for status in (410, 429, 503, 500, 204)
        ),
        ok(b""),
        ok(b"{"),
        ok(b"{}"),
        ok(b'{"events": []}'),
        ok(b'{"events": 5, "as_of": 4}'),
        ok(b'{"events": [{"key": 5}], "as_of": 4}'),
        ok(b'{"events": [], "as_of": 4}', "2"),
        ok(b'{"events": [], "as_of": 4}', "0"),
        ok(b'{"events": [], "as_of": 1}'),
    ],
)
def test_an_answer_that_is_not_applied_proves_nothing(answer: Any) -> None:
    world, before_ms = start_world()
    world.reader.failure = result.Err(http_reads.ReadProblem.UNREACHABLE)
    world.reactor.advance(2.0)
    answer_watch(world, answer)
    world.reactor.advance(3.0)
    assert world.source.freshness.proofs.own_as_of_ms == before_ms


def test_a_watch_with_changes_counts_from_its_start() -> None:
    world, before_ms = start_world()
    world.run(1.0)
    before_ms = world.source.freshness.proofs.own_as_of_ms
    started_ms = world.reactor.seconds() * 1_000.0
    world.store.put("a", b"2")
    world.run(0.02)
    assert before_ms <= world.source.freshness.proofs.own_as_of_ms < started_ms


def test_a_reader_that_was_replaced_or_stopped_proves_nothing() -> None:
    world, before_ms = start_world()
    world.reader.failure = result.Err(http_reads.ReadProblem.UNREACHABLE)
    read = world.reader.waiting[-1]
    world.source.stop()
    world.reactor.advance(2.0)
    if not read.done.called:
        read.done.callback(ok(b'{"events": [], "as_of": 4}'))
    assert world.source.freshness.proofs.own_as_of_ms == before_ms


@pytest.mark.parametrize("events", [[], [{"key": "a", "revision": 2, "value": "MQ=="}]])
def test_changes_that_a_watch_leaves_out_are_listed(events: list[Any]) -> None:
    """Guards against a change that is lost for good, and a proof that it was seen.

    The answer names a later revision than its last event: the store left out some.
    """
    world, before_ms = start_world()
    after = world.source.state.revision.number
    world.store.put("op/config", b"new")
    newest = world.store.revision
    rows = [{**event, "revision": after + 1} for event in events]
    assert newest + 5 > after + len(rows)
    world.store.revision = newest + 5
    body = json.dumps({"events": rows, "as_of": newest + 5}).encode()
    answer_watch(world, ok(body, str(world.source.state.revision.epoch)))
    assert world.source.state.revision.number == after
    assert world.source.freshness.proofs.own_as_of_ms == before_ms
    world.run(2.0)
    assert world.source.short_answers == 1
    assert world.source.state.revision.number >= newest
    assert world.source.freshness.proofs.own_as_of_ms > before_ms
