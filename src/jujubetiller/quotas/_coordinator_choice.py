"""Which node of each zone is asked for tokens."""

from collections.abc import Mapping, Set

from jujubetiller import clock, readers

PASSED_OVER_MS = 3_000.0
"""Time for which a node that gave no answer is not asked again."""


class CoordinatorChoice:
    """The first node of each zone, by rendezvous hash, that answers.

    Nodes that disagree ask different ones, which costs tokens but breaks no bound.
    """

    def __init__(self, boot_clock: clock.Clock) -> None:
        self.clock = boot_clock
        self.zones: dict[str, list[str]] = {}
        self.known: Mapping[str, Set[str]] = {}
        self.failed_at_ms: dict[str, float] = {}

    def set_nodes(self, zones: Mapping[str, Set[str]]) -> None:
        """Set the hosts of all nodes by zone."""
        if zones is self.known or zones == self.known:
            return
        self.known = zones
        self.zones = {
            zone: readers.order_by_rendezvous(f"quota\0{zone}", hosts)
            for zone, hosts in zones.items()
        }
        hosts = {host for names in self.zones.values() for host in names}
        self.failed_at_ms = {h: t for h, t in self.failed_at_ms.items() if h in hosts}

    def first(self, zone: str, without: str | None = None) -> str | None:
        """Return the node to ask in ``zone``, or None if none answers.

        ``without`` is passed over.
        """
        now_ms = self.clock.now_ms()
        for host in self.zones.get(zone, ()):
            if host == without:
                continue
            failed_at_ms = self.failed_at_ms.get(host)
            if failed_at_ms is None or now_ms - failed_at_ms >= PASSED_OVER_MS:
                return host
        return None

    def others(self, own_zone: str) -> list[str]:
        """Return the node to ask in each other zone."""
        firsts = [self.first(zone) for zone in self.zones if zone != own_zone]
        return [host for host in firsts if host is not None]

    def record_failure(self, host: str) -> None:
        """Pass over a node that gave no answer."""
        self.failed_at_ms[host] = self.clock.now_ms()

    def record_answer(self, host: str) -> None:
        """Ask the node again that has answered."""
        self.failed_at_ms.pop(host, None)
