"""Guards against messages of peers that count as proofs although they are none."""

import math

import attrs
import pytest

from jujubetiller import calls, clock, published
from jujubetiller.mesh import _state_message
from tests.mesh import local_mesh

AGE_MS, ON_ITS_WAY_MS = 300.0, 450.0


class AgeMesh(local_mesh.LocalMesh):
    """A node of the second history that knows nothing of the age of its state."""

    def __init__(self) -> None:
        super().__init__()
        self.boot_clock = clock.ManualClock(1e6)
        self.parts.state_age.clock = self.boot_clock
        self.own = published.Revision(2, 40)
        self.node.state.apply(published.Changes(self.own, (), True))

    def answer(
        self,
        revision: published.Revision,
        is_listing: bool = False,
        base: published.Revision | None = None,
        age_ms: float | None = AGE_MS,
    ) -> _state_message.StateAnswer:
        changes = published.Changes(revision, (), is_listing, base)
        return _state_message.StateAnswer(changes, revision, age_ms=age_ms)


def revision(epoch: int, number: int) -> published.Revision:
    return published.Revision(epoch, number)


@pytest.mark.parametrize(
    ("case", "number", "is_listing", "base", "is_proof"),
    [
        ("no news", revision(2, 40), False, None, True),
        ("changes", revision(2, 41), False, None, True),
        ("a listing", revision(2, 41), True, None, True),
        ("a node that lags behind", revision(2, 39), False, None, True),
        ("changes of a newer history", revision(3, 5), False, None, False),
        ("a listing of a newer history", revision(3, 5), True, None, True),
        ("an older history", revision(1, 90), False, None, False),
        ("from here only", revision(2, 41), False, revision(2, 40), True),
        ("from elsewhere only", revision(2, 41), False, revision(2, 38), False),
    ],
)
def test_an_answer_proves_its_age_only_without_a_gap(
    case: str,
    number: published.Revision,
    is_listing: bool,
    base: published.Revision | None,
    is_proof: bool,
) -> None:
    world = AgeMesh()
    sent_ms = world.boot_clock.now_ms()
    world.boot_clock.advance(ON_ITS_WAY_MS)
    answer = world.answer(number, is_listing, base)
    world.node.exchange.merge.apply_answer(answer, sent_ms)
    expected_ms = AGE_MS + ON_ITS_WAY_MS if is_proof else math.inf
    assert world.parts.state_age.age_ms() == expected_ms, case


def test_an_answer_without_an_age_proves_nothing() -> None:
    world = AgeMesh()
    answer = world.answer(world.own, age_ms=None)
    world.node.exchange.merge.apply_answer(answer, world.boot_clock.now_ms())
    assert world.parts.state_age.age_ms() == math.inf


def test_a_push_proves_nothing() -> None:
    """Guards against a push that was held up on its way."""
    world = AgeMesh()
    world.parts.state_age.record_read(world.boot_clock.now_ms())
    pusher = world.node.reading.pusher
    push = pusher._make_push()
    assert _state_message.decode_answer(push.answer).unwrap().age_ms is None
    answer = world.answer(revision(2, 41), age_ms=0.0)
    push = attrs.evolve(push, base=world.own, answer=answer.encode())
    world.boot_clock.advance(900.0)
    request = calls.CallRequest(
        "", "GET", "/push", "", 0, 0, True, 100.0, body=push.encode()
    )
    pusher.receive(request)
    assert world.node.state.revision == revision(2, 41)
    assert world.parts.state_age.age_ms() == 900.0


def test_an_answer_names_the_age_as_of_when_it_is_made() -> None:
    world = AgeMesh()
    request = _state_message.StateRequest(
        world.own, local_mesh.settings.Address("127.0.0.2", 7620)
    )
    merge = world.node.exchange.merge
    assert merge.make_answer(request).age_ms is None
    world.parts.state_age.record_read(world.boot_clock.now_ms())
    world.boot_clock.advance(125.0)
    assert merge.make_answer(request).age_ms == 125.0
