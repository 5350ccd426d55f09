"""What the quotas of teams cost: messages, bytes and processor time.

Run with ``python -m bench.quota_cost``. The fleet is simulated; bytes are those of the
bodies, to which a call's frames add their own. The processor time covers both ends of
a question without the stream between them.
"""

import random
import time
from collections.abc import Callable

from bench import quota_fleet
from jujubetiller import clock, quotas
from jujubetiller.mesh import _quota_message

ZONES = 4
NODES = 69
TEAMS = 76
LOAD = 0.8
REQUESTS_PER_S = 1_200.0
DURATION_S = 20.0
ROUNDS = 20_000


class Loopback(quotas.Transport):
    """Encodes, decodes and answers each question at once."""

    def __init__(self) -> None:
        self.peer: quotas.QuotaRounds | None = None
        self.bytes = 0

    def ask(
        self,
        host: str,
        question: quotas.Question,
        answered: Callable[[quotas.Answer | None], None],
    ) -> None:
        """Give the question to the peer."""
        body = _quota_message.encode_question(question)
        self.bytes += len(body)

        def reply(answer: quotas.Answer) -> None:
            body = _quota_message.encode_answer(answer)
            self.bytes += len(body)
            answered(_quota_message.decode_answer(body).unwrap())

        assert self.peer is not None
        self.peer.receive(_quota_message.decode_question(body).unwrap(), reply)

    def call_later(
        self, delay_ms: float, function: Callable[[], None]
    ) -> Callable[[], None]:
        """Call nothing: all answers come at once."""
        return lambda: None


def measure_processor_us(teams: int, asked_teams: int) -> tuple[float, float]:
    """Return microseconds and bytes of a round in which teams have demand."""
    manual_clock = clock.ManualClock(1_000_000.0)
    transport = Loopback()
    limits = {
        f"team-{i}": quotas.TeamLimit(0.016 * teams, 30.0 * teams) for i in range(teams)
    }
    hosts = frozenset(("a", "b"))
    nodes = [
        quotas.QuotaRounds(manual_clock, random.Random(1), transport, host, "zone")
        for host in sorted(hosts)
    ]
    for node in nodes:
        node.configure(limits, 1)
        node.update_nodes({"zone": set(hosts)}, hosts, True, manual_clock.now_ms())
    own = nodes[0].choice.first("zone")
    coordinator, asker = sorted(nodes, key=lambda node: node.own_host != own)
    transport.peer = coordinator
    for _ in range(50):
        manual_clock.advance(300.0)
        for node in nodes:
            node.update_nodes(
                node.choice.known, hosts, True, manual_clock.now_ms() - 100.0
            )
            node.run_round()
    transport.bytes = 0
    used_s = 0.0
    for _ in range(ROUNDS):
        manual_clock.advance(15.0)
        as_of_ms = manual_clock.now_ms() - 100.0
        coordinator.update_nodes(coordinator.choice.known, hosts, True, as_of_ms)
        asker.update_nodes(asker.choice.known, hosts, True, as_of_ms)
        for index in range(asked_teams):
            asker.node.record_request(f"team-{index}")
        started_s = time.process_time()
        asker.run_round()
        used_s += time.process_time() - started_s
    return used_s / ROUNDS * 1e6, transport.bytes / ROUNDS


def main() -> None:
    """Print the figures."""
    fleet = quota_fleet.Fleet(1, max_skew=0.01)
    mean = REQUESTS_PER_S / LOAD / TEAMS
    rates = [mean * (0.2 + 1.6 * index / (TEAMS - 1)) for index in range(TEAMS)]
    fleet.publish({f"team-{i}": (rate, rate) for i, rate in enumerate(rates)})
    for index in range(NODES):
        fleet.listed[f"10.0.{index % ZONES}.{index}"] = f"zone-{index % ZONES}"
    for host, zone in fleet.listed.items():
        fleet.start(host, zone)
    fleet.run_for(20_000.0)
    fleet.counts_bytes = True
    for name, load in (("no requests", 0.0), ("80% of all rates", LOAD)):
        fleet.messages = fleet.bytes = 0
        end_ms = fleet.now_ms + 1000.0 * DURATION_S
        for team, (rate, _) in fleet.teams.items():
            if load:
                hosts = list(fleet.listed)
                fleet.send_steadily(team, hosts, load * rate, end_ms)
        fleet.run_for(1000.0 * DURATION_S)
        per_node = DURATION_S * NODES
        print(
            f"{name}: {fleet.messages / per_node:.1f} questions and "
            f"{fleet.bytes / per_node:.0f} bytes a second and node"
        )
    admitted = sum(map(len, fleet.admitted.values()))
    print(f"admitted {admitted}, refused {fleet.refused.total()}")
    for teams, asked in ((76, 0), (76, 1), (76, 20), (10_000, 20)):
        used_us, size = measure_processor_us(teams, asked)
        print(
            f"a round, {asked} of {teams} teams: {used_us:.0f} us, {size:.0f} bytes, "
            "both ends"
        )


if __name__ == "__main__":
    main()
