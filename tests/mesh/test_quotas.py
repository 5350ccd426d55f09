"""Guards against requests that a quota loses, admits twice or reports as overload."""

import attrs
import pytest

from jujubetiller import calls, clock, codes, edge, published, quotas, settings, teams
from jujubetiller.mesh import _quota_exchange, _quota_message
from tests.mesh import local_mesh

TEAM = "weavers"
KEY = "key-of-weavers"
AGE_MS = 100.0


class QuotaMesh(local_mesh.LocalMesh):
    """A local mesh whose team has a rate, with an own share once it has waited."""

    def __init__(self, rate_per_s: float = 10.0, hosts: int = 1) -> None:
        super().__init__()
        self.parts.state_age = published.StateAge(self.clock)
        # Keys may be as old as they like here, so that only the quota refuses.
        self.parts.keys.settings = settings.TeamSettings()
        self.parts.quota = _quota_exchange.QuotaExchange(
            self.parts, self.node.exchange, "seed"
        )
        self.node.parts.quota = self.parts.quota
        current = self.parts.configuration.current
        assert current is not None
        digests = frozenset([teams.digest_key(KEY)])
        team = teams.Team(TEAM, digests, rate_per_s=rate_per_s)
        self.parts.configuration.current = attrs.evolve(
            current, team_table=teams.TeamTable([team])
        )
        # One zone has the own node only, so that it is its own coordinator.
        names = list(local_mesh.HOSTS)[hosts:]
        for name in names:
            self.remove_instance(name)
        self.confirm_removals()
        self.parts.directory.apply_removals()
        self.parts.quota.start()

    def wait(self, duration_ms: float) -> None:
        """Let time pass; the store is known well."""
        for _ in range(int(duration_ms / 100.0)):
            self.parts.state_age.record_read(self.clock.now_ms() - AGE_MS)
            self.reactor.advance(0.1)

    def send(self) -> edge.EdgeReply | None:
        """Send a request of the team; return the reply, if there is one yet."""
        before = len(self.replies)
        self.cancel = self.send_request(authorization=f"Bearer {KEY}")
        return self.replies[before] if len(self.replies) > before else None

    def counters(self) -> quotas.QuotaCounters:
        return self.parts.quota.rounds.counters


def test_nothing_is_sent_or_refused_while_no_team_has_a_rate() -> None:
    mesh = QuotaMesh(rate_per_s=0.0, hosts=3)
    mesh.wait(8_000.0)
    assert not mesh.pool.calls
    assert mesh.send() is None
    assert len(mesh.pool.calls) == 1
    assert mesh.pool.calls[0].request.service == "booth"


def test_a_request_without_token_is_refused_with_a_time_and_no_overload() -> None:
    """A 429 that looks like overload would throttle the route for all teams."""
    mesh = QuotaMesh()
    reply = mesh.send()
    assert reply is not None
    headers = dict(reply.headers)
    assert (reply.status, headers["Jujubetiller-Code"]) == (429, "108")
    assert float(headers["Retry-After"]) >= quotas.LISTED_MS / 1000.0
    assert mesh.counters().refused == 1
    throttles = mesh.parts.throttles
    assert throttles.refused == 0
    assert mesh.parts.delays.read() == 0.0
    assert mesh.parts.state.requests_under_way == 0


def test_tokens_at_hand_admit_at_once_and_only_so_many() -> None:
    mesh = QuotaMesh(hosts=3)
    mesh.wait(quotas.LISTED_MS + 1_500.0)
    mesh.parts.quota.rounds.node.add_grants(
        [quotas.Grant(TEAM, 2.0, 1_000.0, 0.0)], mesh.clock.now_ms(), 10**9
    )
    mesh.pool.calls.clear()
    assert mesh.send() is None and mesh.send() is None
    assert [call.request.service for call in mesh.pool.calls] == ["booth", "booth"]
    assert mesh.counters().used == 2


def test_a_request_that_was_not_run_gives_its_token_back() -> None:
    mesh = QuotaMesh(hosts=3)
    mesh.parts.quota.rounds.node.add_grants(
        [quotas.Grant(TEAM, 1.0, 1_000.0, 0.0)], mesh.clock.now_ms(), 10**9
    )
    mesh.send()
    for _ in range(4):
        mesh.answer_call(codes.ResultCode.QUEUE_FULL)
        if mesh.replies:
            break
    assert mesh.replies[0].status == 503
    assert mesh.counters().given_back == 1
    assert mesh.parts.quota.rounds.node.try_acquire(TEAM) is not None
    mesh.reactor.advance(1.0)
    assert mesh.parts.quota.rounds.node.try_acquire(TEAM) is None


