"""The quotas of teams at one node: its rounds, its messages and its requests."""

import random
from collections.abc import Callable, Mapping
from typing import Any

import logbook
import result

from jujubetiller import calls, codes, metrics, quotas, routes, settings
from jujubetiller.mesh import _mesh_parts, _quota_message, _state_exchange

_LOG = logbook.Logger("jujubetiller.mesh.quota")

PATH = "/quota"
"""Path of the calls in which nodes ask each other for tokens."""

JITTER = 0.2
"""Part by which the pause between two rounds varies, so that they spread."""


class QuotaExchange(quotas.Transport):
    """Admits clients' requests of teams, and runs the node's part in all quotas.

    It sends nothing while no team of the configuration has a rate.
    """

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        exchange: _state_exchange.StateExchange,
        seed: str,
    ) -> None:
        self.parts = parts
        self.exchange = exchange
        # A source of its own: the choices of other components do not depend on it.
        self.random = random.Random(seed)
        self.clock = parts.state_age.clock
        self.own_host = parts.settings.listen.peer.host
        self.rounds = quotas.QuotaRounds(
            self.clock, self.random, self, self.own_host, parts.settings.zone
        )
        self.applied: tuple[routes.Configuration, settings.QuotaSettings] | None = None
        self.applied_refreshes = -1
        self.zones: Mapping[str, set[str]] = {}
        self.hosts: frozenset[str] = frozenset()
        self.is_listed = False
        self.timer: Any = None
        self.is_stopped = False
        parts.metrics.export(self._make_groups())

    def start(self) -> None:
        """Start the rounds."""
        self.run_round()

    def stop(self) -> None:
        """Run no more rounds; tokens at hand are used up."""
        self.is_stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def run_round(self) -> None:
        """Run one round, and schedule the next one."""
        if self.is_stopped:
            return
        factor = 1.0 + JITTER * self.random.uniform(-1.0, 1.0)
        # Scheduled first, so that an exception below does not end the rounds.
        self.timer = self.parts.reactor.callLater(
            quotas.ROUND_MS * factor / 1000.0, self.run_round
        )
        self.apply()
        self.rounds.run_round()

    def apply(self) -> None:
        """Apply the configuration, the list of nodes and its age.

        Called for each change of the list or the configuration, and in each round.
        """
        configuration = self.parts.configuration.current
        if configuration is not None:
            found = configuration, self.parts.settings.quotas
            if self.applied is None or any(
                new is not old for new, old in zip(found, self.applied, strict=True)
            ):
                self.applied = found
                self.rounds.configure(_derive_limits(*found), configuration.version)
        directory = self.parts.directory
        if directory.refreshes != self.applied_refreshes:
            self.applied_refreshes = directory.refreshes
            self.zones = directory.hosts_by_zone(with_leaving=False)
            self.hosts, self.is_listed = directory.find_listed_hosts(self.own_host)
        self.rounds.update_nodes(
            self.zones, self.hosts, self.is_listed, self.parts.state_age.known_as_of_ms
        )

    def acquire(
        self,
        team: str,
        request_id: str,
        admitted: Callable[[quotas.Token | None], None],
        refused: Callable[[float], None],
    ) -> Callable[[], None] | None:
        """Admit a request now or within 100 ms, or refuse it.

        ``admitted`` gets the token, or None if the request needs none; ``refused`` gets
        the milliseconds until tokens are expected. The result drops a request that
        waits; it is None if the request does not wait.
        """

        def refuse(refusal: quotas.Refusal) -> None:
            # Nothing is built for a line that is suppressed: a team far above its
            # rate is refused thousands of times.
            unlogged = self.parts.refusal_log.admit("quota exceeded")
            if unlogged is None:
                refused(refusal.retry_after_ms)
                return
            _LOG.info(
                "quota exceeded",
                extra={
                    "request": request_id,
                    "team": team,
                    "rate_per_s": round(refusal.rate_per_s, 3),
                    "asked": refusal.asked,
                    "granted": refusal.granted,
                    "share": round(self.rounds.own_share.share, 5),
                    "share_age_ms": round(refusal.share_age_ms, 1),
                    "retry_after_ms": round(refusal.retry_after_ms, 1),
                    "unlogged": unlogged,
                },
            )
            refused(refusal.retry_after_ms)

        return self.rounds.acquire(team, admitted, refuse)

    def give_back(self, token: quotas.Token) -> None:
        """Return the token of a request that has not run."""
        self.rounds.give_back(token)

    def receive(
        self,
        request: calls.CallRequest,
        reply: Callable[[calls.CallAnswer], None],
    ) -> None:
        """Answer the question of a peer; that may wait for other zones."""
        decoded = _quota_message.decode_question(request.body)
        if isinstance(decoded, result.Err):
            self.rounds.counters.rejected += 1
            _LOG.warning("quota question rejected: {}", decoded.err_value)
            reply(calls.make_refusal(codes.ResultCode.BAD_FRAME))
            return

        def answer(found: quotas.Answer) -> None:
            body = _quota_message.encode_answer(found)
            reply(_state_exchange.make_call_answer(body))

        self.rounds.receive(decoded.ok_value, answer)

    def ask(
        self,
        host: str,
        question: quotas.Question,
        answered: Callable[[quotas.Answer | None], None],
    ) -> None:
        """Send a question to the node on ``host``."""

        def receive(answer: calls.CallAnswer) -> None:
            if answer.code is not codes.ResultCode.ANSWERED:
                answered(None)
                return
            decoded = _quota_message.decode_answer(answer.body)
            if isinstance(decoded, result.Err):
                self.rounds.counters.rejected += 1
                _LOG.warning(
                    "quota answer rejected: {}",
                    decoded.err_value,
                    extra={"host": host},
                )
                answered(None)
                return
            answered(decoded.ok_value)

        address = settings.Address(host, self.parts.directory.peer_port)
        body = _quota_message.encode_question(question)
        self.exchange.send(address, PATH, body, receive)

    def call_later(
        self, delay_ms: float, function: Callable[[], None]
    ) -> Callable[[], None]:
        """Call ``function`` after ``delay_ms``; the result cancels that."""
        timer = self.parts.reactor.callLater(delay_ms / 1000.0, function)

        def cancel() -> None:
            if timer.active():
                timer.cancel()

        return cancel

    def _make_groups(self) -> list[metrics.CounterGroup]:
        return [
            metrics.CounterGroup(
                "quota",
                "Tokens and refusals of teams' requests, by what became of them.",
                self._read_counters,
            ),
            metrics.CounterGroup(
                "quota_share",
                "The node's part of all rates, the shares that it uses for itself and "
                "others, and the teams that have a rate.",
                self._read_shares,
                is_counter=False,
            ),
        ]

    def _read_counters(self) -> Mapping[str, float]:
        counters = self.rounds.counters
        return {
            "granted": counters.granted,
            "used": float(counters.used),
            "given_back": float(counters.given_back),
            "expired": self.rounds.node.count_expired(),
            "refused": float(counters.refused),
            "waiting_over_bound": float(counters.over_bound),
            "granted_to_nodes": counters.granted_to_nodes,
            "granted_to_zones": counters.granted_to_zones,
            "borrowed": counters.borrowed,
            "questions": float(counters.questions),
            "unanswered": float(counters.unanswered),
            "rejected": float(counters.rejected),
            "delegation_over_bound": float(self.rounds.coordinator.delegations.refused),
            "knowledge_lapsed": float(self.rounds.own_share.fleet.lapses),
        }

    def _read_shares(self) -> Mapping[str, float]:
        delegations = self.rounds.coordinator.delegations
        return {
            "own": self.rounds.own_share.share,
            "used": delegations.total,
            "senders": float(len(delegations.entries)),
            "teams": float(len(self.rounds.node.limits)),
        }


def _derive_limits(
    configuration: routes.Configuration, quota: settings.QuotaSettings
) -> dict[str, quotas.TeamLimit]:
    """Return the limits of the teams that have a rate."""
    return {
        name: quotas.derive_limit(team.rate_per_s, team.burst, quota)
        for name, team in configuration.team_table.by_name.items()
        if team.rate_per_s > 0.0
    }
