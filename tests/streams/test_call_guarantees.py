"""Guards against calls with a wrong outcome after faults in any order.

Random calls, replies, lost connections, silent connections, partial delivery,
cancels and drains run against two nodes. In every order, each call ends once and by
its deadline, an answer belongs to its own request, and a call that ended as not run
never reached the handler of the peer.
"""

from typing import Any

import hypothesis
import hypothesis.strategies as st

from jujubetiller import codes
from tests.streams import nodes

DEADLINES_MS = (50, 400, 3_000)
SIZES = (0, 30, 20_000, 90_000)
LONGEST_MS = max(DEADLINES_MS)

STEPS = st.one_of(
    st.tuples(st.just("call"), st.sampled_from(DEADLINES_MS), st.sampled_from(SIZES)),
    st.tuples(st.just("reply"), st.integers(0, 9), st.sampled_from(SIZES)),
    st.tuples(st.just("reply_twice"), st.integers(0, 9), st.just(5)),
    st.tuples(st.just("cancel"), st.integers(0, 9), st.just(0)),
    st.tuples(st.just("cut"), st.integers(0, 3), st.just(0)),
    st.tuples(st.just("drop"), st.integers(0, 3), st.just(0)),
    st.tuples(st.just("lose"), st.integers(0, 3), st.sampled_from(SIZES)),
    st.tuples(st.just("hold"), st.integers(0, 7), st.just(0)),
    st.tuples(st.just("release"), st.just(0), st.just(0)),
    st.tuples(st.just("deliver"), st.integers(0, 7), st.just(0)),
    st.tuples(st.just("time"), st.sampled_from((10, 200, 700)), st.just(0)),
    st.tuples(st.just("unreachable"), st.booleans(), st.just(0)),
    st.tuples(st.just("drain"), st.just(0), st.just(0)),
)


class Model:
    """Applies steps to a pair of nodes and checks the invariants."""

    def __init__(self) -> None:
        self.reactor, self.caller, self.server = nodes.make_pair()
        self.factory = dict(self.reactor.listeners)
        self.calls: list[tuple[Any, float]] = []

    def ends(self) -> list[Any]:
        """Return the ends of all connections."""
        return [end for link in self.reactor.links for end in link]

    def call(self, deadline_ms: Any, size: int) -> None:
        """Send a call whose body starts with its number."""
        mark = len(self.calls)
        body = b"%d:" % mark + bytes(size)
        due_ms = self.caller.time_source.now_ms() + deadline_ms
        self.calls.append((self.caller.call(mark, deadline_ms, body=body), due_ms))

    def reply(self, number: Any, size: int) -> None:
        """Answer a request with the start of its body."""
        handler = self.server.handler
        if number < len(handler.replies):
            body = handler.requests[number].body.split(b":")[0] + b":" + bytes(size)
            handler.replies[number](nodes.answer_with(body))

    def reply_twice(self, number: Any, size: int) -> None:
        """Answer a request twice."""
        self.reply(number, size)
        self.reply(number, size)

    def cancel(self, number: Any, _: int) -> None:
        """Cancel a call."""
        if number < len(self.calls):
            self.calls[number][0].cancel()

    def cut(self, number: Any, _: int) -> None:
        """Abort a connection without delivering the bytes in transit."""
        if number < len(self.reactor.links):
            self.reactor.links[number][0].abortConnection()

    def drop(self, number: Any, _: int) -> None:
        """End a connection at the caller; the server gets what was written, later."""
        if number < len(self.reactor.links):
            self.reactor.links[number][0].drop()

    def lose(self, number: Any, size: int) -> None:
        """Lose a connection at the caller with a call in transit on it."""
        if number < len(self.reactor.links):
            near = self.reactor.links[number][0]
            near.is_held = True
            self.call(LONGEST_MS, size)
            near.drop()

    def hold(self, number: Any, _: int) -> None:
        """Stop delivery in one direction of a connection."""
        if number < len(self.ends()):
            self.ends()[number].is_held = True

    def release(self, *_: Any) -> None:
        """Resume delivery on all connections."""
        for end in self.ends():
            end.is_held = False

    def deliver(self, number: Any, _: int) -> None:
        """Move the bytes of one direction only."""
        if number < len(self.ends()):
            self.ends()[number].deliver()

    def time(self, duration_ms: Any, _: int) -> None:
        """Advance the clock and deliver bytes."""
        self.reactor.pass_time(duration_ms)

    def unreachable(self, is_so: Any, _: int) -> None:
        """Make new connections fail, or succeed again."""
        self.reactor.listeners = {} if is_so else dict(self.factory)

    def drain(self, *_: Any) -> None:
        """Let the server announce that it drains."""
        self.server.pool.announce_draining()

    def check(self, is_end: bool) -> None:
        """Check the invariants after a step, or all of them at the end."""
        now_ms = self.caller.time_source.now_ms()
        ended = [mark for mark, _ in self.caller.answers]
        assert len(ended) == len(set(ended)), "a call ended twice"
        for mark, (_, due_ms) in enumerate(self.calls):
            in_time = now_ms < due_ms + 20 or mark in ended
            assert in_time, f"call {mark} outlived its deadline"
        ran = [int(request.body.split(b":")[0]) for request in self.requests()]
        assert len(ran) == len(set(ran)), "a call ran twice"
        for mark, answer in self.caller.answers:
            if answer.outcome is codes.Outcome.ANSWERED:
                assert answer.body.startswith(b"%d:" % mark), "another call's answer"
                assert len(answer.body) - len(b"%d:" % mark) in (*SIZES, 5)
            if answer.outcome is codes.Outcome.NOT_RUN:
                assert mark not in ran, f"{answer.code.name}, but the call ran"
        if is_end:
            assert sorted(ended) == list(range(len(self.calls)))
            for node in (self.caller, self.server):
                context = node.pool.context
                assert context.partial_bodies.reserved_bytes == 0
                assert context.statistics.calls_under_way == 0

    def requests(self) -> list[Any]:
        """Return the requests that the server's handler received."""
        return self.server.handler.requests


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(st.lists(STEPS, max_size=30))
@hypothesis.example(
    [("call", 3_000, 0), ("time", 200, 0), ("lose", 0, 0), ("time", 200, 0)]
)
def test_outcomes_are_correct_after_any_faults(
    steps: list[tuple[str, Any, int]],
) -> None:
    model = Model()
    for step, *arguments in steps:
        getattr(model, step)(*arguments)
        model.check(is_end=False)
    model.release()
    model.time(LONGEST_MS + 100, 0)
    model.check(is_end=True)