def test_an_answered_request_keeps_its_token_and_retries_take_none() -> None:
    mesh = QuotaMesh(hosts=3)
    mesh.parts.quota.rounds.node.add_grants(
        [quotas.Grant(TEAM, 2.0, 1_000.0, 0.0)], mesh.clock.now_ms(), 10**9
    )
    mesh.send()
    mesh.answer_call(codes.ResultCode.QUEUE_FULL)
    mesh.answer_call()
    assert mesh.replies[0].status == 200
    assert mesh.counters().used == 1
    assert mesh.counters().given_back == 0


def test_a_waiting_request_is_dropped_when_its_client_leaves() -> None:
    """A dropped request that is admitted later would run for nobody."""
    mesh = QuotaMesh(hosts=3)
    rounds = mesh.parts.quota.rounds
    peer = next(host for host in local_mesh.HOSTS.values() if host != rounds.own_host)
    rounds.choice.set_nodes({rounds.zone: {peer}})
    assert mesh.send() is None
    assert mesh.pool.calls[-1].request.path == "/quota"
    question = _quota_message.decode_question(mesh.pool.calls[-1].request.body).unwrap()
    assert question.demands == (quotas.Demand(TEAM, 1.0, 0.0),)
    mesh.cancel()
    assert not rounds.waiting.queues
    assert mesh.parts.state.requests_under_way == 0
    answer_question(mesh, amount=1.0)
    assert len(mesh.pool.calls) == 1
    assert rounds.node.try_acquire(TEAM) is not None


def answer_question(mesh: QuotaMesh, amount: float) -> None:
    """Answer the latest question with tokens."""
    call = mesh.pool.calls[-1]
    question = _quota_message.decode_question(call.request.body).unwrap()
    grants = (quotas.Grant(TEAM, amount, 1_000.0, 250.0),)
    answer = quotas.Answer(question.number, 1, 0.0, 10**9, grants)
    reply = calls.make_refusal(codes.ResultCode.ANSWERED)
    reply.body = _quota_message.encode_answer(answer)
    call.reply(reply)


@pytest.mark.parametrize("granted", [1.0, 0.0])
def test_a_waiting_request_follows_the_answer_of_the_coordinator(
    granted: float,
) -> None:
    mesh = QuotaMesh(hosts=3)
    rounds = mesh.parts.quota.rounds
    rounds.choice.set_nodes({rounds.zone: {"127.0.0.9"}})
    mesh.send()
    answer_question(mesh, granted)
    if granted:
        assert mesh.pool.calls[-1].request.service == "booth"
        assert not mesh.replies
    else:
        assert mesh.replies[0].status == 429


def test_a_request_waits_no_longer_than_its_time() -> None:
    mesh = QuotaMesh(hosts=3)
    rounds = mesh.parts.quota.rounds
    rounds.choice.set_nodes({rounds.zone: {"127.0.0.9"}})
    mesh.send()
    mesh.reactor.advance(0.11)
    assert [reply.status for reply in mesh.replies] == [429]


def test_a_peer_gets_an_answer_to_a_question_and_none_to_a_bad_one() -> None:
    mesh = QuotaMesh()
    question = quotas.Question("127.0.0.9", 3, 1, 1, False, None, ())
    body = _quota_message.encode_question(question)
    mesh.receive_call(service="", path="/quota", body=body)
    answer = _quota_message.decode_answer(mesh.answers[-1].body).unwrap()
    assert (answer.number, answer.grants) == (1, ())
    mesh.receive_call(service="", path="/quota", body=body[:-1])
    assert mesh.answers[-1].code is codes.ResultCode.BAD_FRAME
    assert mesh.counters().rejected == 1


def test_a_node_whose_own_removal_is_not_final_is_not_listed() -> None:
    """Others may know that it is final, and divide the rate among themselves."""
    mesh = QuotaMesh(hosts=3)
    mesh.parts.directory.is_settled = lambda revision: False
    mesh.remove_instance(local_mesh.OWN)
    hosts, is_listed = mesh.parts.directory.find_listed_hosts("127.0.0.1")
    assert "127.0.0.1" in hosts
    assert not is_listed


def test_the_clock_of_ages_counts_suspensions() -> None:
    """A clock that stands still would keep a share through a suspension."""
    node = local_mesh.LocalMesh().node
    assert isinstance(node.parts.quota.clock, clock.BootClock)
