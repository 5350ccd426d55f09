"""Guards against more admissions in a window than a team's quota allows."""

import hypothesis
import hypothesis.strategies as st

from bench import quota_fleet

ZONES = 3
TEAMS = {"hot": (20.0, 10.0), "calm": (4.0, 0.0), "tight": (60.0, 200.0)}
LOWERED = {"hot": (2.0, 0.0), "calm": (4.0, 0.0), "tight": (1.0, 1.0)}

STEPS = st.sampled_from(
    [
        "join",
        "remove",
        "remove_but_run",
        "restart",
        "restart_all",
        "partition",
        "heal",
        "flap",
        "freeze",
        "lose",
        "calm",
        "lower",
        "raise",
        "stale",
        "rest",
    ]
)


class Trial:
    """A fleet with clients that send far above all limits, and faults."""

    def __init__(self, seed: int, nodes: int) -> None:
        self.fleet = quota_fleet.Fleet(seed, max_skew=0.01)
        self.next_host = 0
        self.unlisted: list[str] = []
        self.fleet.publish(TEAMS)
        for _ in range(nodes):
            self.join()
        for team in TEAMS:
            self.send(team)

    def send(self, team: str) -> None:
        """Send ten times the team's rate through any nodes, also cut off ones."""
        fleet = self.fleet
        hosts = list(fleet.processes)
        if hosts:
            fleet.request(fleet.random.choice(hosts), team)
        rate = 10.0 * TEAMS[team][0]
        fleet.after(fleet.random.expovariate(rate) * 1e3, lambda: self.send(team))

    def join(self) -> None:
        host = f"host-{self.next_host}"
        zone = f"zone-{self.next_host % ZONES}"
        self.next_host += 1
        self.fleet.listed[host] = zone
        self.fleet.start(host, zone)

    def pick(self) -> str:
        return self.fleet.random.choice([*self.fleet.listed, *self.unlisted])

    def remove(self) -> None:
        host = self.pick()
        self.fleet.listed.pop(host, None)
        self.fleet.stop(host)

    def remove_but_run(self) -> None:
        """Remove a node that loses the store, but goes on running."""
        host = self.pick()
        self.fleet.side[host] = 1
        if self.fleet.listed.pop(host, None) is not None:
            self.unlisted.append(host)

    def restart(self) -> None:
        host = self.pick()
        if host in self.fleet.listed:
            self.fleet.start(host, self.fleet.listed[host])

    def restart_all(self) -> None:
        for host, zone in self.fleet.listed.items():
            self.fleet.start(host, zone)

    def partition(self) -> None:
        for host in self.fleet.processes:
            self.fleet.side[host] = self.fleet.random.choice([0, 0, 1, 2])

    def heal(self) -> None:
        self.fleet.side = {}

    def flap(self) -> None:
        """Remove the entry of a node that runs on, and publish it again."""
        host = self.pick()
        zone = self.fleet.listed.pop(host, None)
        if zone is not None:
            pause_ms = self.fleet.random.uniform(10.0, 3_000.0)
            self.fleet.after(
                pause_ms, lambda: self.fleet.listed.setdefault(host, zone) and None
            )

    def freeze(self) -> None:
        process = self.fleet.processes.get(self.pick())
        if process is not None:
            pause_ms = self.fleet.random.uniform(100.0, 6_000.0)
            process.frozen_until_ms = self.fleet.now_ms + pause_ms

    def lose(self) -> None:
        self.fleet.loss, self.fleet.late, self.fleet.repeated = 0.2, 0.2, 0.2

    def calm(self) -> None:
        self.fleet.loss = self.fleet.late = self.fleet.repeated = 0.0
        self.fleet.max_read_age_ms = 800.0

    def lower(self) -> None:
        self.fleet.publish(LOWERED)

    def raise_(self) -> None:
        self.fleet.publish(TEAMS)

    def stale(self) -> None:
        self.fleet.max_read_age_ms = 2_400.0

    def rest(self) -> None:
        """Let buckets fill while nothing changes."""
        self.fleet.run_for(6_000.0)

    def play(self, step: str) -> None:
        getattr(self, "raise_" if step == "raise" else step)()


@hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
@hypothesis.given(
    seed=st.integers(0, 2**32),
    nodes=st.integers(1, 12),
    steps=st.lists(st.tuples(STEPS, st.integers(10, 4_000)), max_size=14),
)
def test_no_window_exceeds_the_bound(
    seed: int, nodes: int, steps: list[tuple[str, int]]
) -> None:
    trial = Trial(seed, nodes)
    trial.fleet.watch_shares()
    trial.fleet.run_for(5_000.0)
    for step, pause_ms in steps:
        trial.play(step)
        if not trial.fleet.listed:
            trial.join()
        trial.fleet.run_for(float(pause_ms))
    trial.fleet.run_for(3_000.0)
    assert not trial.fleet.find_excess()
    assert trial.fleet.highest_share_sum <= 1.0 + 1e-9


def test_nodes_that_are_cut_off_keep_no_stock() -> None:
    """Others generate the same tokens once they are listed in their place."""
    fleet = quota_fleet.Fleet(seed=11, max_skew=0.01)
    fleet.watch_shares()
    fleet.publish({"tight": TEAMS["tight"]})
    for index in range(12):
        fleet.listed[f"host-{index}"] = f"zone-{index % ZONES}"
    for host, zone in list(fleet.listed.items()):
        fleet.start(host, zone)
    fleet.run_for(20_000.0)
    for host in fleet.processes:
        # Buckets are settled when they are used.
        fleet.request(host, "tight")
    fleet.run_for(100.0)
    for index in range(0, 12, ZONES):
        del fleet.listed[f"host-{index}"]
        fleet.side[f"host-{index}"] = 1
    fleet.run_for(20_000.0)
    hosts = list(fleet.processes)
    fleet.send_steadily("tight", hosts, 1_000.0, fleet.now_ms + 5_000.0)
    fleet.run_for(6_000.0)
    assert not fleet.find_excess()
    assert len(fleet.admitted["tight"]) > 0.8 * fleet.highest_bound("tight", 0.0, 1e9)
    assert fleet.highest_share_sum <= 1.0 + 1e-9
